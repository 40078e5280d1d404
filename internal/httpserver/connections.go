package httpserver

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// When the limit of connections is reached, a new one takes the place of the one that has been idle longest,
// or is closed if none is idle. A connection that is new, or of whose next request a part has arrived, counts as
// idle once its client has been silent for some time.

// receiveGrace is how long a connection isn't idle after it was opened, or after a part of a request's head has
// arrived.
const receiveGrace = time.Second

// CloseReason tells why a server closes a connection.
type CloseReason string

// The reasons.
const (
	// CloseLimit makes room for another connection.
	CloseLimit CloseReason = "limit"
	// CloseDrain closes a connection without a request during a drain.
	CloseDrain CloseReason = "drain"
	// CloseServer closes a connection with the server.
	CloseServer CloseReason = "server"
)

// conn is a connection of a server.
//
//	[idle] --bytes--> [receiving] --whole head--> [active] --response written--> [idle]
//	   |                |  \--receiveGrace--> [idle]  |
//	   +----------------+------> [closing] <----------+ (with the server only)
//
// A closing connection hands on neither bytes nor requests: see connections.
type conn struct {
	net.Conn
	all *connections

	// All below are guarded by all.mu. state is as http.Server has reported it last, and since is when it did, or
	// when the last bytes have arrived.
	state     http.ConnState
	receiving bool
	since     time.Time
	// closing is why the server closes the connection; empty if it doesn't.
	closing CloseReason
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.all.received(c, time.Now()) {
		return 0, net.ErrClosed
	}
	return n, err
}

// CloseWrite is called by http.Server before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// idle reports whether no request is being served or received, nor about to arrive.
func (c *conn) idle(now time.Time) bool {
	switch {
	case c.state == http.StateActive:
		return false
	case c.state == http.StateNew || c.receiving:
		return now.Sub(c.since) > receiveGrace
	default:
		return true
	}
}

// connections are the open connections of one server. It is safe for concurrent use.
//
// Requests are read and connections closed by different goroutines. Both first change the state of the connection
// under mu: one that is being closed passes on no request, and one with a request is not closed.
type connections struct {
	max     int
	onClose func(CloseReason)

	mu       sync.Mutex
	open     map[*conn]bool
	draining bool
}

// newConnections returns the connections of a server that may have max of them; zero is unlimited. onClose is
// called for each that the server closes; it may be nil.
func newConnections(max int, onClose func(CloseReason)) *connections {
	return &connections{max: max, onClose: onClose, open: map[*conn]bool{}}
}

// listener adds the connections that it accepts.
type listener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, all: l.connections}
	l.connections.add(c, time.Now())
	return c, nil
}

// connOf returns the connection below one of http.Server.
func connOf(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	return c.(*conn)
}

// add adds a connection, and closes one if there are too many. It closes one that comes during a drain: the drain may
// have found no other.
func (l *connections) add(c *conn, now time.Time) {
	l.mu.Lock()
	c.state, c.since = http.StateNew, now
	l.open[c] = true
	var victim *conn
	switch {
	case l.draining:
		victim = c
		l.choose(c, CloseDrain)
	case l.max > 0 && len(l.open) > l.max:
		victim = l.longestIdle(now)
		if victim == nil {
			victim = c
		}
		l.choose(victim, CloseLimit)
	}
	l.mu.Unlock()
	if victim != nil {
		l.close(victim)
	}
}

func (l *connections) longestIdle(now time.Time) (longest *conn) {
	for c := range l.open {
		if c.idle(now) && (longest == nil || c.since.Before(longest.since)) {
			longest = c
		}
	}
	return longest
}

// choose marks a connection for closing. The caller holds mu, and calls close after it.
func (l *connections) choose(c *conn, why CloseReason) {
	c.closing = why
	delete(l.open, c)
}

// close closes a connection that was chosen. The goroutine of its server notices.
func (l *connections) close(c *conn) {
	_ = c.Conn.Close()
	if l.onClose != nil {
		l.onClose(c.closing)
	}
}

// received records that bytes have arrived, and reports whether they may be used.
func (l *connections) received(c *conn, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closing != "" {
		return false
	}
	if c.state != http.StateActive {
		c.receiving, c.since = true, now
	}
	return true
}

// changed is http.Server.ConnState.
func (l *connections) changed(nc net.Conn, state http.ConnState) {
	c := connOf(nc)
	if l.update(c, state, time.Now()) {
		l.close(c)
	}
}

// update records a state, and reports whether the connection must be closed.
func (l *connections) update(c *conn, state http.ConnState, now time.Time) (closes bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(l.open, c)
	case c.closing != "" || state == http.StateNew:
	case state == http.StateIdle && l.draining:
		l.choose(c, CloseDrain)
		return true
	default:
		c.state, c.since, c.receiving = state, now, false
	}
	return false
}

// closing returns why the connection of a request is being closed; empty if it isn't.
func (l *connections) closing(c *conn) CloseReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.closing
}

// drain closes the connections that are idle, from now on also those that become idle, and reports whether any
// others are left.
func (l *connections) drain(now time.Time) (left bool) {
	return l.closeAll(CloseDrain, func(c *conn) bool { return c.idle(now) })
}

// closeAll closes the connections that match, and reports whether any others are left.
func (l *connections) closeAll(why CloseReason, match func(*conn) bool) (left bool) {
	l.mu.Lock()
	l.draining = true
	var chosen []*conn
	for c := range l.open {
		if match(c) {
			l.choose(c, why)
			chosen = append(chosen, c)
		}
	}
	left = len(l.open) > 0
	l.mu.Unlock()
	for _, c := range chosen {
		l.close(c)
	}
	return left
}

func (l *connections) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}
