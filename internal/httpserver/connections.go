package httpserver

import (
	"crypto/tls"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
)

// When the limit of connections is reached, a new one takes the place of the one that has been idle longest,
// or is closed if none is idle. A connection that is new, or of whose next request a part has arrived, counts as
// idle once its client has been silent for some time.

// receiveGrace is how long a connection isn't idle after it was opened, or after a part of a request's head has
// arrived.
const receiveGrace = time.Second

var (
	// arrivedTimeout bounds the time to read what has arrived of a body that the handler hasn't read.
	arrivedTimeout = 20 * time.Millisecond
	// lingerTimeout bounds the time for which what a client still sends is read after the last response.
	lingerTimeout = time.Second
)

// phase is how far a server has closed a connection.
type phase int

const (
	serving phase = iota
	// ending connections have their reads interrupted. The goroutine that reads them closes them, unless it has read
	// something before.
	ending
	// closed connections hand on neither bytes nor requests.
	closed
)

// conn is a connection of a server.
//
//	[idle] --bytes--> [receiving] --whole head--> [active] --response written--> [idle]
//
// It is idle again if its client falls silent while receiving, for receiveGrace. A connection that is idle may become
// ending; bytes, or a whole head, that its goroutine had read before make it serving again.
type conn struct {
	net.Conn
	all *connections

	// All below are guarded by all.mu. state is as http.Server has reported it last, and since is when it did, or
	// when the last bytes have arrived.
	state http.ConnState
	since time.Time
	// receiving says that bytes have arrived since the last write, or the last whole head. http.Server may read the
	// first byte of a request before it reports the end of the one before.
	receiving bool
	// answered says that a part of the response to the last request has been written, and bodyLeft that the
	// body of that request hasn't been read to its end.
	answered, bodyLeft bool
	// http10 says that the last request is one of HTTP/1.0, whose client may take the end of the connection for the end
	// of the response. handled says that the handler has returned.
	http10, handled bool
	phase           phase
	// head bounds the head of the request that is received or served.
	head headGuard
	// readDeadline is the one that http.Server has set.
	readDeadline time.Time
	// unused says that nothing has arrived yet.
	unused bool
}

// Read implements net.Conn. It closes a connection that isn't to be read any more: http.Server may take the part of a
// line before an interrupted read for the whole of it, and answer a sound request with a 400.
func (c *conn) Read(p []byte) (n int, err error) {
	if c.all.phase(c) != serving {
		_ = c.Conn.Close()
		return 0, os.ErrDeadlineExceeded
	}
	n, err = c.Conn.Read(p)
	if refusal := c.all.head(c, p[:n]); refusal != "" {
		c.refuse(refusal)
		return 0, net.ErrClosed
	}
	switch {
	case n > 0 && !c.all.received(c, time.Now()):
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	case n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.all.active(c):
		_ = c.Conn.Close()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.all.writes(c)
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	if c.unused {
		t = c.all.unusedDeadline(t)
	}
	c.readDeadline = t
	c.all.mu.Unlock()
	// It may replace that of an ending connection, which the next Read looks for.
	return c.Conn.SetReadDeadline(t)
}

// refuse answers a request whose head isn't read to its end, and closes the connection. On an encrypted one the response
// would be no part of the encrypted bytes, so it is only closed.
func (c *conn) refuse(response string) {
	if !c.all.encrypted {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(arrivedTimeout))
		_, _ = io.WriteString(c.Conn, response)
	}
	c.linger()
	_ = c.Conn.Close()
}

// Close implements net.Conn. It resets a connection whose client couldn't tell that the response was cut.
func (c *conn) Close() error {
	switch {
	case c.all.cuts(c):
		c.reset()
	case c.all.lingers(c):
		c.linger()
	}
	return c.Conn.Close()
}

// CloseWrite is called by http.Server before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	c.linger()
	return nil
}

// linger ends the sending side, and reads what the client still sends: closing a connection with unread bytes resets
// it, and what is under way to the client is lost.
func (c *conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
	c.all.lingered(c)
}

// reset lets Close reset the connection, so that a response that is cut doesn't appear complete.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// unread reports whether bytes have arrived that haven't been read.
func (c *conn) unread() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, _ := tcpconn.Peek(sc)
	return n > 0
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
// Requests are read and connections closed by different goroutines, and http.Server calls a connection idle until it
// has parsed a whole head. So all decide under mu: a connection with a request is not closed before its response has
// been written, and a request is handled only on a connection that stays open.
type connections struct {
	max     int
	onLimit func()
	// heads bounds the memory of the requests' heads; nil is unlimited. encrypted says that heads can't be
	// told from what follows them.
	heads     *membudget.Budget
	encrypted bool
	// onHeadRefused is called for each head that exceeds its bounds; it may be nil.
	onHeadRefused func()
	// headerTimeout and idleTimeout are those of http.Server; see unusedDeadline.
	headerTimeout, idleTimeout time.Duration

	mu       sync.Mutex
	open     map[*conn]bool
	ending   int
	draining bool
}

// newConnections returns the connections of a server that may have max of them; zero is unlimited. onLimit is
// called for each that is closed since there are too many; it may be nil.
func newConnections(max int, onLimit func()) *connections {
	return &connections{max: max, onLimit: onLimit, open: map[*conn]bool{}}
}

// listener adds the connections that it accepts.
type listener struct {
	net.Listener
	connections *connections
	// onError is called for each error; it may be nil.
	onError func(error)
}

// minAcceptBackoff and maxAcceptBackoff limit the time between two errors of a listener.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond
)

// Accept implements net.Listener. It fails only if the listener has been closed: a lack of descriptors or memory passes,
// and other errors are of the connection or the network.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	for backoff := minAcceptBackoff; err != nil; backoff = min(2*backoff, maxAcceptBackoff) {
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if l.onError != nil {
			l.onError(err)
		}
		time.Sleep(backoff)
		nc, err = l.Listener.Accept()
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

// add adds a connection, and ends one if there are too many. It ends one that comes during a drain: the drain may
// have found no other.
func (l *connections) add(c *conn, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.state, c.since = http.StateNew, now
	c.head = headGuard{memory: l.heads.Reserve(), blank: true}
	c.unused = l.headerTimeout > 0 && l.idleTimeout > l.headerTimeout
	l.open[c] = true
	if l.draining {
		l.end(c)
		return
	}
	if l.max == 0 || len(l.open)-l.ending <= l.max {
		return
	}
	victim := l.longestIdle(now)
	if victim == nil {
		victim = c
	}
	l.end(victim)
	if l.onLimit != nil {
		l.onLimit()
	}
}

// limit changes how many connections there may be, and ends idle ones beyond it.
func (l *connections) limit(most int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = most
	for len(l.open)-l.ending > l.max {
		victim := l.longestIdle(now)
		if victim == nil {
			return
		}
		l.end(victim)
	}
}

func (l *connections) longestIdle(now time.Time) (longest *conn) {
	for c := range l.open {
		if c.phase == serving && c.idle(now) && (longest == nil || c.since.Before(longest.since)) {
			longest = c
		}
	}
	return longest
}

// end begins to close a connection. The caller holds mu.
func (l *connections) end(c *conn) {
	c.phase = ending
	l.ending++
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// resume keeps an ending connection open, as a request has been read on it. The caller holds mu.
func (l *connections) resume(c *conn) {
	c.phase = serving
	l.ending--
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// received records that bytes have arrived, and reports whether they may be used.
func (l *connections) received(c *conn, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.phase {
	case closed:
		return false
	case ending:
		l.resume(c)
	}
	if c.unused {
		c.unused = false
		c.readDeadline = now.Add(l.headerTimeout)
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.receiving = true
	if c.state != http.StateActive {
		c.since = now
	}
	return true
}

// head counts bytes that have arrived of the head of a request. If it exceeds its bounds, refusal is the response.
func (l *connections) head(c *conn, data []byte) (refusal string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == http.StateActive || len(data) == 0 {
		return ""
	}
	refusal = c.head.take(data, l.encrypted)
	if refusal != "" && l.onHeadRefused != nil {
		l.onHeadRefused()
	}
	return refusal
}

// unusedDeadline returns the deadline of a connection on which nothing has arrived, in place of that for the head of its
// first request: clients may open connections ahead, and keep them as long as those that they have used. The time for
// the head counts from its first bytes, as on a connection that has been used.
func (l *connections) unusedDeadline(ofHead time.Time) time.Time {
	if ofHead.IsZero() {
		return ofHead
	}
	return ofHead.Add(l.idleTimeout - l.headerTimeout)
}

// writes records that a part of a response is written.
func (l *connections) writes(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.receiving = false
	c.answered = c.state == http.StateActive
}

// handles records that the handler gets a request.
func (l *connections) handles(c *conn, http10 bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.http10, c.handled = http10, false
}

// returned records that the handler has returned.
func (l *connections) returned(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.handled = true
}

// cuts reports whether closing a connection cuts a response whose client can't tell.
func (l *connections) cuts(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.http10 && !c.handled
}

// lingers reports whether the client may still be reading a response, and has sent more or may be about to.
func (l *connections) lingers(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.phase == serving && c.state == http.StateActive && (c.bodyLeft || c.answered && c.unread())
}

// lingered records that nothing of the last request is left to be read.
func (l *connections) lingered(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.bodyLeft = false
}

// leaveBody records that the body of a request isn't read to its end.
func (l *connections) leaveBody(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.bodyLeft = true
}

// changed is http.Server.ConnState.
func (l *connections) changed(nc net.Conn, state http.ConnState) {
	l.update(connOf(nc), state, time.Now())
}

func (l *connections) update(c *conn, state http.ConnState, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		l.remove(c)
	case http.StateActive, http.StateIdle:
		if c.phase == closed {
			return
		}
		if c.phase == ending {
			l.resume(c)
		}
		c.state, c.since = state, now
		if state == http.StateActive {
			c.receiving, c.answered, c.bodyLeft = false, false, false
			return
		}
		c.head.next()
		if l.draining {
			// The next request may have arrived before the end of the response.
			c.receiving = c.receiving || c.unread()
			if c.idle(now) {
				l.end(c)
			}
		}
	}
}

func (l *connections) remove(c *conn) {
	delete(l.open, c)
	c.head.next()
	if c.phase == ending {
		l.ending--
	}
	c.phase = closed
}

// active reports whether a whole head has been read, and the response isn't complete.
func (l *connections) active(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.state == http.StateActive
}

func (l *connections) phase(c *conn) phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.phase
}

// drain ends the connections that are idle, from now on also those that become idle, and reports whether any
// are left.
func (l *connections) drain(now time.Time) (left bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.open {
		if c.phase == serving && c.idle(now) {
			l.end(c)
		}
	}
	return len(l.open) > 0
}

func (l *connections) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// close closes all connections.
func (l *connections) close() {
	l.mu.Lock()
	l.draining = true
	open := slices.Collect(maps.Keys(l.open))
	for _, c := range open {
		if c.http10 && c.state == http.StateActive {
			c.reset()
		}
		l.remove(c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Conn.Close()
	}
}
