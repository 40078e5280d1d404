package httpclient

import (
	"bytes"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/pkg/responsehead"
)

// maxHeadLines bounds the lines of the heads of a response. In memory a field takes far more than its bytes.
const maxHeadLines = 256

var (
	errHeadTooLarge = errors.New("the head of the response is too large")
	// errNoHead says that no whole head has arrived since the request was sent.
	errNoHead = errors.New("a response to no request")
)

// conn is a connection of a transport. It parses the heads of each response as they are read, since http.Transport doesn't
// expose their bytes, and records whether a write failed.
type conn struct {
	net.Conn
	maxHeadBytes int
	closed       chan struct{}
	onClose      sync.Once

	// writing is held during each write. It guards writeErr, the error of the first write that failed.
	writing  sync.Mutex
	writeErr error

	mu sync.Mutex
	// reading is set until the final head of the response is known. headBytes and headLines are the size of the heads
	// read until then.
	reading              bool
	parser               responsehead.Parser
	headBytes, headLines int
	// head is the final one, and headErr says why there is none.
	head    responsehead.Head
	headErr error
	// written is closed when the request has been written, or couldn't be.
	written chan struct{}
}

func newConn(c net.Conn, maxHeadBytes int) *conn {
	written := make(chan struct{})
	close(written)
	return &conn{Conn: c, maxHeadBytes: maxHeadBytes, closed: make(chan struct{}), headErr: errNoHead, written: written}
}

// begin is called before a request is written.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.parser, c.headBytes, c.headLines = true, responsehead.Parser{}, 0, 0
	c.head, c.headErr = responsehead.Head{}, errNoHead
	c.written = make(chan struct{})
}

// requestWritten is called when a request has been written, or couldn't be.
func (c *conn) requestWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.written:
	default:
		close(c.written)
	}
}

// checkHead returns an error unless the response has a valid head.
func (c *conn) checkHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}

// Read implements net.Conn. It returns io.EOF at the end of a body without framing only if the body is whole.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.checkHead(); errors.Is(err, ErrInvalidHead) {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err := c.readHeads(p[:n]); err != nil {
		// The error tells why.
		_ = c.Close()
		return 0, err
	}
	if err == io.EOF && c.endsBody() {
		if err := c.uploadError(); err != nil {
			return n, errors.Wrap(err, "the connection broke during the upload")
		}
	}
	return n, err
}

// readHeads parses data until the final head of a response has ended, or one isn't valid.
func (c *conn) readHeads(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.reading && len(data) > 0 {
		n, err := c.parser.Feed(data)
		c.headBytes += n
		c.headLines += bytes.Count(data[:n], []byte("\n"))
		data = data[n:]
		switch {
		case err != nil:
			c.reading, c.headErr = false, errors.Wrap(ErrInvalidHead, err.Error())
		case c.headBytes > c.maxHeadBytes || c.headLines > maxHeadLines:
			c.reading, c.headErr = false, errHeadTooLarge
			return errHeadTooLarge
		case !c.parser.Done():
		case c.parser.Head().Informational():
			c.parser = responsehead.Parser{}
		default:
			c.reading, c.head, c.headErr = false, c.parser.Head(), nil
		}
	}
	return nil
}

// endsBody reports whether the end of the connection ends the body of a response.
func (c *conn) endsBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr == nil && !c.head.Framed
}

// uploadError waits until the request has been written and returns the error of that. Closing the connection ends the wait.
func (c *conn) uploadError() error {
	c.mu.Lock()
	written := c.written
	c.mu.Unlock()
	select {
	case <-written:
	case <-c.closed:
		return net.ErrClosed
	}
	// The end of the request may still be in a buffer when it is reported as written.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.onClose.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
