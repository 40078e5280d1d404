package engineclient

import (
	"bytes"
	"cmp"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/upstream"
)

// conn records what is read until the head of an answer is known. net/http drops the field that tells how the body of
// an answer is coded; of HTTP/1.0 it ignores the field too, and takes the coded bytes for the body.
type conn struct {
	net.Conn

	mu        sync.Mutex
	recording bool
	read      []byte
	// headBytes bounds the head.
	headBytes int
}

// maxHeadLines bounds the lines of a head. In memory a field takes far more than its bytes.
const maxHeadLines = 256

var errHeadTooLarge = errors.New("the head of the answer is too large")

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.recording {
		return n, err
	}
	c.read = append(c.read, p[:n]...)
	end, _ := finalHead(c.read)
	if head := c.read[:cmp.Or(end, len(c.read))]; len(head) > c.headBytes || bytes.Count(head, newline) > maxHeadLines {
		c.read = nil
		_ = c.Conn.Close()
		return 0, errHeadTooLarge
	}
	return n, err
}

var newline = []byte("\n")

// finalHead returns the end of the head of an answer that isn't informational, zero if it isn't whole, and whether the
// head says that the body is coded.
func finalHead(read []byte) (end int, coded bool) {
	for {
		size, coded := upstream.CodedHead(read[end:])
		if size == 0 {
			return 0, false
		}
		informational := bytes.HasPrefix(read[end+len("HTTP/1.x"):], []byte(" 1"))
		if end += size; !informational {
			return end, coded
		}
	}
}

func (c *conn) record() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording, c.read = true, nil
}

// coded ends the recording, and reports whether the body of the answer is coded.
func (c *conn) coded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, coded := finalHead(c.read)
	c.recording, c.read = false, nil
	return coded || end == 0
}
