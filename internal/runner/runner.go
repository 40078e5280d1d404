// Package runner takes one request from admission to its final outcome: it
// acquires an endpoint, runs the request there, resumes or repeats it as package
// retry decides, and writes the answer.
package runner

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/engineclient"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// charsPerToken estimates the tokens of a prompt, which the system doesn't
// tokenise.
const charsPerToken = 4

// Config holds the settings of a Runner.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Client     *engineclient.Client
	// StallTimeout is how long a stream may make no progress before its link is
	// taken as lost.
	StallTimeout time.Duration
	// OnLeave is told when an endpoint says that it takes no new work.
	OnLeave func(endpoint string, incarnation uint64)
	// OnFailure is told of each failed attempt, for metrics.
	OnFailure func(retry.Failure)
	// OnStep is told what followed a failed attempt, for metrics.
	OnStep func(retry.Step)
}

// Runner runs requests.
type Runner struct {
	cfg     Config
	budgets *budgets
}

// New makes a runner.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, budgets: newBudgets()}
}

// state follows one request over its attempts.
type state struct {
	runs      int
	uncertain bool
	avoid     string
}

// Run runs a request and writes its answer to the sink. The error is the final
// outcome if the answer isn't complete.
func (r *Runner) Run(ctx context.Context, j *job.Job, sink job.Sink) *outcome.Error {
	ctx, cancel := context.WithDeadline(ctx, j.Deadline())
	defer cancel()
	r.budgets.first(j.Workspace)
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
		if !sleep(ctx, retry.Backoff(st.runs, rand.Float64)) {
			return st.combine(outcome.NotRunf(outcome.CodeDeadline, "the time is up"))
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
	return httpapi.Weaken(err)
}

func (r *Runner) acquire(ctx context.Context, j *job.Job, st *state) (dispatch.Grant, *outcome.Error) {
	start := time.Now()
	grant, err := r.cfg.Dispatcher.Acquire(ctx, Request(j, st.avoid))
	j.Timings.Queued += time.Since(start)
	return grant, err
}

// Request makes the scheduler's view of a job.
func Request(j *job.Job, avoid string) scheduler.Request {
	req := scheduler.Request{
		Workspace: j.Workspace,
		Kind:      j.Kind,
		Row:       j.Row,
		MaxTokens: j.MaxTokens,
		Arrived:   j.Arrived,
		Avoid:     avoid,
	}
	if j.Prompt != "" {
		req.PromptTokens = len(j.Prompt)/charsPerToken + 1
	}
	return req
}

// attempt runs the request once; again says that another run is to follow.
func (r *Runner) attempt(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant, st *state) (err *outcome.Error, again bool) {
	if j.BeforeSend != nil && !j.BeforeSend() {
		r.cfg.Dispatcher.Finish(grant.ID, scheduler.Result{})
		return outcome.MayHaveRunf(outcome.CodeStopping, "a second run was prevented"), false
	}
	st.runs++
	if st.runs == 1 {
		r.budgets.firstAt(grant.Endpoint.ID)
	}
	var end ending
	if grant.Endpoint.Type == fleet.Engine {
		end = r.generate(ctx, j, sink, grant)
	} else {
		end = r.call(ctx, j, sink, grant)
	}
	r.cfg.Dispatcher.Finish(grant.ID, end.result(ctx))
	if end.failure == nil {
		return nil, false
	}
	return r.decide(ctx, j, grant, st, end)
}

// ending is how an attempt ended; no failure means that the answer is complete.
type ending struct {
	failure   *engineclient.Failure
	released  int
	generated int
}

// result blames the endpoint for a failure, unless it only drains, or the
// caller has gone or the time is up.
func (e ending) result(ctx context.Context) scheduler.Result {
	res := scheduler.Result{Complete: e.failure == nil, Generated: e.generated}
	if e.failure != nil {
		res.Failed = !e.failure.Draining && ctx.Err() == nil
	}
	return res
}

func (r *Runner) decide(ctx context.Context, j *job.Job, grant dispatch.Grant, st *state, end ending) (*outcome.Error, bool) {
	f := end.failure
	r.tell(grant, f)
	if ctx.Err() != nil && f.Kind != retry.NotSent && f.Kind != retry.RefusedBeforeExecution {
		f.Kind = retry.GenerationLost
	}
	d := retry.Decide(retry.Attempt{
		Failure:           f.Kind,
		Idempotent:        j.Row.Idempotent,
		Released:          end.released,
		Runs:              st.runs,
		EarlierMayHaveRun: st.uncertain,
		BudgetLeft:        r.budgets.left(j.Workspace, grant.Endpoint.ID),
		TimeLeft:          timeLeft(ctx, j),
	})
	r.cfg.OnStep(d.Step)
	proven := f.Kind == retry.NotSent || f.Kind == retry.RefusedBeforeExecution
	if proven && j.NotSent != nil {
		j.NotSent()
	}
	st.uncertain = st.uncertain || !proven
	if d.Step == retry.Again {
		r.budgets.spend(j.Workspace, grant.Endpoint.ID)
		st.avoid = grant.Endpoint.ID
		return nil, true
	}
	return failed(d.Outcome, f, end), false
}

func (r *Runner) tell(grant dispatch.Grant, f *engineclient.Failure) {
	r.cfg.OnFailure(f.Kind)
	if f.Draining {
		r.cfg.OnLeave(grant.Endpoint.ID, max(f.Incarnation, grant.Endpoint.Incarnation))
	}
}

func timeLeft(ctx context.Context, j *job.Job) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	return time.Until(j.Deadline())
}

var codeByFailure = map[retry.Failure]outcome.Code{
	retry.NotSent:                outcome.CodeEndpointLost,
	retry.RefusedBeforeExecution: outcome.CodeEndpointBusy,
	retry.LinkLost:               outcome.CodeStalled,
	retry.GenerationLost:         outcome.CodeEndpointLost,
	retry.Protocol:               outcome.CodeEndpointBad,
}

// retryAfterFailure is when a caller may come back after endpoints failed it.
const retryAfterFailure = time.Second

func failed(o outcome.Outcome, f *engineclient.Failure, end ending) *outcome.Error {
	err := outcome.New(o, codeByFailure[f.Kind], "%s", f.Kind)
	err.Delivered = end.released
	return err.After(retryAfterFailure)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call runs a request at a plain service.
func (r *Runner) call(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant) ending {
	start := time.Now()
	reply, f := r.cfg.Client.Call(ctx, grant.Endpoint, j.RequestID, j.Method, j.ServicePath, j.ContentType, j.Body)
	if f != nil {
		return ending{failure: f}
	}
	j.Timings.Progress(j.Arrived, start)
	sink.Header(reply.Status, reply.ContentType)
	_ = sink.Data(reply.Body)
	sink.Flush()
	return ending{}
}

func completion(j *job.Job, text string, reason *string, usage *httpapi.Usage) []byte {
	data, _ := json.Marshal(httpapi.Completion{
		ID:      j.RequestID,
		Object:  httpapi.ObjectCompletion,
		Model:   j.Model,
		Choices: []httpapi.Choice{{Text: text, FinishReason: reason}},
		Usage:   usage,
	})
	return data
}
