package proof

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
)

// allKnow runs until every node that is up holds for known, or the limit ends.
func (w *world) allKnow(limit time.Duration, known func(*node) bool) (time.Duration, bool) {
	start := w.Now()
	for w.Now().Sub(start) <= limit {
		all := true
		for _, n := range w.nodes {
			all = all && (!n.up || known(n))
		}
		if all {
			return w.Now().Sub(start), true
		}
		w.run(100 * time.Millisecond)
	}
	return limit, false
}

func (w *world) cutOff(off []*node) {
	for _, a := range off {
		for _, b := range w.nodes {
			w.cut[[2]int{a.index, b.index}], w.cut[[2]int{b.index, a.index}] = true, true
		}
	}
	for _, a := range off {
		for _, b := range off {
			delete(w.cut, [2]int{a.index, b.index})
		}
	}
}

func (w *world) inDC(dc string) (in, out []*node) {
	for _, n := range w.nodes {
		if n.dc == dc {
			in = append(in, n)
		} else {
			out = append(out, n)
		}
	}
	return in, out
}

// Bounds in virtual time, under loss and doubled messages.
const (
	tableEverywhere = 10 * time.Second
	leaveEverywhere = 5 * time.Second
)

func TestTableChangesUnderFaults(t *testing.T) {
	defer invariant.Strict()()
	g := NewWithT(t)
	first, count, _ := soak()
	var slowest time.Duration
	for seed := first; seed < first+count; seed++ {
		w := newWorld(seed, 12)
		w.loss, w.twice, w.delay = 0.05, 0.1, 50*time.Millisecond
		w.run(5 * time.Second)
		inForce := func(n *node) bool { return n.held() == w.table }

		w.table = 7
		took, ok := w.allKnow(tableEverywhere, inForce)
		g.Expect(ok).To(BeTrue(), "seed %d: a change with the platform up", seed)
		slowest = max(slowest, took)

		// The platform goes stale while one data centre holds newer news.
		w.staleTable, w.table = 7, 9
		near, _ := w.inDC("dc-0")
		near[0].offer(9)
		w.platformStale = true
		took, ok = w.allKnow(tableEverywhere, inForce)
		g.Expect(ok).To(BeTrue(), "seed %d: through peers, with a stale platform", seed)
		slowest = max(slowest, took)

		// A process restarts and reads the stale platform first.
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		n.kill()
		n.boot()
		n.offer(w.staleTable)
		took, ok = w.allKnow(tableEverywhere, inForce)
		g.Expect(ok).To(BeTrue(), "seed %d: a restart that reads a stale platform", seed)
		slowest = max(slowest, took)

		// A data centre is cut off; after the cut it follows.
		w.platformStale = false
		off, _ := w.inDC("dc-2")
		w.cutOff(off)
		w.platformDown = true
		near[0].offer(12)
		w.run(30 * time.Second)
		for _, n := range off {
			g.Expect(n.held()).To(BeEquivalentTo(9), "seed %d: cut off", seed)
		}
		clear(w.cut)
		w.table = 12
		took, ok = w.allKnow(tableEverywhere, inForce)
		g.Expect(ok).To(BeTrue(), "seed %d: after the cut, with the platform down", seed)
		slowest = max(slowest, took)
		g.Expect(w.faults).To(BeEmpty(), "seed %d", seed)
	}
	t.Logf("seeds %d to %d: slowest %v", first, first+count-1, slowest)
}

func TestLeavingEndpointUnderFaults(t *testing.T) {
	g := NewWithT(t)
	first, count, _ := soak()
	var slowest time.Duration
	for seed := first; seed < first+count; seed++ {
		w := newWorld(seed, 12)
		w.loss, w.twice, w.delay = 0.05, 0.1, 50*time.Millisecond
		for _, n := range w.nodes {
			n.drains.Observe("engine", 4)
		}
		w.run(5 * time.Second)
		// One entry is refused by the endpoint; the list still shows it live.
		w.nodes[w.rng.IntN(len(w.nodes))].drains.Add(drain.Leave{Endpoint: "engine", Incarnation: 4})
		leaving := func(n *node) bool { return n.drains.Leaving("engine", 4) }
		took, ok := w.allKnow(leaveEverywhere, leaving)
		g.Expect(ok).To(BeTrue(), "seed %d", seed)
		slowest = max(slowest, took)
		for _, n := range w.nodes {
			n.drains.Observe("engine", 3)
			n.drains.Observe("engine", 4)
			g.Expect(leaving(n)).To(BeTrue(), "seed %d: a stale list brought it back", seed)
			g.Expect(n.drains.Leaving("engine", 3)).To(BeTrue(), "seed %d: an older incarnation is back", seed)
			n.drains.Observe("engine", 5)
			g.Expect(n.drains.Leaving("engine", 5)).To(BeFalse(), "seed %d: a new incarnation stays out", seed)
		}
		w.run(5 * time.Second)
		for _, n := range w.nodes {
			g.Expect(n.drains.Leaving("engine", 5)).To(BeFalse(), "seed %d: old news shut the new incarnation out", seed)
		}
	}
	t.Logf("seeds %d to %d: slowest %v", first, first+count-1, slowest)
}

// TestFirstAttemptInCutOffDataCentre: nothing that needs the other side stands
// in the way of a first attempt.
func TestFirstAttemptInCutOffDataCentre(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(3, 9)
	w.run(5 * time.Second)
	off, _ := w.inDC("dc-1")
	w.cutOff(off)
	w.platformDown = true
	w.run(30 * time.Second)
	for i, n := range off {
		ticket, ok := n.ledger.Mint(w.Now(), "ws")
		g.Expect(ok).To(BeTrue())
		for _, at := range off {
			got := make([]reply, 0, 1)
			r := &request{id: 100*i + at.index, ticket: ticket, outcomes: nil}
			r.id = i
			at.serve(r, func(rep reply) { got = append(got, rep) })
			w.run(10 * time.Second)
			g.Expect(got).To(HaveLen(1))
			if got[0].err != nil {
				g.Expect(got[0].err.Code).NotTo(BeElementOf("owner_unreachable", "owner_replaced"))
			}
		}
	}
}
