// Package freeport finds addresses on loopback for the processes that tests
// start.
//
// Ports are taken below the range from which the kernel takes those of outgoing
// connections (32768 and up on Linux): one of these could otherwise get a port
// between its choice and its use.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

const (
	first = 23_000
	last  = 32_000
)

var (
	mu   sync.Mutex
	next = first + os.Getpid()%80*100
)

// Address returns an IP and a port that nobody listens at.
func Address(tb testing.TB) string { return fmt.Sprintf("127.0.0.1:%d", Port(tb)) }

// Port returns a port that nobody listens at.
func Port(tb testing.TB) int {
	mu.Lock()
	defer mu.Unlock()
	for range last - first {
		next++
		if next > last {
			next = first
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", next))
		if err == nil {
			defer l.Close()
			return next
		}
	}
	tb.Fatal("no port is free")
	return 0
}
