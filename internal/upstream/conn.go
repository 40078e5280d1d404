package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections.
const (
	// dialTimeout is for a new connection: some round trips between data centres. A
	// lost opening packet is only repeated after a second, by which time another
	// endpoint has answered.
	dialTimeout = 120 * time.Millisecond
	// unackedTimeout ends a connection whose peer no longer acknowledges: one that
	// lost power or is cut off says nothing.
	unackedTimeout = 3 * time.Second
	// probeIdle and probeEvery find dead peers while nothing is sent.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 3
)

const readBufferBytes = 8 << 10

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// lastUsed is when the last answer ended.
	lastUsed time.Time
	// keep is how long the endpoint keeps it without use; zero if it didn't say.
	keep time.Duration
}

// Dialer opens a TCP connection.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a connection that ends soon when its peer no longer acknowledges.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         setUnackedTimeout,
	}
	return d.DialContext(ctx, "tcp", address)
}

func (dial Dialer) open(ctx context.Context, address string) (*conn, error) {
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes)}, nil
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
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

// silent looks into the receive buffer without waiting: nothing is there on a
// connection that is open and idle.
func (c *conn) silent() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
