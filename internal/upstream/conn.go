package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/responsehead"
)

// dialTimeout is for a new connection: some round trips between data centres. A lost opening
// packet is only repeated after a second, by which time another endpoint has answered.
const dialTimeout = 120 * time.Millisecond

const readBufferBytes = 8 << 10

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// lastUsed is when the last answer ended, or the connection came up.
	lastUsed time.Time
	// keep is how long the endpoint keeps it without use; zero if it didn't say.
	keep time.Duration
	// carried holds the hashes of the IDs of the requests that it has carried, and anonymous is set once it
	// has carried one without an ID; see mayCarry.
	carried   map[uint64]bool
	anonymous bool
	// headLimited is set while the head of an answer is read, of which headLeft bytes may still come. headErr
	// is the error that the connection ended with meanwhile.
	headLimited bool
	headLeft    int
	headErr     error
	// head parses the head as it is read, and headInvalid says why it isn't valid. Nothing is read after an invalid byte.
	head        responsehead.Parser
	headInvalid error
}

// Dialer opens a TCP connection.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// dialEndpoint opens a connection to an endpoint.
func dialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	return tcpconn.Dialer(dialTimeout)(ctx, "tcp", address)
}

func (dial Dialer) open(ctx context.Context, address string) (*conn, error) {
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, lastUsed: clock.Now()}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// maxCarried bounds the requests that one connection carries.
const maxCarried = 256

// mayCarry reports whether an answer to a request on this connection can be told from a surplus answer to
// an earlier request. Answers are known by the IDs of their requests, and all tries of one request have the
// same ID, so that a connection carries one try of each, and one request without an ID.
func (c *conn) mayCarry(requestID string) bool {
	if requestID == "" {
		return !c.anonymous
	}
	return !c.carried[xxhash.Sum64String(requestID)]
}

// carry records a request.
func (c *conn) carry(requestID string) {
	if requestID == "" {
		c.anonymous = true
		return
	}
	if c.carried == nil {
		c.carried = map[uint64]bool{}
	}
	c.carried[xxhash.Sum64String(requestID)] = true
}

// exhausted reports whether it may carry no more requests.
func (c *conn) exhausted() bool { return len(c.carried) >= maxCarried }

// errHeadTooLarge means that the head of an answer exceeds its limit.
var errHeadTooLarge = errors.New("the head of the answer is too large")

// beginHead limits what is read until endHead: a head of so many bytes, and the part of the body that is read ahead.
func (c *conn) beginHead(bytes int) {
	c.headLimited, c.headLeft, c.headErr = true, bytes+readBufferBytes, nil
	c.head, c.headInvalid = responsehead.Parser{}, nil
	// All that is buffered can be peeked.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.checkHead(buffered)
}

func (c *conn) endHead() { c.headLimited = false }

// checkHead parses data up to the end of the head.
func (c *conn) checkHead(data []byte) {
	if c.headInvalid != nil {
		return
	}
	if _, err := c.head.Feed(data); err != nil {
		c.headInvalid = errors.Wrap(errNotAnAnswer, err.Error())
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if !c.headLimited {
		return c.Conn.Read(p)
	}
	if c.headInvalid != nil {
		return 0, c.headInvalid
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	c.checkHead(p[:n])
	if err != nil {
		c.headErr = err
	}
	return n, err
}

// usable reports whether a kept connection may carry another request: the
// endpoint hasn't closed it, and no stray bytes lie in it.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.lastUsed)
	if idle > maxIdle || c.keep > 0 && idle > c.keep-keepMargin {
		return false
	}
	return c.reader.Buffered() == 0 && c.silent()
}

// keepMargin is how long before an endpoint closes an idle connection it is no
// longer used, for the time that a request is under way.
const keepMargin = 500 * time.Millisecond

// silent reports whether nothing has arrived, neither bytes nor an end.
func (c *conn) silent() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	_, err := tcpconn.Peek(sc)
	return errors.Is(err, unix.EAGAIN)
}
