// Package runner runs a request from admission to its final outcome. It acquires
// an endpoint, makes an attempt there, repeats that as package retry decides, and
// returns the outcome; the performer writes the answer.
package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// bytesPerToken is the assumed number of bytes per token. It serves to estimate a
// prompt's tokens, since prompts aren't tokenized here.
const bytesPerToken = 4

// Performer makes one attempt at a request at the endpoint of a grant, and
// writes the answer to the sink.
type Performer interface {
	Perform(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant) attempt.Result
}

// Config holds the settings of a Runner.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Performer  Performer
	// OnDraining is called when an endpoint reports that it accepts no new requests.
	OnDraining func(endpoint string, incarnation uint64)
	// OnFailure is called for each failed attempt, for metrics.
	OnFailure func(retry.Failure)
	// OnStep is called with the step taken after each failed attempt, for metrics.
	OnStep func(retry.Step)
	// OnAttempt, if set, is called for each failed attempt, with the step taken after it.
	OnAttempt func(j *job.Job, grant dispatch.Grant, f *attempt.Failure, step retry.Step)
	// BeginAttempt, if set, is called right before each attempt. An error forbids the attempt;
	// otherwise finish is called when the attempt has ended.
	BeginAttempt func(*job.Job) (finish func(), err *outcome.Error)
	// TargetBudget limits the retries of each target if its Ratio is positive.
	TargetBudget retry.Budget
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	cfg     Config
	budgets *budgets
}

// New returns a runner with the settings.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, budgets: newBudgets(cfg.TargetBudget)}
}

// requestState is the state of one request over its attempts.
type requestState struct {
	attempts int
	// sentAttempts counts the attempts of which bytes may have reached an endpoint.
	sentAttempts int
	// uncertain is set if an attempt may have run.
	uncertain        bool
	excludedEndpoint string
	// released is the number of tokens sent to the caller, over all attempts.
	released int
}

// Run runs a request and writes its answer to the sink. It returns nil if the
// answer is complete, and the final outcome otherwise.
func (r *Runner) Run(ctx context.Context, j *job.Job, sink job.Sink) *outcome.Error {
	ctx, cancel := clock.WithDeadline(ctx, j.Deadline())
	defer cancel()
	var st requestState
	for {
		grant, err := r.acquire(ctx, j, &st)
		if err != nil {
			return st.weakenRefusal(err)
		}
		err, rerun := r.attempt(ctx, j, sink, grant, &st)
		if !rerun {
			return r.checkProof(&st, err)
		}
		if !pause.For(ctx, retry.Backoff(st.attempts, rand.Float64)) {
			return st.weakenRefusal(shutdown.NotRun(ctx))
		}
	}
}

// checkProof checks the invariant that the outcome NotRun is never reported after
// an attempt that may have run. It returns err.
func (r *Runner) checkProof(st *requestState, err *outcome.Error) *outcome.Error {
	if err != nil && err.Outcome == outcome.NotRun {
		invariant.Check(!st.uncertain, invariant.NotRunProof, "%v after an uncertain attempt", err)
	}
	return err
}

// weakenRefusal changes the outcome of a refusal if an earlier attempt may have
// run: to Incomplete if the caller has received tokens, otherwise to the outcome
// that httpapi.Weaken sets.
func (st *requestState) weakenRefusal(err *outcome.Error) *outcome.Error {
	if !st.uncertain {
		return err
	}
	err = httpapi.Weaken(err)
	if st.released > 0 {
		err.Outcome = outcome.Incomplete
		err.Delivered = st.released
	}
	return err
}

func (r *Runner) acquire(ctx context.Context, j *job.Job, st *requestState) (dispatch.Grant, *outcome.Error) {
	start := clock.Now()
	grant, err := r.cfg.Dispatcher.Acquire(ctx, Request(j, st.excludedEndpoint))
	j.Timings.QueueTime += clock.Since(start)
	return grant, err
}

// Request returns the scheduler's request for a job. avoid is the id of an
// endpoint to avoid, or empty.
func Request(j *job.Job, avoid string) scheduler.Request {
	req := scheduler.Request{
		Workspace:        j.Workspace,
		Kind:             j.Kind,
		Row:              j.Row,
		PromptTokens:     j.PromptTokens,
		MaxTokens:        j.MaxTokens,
		ArrivedAt:        j.ArrivedAt,
		Deadline:         j.Deadline(),
		Avoid:            avoid,
		Identity:         j.Identity,
		SharedParts:      j.SharedParts,
		PermittedRegions: j.PermittedRegions,
		Rank:             j.Rank,
	}
	if j.Prompt != "" {
		req.PromptTokens = len(j.Prompt)/bytesPerToken + 1
	}
	return req
}

// attempt runs the request once. rerun reports whether another attempt follows.
func (r *Runner) attempt(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant, st *requestState) (err *outcome.Error, rerun bool) {
	if ctx.Err() != nil {
		r.cfg.Dispatcher.Finish(grant.ID, scheduler.Result{})
		return st.weakenRefusal(shutdown.NotRun(ctx)), false
	}
	finish, refused := r.beginAttempt(j)
	if refused != nil {
		r.cfg.Dispatcher.Finish(grant.ID, scheduler.Result{})
		return st.weakenRefusal(refused), false
	}
	defer finish()
	if j.BeforeSend != nil && !j.BeforeSend() {
		r.cfg.Dispatcher.Finish(grant.ID, scheduler.Result{})
		return outcome.MayHaveRunf(outcome.CodeStopping, "a second run was prevented"), false
	}
	st.attempts++
	j.Endpoint = grant.Endpoint.ID
	if st.attempts == 1 {
		r.budgets.recordFirstAttempt(j.Workspace, grant.Endpoint.ID, j.Row.Target)
	}
	sent := clock.Now()
	result := r.cfg.Performer.Perform(ctx, j, sink, grant)
	if result.Failure == nil && !result.ErrorAnswer {
		j.Timings.ExpectedLatency, j.Timings.AttemptLatency = grant.ExpectedLatency, clock.Since(sent)
	}
	r.cfg.Dispatcher.Finish(grant.ID, schedulerResult(ctx, result))
	if result.Failure == nil {
		return nil, false
	}
	return r.decide(ctx, j, sink, grant, st, result)
}

func (r *Runner) beginAttempt(j *job.Job) (finish func(), err *outcome.Error) {
	if r.cfg.BeginAttempt == nil {
		return func() {}, nil
	}
	return r.cfg.BeginAttempt(j)
}

// schedulerResult returns the result to report to the scheduler. A failure counts against the
// endpoint unless the endpoint is draining or paused, the caller has disconnected, or the
// deadline has passed.
func schedulerResult(ctx context.Context, result attempt.Result) scheduler.Result {
	res := scheduler.Result{Complete: result.Failure == nil, ErrorAnswer: result.ErrorAnswer, Generated: result.Generated}
	if result.Failure != nil {
		res.Failed = !result.Failure.Draining && !result.Failure.Paused && result.Failure.Kind != retry.CallerGone && ctx.Err() == nil
		res.Unreachable = res.Failed && result.Failure.Kind == retry.NotSent
	}
	return res
}

// decide returns the outcome after a failed attempt, or true if the request is to be rerun.
func (r *Runner) decide(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant, st *requestState, result attempt.Result) (*outcome.Error, bool) {
	f := result.Failure
	r.reportFailure(grant, f)
	if ctx.Err() != nil && f.Kind != retry.NotSent && f.Kind != retry.RefusedBeforeExecution && f.Kind != retry.CallerGone {
		f.Kind = retry.GenerationLost
	}
	if f.Kind != retry.NotSent {
		st.sentAttempts++
	}
	st.released += result.Released
	d := retry.Decide(retry.Attempt{
		Failure:           f.Kind,
		Idempotent:        j.Row.Idempotent,
		Resumable:         j.Row.Resumable,
		Released:          st.released,
		Begun:             result.Begun,
		Attempts:          st.attempts,
		SentAttempts:      st.sentAttempts,
		MaxSentAttempts:   j.Row.MaxAttempts,
		EarlierMayHaveRun: st.uncertain,
		BudgetAvailable:   r.budgets.available(j.Workspace, grant.Endpoint.ID, j.Row.Target),
		TimeLeft:          j.TimeRemaining(ctx),
	})
	r.cfg.OnStep(d.Step)
	if r.cfg.OnAttempt != nil {
		r.cfg.OnAttempt(j, grant, f, d.Step)
	}
	provenNotRun := f.Kind == retry.NotSent || f.Kind == retry.RefusedBeforeExecution
	if provenNotRun && j.OnNotSent != nil {
		j.OnNotSent()
	}
	st.uncertain = st.uncertain || !provenNotRun
	if d.Step == retry.GiveUp && f.Answer != nil {
		f.Answer.WriteTo(sink.(job.HeaderSink))
		return nil, false
	}
	if d.Step == retry.Rerun {
		if f.Kind != retry.NotSent {
			r.budgets.spend(j.Workspace, grant.Endpoint.ID, j.Row.Target)
		}
		st.excludedEndpoint = grant.Endpoint.ID
		return nil, true
	}
	return st.failure(ctx, d.Outcome, f), false
}

func (r *Runner) reportFailure(grant dispatch.Grant, f *attempt.Failure) {
	r.cfg.OnFailure(f.Kind)
	if f.Draining {
		r.cfg.OnDraining(grant.Endpoint.ID, max(f.Incarnation, grant.Endpoint.Incarnation))
	}
}

var codeByFailure = map[retry.Failure]outcome.Code{
	retry.NotSent:                outcome.CodeEndpointLost,
	retry.RefusedBeforeExecution: outcome.CodeEndpointRefused,
	retry.LinkLost:               outcome.CodeStalled,
	retry.GenerationLost:         outcome.CodeEndpointLost,
	retry.ProtocolError:          outcome.CodeEndpointProtocolError,
	retry.AnsweredError:          outcome.CodeEndpointProtocolError,
	retry.CallerGone:             outcome.CodeCallerGone,
}

// failureCode returns the code of a failed attempt. The end of the request's context takes precedence,
// since it breaks the connection to the endpoint too.
func failureCode(ctx context.Context, f *attempt.Failure) outcome.Code {
	if ctx.Err() != nil {
		return shutdown.Code(ctx)
	}
	return codeByFailure[f.Kind]
}

// retryAfterFailure is the Retry-After of a request that failed at its endpoints.
const retryAfterFailure = time.Second

func (st *requestState) failure(ctx context.Context, o outcome.Outcome, f *attempt.Failure) *outcome.Error {
	err := outcome.New(o, failureCode(ctx, f), "%s: %v", f.Kind, f.Err)
	err.Delivered = st.released
	return err.WithRetryAfter(retryAfterFailure)
}
