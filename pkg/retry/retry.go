// Package retry decides what to do after a failed attempt at a request, and holds
// the retry budgets, the backoff and the circuit breakers.
//
// Decide is a pure function of the failed attempt. Budgets limit the total of
// retries: those of a workspace, and those at an endpoint, can't exceed a fixed
// share of first attempts, so that retries don't overload a fleet that is already
// failing.
package retry

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Failure is the reason why an attempt failed.
type Failure int

// The failures.
const (
	// NotSent means that no byte of the request can have reached the endpoint.
	NotSent Failure = iota
	// RefusedBeforeExecution means that the endpoint refused the request with a
	// reply that its protocol defines as before execution.
	RefusedBeforeExecution
	// LinkLost means that the connection broke or stalled; the generation may still
	// be running.
	LinkLost
	// GenerationLost means that the endpoint no longer has the generation, or that the
	// endpoint itself has terminated.
	GenerationLost
	// ProtocolError means that the endpoint's reply violates the protocol.
	ProtocolError
	// AnsweredError means that the endpoint ran the request and answered with an error
	// of its own, which may be passed on to the caller.
	AnsweredError
	// CallerGone means that the caller has disconnected.
	CallerGone
)

// String returns the name of the failure in metrics and logs.
func (f Failure) String() string {
	return [...]string{"not_sent", "refused_before_execution", "link_lost", "generation_lost", "protocol", "answered_error", "caller_gone"}[f]
}

// Attempt describes a request after one of its attempts has failed.
type Attempt struct {
	// Failure is the reason why the last attempt failed.
	Failure Failure
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Resumable is set if another run may continue the answer after the tokens
	// that were released.
	Resumable bool
	// GenerationKnown is set if there is a generation that could be resumed.
	GenerationKnown bool
	// Released is the number of tokens that the caller has received.
	Released int
	// Begun is set if the caller has a part of an answer that no other run can continue.
	Begun bool
	// Resumes is the number of consecutive resumptions without a token.
	Resumes int
	// Attempts is the number of attempts so far, this one included.
	Attempts int
	// SentAttempts is the number of attempts of which bytes may have reached an
	// endpoint, and MaxSentAttempts its limit; if zero, only MaxTotalAttempts
	// applies.
	SentAttempts    int
	MaxSentAttempts int
	// EarlierMayHaveRun is set if the request may have run in an earlier attempt.
	EarlierMayHaveRun bool
	// BudgetAvailable is set if the retry budgets of the workspace and the endpoint
	// allow a retry.
	BudgetAvailable bool
	// TimeLeft is the time until the request's timeout.
	TimeLeft time.Duration
}

// Step is the action to take after a failed attempt.
type Step int

// The steps.
const (
	// GiveUp ends the request with the outcome of the Decision.
	GiveUp Step = iota
	// Resume continues the same generation from the next token.
	Resume
	// Rerun starts a new run, at another endpoint if there is one.
	Rerun
)

// Limits of one request.
const (
	// MaxResumes is the maximum number of consecutive resumptions without a token.
	MaxResumes = 4
	// MaxTotalAttempts is the maximum number of attempts, sent or not.
	MaxTotalAttempts = 3
)

// Decision is a step and, for GiveUp, the outcome.
type Decision struct {
	Step    Step
	Outcome outcome.Outcome
}

// Decide returns the step to take after a failed attempt.
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
	if a.Begun || a.Released > 0 && !a.Resumable || a.Failure == CallerGone {
		return false
	}
	if a.Attempts >= MaxTotalAttempts || a.TimeLeft <= 0 {
		return false
	}
	if a.MaxSentAttempts > 0 && a.SentAttempts >= a.MaxSentAttempts {
		return false
	}
	// A request that was not sent has put no load on any endpoint.
	if a.Failure != NotSent && !a.BudgetAvailable {
		return false
	}
	return a.Idempotent || provenNotRun(a.Failure)
}

func provenNotRun(f Failure) bool { return f == NotSent || f == RefusedBeforeExecution }

func finalOutcome(a Attempt) outcome.Outcome {
	if a.Begun || a.Released > 0 {
		return outcome.Incomplete
	}
	if provenNotRun(a.Failure) && !a.EarlierMayHaveRun {
		return outcome.NotRun
	}
	return outcome.MayHaveRun
}

// String returns the name of the step in metrics, which is "again" for Rerun.
func (s Step) String() string {
	return [...]string{"give_up", "resume", "again"}[s]
}
