// Package runner takes one request from admission to its final outcome: it
// acquires an endpoint, runs the request there, resumes or repeats it as package
// retry decides, and writes the answer.
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
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// charsPerToken estimates the tokens of a prompt, which the system doesn't
// tokenise.
const charsPerToken = 4

// Performer makes one attempt at a request at the endpoint of a grant, and
// passes the answer on.
type Performer interface {
	Perform(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant) attempt.Ending
}

// Config holds the settings of a Runner.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Performer  Performer
	// OnLeave is told when an endpoint says that it takes no new work.
	OnLeave func(endpoint string, incarnation uint64)
	// OnFailure is told of each failed attempt, for metrics.
	OnFailure func(retry.Failure)
	// OnStep is told what followed a failed attempt, for metrics.
	OnStep func(retry.Step)
	// OnAttempt, if set, is told of each failed attempt and what followed.
	OnAttempt func(j *job.Job, grant dispatch.Grant, f *attempt.Failure, step retry.Step)
	// Begin, if set, is asked right before each send whether the request may be sent; the
	// function that it returns is called when that attempt has ended.
	Begin func(*job.Job) (finish func(), err *outcome.Error)
	// Budget, if it has a share, bounds the retries of each target.
	Budget retry.Budget
}

// Runner runs requests.
type Runner struct {
	cfg     Config
	budgets *budgets
}

// New makes a runner.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, budgets: newBudgets(cfg.Budget)}
}

// state follows one request over its attempts.
type state struct {
	runs int
	// sent counts the attempts of which bytes may have reached an endpoint.
	sent      int
	uncertain bool
	avoid     string
	// released counts the tokens that the caller has, of all attempts.
	released int
}

// Run runs a request and writes its answer to the sink. The error is the final
// outcome if the answer isn't complete.
func (r *Runner) Run(ctx context.Context, j *job.Job, sink job.Sink) *outcome.Error {
	ctx, cancel := clock.WithDeadline(ctx, j.Deadline())
	defer cancel()
	var st state
	for {
		grant, err := r.acquire(ctx, j, &st)
		if err != nil {
			return st.combine(err)
		}
		err, again := r.attempt(ctx, j, sink, grant, &st)
		if !again {
			return r.settle(&st, err)
		}
		if !pause.For(ctx, retry.Backoff(st.runs, rand.Float64)) {
			return st.combine(outcome.NotRunf(outcome.CodeDeadlineUnreachable, "the time is up"))
		}
	}
}

// settle checks the proof of NotRun.
func (r *Runner) settle(st *state, err *outcome.Error) *outcome.Error {
	if err != nil && err.Outcome == outcome.NotRun {
		invariant.Check(!st.uncertain, invariant.NotRunProof, "%v after an uncertain attempt", err)
	}
	return err
}

// combine weakens a refusal if an earlier attempt may have run.
func (st *state) combine(err *outcome.Error) *outcome.Error {
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

func (r *Runner) acquire(ctx context.Context, j *job.Job, st *state) (dispatch.Grant, *outcome.Error) {
	start := clock.Now()
	grant, err := r.cfg.Dispatcher.Acquire(ctx, Request(j, st.avoid))
	j.Timings.Queued += clock.Since(start)
	return grant, err
}

// Request makes the scheduler's view of a job.
func Request(j *job.Job, avoid string) scheduler.Request {
	req := scheduler.Request{
		Workspace:      j.Workspace,
		Kind:           j.Kind,
		Row:            j.Row,
		PromptTokens:   j.PromptTokens,
		MaxTokens:      j.MaxTokens,
		ArrivedAt:      j.Arrived,
		Avoid:          avoid,
		Identity:       j.Identity,
		AllowedRegions: j.Regions,
	}
	if j.Prompt != "" {
		req.PromptTokens = len(j.Prompt)/charsPerToken + 1
	}
	return req
}

// attempt runs the request once; again says that another run is to follow.
func (r *Runner) attempt(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant, st *state) (err *outcome.Error, again bool) {
	finish, refused := r.begin(j)
	if refused != nil {
		r.cfg.Dispatcher.Finish(grant.ID, scheduler.Result{})
		return st.combine(refused), false
	}
	defer finish()
	if j.BeforeSend != nil && !j.BeforeSend() {
		r.cfg.Dispatcher.Finish(grant.ID, scheduler.Result{})
		return outcome.MayHaveRunf(outcome.CodeStopping, "a second run was prevented"), false
	}
	st.runs++
	j.Endpoint = grant.Endpoint.ID
	if st.runs == 1 {
		r.budgets.first(j.Workspace, grant.Endpoint.ID, j.Row.Target)
	}
	end := r.cfg.Performer.Perform(ctx, j, sink, grant)
	r.cfg.Dispatcher.Finish(grant.ID, result(ctx, end))
	if end.Failure == nil {
		return nil, false
	}
	return r.decide(ctx, j, sink, grant, st, end)
}

func (r *Runner) begin(j *job.Job) (finish func(), err *outcome.Error) {
	if r.cfg.Begin == nil {
		return func() {}, nil
	}
	return r.cfg.Begin(j)
}

// result blames the endpoint for a failure, unless it only drains or wants nothing now, or the
// caller has gone or the time is up.
func result(ctx context.Context, e attempt.Ending) scheduler.Result {
	res := scheduler.Result{Complete: e.Failure == nil, Generated: e.Generated}
	if e.Failure != nil {
		res.Failed = !e.Failure.Draining && !e.Failure.Withheld && e.Failure.Kind != retry.CallerGone && ctx.Err() == nil
		res.Unreachable = res.Failed && e.Failure.Kind == retry.NotSent
	}
	return res
}

func (r *Runner) decide(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant, st *state, end attempt.Ending) (*outcome.Error, bool) {
	f := end.Failure
	r.tell(grant, f)
	if ctx.Err() != nil && f.Kind != retry.NotSent && f.Kind != retry.RefusedBeforeExecution && f.Kind != retry.CallerGone {
		f.Kind = retry.GenerationLost
	}
	if f.Kind != retry.NotSent {
		st.sent++
	}
	st.released += end.Released
	d := retry.Decide(retry.Attempt{
		Failure:           f.Kind,
		Idempotent:        j.Row.Idempotent,
		Resumable:         j.Row.Resumable,
		Released:          st.released,
		Attempts:          st.runs,
		SentAttempts:      st.sent,
		MaxSentAttempts:   j.Row.MaxAttempts,
		EarlierMayHaveRun: st.uncertain,
		BudgetAvailable:   r.budgets.left(j.Workspace, grant.Endpoint.ID, j.Row.Target),
		TimeLeft:          j.Left(ctx),
	})
	r.cfg.OnStep(d.Step)
	if r.cfg.OnAttempt != nil {
		r.cfg.OnAttempt(j, grant, f, d.Step)
	}
	proven := f.Kind == retry.NotSent || f.Kind == retry.RefusedBeforeExecution
	if proven && j.NotSent != nil {
		j.NotSent()
	}
	st.uncertain = st.uncertain || !proven
	if d.Step == retry.GiveUp && f.Answer != nil {
		f.Answer.WriteTo(sink.(job.HeaderSink))
		return nil, false
	}
	if d.Step == retry.Rerun {
		if f.Kind != retry.NotSent {
			r.budgets.spend(j.Workspace, grant.Endpoint.ID, j.Row.Target)
		}
		st.avoid = grant.Endpoint.ID
		return nil, true
	}
	return st.failed(ctx, d.Outcome, f), false
}

func (r *Runner) tell(grant dispatch.Grant, f *attempt.Failure) {
	r.cfg.OnFailure(f.Kind)
	if f.Draining {
		r.cfg.OnLeave(grant.Endpoint.ID, max(f.Incarnation, grant.Endpoint.Incarnation))
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

// failureCode says whether the time was up or the caller had gone, which breaks a
// connection too, or else what failed.
func failureCode(ctx context.Context, f *attempt.Failure) outcome.Code {
	switch {
	case clock.Expired(ctx):
		return outcome.CodeDeadlineUnreachable
	case ctx.Err() != nil:
		return outcome.CodeCallerGone
	default:
		return codeByFailure[f.Kind]
	}
}

// retryAfterFailure is when a caller may come back after endpoints failed it.
const retryAfterFailure = time.Second

func (st *state) failed(ctx context.Context, o outcome.Outcome, f *attempt.Failure) *outcome.Error {
	err := outcome.New(o, failureCode(ctx, f), "%s: %v", f.Kind, f.Err)
	err.Delivered = st.released
	return err.WithRetryAfter(retryAfterFailure)
}
