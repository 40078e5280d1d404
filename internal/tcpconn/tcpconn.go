// Package tcpconn opens TCP connections that end soon after the other side stops acknowledging.
//
// A peer that loses power, is partitioned or drops a connection says nothing, and by default a
// connection to it stays open for minutes. Here probes of the kernel find it while the connection is
// idle, and TCP_USER_TIMEOUT bounds the time without an acknowledgement, of probes as of data. (With
// TCP_USER_TIMEOUT set, Linux ignores the number of probes.)
package tcpconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UnackedTimeout is the time without an acknowledgement after which a connection ends. A peer may
	// be silent for a second or two and go on.
	UnackedTimeout = 3 * time.Second
	// probeIdle and probeInterval are when the first probe of an idle connection is sent, and when the
	// next ones.
	probeIdle     = time.Second
	probeInterval = time.Second
	// probeCount ends a connection where TCP_USER_TIMEOUT doesn't.
	probeCount = int(UnackedTimeout / probeInterval)
)

// DialContext has the type of http.Transport.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dialer with a timeout for opening a connection.
func Dialer(timeout time.Duration) DialContext {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUnackedTimeout,
	}
	return d.DialContext
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Peek looks for a byte that has arrived on a connection without waiting. n is 0 if the other side has closed it, and
// the error is EAGAIN if nothing has arrived.
func Peek(c syscall.Conn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, failed = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, failed
}
