package membudget

import (
	"math"

	"golang.org/x/sys/unix"
)

// Parts of the memory, as divisors. The rest is for the process itself and for garbage.
const (
	// bodyPart is for the bodies of callers' requests.
	bodyPart = 5
	// answerPart is for endpoints' answers, reports and incomplete events.
	answerPart = 8
	// peerPart is for messages of peers.
	peerPart = 8
	// headPart is for the heads of the answers to all requests that may be open at once.
	headPart = 8
	// requestHeadPart is for the heads of callers' and peers' requests.
	requestHeadPart = 16
	// connectionPart is for the buffers of callers' connections.
	connectionPart = 4
)

const (
	// minHeadBytes and maxHeadBytes limit the size of one head.
	minHeadBytes = 8 << 10
	maxHeadBytes = 64 << 10
	// connectionBytes is what a connection of a caller takes without a request: the server's buffers and
	// the stack of its goroutine.
	connectionBytes = 24 << 10
	// descriptorPart is the part of the descriptors for callers' connections, as a divisor. Each may need another one
	// for a connection to an endpoint.
	descriptorPart = 2
	// peerConnectionPart is the connections of peers to those of callers, as a divisor.
	peerConnectionPart = 4
)

// Plan bounds what others can make a process hold.
type Plan struct {
	// Bodies, Heads, Answers and Peers are for callers' bodies, the heads of requests, endpoints' answers and
	// messages of peers.
	Bodies, Heads, Answers, Peers *Budget
	// HeadBytes bounds the head of one answer.
	HeadBytes int
	// Connections bounds those of callers, and PeerConnections those of peers.
	Connections, PeerConnections int
}

// NewPlan splits the memory of a process in bytes among maxOpen requests at once, and its descriptors, of which there are
// as many as the system allows, and no more than descriptors unless that is zero.
func NewPlan(memory int64, descriptors, maxOpen int) Plan {
	connections := int(memory / connectionPart / connectionBytes)
	for _, limit := range []int{descriptors, allowedDescriptors()} {
		if limit > 0 {
			connections = min(connections, limit/descriptorPart)
		}
	}
	return Plan{
		Bodies:      New(memory / bodyPart),
		Heads:       New(memory / requestHeadPart),
		Answers:     New(memory / answerPart),
		Peers:       New(memory / peerPart),
		HeadBytes:   min(max(int(memory/headPart)/maxOpen, minHeadBytes), maxHeadBytes),
		Connections: max(connections, 1),

		PeerConnections: max(connections/peerConnectionPart, 1),
	}
}

// allowedDescriptors returns how many descriptors the system allows the process, or zero if it doesn't tell.
func allowedDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
