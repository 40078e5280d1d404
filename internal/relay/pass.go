package relay

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/stream"
)

// pass follows one stream over all endpoints that its generation runs at.
type pass struct {
	f       *Forwarder
	j       *job.Job
	sink    job.HeaderSink
	grant   dispatch.Grant
	session *Session
	split   stream.Splitter
	events  int
	last    time.Time
	started bool
	// perEvent is how many tokens one event carries.
	perEvent int
}

func (f *Forwarder) passStream(ctx context.Context, j *job.Job, sink job.HeaderSink, grant dispatch.Grant, resp *upstream.Response, start time.Time) attempt.Ending {
	p := &pass{
		f: f, j: j, sink: sink, grant: grant, last: start,
		session:  &Session{job: j, at: grant.Endpoint},
		perEvent: f.cfg.TokensPerEvent(j.Row.Target),
	}
	f.sessions.add(p.session)
	defer f.sessions.remove(p.session)
	err := p.follow(ctx, resp)
	end := attempt.Ending{Released: p.events * p.perEvent, Generated: p.events * p.perEvent}
	if err != nil {
		end.Failure = &attempt.Failure{Kind: retry.LinkLost, Err: err}
	}
	return end
}

// follow copies the stream to its end, from one endpoint after another.
func (p *pass) follow(ctx context.Context, resp *upstream.Response) error {
	for {
		err := p.copy(resp)
		if err == nil && (resp.Framed || !p.session.handingOver()) {
			resp.Close()
			return nil
		}
		// The source must not work on: without an end its connection is closed.
		resp.Close()
		if errors.Is(err, errCaller) {
			return err
		}
		h := p.session.next(ctx)
		if h == nil || err == nil && !h.Stopped {
			return err
		}
		p.split.Reset()
		if resp, err = p.resume(ctx, h); err != nil {
			return err
		}
	}
}

// resume goes on with the generation where its copy is.
func (p *pass) resume(ctx context.Context, h *Handoff) (*upstream.Response, error) {
	from := p.session.Endpoint()
	s := sending(ctx, p.j, p.grant)
	s.Endpoint = h.Target.ID
	last, _ := p.split.LastID()
	s.Continue = &upstream.Continuation{Source: h.Copy.Source, Handle: h.Copy.Handle, LastEvent: last}
	resp, failure := p.f.cfg.Pool.Do(ctx, h.Target, request(p.j), s)
	if failure == nil {
		failure = refused(resp)
		if failure != nil {
			drop(resp)
		}
	}
	event := HandoffEvent{Job: p.j, From: from.ID, To: h.Target.ID, Events: p.events, Pause: time.Since(p.last), Stopped: h.Stopped}
	if failure != nil {
		event.Err = failure
		p.told(event)
		return nil, failure
	}
	p.told(event)
	p.session.moved(h.Target)
	p.j.Endpoint = h.Target.ID
	p.f.cfg.Dispatcher.Move(p.grant.ID, h.Target.ID)
	return resp, nil
}

func (p *pass) told(e HandoffEvent) {
	if p.f.cfg.OnHandoff != nil {
		p.f.cfg.OnHandoff(e)
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
	events, count, err := p.split.Feed(data)
	if err != nil {
		return err
	}
	if count == 0 {
		return nil
	}
	p.start(resp)
	first := p.events == 0
	p.events += count
	p.session.progress(p.events)
	if first && p.f.cfg.OnBegin != nil {
		p.f.cfg.OnBegin(p.session.Endpoint())
	}
	p.last = p.j.Timings.Progress(p.j.Arrived, p.last)
	p.f.cfg.Dispatcher.Progress(p.grant.ID, p.events*p.perEvent)
	if err := p.sink.Data(events); err != nil {
		return errCaller
	}
	p.sink.Flush()
	return nil
}

func (p *pass) start(resp *upstream.Response) {
	if !p.started {
		p.started = true
		p.sink.Start(resp.Status, resp.Header, resp.Length)
	}
}

// end checks that a stream ended between two events.
func (p *pass) end(resp *upstream.Response) error {
	if p.split.Partial() {
		return io.ErrUnexpectedEOF
	}
	p.start(resp)
	return nil
}
