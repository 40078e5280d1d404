package engineclient

import (
	"bytes"
	"cmp"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/pkg/responsehead"
)

// conn records the heads of answers as they were sent, which net/http doesn't show.
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

// errHeadMissing means that an answer wasn't read from its connection after its request was sent.
var errHeadMissing = errors.New("the answer came before its request")

// finalHead returns the end of the head of an answer that isn't informational, or of the first head that isn't valid,
// with its error; zero if it isn't whole.
func finalHead(read []byte) (end int, err error) {
	for {
		length := responsehead.Length(read[end:])
		if length == 0 {
			return 0, errHeadMissing
		}
		head, err := responsehead.Parse(read[end : end+length])
		if end += length; err != nil || !head.Informational() {
			return end, err
		}
	}
}

func (c *conn) record() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording, c.read = true, nil
}

// checkHead ends the recording, and returns an error unless the answer has a valid head.
func (c *conn) checkHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := finalHead(c.read)
	c.recording, c.read = false, nil
	return err
}
