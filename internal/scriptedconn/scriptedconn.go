// Package scriptedconn is a connection for tests of clients that read a response while they write the request.
package scriptedconn

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Conn is a connection whose other side answers once the request has begun to arrive, and then ends its data cleanly. All
// but the first write wait until End is called or the connection is closed.
type Conn struct {
	// Answered is closed when a read has got the end of the data, Blocked when a write waits, and Closed by Close.
	Answered, Blocked, Closed chan struct{}

	answer                                io.Reader
	requested, ended                      chan struct{}
	endErr                                error
	onRequest, onAnswer, onBlock, onClose sync.Once
}

// New returns a connection with an answer.
func New(answer string) *Conn {
	return &Conn{
		Answered: make(chan struct{}), Blocked: make(chan struct{}), Closed: make(chan struct{}),
		answer: strings.NewReader(answer), requested: make(chan struct{}), ended: make(chan struct{}),
	}
}

// Request lets the answer arrive, as the first write does. It reports whether it was the first call.
func (c *Conn) Request() (first bool) {
	c.onRequest.Do(func() {
		first = true
		close(c.requested)
	})
	return first
}

// End lets the writes that follow the first one return err.
func (c *Conn) End(err error) {
	c.endErr = err
	close(c.ended)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	select {
	case <-c.requested:
	case <-c.Closed:
		return 0, net.ErrClosed
	}
	n, err := c.answer.Read(p)
	if err == io.EOF {
		c.onAnswer.Do(func() { close(c.Answered) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.Request() {
		return len(p), nil
	}
	c.onBlock.Do(func() { close(c.Blocked) })
	select {
	case <-c.ended:
		return len(p), c.endErr
	case <-c.Closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.onClose.Do(func() { close(c.Closed) })
	return nil
}

// LocalAddr implements net.Conn.
func (*Conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (*Conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn.
func (*Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (*Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (*Conn) SetWriteDeadline(time.Time) error { return nil }
