package proof

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// request is one non-idempotent request and what became of it.
type request struct {
	id       int
	ticket   string
	runs     int
	outcomes map[outcome.Outcome]int
}

func (r *request) answer() string { return fmt.Sprintf("answer %d", r.id) }

// reply is what an attempt comes back with.
type reply struct {
	text string
	err  *outcome.Error
}

// serve is the entry's side of an attempt, as package owner has it.
func (n *node) serve(r *request, respond func(reply)) {
	t, _ := claims.ParseTicket(r.ticket)
	d := n.ledger.Begin(n.w.Now(), t, "ws", claims.DigestOf(r.answer()))
	switch d.Action {
	case claims.Forward:
		n.forward(t, r, respond)
	case claims.Run:
		n.followers[d.Key] = append(n.followers[d.Key], respond)
		n.later(n.w.between(0, 2*time.Second), func() { n.dispatch(d.Key, r) })
	case claims.Attach:
		n.followers[d.Key] = append(n.followers[d.Key], respond)
	case claims.Replay:
		n.w.counts["replayed"]++
		respond(replay(d))
	default:
		respond(reply{err: d.Err})
	}
}

func replay(d claims.Decision) reply {
	if d.Answer != nil {
		return reply{text: string(d.Answer.Body)}
	}
	return reply{err: d.Err}
}

func (n *node) forward(t claims.Ticket, r *request, respond func(reply)) {
	address, err := claims.ResolveOwner(t, peering.Directory{View: n.view, Now: n.w.Now()}, func(string) bool { return true })
	if err != nil {
		respond(reply{err: err})
		return
	}
	n.w.counts["forwarded"]++
	done := false
	once := func(rep reply) {
		if !done {
			done = true
			respond(rep)
		}
	}
	n.later(3*time.Second, func() {
		once(reply{err: outcome.MayHaveRunf(outcome.CodeOwnerUnreachable, "no sign")})
	})
	n.w.send(n.index, n.w.nodeAt(address), func(p *node) {
		back := func(rep reply) { p.w.send(p.index, n.index, func(*node) { once(rep) }) }
		if !p.ledger.HasAuthority(t.Incarnation) {
			back(reply{err: claims.OwnerReplacedError()})
			return
		}
		p.serve(r, back)
	})
}

// dispatch makes the run: it may be proven not to have happened, its reply may
// be lost, or it answers.
func (n *node) dispatch(key claims.Key, r *request) {
	if !n.ledger.Dispatch(key) {
		n.w.faultf("request %d: dispatch refused", r.id)
		return
	}
	switch x := n.w.rng.Float64(); {
	case x < 0.15:
		n.ledger.RevertDispatch(key)
		n.finish(key, nil, outcome.NotRunf(outcome.CodeNoEndpoint, "refused before execution"))
	case x < 0.3:
		n.w.After(n.w.between(0, time.Second), func() { r.runs++ })
		n.later(n.w.between(0, 2*time.Second), func() {
			n.finish(key, nil, outcome.MayHaveRunf(outcome.CodeStalled, "reply lost"))
		})
	default:
		n.w.After(n.w.between(0, time.Second), func() { r.runs++ })
		n.later(n.w.between(time.Second, 3*time.Second), func() {
			n.finish(key, &claims.Answer{Status: 200, Body: []byte(r.answer())}, nil)
		})
	}
}

func (n *node) finish(key claims.Key, a *claims.Answer, err *outcome.Error) {
	n.ledger.Finish(n.w.Now(), key, a, err)
	rep := reply{err: err}
	if a != nil {
		rep.text = string(a.Body)
	}
	for _, f := range n.followers[key] {
		f(rep)
	}
	delete(n.followers, key)
}

// stop is a planned stop: runs end, then the tickets go to one successor.
func (n *node) stop() {
	n.stopping = true
	n.w.counts["stopped"]++
	n.handOver(map[string]bool{})
}

func (n *node) handOver(refused map[string]bool) {
	if n.ledger.CountRunning() > 0 {
		n.later(100*time.Millisecond, func() { n.handOver(refused) })
		return
	}
	n.ledger.Freeze()
	to, ok := n.view.Successor(n.w.Now(), refused)
	if !ok {
		n.leave()
		return
	}
	successor, _ := n.view.Find(n.w.Now(), to.VM)
	msg := n.ledger.Export(n.w.Now(), successor.Record.GetIncarnation())
	refused[to.VM] = true
	answered := false
	n.w.send(n.index, n.w.nodeAt(to.Address), func(p *node) {
		err := p.ledger.Adopt(p.w.Now(), msg)
		if errors.Is(err, claims.ErrNotAddressed) {
			return
		}
		if err != nil {
			p.w.send(p.index, n.index, func(n *node) {
				// A reply belongs to one call: a duplicate is not taken.
				if !answered {
					answered = true
					n.handOver(refused)
				}
			})
			return
		}
		p.w.counts["handed over"]++
	})
	n.later(time.Second, n.leave)
}

func (n *node) leave() {
	if !n.up {
		return
	}
	n.view.Heartbeat(func(r *peerv1.NodeRecord) {
		r.State = peerv1.NodeState_NODE_STATE_LEFT
		r.Inherited = nil
	})
	for _, m := range n.view.Members(n.w.Now()) {
		n.exchange(n.w.nodeAt(m.Address))
	}
	n.later(200*time.Millisecond, func() {
		n.up = false
		n.process++
		n.w.After(n.w.between(0, 5*time.Second), n.boot)
	})
}

// call is a caller: it takes a ticket, and asks again through other entries.
func (w *world) call(id int) *request {
	r := &request{id: id, outcomes: map[outcome.Outcome]int{}}
	entry := w.nodes[w.rng.IntN(len(w.nodes))]
	entry.handle(func(n *node) {
		if t, ok := n.ledger.Mint(w.Now(), "ws"); ok {
			r.ticket = t
		}
	})
	if r.ticket == "" {
		return r
	}
	attempts := 1 + w.rng.IntN(4)
	for range attempts {
		w.After(w.between(0, 12*time.Second), func() { w.attempt(r) })
	}
	return r
}

func (w *world) attempt(r *request) {
	w.counts["attempts"]++
	w.nodes[w.rng.IntN(len(w.nodes))].handle(func(n *node) {
		n.serve(r, func(rep reply) {
			if rep.err != nil {
				r.outcomes[rep.err.Outcome]++
				return
			}
			r.outcomes[outcome.Complete]++
			if rep.text != r.answer() {
				w.faultf("request %d got %q", r.id, rep.text)
			}
		})
	})
}

// disturb kills, stops, freezes, cuts and heals at random.
func (w *world) disturb() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(7) {
	case 0:
		if n.up {
			n.kill()
			w.After(w.between(0, 8*time.Second), n.boot)
		}
	case 1, 2:
		if n.up && !n.stopping {
			n.handle((*node).stop)
		}
	case 3:
		n.frozenUntil = w.Now().Add(w.between(time.Second, 10*time.Second))
		w.counts["frozen"]++
	case 4:
		w.cut[[2]int{n.index, w.rng.IntN(len(w.nodes))}] = true
		w.counts["cut"]++
	case 5:
		for i := range w.nodes {
			w.cut[[2]int{n.index, i}], w.cut[[2]int{i, n.index}] = true, true
		}
		w.counts["cut off"]++
	case 6:
		clear(w.cut)
	}
	w.After(w.between(0, 3*time.Second), w.disturb)
}

func runAtMostOnce(seed uint64, d time.Duration) (*world, []*request) {
	w := newWorld(seed, 9)
	w.loss, w.twice, w.delay = 0.05, 0.1, 20*time.Millisecond
	w.run(3 * time.Second)
	w.After(0, w.disturb)
	var all []*request
	for at := time.Duration(0); at < d; at += 100 * time.Millisecond {
		w.After(at, func() { all = append(all, w.call(len(all))) })
	}
	w.run(d + 40*time.Second)
	for _, r := range all {
		if r.runs > 1 {
			w.faultf("request %d ran %d times", r.id, r.runs)
		}
		if r.runs > 0 && r.outcomes[outcome.NotRun] > 0 {
			w.faultf("request %d was told not run, but ran", r.id)
		}
		for o, n := range r.outcomes {
			w.counts["told "+o.String()] += n
		}
	}
	return w, all
}

// soak returns the seeds and the length of the runs: short and fixed in CI,
// longer with SOAK_SEEDS set.
func soak() (first, count uint64, d time.Duration) {
	if n, err := strconv.ParseUint(os.Getenv("SOAK_SEEDS"), 10, 32); err == nil {
		return uint64(time.Now().UnixNano()), n, 10 * time.Minute
	}
	return 1, 12, time.Minute
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	defer invariant.Strict()()
	g := NewWithT(t)
	first, count, d := soak()
	total := map[string]int{}
	for seed := first; seed < first+count; seed++ {
		w, all := runAtMostOnce(seed, d)
		g.Expect(w.faults).To(BeEmpty(), "seed %d", seed)
		total["requests"] += len(all)
		for k, v := range w.counts {
			total[k] += v
		}
	}
	t.Logf("seeds %d to %d, %v each: %v", first, first+count-1, d, total)
	for _, what := range []string{"killed", "stopped", "frozen", "cut off", "handed over", "replayed", "told complete", "told not_run", "told may_have_run"} {
		g.Expect(total[what]).To(BeNumerically(">", 0), "the run never had: %s", what)
	}
}
