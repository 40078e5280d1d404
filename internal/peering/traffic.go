package peering

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// Traffic counts the messages of exchanges with peers and their encoded bytes, without HTTP
// overhead.
type Traffic struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

// Sent counts an outgoing message.
func (t *Traffic) Sent(m proto.Message) { t.count(m) }

// Received counts an incoming message.
func (t *Traffic) Received(m proto.Message) { t.count(m) }

func (t *Traffic) count(m proto.Message) {
	t.messages.Add(1)
	t.bytes.Add(uint64(proto.Size(m)))
}

// Totals returns the messages and bytes since the start, in both directions.
func (t *Traffic) Totals() (messages, bytes uint64) {
	return t.messages.Load(), t.bytes.Load()
}
