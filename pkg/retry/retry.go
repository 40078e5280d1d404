// Package retry decides what follows a failed attempt.
//
// Decide is a pure function of the attempt and its failure. What bounds
// retries as a whole are budgets: retries of a workspace, and at an endpoint,
// can't exceed a fixed share of first attempts, so that a failing fleet isn't
// given more work than a healthy one.
package retry

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Failure is why an attempt ended.
type Failure int

// The failures.
const (
	// NotSent: no byte of the request can have reached the endpoint.
	NotSent Failure = iota
	// RefusedBeforeExecution: the endpoint's protocol says that it did not run.
	RefusedBeforeExecution
	// LinkLost: the connection broke or stalled; the generation may go on.
	LinkLost
	// GenerationLost: the endpoint no longer knows the generation, or is gone.
	GenerationLost
	// Protocol: the endpoint's reply made no sense.
	ProtocolError
	// AnsweredError: the endpoint ran the request and answered with an error of its
	// own, which the caller can have.
	AnsweredError
	// CallerGone: nobody reads the answer any more.
	CallerGone
)

// String names the failure for metrics and logs.
func (f Failure) String() string {
	return [...]string{"not_sent", "refused_before_execution", "link_lost", "generation_lost", "protocol", "answered_error", "caller_gone"}[f]
}

// Attempt is what is known when an attempt has failed.
type Attempt struct {
	Failure    Failure
	Idempotent bool
	// Resumable says that another run may go on after what was released.
	Resumable bool
	// Bound says that a generation is known that could be resumed.
	GenerationKnown bool
	// Released counts the tokens that the caller has received.
	Released int
	// Resumes counts the resumptions without progress so far.
	Resumes int
	// Runs counts the attempts so far, this one included.
	Attempts int
	// Sent counts those of which bytes may have reached an endpoint, and MaxSent
	// bounds them; zero leaves the bound to MaxRuns.
	SentAttempts    int
	MaxSentAttempts int
	// EarlierMayHaveRun says that an attempt before this one may have run.
	EarlierMayHaveRun bool
	// BudgetLeft says that workspace and endpoint may still retry.
	BudgetAvailable bool
	// TimeLeft until the request's timeout.
	TimeLeft time.Duration
}

// Step is what to do next.
type Step int

// The steps.
const (
	// GiveUp: answer with the outcome, at once.
	GiveUp Step = iota
	// Resume the same generation from the next token.
	Resume
	// Again: a new run, at another endpoint if there is one.
	Rerun
)

// Bounds on one request.
const (
	// MaxResumes without a token in between.
	MaxResumes = 4
	// MaxRuns of one request.
	MaxTotalAttempts = 3
)

// Decision is a step and, for GiveUp, the outcome.
type Decision struct {
	Step    Step
	Outcome outcome.Outcome
}

// Decide says what follows a failed attempt.
func Decide(a Attempt) Decision {
	if canResume(a) {
		return Decision{Step: Resume}
	}
	if canRerun(a) {
		return Decision{Step: Rerun}
	}
	return Decision{GiveUp, finalOutcome(a)}
}

func canResume(a Attempt) bool {
	return a.Failure == LinkLost && a.GenerationKnown && a.Resumes < MaxResumes && a.TimeLeft > 0
}

func canRerun(a Attempt) bool {
	if a.Released > 0 && !a.Resumable || a.Failure == CallerGone {
		return false
	}
	if a.Attempts >= MaxTotalAttempts || a.TimeLeft <= 0 {
		return false
	}
	if a.MaxSentAttempts > 0 && a.SentAttempts >= a.MaxSentAttempts {
		return false
	}
	// What no endpoint has received puts no load on any.
	if a.Failure != NotSent && !a.BudgetAvailable {
		return false
	}
	return a.Idempotent || provenNotRun(a.Failure)
}

func provenNotRun(f Failure) bool { return f == NotSent || f == RefusedBeforeExecution }

func finalOutcome(a Attempt) outcome.Outcome {
	if a.Released > 0 {
		return outcome.Incomplete
	}
	if provenNotRun(a.Failure) && !a.EarlierMayHaveRun {
		return outcome.NotRun
	}
	return outcome.MayHaveRun
}

// String names the step for metrics.
func (s Step) String() string {
	return [...]string{"give_up", "resume", "again"}[s]
}
