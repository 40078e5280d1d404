// Package connlimit bounds the open connections of an HTTP server, since each holds buffers.
//
// When the limit is reached, a new connection takes the place of the one that has been idle longest, or
// is closed if none is idle. A connection on which no request has arrived yet counts as idle once its
// client has had some time to send one.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnGrace is how long a new connection isn't idle although no request has arrived.
const newConnGrace = time.Second

// Limiter counts the connections of one server. It is safe for concurrent use.
type Limiter struct {
	max     int
	onClose func()

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection, and since when it has been in it.
type connState struct {
	state http.ConnState
	since time.Time
}

// New returns a limiter for max connections. onClose, if not nil, is called for each connection that it
// closes.
func New(max int, onClose func()) *Limiter {
	return &Limiter{max: max, onClose: onClose, conns: map[net.Conn]connState{}}
}

// ConnState is to be set as http.Server.ConnState.
func (l *Limiter) ConnState(c net.Conn, state http.ConnState) {
	if victim := l.update(c, state, time.Now()); victim != nil {
		// The server notices, and reports StateClosed.
		_ = victim.Close()
		if l.onClose != nil {
			l.onClose()
		}
	}
}

// update records a state and returns the connection to close, if there are too many.
func (l *Limiter) update(c net.Conn, state http.ConnState, now time.Time) (victim net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.conns, c)
		return nil
	}
	l.conns[c] = connState{state, now}
	if state != http.StateNew || len(l.conns) <= l.max {
		return nil
	}
	victim = c
	idleSince := now
	for other, s := range l.conns {
		if s.idle(now) && s.since.Before(idleSince) {
			victim, idleSince = other, s.since
		}
	}
	delete(l.conns, victim)
	return victim
}

func (s connState) idle(now time.Time) bool {
	return s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > newConnGrace
}
