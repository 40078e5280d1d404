// Package capacity measures what the exchange between entries costs at a given
// size: many nodes in one process, with the real membership view and the real
// encoding, on a virtual clock. docs/CAPACITY.md is worked out from it.
package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/limits"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
)

// Interval of the exchange, the default of the entries.
const Interval = time.Second

// payloadTicks is the number of intervals after which the payload changes.
const payloadTicks = 2

// Size is one point to measure.
type Size struct {
	Nodes       int
	DataCenters int
	// Homes is the number of endpoints that a node is a home entry of.
	Homes int
	// Limits is the number of limits under pressure whose use a node tells.
	Limits int
	// Loss is the share of exchanges that fail.
	Loss float64
	Seed uint64
}

// Sizes are the points of docs/CAPACITY.md, from today's to those of letter 1.
func Sizes() []Size {
	return []Size{
		{Nodes: 3, DataCenters: 1, Homes: 5, Limits: 10},
		{Nodes: 9, DataCenters: 3, Homes: 5, Limits: 10},
		{Nodes: 30, DataCenters: 3, Homes: 10, Limits: limits.MaxPublished},
		{Nodes: 100, DataCenters: 5, Homes: 10, Limits: limits.MaxPublished},
		{Nodes: 340, DataCenters: 10, Homes: 10, Limits: limits.MaxPublished},
	}
}

// Cost is what was measured at one size, per node and virtual second.
type Cost struct {
	Size
	MessagesPerSecond float64
	// BytesPerSecond counts both ways, encoded, without HTTP.
	BytesPerSecond float64
	// CPUShare is the part of a core spent on views and encoding.
	CPUShare float64
	// HeapBytes is the memory of a view.
	HeapBytes float64
	// Everywhere is the time until all nodes had a new table.
	Everywhere time.Duration
	// EverywhereLost is the same while exchanges are lost.
	EverywhereLost time.Duration
	// AfterCut is the time from the end of a cut until all nodes had the table
	// that was published on one side during the cut.
	AfterCut time.Duration
}

type node struct {
	view  *membership.View
	dc    string
	table uint64
}

type network struct {
	size     Size
	rng      *rand.Rand
	now      time.Time
	nodes    []*node
	byName   map[string]*node
	cut      string
	loss     float64
	ticks    int
	messages int
	bytes    int
}

func newNetwork(size Size) *network {
	n := &network{
		size:   size,
		rng:    rand.New(rand.NewPCG(size.Seed, 3)),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byName: map[string]*node{},
	}
	var seeds []membership.Contact
	for i := range size.Nodes {
		seeds = append(seeds, membership.Contact{
			VM:         fmt.Sprintf("entry-vm-%03d", i),
			DataCenter: fmt.Sprintf("data-centre-%d", i%size.DataCenters),
			Address:    fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		})
	}
	for _, s := range seeds {
		v := membership.New(membership.Config{
			VM: s.VM, DataCenter: s.DataCenter, PeerAddress: s.Address,
			Epoch: 1, Incarnation: make([]byte, 16), Random: n.rng.Float64,
		})
		v.SetSeeds(seeds)
		nd := &node{view: v, dc: s.DataCenter}
		n.nodes = append(n.nodes, nd)
		n.byName[s.VM] = nd
	}
	return n
}

// beat renews a node's record; its payload changes every other time, as in the
// entries.
func (n *network) beat(i int, nd *node) {
	size := n.size
	if (n.ticks+i)%payloadTicks != 0 {
		nd.view.Heartbeat(nil)
		return
	}
	nd.view.Heartbeat(func(r *peerv1.NodeRecord) {
		r.Loads = &peerv1.Loads{}
		r.UsageKeys, r.UsageInFlight, r.UsageQueued = nil, nil, nil
		for k := range size.Homes {
			r.Loads.Endpoints = append(r.Loads.Endpoints, uint32(i*1000+k)*2654435761)
			r.Loads.Fills = append(r.Loads.Fills, byte(n.rng.IntN(17)))
			r.Loads.Running = append(r.Loads.Running, byte(n.rng.IntN(17)))
			r.Loads.Waiting = append(r.Loads.Waiting, byte(n.rng.IntN(17)))
			r.Loads.Ages = append(r.Loads.Ages, byte(n.rng.IntN(17)))
		}
		for k := range size.Limits {
			r.UsageKeys = append(r.UsageKeys, uint32(k)*2654435761)
			r.UsageInFlight = append(r.UsageInFlight, n.rng.Uint32N(60))
			r.UsageQueued = append(r.UsageQueued, n.rng.Uint32N(300))
		}
	})
}

// tick is one interval of every node.
func (n *network) tick() {
	n.now = n.now.Add(Interval)
	n.ticks++
	for i, nd := range n.nodes {
		n.beat(i, nd)
		for _, c := range nd.view.SelectPeers(n.now) {
			n.exchange(nd, n.byName[c.VM])
		}
	}
}

// exchange is what the daemons do: digests, answer, push.
func (n *network) exchange(a, b *node) {
	if n.cut != "" && (a.dc == n.cut) != (b.dc == n.cut) {
		return
	}
	if n.rng.Float64() < n.loss {
		return
	}
	scope := a.view.ScopeWith(membership.Contact{DataCenter: b.dc})
	req := &peerv1.ExchangeRequest{
		FromVm:          a.view.Self().GetVm(),
		DataCenter:      a.dc,
		All:             scope == "",
		Digests:         a.view.Digests(n.now, scope),
		DocumentDigests: []*peerv1.DocumentDigest{{Name: "table", Revision: a.table}, {Name: "fleet", Revision: 1}},
	}
	asked := &peerv1.ExchangeRequest{}
	n.pass(req, asked)
	b.view.MergeHeartbeats(n.now, asked.GetDigests())
	answer := b.view.Respond(n.now, asked.GetDigests(), scope)
	got := &peerv1.ExchangeResponse{}
	n.pass(&peerv1.ExchangeResponse{Digests: answer.Digests, Records: answer.Records, WantedNodes: answer.Wanted}, got)
	a.view.Merge(n.now, got.GetRecords())
	a.view.MergeHeartbeats(n.now, got.GetDigests())
	a.table, b.table = max(a.table, b.table), max(a.table, b.table)
	if len(got.GetWantedNodes()) == 0 {
		return
	}
	pushed := &peerv1.ExchangeRequest{}
	n.pass(&peerv1.ExchangeRequest{PushOnly: true, Records: a.view.Records(got.GetWantedNodes())}, pushed)
	b.view.Merge(n.now, pushed.GetRecords())
}

// pass encodes and decodes a message and counts it.
func (n *network) pass(m, into proto.Message) {
	data, err := proto.Marshal(m)
	if err == nil {
		err = proto.Unmarshal(data, into)
	}
	if err != nil {
		panic(err)
	}
	n.messages++
	n.bytes += len(data)
}

// untilAll ticks until every node holds a table, and returns the virtual time.
func (n *network) untilAll(table uint64) time.Duration {
	start := n.now
	const limit = 5 * time.Minute
	for n.now.Sub(start) < limit {
		all := true
		for _, nd := range n.nodes {
			all = all && nd.table >= table
		}
		if all {
			break
		}
		n.tick()
	}
	return n.now.Sub(start)
}

const (
	warmTicks     = 40
	measuredTicks = 60
	cutTicks      = 40
)

// Measure measures one size.
func Measure(size Size) Cost {
	n := newNetwork(size)
	for range warmTicks {
		n.tick()
	}
	c := Cost{Size: size}
	n.measureSteady(&c)
	n.nodes[0].table = 1
	c.Everywhere = n.untilAll(1)
	n.loss = size.Loss
	n.nodes[0].table = 2
	c.EverywhereLost = n.untilAll(2)
	n.cut = n.nodes[0].dc
	n.nodes[0].table = 3
	for range cutTicks {
		n.tick()
	}
	n.cut = ""
	c.AfterCut = n.untilAll(3)
	return c
}

func (n *network) measureSteady(c *Cost) {
	n.messages, n.bytes = 0, 0
	started := time.Now()
	for range measuredTicks {
		n.tick()
	}
	cpu := time.Since(started).Seconds()
	seconds := (measuredTicks * Interval).Seconds() * float64(n.size.Nodes)
	// Each message has a sender and a receiver; both count it.
	c.MessagesPerSecond = 2 * float64(n.messages) / seconds
	c.BytesPerSecond = 2 * float64(n.bytes) / seconds
	c.CPUShare = cpu / seconds
	c.HeapBytes = heap() / float64(n.size.Nodes)
	runtime.KeepAlive(n)
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
