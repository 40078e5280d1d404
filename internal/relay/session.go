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
//	[streaming] --Begin--> [handing over] --Finish--> [streaming at the target]
//	     |                       |  the copy failed
//	     +--the stream ended     +--> [broken off]
//
// The stream's own goroutine goes on reading until the source closes the stream,
// so that what was made before the stop is not lost, and then continues at the
// target after the last event that it has passed on.
type Session struct {
	job *job.Job

	mu      sync.Mutex
	at      fleet.Endpoint
	events  int
	pending *Handoff
	ended   bool
}

// Handoff is where a generation goes on.
type Handoff struct {
	Target fleet.Endpoint
	Copy   engines.Copy
	// Stopped says that the source has certainly stopped.
	Stopped bool
	done    chan struct{}
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
// the target. A first copy is what is fallen back on. It returns false if the
// stream has ended or is being handed over already.
func (s *Session) Begin(target fleet.Endpoint, first engines.Copy) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.pending != nil {
		return false
	}
	s.pending = &Handoff{Target: target, Copy: first, done: make(chan struct{})}
	return true
}

// Update replaces the copy that is fallen back on by a newer one.
func (s *Session) Update(newer engines.Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != nil {
		s.pending.Copy = newer
	}
}

// Finish says where the generation goes on after all; without a copy it goes on
// where it is.
func (s *Session) Finish(target fleet.Endpoint, last *engines.Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		return
	}
	if last != nil {
		s.pending.Target = target
		s.pending.Copy = *last
		s.pending.Stopped = true
	}
	close(s.pending.done)
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
	s.pending = nil
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

func (s *Session) progress(events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = events
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

// SessionsAt lists the streams whose generations run at an endpoint.
func (f *Forwarder) SessionsAt(endpoint string) []*Session {
	f.sessions.mu.Lock()
	defer f.sessions.mu.Unlock()
	var out []*Session
	for _, s := range f.sessions.byID {
		if s.Endpoint().ID == endpoint {
			out = append(out, s)
		}
	}
	return out
}
