// Package freeport finds addresses on loopback for the processes that tests
// start.
//
// Ports are taken below the range from which the kernel takes those of outgoing
// connections (32768 and up on Linux): one of these could otherwise get a port
// between its choice and its use. So could the processes of other packages' tests, which run
// at the same time: a port is reserved by a lock on a file until the process ends.
package freeport

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

const (
	first = 23_000
	last  = 32_000
)

var (
	mu   sync.Mutex
	next = first + os.Getpid()%80*100
	// held keeps the files of reserved ports open.
	held []*os.File
)

// Address returns an IP and a port that nobody listens at.
func Address(tb testing.TB) string { return fmt.Sprintf("127.0.0.1:%d", Port(tb)) }

// Port returns a port that nobody listens at.
func Port(tb testing.TB) int {
	l := Listen(tb)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// Listen listens at a port that stays reserved when the listener is closed. It is for those
// who listen at once: a process that is started at that moment holds a copy of a socket which
// was just closed for some milliseconds, and the port can't be had meanwhile.
func Listen(tb testing.TB) net.Listener {
	mu.Lock()
	defer mu.Unlock()
	for range last - first {
		next++
		if next > last {
			next = first
		}
		release, ok := reserve(next)
		if !ok {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", next))
		if err == nil {
			return l
		}
		release()
	}
	tb.Fatal("no port is free")
	return nil
}

// Serve calls handle for each connection to the address that it returns, and closes the connection afterwards.
func Serve(tb testing.TB, handle func(c *net.TCPConn)) (address string) {
	l := Listen(tb)
	tb.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// reserve keeps a port for this process. The kernel gives it up when the process ends.
func reserve(port int) (release func(), ok bool) {
	name := filepath.Join(os.TempDir(), fmt.Sprintf("bridgehoist-test-port-%d", port))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, false
	}
	if unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
		file.Close()
		return nil, false
	}
	held = append(held, file)
	return func() { file.Close() }, true
}
