package proof

import (
	"fmt"
	"math/rand/v2"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/virtualtime"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

// world is virtual time, a faulty network, and the entries on it.
type world struct {
	*virtualtime.Loop
	rng   *rand.Rand
	nodes []*node
	// cut holds the one-way links that are down.
	cut   map[[2]int]bool
	loss  float64
	twice float64
	delay time.Duration
	// platform is what is published; stale is what a stale replica answers.
	table, staleTable uint64
	platformDown      bool
	platformStale     bool
	faults            []string
	counts            map[string]int
}

func newWorld(seed uint64, size int) *world {
	w := &world{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		Loop:   virtualtime.New(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		cut:    map[[2]int]bool{},
		delay:  5 * time.Millisecond,
		counts: map[string]int{},
		table:  1,
	}
	for i := range size {
		n := &node{w: w, index: i, vm: fmt.Sprintf("entry-%d", i), dc: fmt.Sprintf("dc-%d", i%3)}
		w.nodes = append(w.nodes, n)
		n.boot()
	}
	return w
}

// run advances virtual time by d.
func (w *world) run(d time.Duration) { w.RunUntil(w.Now().Add(d)) }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *world) faultf(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// send delivers a message to the process that is then at the node, late, twice
// or never. A frozen process handles it when it wakes.
func (w *world) send(from, to int, handle func(n *node)) {
	if w.cut[[2]int{from, to}] || w.rng.Float64() < w.loss {
		w.counts["lost"]++
		return
	}
	copies := 1
	if w.rng.Float64() < w.twice {
		copies = 2
		w.counts["doubled"]++
	}
	for range copies {
		late := time.Duration(w.rng.ExpFloat64() * float64(w.delay))
		w.After(late, func() { w.nodes[to].handle(handle) })
	}
}

// node is one entry VM; boot replaces the process on it.
type node struct {
	w           *world
	index       int
	vm, dc      string
	process     int
	up          bool
	stopping    bool
	frozenUntil time.Time
	epoch       uint64

	incarnation claims.Incarnation
	view        *membership.View
	table       *register.Register[uint64]
	drains      *drain.Set
	ledger      *claims.Ledger
	followers   map[claims.Key][]func(reply)
}

func (n *node) address() string { return fmt.Sprintf("127.0.0.1:%d", 10_000+n.index) }

func (w *world) nodeAt(address string) int {
	for _, n := range w.nodes {
		if n.address() == address {
			return n.index
		}
	}
	return -1
}

func checkTable(b []byte) (uint64, error) {
	var v uint64
	_, err := fmt.Sscanf(string(b), "table %d", &v)
	return v, err
}

func (n *node) boot() {
	n.process++
	n.up = true
	n.stopping = false
	n.frozenUntil = time.Time{}
	// The VM's wall clock may have been set back.
	n.epoch = uint64(n.w.Now().UnixMilli()) - uint64(n.w.rng.IntN(20_000))
	for i := range n.incarnation {
		n.incarnation[i] = byte(n.w.rng.Uint32())
	}
	n.view = membership.New(membership.Config{
		VM: n.vm, DataCenter: n.dc, PeerAddress: n.address(),
		Epoch: n.epoch, Incarnation: append([]byte(nil), n.incarnation[:]...), Random: n.w.rng.Float64,
	})
	var seeds []membership.Contact
	for _, other := range n.w.nodes {
		seeds = append(seeds, membership.Contact{VM: other.vm, DataCenter: other.dc, Address: other.address()})
	}
	n.view.SetSeeds(seeds)
	n.table = register.New(checkTable)
	n.drains = drain.New()
	n.ledger = claims.New(n.w.Now(), claims.Config{
		VM: n.vm, PeerAddress: n.address(), Incarnation: n.incarnation,
		Secret: append([]byte("secret"), n.incarnation[:]...), Validity: 20 * time.Second, FinishedRetention: 5 * time.Second,
	})
	n.followers = map[claims.Key][]func(reply){}
	n.every(time.Second, n.gossip)
	n.every(time.Second, n.readPlatform)
	n.every(2*time.Second, func() { n.ledger.Expire(n.w.Now()) })
}

// every calls f for the life of this process; a frozen process calls it late.
func (n *node) every(d time.Duration, f func()) {
	process := n.process
	var tick func()
	tick = func() {
		if n.process != process || !n.up {
			return
		}
		if n.w.Now().Before(n.frozenUntil) {
			n.w.After(n.frozenUntil.Sub(n.w.Now()), tick)
			return
		}
		f()
		n.w.After(d, tick)
	}
	n.w.After(n.w.between(0, d), tick)
}

// handle runs a message in this process, or drops it if it is down.
func (n *node) handle(do func(*node)) {
	if !n.up {
		return
	}
	if n.w.Now().Before(n.frozenUntil) {
		process := n.process
		n.w.After(n.frozenUntil.Sub(n.w.Now()), func() {
			if n.process == process {
				n.handle(do)
			}
		})
		return
	}
	do(n)
}

// later runs in this process after a while, unless it has died by then.
func (n *node) later(d time.Duration, do func()) {
	process := n.process
	n.w.After(d, func() {
		if n.process == process {
			n.handle(func(*node) { do() })
		}
	})
}

func (n *node) kill() {
	n.up = false
	n.process++
	n.w.counts["killed"]++
}

func (n *node) gossip() {
	n.view.Heartbeat(func(r *peerv1.NodeRecord) {
		r.Inherited = n.ledger.Inherited()
		r.Leaves = r.Leaves[:0]
		for _, l := range n.drains.All() {
			r.Leaves = append(r.Leaves, &peerv1.Leave{Endpoint: l.Endpoint, Incarnation: l.Incarnation})
		}
	})
	for _, c := range n.view.SelectPeers(n.w.Now()) {
		n.exchange(n.w.nodeAt(c.Address))
	}
}

// exchange is what the daemons do over connect: digests, answer, push.
func (n *node) exchange(to int) {
	scope := n.view.ScopeWith(membership.Contact{DataCenter: n.w.nodes[to].dc})
	digests, held := n.view.Digests(n.w.Now(), scope), n.held()
	n.w.send(n.index, to, func(p *node) {
		p.view.MergeHeartbeats(p.w.Now(), digests)
		a := p.view.Respond(p.w.Now(), digests, scope)
		theirs := p.held()
		p.w.send(p.index, n.index, func(n *node) {
			n.merge(a.Records)
			n.view.MergeHeartbeats(n.w.Now(), a.Digests)
			n.offer(theirs)
			push := n.view.Records(a.Wanted)
			n.w.send(n.index, p.index, func(p *node) {
				p.merge(push)
				p.offer(held)
			})
		})
	})
}

func (n *node) merge(records []*peerv1.NodeRecord) {
	news := false
	for _, r := range n.view.Merge(n.w.Now(), records) {
		for _, l := range r.GetLeaves() {
			added := n.drains.Add(drain.Leave{Endpoint: l.GetEndpoint(), Incarnation: l.GetIncarnation()})
			news = news || added
		}
	}
	if news {
		n.kick()
	}
}

// kick passes news on soon, as the entries do.
func (n *node) kick() { n.later(50*time.Millisecond, n.gossip) }

func (n *node) held() uint64 {
	if h := n.table.Current(); h != nil {
		return uint64(h.Revision)
	}
	return 0
}

func (n *node) offer(version uint64) {
	if version == 0 {
		return
	}
	before := n.held()
	_, _ = n.table.Offer(n.w.Now(), revision.ID(version), fmt.Appendf(nil, "table %d", version), register.FromPeer)
	if n.held() > before {
		n.kick()
	}
	if n.held() < before {
		n.w.faultf("%s went from revision %d back to %d", n.vm, before, n.held())
	}
}

func (n *node) readPlatform() {
	w := n.w
	if w.platformDown || !n.view.Assigned(w.Now(), "watch", 2) {
		return
	}
	if w.platformStale {
		n.offer(w.staleTable)
		return
	}
	n.offer(w.table)
}
