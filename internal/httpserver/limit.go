package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// When the limit of connections is reached, a new one takes the place of the one that has been idle longest,
// or is closed if none is idle. A connection on which no request has arrived yet counts as idle once its
// client has had some time to send one.

// newConnGrace is how long a new connection isn't idle although no request has arrived.
const newConnGrace = time.Second

// connections are the open connections of one server. It is safe for concurrent use.
type connections struct {
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

// newConnections returns the connections of a server that may have max of them; zero is unlimited. onClose is
// called for each that is closed to make room.
func newConnections(max int, onClose func()) *connections {
	return &connections{max: max, onClose: onClose, conns: map[net.Conn]connState{}}
}

// changed is http.Server.ConnState.
func (l *connections) changed(c net.Conn, state http.ConnState) {
	if victim := l.update(c, state, time.Now()); victim != nil {
		// The server notices, and reports StateClosed.
		connOf(victim).closing.CompareAndSwap(nil, CloseLimit)
		_ = victim.Close()
		if l.onClose != nil {
			l.onClose()
		}
	}
}

// update records a state and returns the connection to close, if there are too many.
func (l *connections) update(c net.Conn, state http.ConnState, now time.Time) (victim net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.conns, c)
		return nil
	}
	l.conns[c] = connState{state, now}
	if state != http.StateNew || l.max == 0 || len(l.conns) <= l.max {
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

// inUse reports whether a request is being served, or may be about to arrive, on some connection.
func (l *connections) inUse(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.conns {
		if !s.idle(now) {
			return true
		}
	}
	return false
}

func (s connState) idle(now time.Time) bool {
	return s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > newConnGrace
}
