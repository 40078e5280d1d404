package peering

import (
	"bytes"
	"runtime"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
)

// ordinaryExchange has the records of so many nodes.
func ordinaryExchange(nodes int) *peerv1.ExchangeRequest {
	m := &peerv1.ExchangeRequest{}
	for range nodes {
		m.Records = append(m.Records, &peerv1.NodeRecord{
			Vm: "vm", PeerAddress: "10.0.0.1:7200", UsageInFlight: []uint32{1, 2}, Loads: &peerv1.Loads{Endpoints: make([]uint32, 20), Fills: make([]byte, 20)},
		})
	}
	return m
}

// TestMessagesThatExpandAreRefused guards against messages that decode to many times their size.
func TestMessagesThatExpandAreRefused(t *testing.T) {
	const empty = 1 << 20
	encode := func(m proto.Message) []byte {
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for name, c := range map[string]struct {
		data    []byte
		refused bool
	}{
		"a large fleet":   {encode(ordinaryExchange(500)), false},
		"a document":      {encode(&peerv1.ExchangeRequest{Documents: []*peerv1.Document{{Content: make([]byte, 6<<20)}}}), false},
		"records":         {bytes.Repeat([]byte{5<<3 | 2, 0}, empty), true},
		"leaves":          {encode(&peerv1.ExchangeRequest{Records: []*peerv1.NodeRecord{{Leaves: make([]*peerv1.Leave, empty)}}}), true},
		"numbers":         {encode(&peerv1.ExchangeRequest{Records: []*peerv1.NodeRecord{{UsageInFlight: make([]uint32, empty)}}}), true},
		"single numbers":  {bytes.Repeat([]byte{9<<3 | 5, 0, 0, 0, 0}, empty), true},
		"texts":           {encode(&peerv1.ExchangeRequest{Records: []*peerv1.NodeRecord{{Inherited: make([][]byte, empty)}}}), true},
		"broken off":      {append(bytes.Repeat([]byte{5<<3 | 2, 0}, empty), 5<<3|2, 9), true},
		"of another type": {bytes.Repeat([]byte{5 << 3, 0}, 16), false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			memory := membudget.New(peerBudget)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			m := &peerv1.ExchangeRequest{}
			err := codec{memory}.Unmarshal(c.data, m)
			runtime.ReadMemStats(&after)
			if c.refused {
				g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeResourceExhausted))
				g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", peerBudget))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			runtime.KeepAlive(m)
			g.Eventually(func() int64 {
				runtime.GC()
				return memory.Used()
			}).Should(BeZero())
		})
	}
}

// TestPartsOfMessagesAreNotUnderestimated guards against parts that are missing in the estimate.
func TestPartsOfMessagesAreNotUnderestimated(t *testing.T) {
	g := NewWithT(t)
	data, err := proto.Marshal(ordinaryExchange(10_000))
	g.Expect(err).NotTo(HaveOccurred())
	m := &peerv1.ExchangeRequest{}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	g.Expect(proto.Unmarshal(data, m)).To(Succeed())
	runtime.GC()
	runtime.ReadMemStats(&after)
	g.Expect(partBytes(data, m.ProtoReflect().Descriptor()) + int64(len(data))).To(BeNumerically(">=", after.HeapAlloc-before.HeapAlloc))
	runtime.KeepAlive(m)
}
