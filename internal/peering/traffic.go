package peering

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// Traffic counts the exchange between entries: messages and their encoded
// bytes, without the overhead of HTTP.
type Traffic struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

// Sent counts a message that goes out.
func (t *Traffic) Sent(m proto.Message) { t.count(m) }

// Received counts a message that came in.
func (t *Traffic) Received(m proto.Message) { t.count(m) }

func (t *Traffic) count(m proto.Message) {
	t.messages.Add(1)
	t.bytes.Add(uint64(proto.Size(m)))
}

// Totals returns the messages and bytes since the start, both ways.
func (t *Traffic) Totals() (messages, bytes uint64) {
	return t.messages.Load(), t.bytes.Load()
}
