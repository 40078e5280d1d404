// Package relay makes attempts that pass a caller's request to an endpoint as it
// came, and the endpoint's answer back as it came.
//
// A plain answer is read whole before a byte of it goes on, so that one that
// breaks off can still be replaced by a failure, unless it is too large. A stream is passed on event by
// event, and only whole events; when it breaks off, the caller's connection is
// cut, so that it can't be taken for whole.
package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/runner"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

const (
	// maxWholeBytes is up to which size an answer is read whole before it is passed on.
	maxWholeBytes = 4 << 20
	// readBytes is the size of the reads of a stream.
	readBytes = 4 << 10
	// streamType is the content type of event streams.
	streamType = "text/event-stream"
)

// Config holds the settings of a Forwarder.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Pool       *upstream.Pool
	// TokensPerEvent says how many tokens one event of a target's streams carries.
	TokensPerEvent func(target string) int
	// Over, if set, reports whether an endpoint is known to have started again since.
	Over func(fleet.Instance) bool
	// OnSend, if set, is told of each prompt that is about to be sent to an engine. What it
	// returns is called once when the engine has read the prompt, or never will.
	OnSend func(to fleet.Endpoint, promptTokens int) (read func())
	// OnAttempt, if set, is told of each attempt before it is sent.
	OnAttempt func(j *job.Job, grant dispatch.Grant)
	// OnEvents, if set, is told how many events an attempt has passed on, before and after
	// those that have just come.
	OnEvents func(at fleet.Endpoint, before, events int)
	// OnBegin, if set, is told of each stream whose first event has come.
	OnBegin func(at fleet.Endpoint)
	// OnClosing, if set, is told of each engine whose answer says that the connection
	// closes.
	OnClosing func(at fleet.Endpoint)
	// OnBroken, if set, is told of each request that may have run at an endpoint and whose
	// connection broke before its answer was whole; OnLeft of each whose connection this
	// entry closed, as its caller had left or its time was up.
	OnBroken func(j *job.Job, at fleet.Endpoint, sent time.Time)
	OnLeft   func(j *job.Job, at fleet.Endpoint, sent time.Time)
	// OnSurvived, if set, is told once of each stream that an endpoint has produced for
	// quarantine.SurvivalPeriod.
	OnSurvived func(j *job.Job)
	// OnWhole, if set, is told of each request whose answer is a success and came whole; OnUnframedEnd of
	// each whose answer is a success without a length, which ended with its connection.
	OnWhole       func(j *job.Job)
	OnUnframedEnd func(j *job.Job, at fleet.Endpoint, sent time.Time)
	// PausedFor, if set, is for how much longer an endpoint wants nothing.
	PausedFor func(fleet.Instance) time.Duration
	// Check, if set, is asked whether a stream may go on at another endpoint.
	Check func(j *job.Job) error
	// OnHandoff, if set, is told of each stream that went on at another endpoint,
	// or failed to.
	OnHandoff func(HandoffEvent)
}

// HandoffEvent tells how a handoff ended.
type HandoffEvent struct {
	Job    *job.Job
	From   string
	To     string
	Events int
	// Pause is how long the caller got nothing, until the first event of the rest.
	Pause time.Duration
	// Stopped says that the source had certainly stopped.
	Stopped bool
	Err     error
}

// Forwarder makes attempts.
type Forwarder struct {
	cfg      Config
	sessions sessions
}

var _ runner.Performer = (*Forwarder)(nil)

// New makes a forwarder.
func New(cfg Config) *Forwarder {
	return &Forwarder{cfg: cfg, sessions: sessions{byID: map[string]*Session{}}}
}

// Perform implements runner.Performer. The sink must be a job.HeaderSink.
func (f *Forwarder) Perform(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant) attempt.Result {
	if f.cfg.OnAttempt != nil {
		f.cfg.OnAttempt(j, grant)
	}
	read := f.tellSent(grant.Endpoint, j.PromptTokens)
	defer read()
	start := clock.Now()
	j.Delivered.ProducingSince = time.Time{}
	resp, failure := f.cfg.Pool.Do(ctx, grant.Endpoint, request(j), sending(ctx, j, grant.Endpoint))
	if failure != nil {
		f.broken(j, grant.Endpoint, start, failure)
		return attempt.Result{Failure: failure}
	}
	if resp.Closing && grant.Endpoint.Type == fleet.Engine && f.cfg.OnClosing != nil {
		f.cfg.OnClosing(grant.Endpoint)
	}
	if failure := unfit(resp, j.Delivered.HeaderSent); failure != nil {
		resp.Discard()
		return attempt.Result{Failure: failure}
	}
	out := sink.(job.HeaderSink)
	if isStream(resp) {
		return f.passStream(ctx, j, out, grant, resp, start, read)
	}
	defer resp.Close()
	end := f.passPlain(ctx, j, out, resp, start)
	if end.Failure != nil {
		f.broken(j, grant.Endpoint, start, end.Failure)
	} else if resp.Status < http.StatusMultipleChoices {
		f.whole(j, grant.Endpoint, start, resp.Framed)
	}
	return end
}

// whole tells of a run that came whole, or whose answer ended with its connection.
func (f *Forwarder) whole(j *job.Job, at fleet.Endpoint, sent time.Time, framed bool) {
	switch {
	case framed && f.cfg.OnWhole != nil:
		f.cfg.OnWhole(j)
	case !framed && f.cfg.OnUnframedEnd != nil:
		f.cfg.OnUnframedEnd(j, at, sent)
	}
}

// broken tells of a run that broke off. An error of a connection that was closed here says
// nothing of the endpoint: the caller has left, its time is up, or the entry is stopping.
func (f *Forwarder) broken(j *job.Job, at fleet.Endpoint, sent time.Time, failure *attempt.Failure) {
	closedHere := failure.Kind == retry.CallerGone || errors.Is(failure.Err, net.ErrClosed) || errors.Is(failure.Err, shutdown.ErrStopping)
	switch {
	case closedHere && f.cfg.OnLeft != nil:
		f.cfg.OnLeft(j, at, sent)
	case !closedHere && failure.Kind == retry.LinkLost && f.cfg.OnBroken != nil:
		f.cfg.OnBroken(j, at, sent)
	}
}

// tellSent tells of a prompt that is sent, and returns what tells, once, that it was read.
func (f *Forwarder) tellSent(to fleet.Endpoint, promptTokens int) (read func()) {
	if to.Type != fleet.Engine || f.cfg.OnSend == nil {
		return func() {}
	}
	return sync.OnceFunc(f.cfg.OnSend(to, promptTokens))
}

func request(j *job.Job) *upstream.Request {
	return &upstream.Request{ID: j.RequestID, Method: j.Method, URI: j.Path, Host: j.Host, Header: j.Header, Body: j.Body}
}

func sending(ctx context.Context, j *job.Job, to fleet.Endpoint) upstream.Sending {
	last, resume := j.Delivered.Events.LastID()
	return upstream.Sending{
		Endpoint:  to.ID,
		Workspace: j.Workspace,
		Counted:   true,
		Left:      j.TimeRemaining(ctx),
		Resume:    resume,
		LastEvent: last,
	}
}

// unfit looks for answers that aren't passed on. Every answer of an endpoint goes through
// it, also that to a handoff: once a stream has begun only a stream is its rest. Read as
// events, an error without a body would end the caller's answer as if it were whole.
func unfit(resp *upstream.Response, begun bool) *attempt.Failure {
	if failure := refused(resp); failure != nil {
		return failure
	}
	if begun && !isStream(resp) {
		err := errors.Errorf("status %d in place of the rest of the stream", resp.Status)
		return &attempt.Failure{Kind: retry.LinkLost, Err: err}
	}
	return nil
}

// refused looks for refusals, and for answers that the endpoint doesn't vouch for.
func refused(resp *upstream.Response) *attempt.Failure {
	switch {
	case resp.NotRun:
		return &attempt.Failure{
			Kind:     retry.RefusedBeforeExecution,
			Draining: resp.Replaced,
			Err:      errors.Errorf("status %d", resp.Status),
		}
	case resp.Status < http.StatusMultipleChoices && resp.RequestID == "":
		return &attempt.Failure{Kind: retry.ProtocolError, Err: errors.Errorf("status %d without the request's id", resp.Status)}
	case resp.Signed:
		return nil
	case resp.Status < http.StatusMultipleChoices:
		return &attempt.Failure{Kind: retry.ProtocolError, Err: errors.Errorf("status %d without a signature", resp.Status)}
	case outcome.StatusMeansNotRun(resp.Status):
		return &attempt.Failure{Kind: retry.LinkLost, Err: errors.Errorf("status %d without a proof that nothing ran", resp.Status)}
	default:
		return nil
	}
}

func isStream(resp *upstream.Response) bool {
	return resp.Status == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), streamType)
}

// passPlain reads a plain answer to its end and passes it on. One that is too large for that is passed on
// as it arrives.
func (f *Forwarder) passPlain(ctx context.Context, j *job.Job, sink job.HeaderSink, resp *upstream.Response, start time.Time) attempt.Result {
	memory := f.cfg.Pool.Memory.Reserve()
	release := memory.Release
	defer func() { release() }()
	body, err := memory.ReadAll(resp, maxWholeBytes)
	if errors.Is(err, membudget.ErrTooLarge) || errors.Is(err, membudget.ErrExhausted) {
		j.Timings.RecordProgress(j.ArrivedAt, start)
		return passLarge(ctx, j, sink, resp, body, memory)
	}
	if err != nil {
		return attempt.Result{Failure: &attempt.Failure{Kind: retry.LinkLost, Err: err}}
	}
	answer := &attempt.Answer{Status: resp.Status, Header: resp.Header, Body: body}
	result := resultOf(answer, j.Row.Idempotent)
	if result.Failure != nil {
		// The answer may be needed until the last attempt has ended.
		release = func() { context.AfterFunc(ctx, memory.Release) }
	}
	if result.Failure == nil {
		j.Timings.RecordProgress(j.ArrivedAt, start)
		answer.WriteTo(sink)
	}
	return result
}

// passLarge passes on an answer that begins with body and goes on in resp.
func passLarge(ctx context.Context, j *job.Job, sink job.HeaderSink, resp *upstream.Response, body []byte, memory *membudget.Reservation) attempt.Result {
	failed := func(kind retry.Failure, err error) attempt.Result {
		return attempt.Result{Begun: true, Failure: &attempt.Failure{Kind: kind, Err: err}}
	}
	if !shutdown.BeginResponse(ctx) {
		return attempt.Result{Failure: &attempt.Failure{Kind: retry.LinkLost, Err: shutdown.ErrStopping}}
	}
	j.Delivered.HeaderSent = true
	sink.Start(resp.Status, resp.Header, resp.Length)
	if sink.Data(body) != nil {
		return failed(retry.CallerGone, errCaller)
	}
	body = make([]byte, readBytes)
	memory.Release()
	for {
		n, err := resp.Read(body)
		if n > 0 {
			if sink.Data(body[:n]) != nil {
				return failed(retry.CallerGone, errCaller)
			}
			sink.Flush()
		}
		if err == io.EOF {
			return attempt.Result{ErrorAnswer: resp.Status >= http.StatusBadRequest}
		}
		if err != nil {
			return failed(retry.LinkLost, err)
		}
	}
}

// resultOf returns the result of an attempt with a complete answer. A server error of a repeatable
// request is a failure, since another endpoint may do better; any other answer is passed on.
func resultOf(answer *attempt.Answer, repeatable bool) attempt.Result {
	if repeatable && answer.Status >= http.StatusInternalServerError {
		err := errors.Errorf("status %d", answer.Status)
		return attempt.Result{Failure: &attempt.Failure{Kind: retry.AnsweredError, Answer: answer, Err: err}}
	}
	return attempt.Result{ErrorAnswer: answer.Status >= http.StatusBadRequest}
}
