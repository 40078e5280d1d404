package relay

import (
	"context"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/engines"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// handoffTimeout bounds how long a stream that was stopped waits for its copy.
const handoffTimeout = 3 * time.Second

// Session is a stream under way. Its generation can be handed to another engine:
//
//	[streaming] --Begin--> [handing over] --Moved--> [streaming at the target]
//	     |  ^                  |     |  \--Lost--> by the first copy, or [broken off]
//	     |  +-----Cancel-------+     +--Ended--> [streaming to its end]
//	     +--the stream ended
//
// A handoff breaks off (Void, or as the list says) if the source or the target has started
// again since the copy was made.
//
// The stream's own goroutine goes on reading until the source closes the stream,
// so that what was made before the stop is not lost, and then continues at the
// target after the last event that it has passed on.
type Session struct {
	job *job.Job

	mu     sync.Mutex
	at     fleet.Endpoint
	events int
	// numbered says that the events have ids, by which another engine can go on.
	numbered bool
	pending  *Handoff
	ended    bool
}

// Handoff is where a generation goes on. One that is settled after the stream has taken it
// changes nothing.
type Handoff struct {
	Target fleet.Endpoint
	Copy   engines.Copy
	// Stopped says that the source has certainly stopped.
	Stopped bool
	// ended says that the generation had ended by itself before it was stopped.
	ended bool
	taken bool
	// void says why the copy is worth nothing, if it isn't.
	void error

	// mu is the session's.
	mu   *sync.Mutex
	done chan struct{}
}

// Update replaces the copy that is fallen back on by a newer one.
func (h *Handoff) Update(newer engines.Copy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.taken {
		h.Copy = newer
	}
}

// Moved says that the generation was stopped and where it goes on.
func (h *Handoff) Moved(target fleet.Endpoint, last engines.Copy) {
	h.settle(func() {
		h.Target = target
		h.Copy = last
		h.Stopped = true
	})
}

// Ended says that the generation had ended by itself.
func (h *Handoff) Ended() { h.settle(func() { h.ended = true }) }

// Lost says that nobody knows whether the generation was stopped: its stream goes on by the
// copy that there is, unless it ends as whole.
func (h *Handoff) Lost() { h.settle(func() {}) }

// Void says that nobody knows whether the generation was stopped, and that the copy is worth
// nothing: its stream breaks off, unless it ends as whole.
func (h *Handoff) Void(why error) { h.settle(func() { h.void = why }) }

// Cancel says that the generation stays where it is; another handoff may be begun.
func (s *Session) Cancel(h *Handoff) {
	h.settle(func() {
		if s.pending == h {
			s.pending = nil
		}
	})
}

func (h *Handoff) settle(how func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.taken {
		how()
	}
	close(h.done)
}

// RequestID names the session's request.
func (s *Session) RequestID() string { return s.job.RequestID }

// Endpoint is where the generation runs.
func (s *Session) Endpoint() fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// Tokens estimates the memory that the generation holds.
func (s *Session) Tokens(perEvent int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.job.PromptTokens + s.events*perEvent
}

// Begun reports whether the engine has made something of the answer.
func (s *Session) Begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events > 0
}

// Begin prepares the end of the stream at the source: from now on its end leads to
// the target. A first copy is what is fallen back on. It returns nil if the stream has
// ended, is being handed over already, or has no ids of events to go on after.
func (s *Session) Begin(target fleet.Endpoint, first engines.Copy) *Handoff {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.pending != nil || !s.numbered {
		return nil
	}
	s.pending = &Handoff{Target: target, Copy: first, mu: &s.mu, done: make(chan struct{})}
	return s.pending
}

// next waits for a handoff that is under way, and takes it. It returns nil if
// there is none.
func (s *Session) next(ctx context.Context) *Handoff {
	s.mu.Lock()
	h := s.pending
	s.mu.Unlock()
	if h == nil {
		return nil
	}
	wait := time.NewTimer(handoffTimeout)
	defer wait.Stop()
	select {
	case <-h.done:
	case <-wait.C:
	case <-ctx.Done():
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h.taken = true
	if s.pending == h {
		s.pending = nil
	}
	return h
}

// handingOver reports whether the end of the stream may be a handoff.
func (s *Session) handingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending != nil
}

func (s *Session) moved(to fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = to
}

func (s *Session) progress(events int, numbered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = events
	s.numbered = numbered
}

func (s *Session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// sessions are the streams of an entry.
type sessions struct {
	mu   sync.Mutex
	byID map[string]*Session
}

func (s *sessions) add(one *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[one.RequestID()] = one
}

func (s *sessions) remove(one *Session) {
	one.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, one.RequestID())
}

// SessionsAt lists the streams whose generations run in a life of an endpoint.
func (f *Forwarder) SessionsAt(life fleet.Instance) []*Session {
	f.sessions.mu.Lock()
	defer f.sessions.mu.Unlock()
	var out []*Session
	for _, s := range f.sessions.byID {
		if s.Endpoint().Instance() == life {
			out = append(out, s)
		}
	}
	return out
}
