package gateway

import (
	"cmp"

	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/metrics"
	"github.com/bridgehoist/bridgehoist/platform"
)

// Parts of the VM's memory, as divisors. The rest is for the process itself and for garbage.
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
	// defaultMemory is assumed in bytes where the platform names no limit.
	defaultMemory = 256 << 20
	// minHeadBytes and maxHeadBytes limit the size of one head.
	minHeadBytes = 8 << 10
	maxHeadBytes = 64 << 10
	// connectionBytes is what a connection of a caller takes without a request: the server's buffers and
	// the stack of its goroutine.
	connectionBytes = 24 << 10
	// reservedDescriptors is the part of the descriptors that isn't for callers' connections, as a divisor.
	reservedDescriptors = 3
)

// memoryPlan bounds what others can make the process hold.
type memoryPlan struct {
	bodies, answers, peers, heads *membudget.Budget
	// headBytes bounds the head of one answer.
	headBytes int
	// connections bounds those of callers.
	connections int
}

// register adds gauges of the reserved memory.
func (p memoryPlan) register(m *metrics.Metrics) {
	for name, budget := range map[string]*membudget.Budget{"bodies": p.bodies, "answers": p.answers, "peers": p.peers, "heads": p.heads} {
		m.Gauge("memory_reserved_"+name+"_bytes", "Memory reserved for "+name+".", func() float64 { return float64(budget.Used()) })
	}
}

// planMemory splits the memory of a VM among maxOpen requests at once.
func planMemory(limits platform.VMLimits, maxOpen int) memoryPlan {
	memory := cmp.Or(limits.MemoryBytes, defaultMemory)
	connections := int(memory / connectionPart / connectionBytes)
	if limits.Descriptors > 0 {
		connections = min(connections, limits.Descriptors-limits.Descriptors/reservedDescriptors)
	}
	return memoryPlan{
		bodies:      membudget.New(memory / bodyPart),
		answers:     membudget.New(memory / answerPart),
		peers:       membudget.New(memory / peerPart),
		heads:       membudget.New(memory / requestHeadPart),
		headBytes:   min(max(int(memory/headPart)/maxOpen, minHeadBytes), maxHeadBytes),
		connections: max(connections, 1),
	}
}
