package engineclient

import (
	"net"
	"sync"

	"github.com/bridgehoist/bridgehoist/internal/upstream"
)

// conn records what is read until the head of an answer is known. net/http drops the field that tells how the body of
// an answer is coded; of HTTP/1.0 it ignores the field too, and takes the coded bytes for the body.
type conn struct {
	net.Conn

	mu        sync.Mutex
	recording bool
	read      []byte
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording {
		c.read = append(c.read, p[:n]...)
	}
	return n, err
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
	head := c.read
	c.recording, c.read = false, nil
	for {
		end, coded := upstream.CodedHead(head)
		if informational := len(head) > len("HTTP/1.x ") && head[len("HTTP/1.x ")] == '1'; !informational || end == 0 {
			return coded || end == 0
		}
		head = head[end:]
	}
}
