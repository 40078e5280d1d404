package relay

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// pass follows one stream over all endpoints that its generation runs at.
type pass struct {
	f       *Forwarder
	j       *job.Job
	sink    job.HeaderSink
	grant   dispatch.Grant
	session *Session
	// mayBegin reports whether the answer may begin.
	mayBegin func() bool
	// sent is when the request went to the endpoint where it runs.
	sent time.Time
	// state outlasts this attempt, since another one may go on with the answer.
	state *job.StreamState
	// events counts those of this attempt.
	events int
	// perEvent is how many tokens one event carries.
	perEvent int
	// read tells that the engine has read the prompt.
	read func()
	// framed says that the end of the last response could be told from a broken connection.
	framed bool
	// survived is set once OnSurvived has been called for the current endpoint.
	survived bool
	// memory is that of an incomplete event.
	memory *membudget.Reservation
	// arriving is the handoff whose first event is still to come; nil if there is none.
	arriving *HandoffEvent
}

func (f *Forwarder) passStream(ctx context.Context, j *job.Job, sink job.HeaderSink, grant dispatch.Grant, resp *upstream.Response, start time.Time, read func()) attempt.Result {
	p := &pass{
		f: f, j: j, sink: sink, grant: grant, state: &j.Delivered,
		session:  &Session{job: j, at: grant.Endpoint},
		mayBegin: func() bool { return shutdown.BeginResponse(ctx) },
		sent:     start,
		perEvent: f.cfg.TokensPerEvent(j.Row.Target),
		read:     read,
		memory:   f.cfg.Pool.Memory.Reserve(),
	}
	defer p.memory.Release()
	if !p.state.HeaderSent {
		p.state.LastEventAt = start
	}
	// Half an event of an attempt that broke off goes no further.
	p.state.Events.BeginContinuation()
	f.sessions.add(p.session)
	defer f.sessions.remove(p.session)
	err := p.follow(ctx, resp)
	end := attempt.Result{Released: p.events * p.perEvent, Generated: p.events * p.perEvent}
	if err != nil {
		end.Failure = &attempt.Failure{Kind: failureKind(err), Err: err}
		return end
	}
	f.whole(j, p.session.Endpoint(), p.sent, p.framed)
	return end
}

func failureKind(err error) retry.Failure {
	if errors.Is(err, errCaller) {
		return retry.CallerGone
	}
	return retry.LinkLost
}

// follow copies the stream to its end, from one endpoint after another.
func (p *pass) follow(ctx context.Context, resp *upstream.Response) error {
	for {
		p.framed = resp.Framed
		err := p.copy(resp)
		p.arrived(err)
		if err == nil && (resp.Framed || !p.session.handingOver()) {
			resp.Close()
			return nil
		}
		// The source must not work on: without an end its connection is closed.
		resp.Close()
		if err != nil {
			p.f.broken(p.j, p.session.Endpoint(), p.sent, &attempt.Failure{Kind: failureKind(err), Err: err})
		}
		if errors.Is(err, errCaller) {
			return err
		}
		h := p.session.next(ctx)
		if h == nil || err == nil && h.ended {
			return err
		}
		p.state.Events.BeginContinuation()
		if resp, err = p.resume(ctx, h); err != nil {
			return err
		}
	}
}

// resume goes on with the generation where its copy is.
func (p *pass) resume(ctx context.Context, h *Handoff) (*upstream.Response, error) {
	from := p.session.Endpoint()
	resp, err := p.sendRest(ctx, from, h)
	p.arriving = &HandoffEvent{Job: p.j, From: from.ID, To: h.Target.ID, Events: p.events, Stopped: h.Stopped}
	if err != nil {
		p.arrived(err)
		return nil, err
	}
	p.session.moved(h.Target)
	p.j.Endpoint = h.Target.ID
	p.f.cfg.Dispatcher.Move(p.grant.ID, h.Target.Instance())
	return resp, nil
}

// sendRest asks for the rest of the stream where the copy is, unless the source or the
// target has started again since the copy was made. Then the memory that the copy's name
// stands for is gone, or that of another generation: names come again in another life.
func (p *pass) sendRest(ctx context.Context, from fleet.Endpoint, h *Handoff) (*upstream.Response, error) {
	if h.void != nil {
		return nil, h.void
	}
	if err := p.f.over(from.Instance(), h.Target.Instance()); err != nil {
		return nil, err
	}
	if p.f.cfg.Check != nil {
		if err := p.f.cfg.Check(p.j); err != nil {
			return nil, err
		}
	}
	p.awaitPause(ctx, h.Target)
	s := sending(ctx, p.j, h.Target)
	s.Resume = true
	s.Continue = &upstream.Continuation{Source: h.Copy.Source, Handle: h.Copy.Handle}
	p.sent = clock.Now()
	p.beginAtEndpoint()
	resp, failure := p.f.cfg.Pool.Do(ctx, h.Target, request(p.j), s)
	if failure != nil {
		p.f.broken(p.j, h.Target, p.sent, failure)
		return nil, failure
	}
	if failure := unfit(resp, true); failure != nil {
		resp.Discard()
		return nil, failure
	}
	return resp, nil
}

// handoffPatience is how long a stream waits for a target that wants a pause: callers leave
// after some seconds without an event, and copies are kept as long.
const handoffPatience = 4 * time.Second

// awaitPause waits until a target wants requests again that has turned others away since it
// was chosen. The generation can go on nowhere else.
func (p *pass) awaitPause(ctx context.Context, target fleet.Endpoint) {
	if p.f.cfg.PausedFor == nil {
		return
	}
	if left := p.f.cfg.PausedFor(target.Instance()); left > 0 && left <= handoffPatience {
		pause.For(ctx, left)
	}
}

// over returns an error of type fleet.InstanceEndedError if one of the lives is over.
func (f *Forwarder) over(lives ...fleet.Instance) error {
	for _, l := range lives {
		if f.cfg.Over != nil && f.cfg.Over(l) {
			return fleet.InstanceEndedError{Instance: l}
		}
	}
	return nil
}

// arrived tells how a handoff went, if one is under way: that its first event has come, or
// why none will.
func (p *pass) arrived(err error) {
	if p.arriving == nil {
		return
	}
	event := *p.arriving
	p.arriving = nil
	event.Err = err
	event.Pause = clock.Since(p.state.LastEventAt)
	if p.f.cfg.OnHandoff != nil {
		p.f.cfg.OnHandoff(event)
	}
}

// errCaller says that the caller no longer reads.
var errCaller = errors.New("the caller has gone")

func (p *pass) copy(resp *upstream.Response) error {
	buf := make([]byte, readBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if err := p.take(resp, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return p.end(resp)
		}
		if err != nil {
			return err
		}
	}
}

// take passes on the events that are whole by now.
func (p *pass) take(resp *upstream.Response, data []byte) error {
	events, count, err := p.state.Events.Feed(data)
	if err != nil {
		return err
	}
	if !p.memory.Resize(int64(p.state.Events.Buffered())) {
		return membudget.ErrExhausted
	}
	if count == 0 {
		return nil
	}
	p.arrived(nil)
	if err := p.start(resp); err != nil {
		return err
	}
	before := p.events
	p.events += count
	_, numbered := p.state.Events.LastID()
	p.session.progress(p.events, numbered)
	p.state.LastEventAt = p.j.Timings.RecordProgress(p.j.ArrivedAt, p.state.LastEventAt)
	p.recordSurvival()
	p.f.cfg.Dispatcher.Progress(p.grant.ID, p.events*p.perEvent)
	if before == 0 {
		// After Progress, so that peers are told of the speed that the first event shows.
		p.read()
		if p.f.cfg.OnBegin != nil {
			p.f.cfg.OnBegin(p.session.Endpoint())
		}
	}
	if err := p.sink.Data(events); err != nil {
		return errCaller
	}
	p.sink.Flush()
	if p.f.cfg.OnEvents != nil {
		p.f.cfg.OnEvents(p.session.Endpoint(), before, p.events)
	}
	return nil
}

// beginAtEndpoint records that the generation begins, or continues, at another endpoint.
func (p *pass) beginAtEndpoint() {
	p.state.ProducingSince, p.survived = time.Time{}, false
}

// recordSurvival reports a stream that its endpoint has produced for some time.
func (p *pass) recordSurvival() {
	if p.state.ProducingSince.IsZero() {
		p.state.ProducingSince = p.state.LastEventAt
	}
	if p.survived || !p.j.Survived() {
		return
	}
	p.survived = true
	if p.f.cfg.OnSurvived != nil {
		p.f.cfg.OnSurvived(p.j)
	}
}

func (p *pass) start(resp *upstream.Response) error {
	if p.state.HeaderSent {
		return nil
	}
	if !p.mayBegin() {
		return shutdown.ErrStopping
	}
	p.state.HeaderSent = true
	p.sink.Start(resp.Status, resp.Header, resp.Length)
	return nil
}

// errNoRest says that nothing came of the rest of a stream.
var errNoRest = errors.New("the rest of the stream is missing")

// errNoEvents says that a connection ended between the head of a stream and its first event.
var errNoEvents = errors.New("a stream without a length ended before its first event")

// end checks that a stream ended between two events, and that there was a rest if the
// caller has a part. What was broken off or stopped had not ended: at least one event was
// still to come, so that an answer without one is not the rest, though it ends well.
func (p *pass) end(resp *upstream.Response) error {
	if p.state.Events.HasPartial() {
		return io.ErrUnexpectedEOF
	}
	if !resp.Framed && !p.state.HeaderSent {
		return errNoEvents
	}
	if p.state.HeaderSent && p.state.Events.AwaitingContinuation() {
		return errNoRest
	}
	return p.start(resp)
}
