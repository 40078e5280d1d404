package fencing_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fencing"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

func list(g *WithT, vms, engines int, desired ...string) *fleet.List {
	var l fleet.List
	for i := range vms {
		l.VMs = append(l.VMs, fleet.VM{ID: fmt.Sprint("vm", i), Role: fleet.RoleEntry, DataCenter: "hall", Peer: "127.0.0.1:1", State: fleet.Live})
	}
	for i := range engines {
		l.Endpoints = append(l.Endpoints, fleet.Endpoint{ID: fmt.Sprint("e", i), Type: fleet.Engine, DataCenter: "hall",
			Address: "127.0.0.1:1", Targets: []string{"m"}, State: fleet.Live, CapacityTokens: 1, MaxRunning: 1, Desired: desired})
	}
	data, _ := json.Marshal(l)
	out, err := fleet.Parse("fleet", data)
	g.Expect(err).NotTo(HaveOccurred())
	return out
}

// engine is a fake that checks fencing numbers or ignores them.
type engine struct {
	checks  bool
	fencing uint64
	models  []string
}

func (e *engine) order(o fencing.Order) {
	if e.checks && o.Fencing < e.fencing {
		return
	}
	e.fencing, e.models = o.Fencing, o.Desired
}

// TestLateOrders races controllers that wake with old beliefs. An engine that
// checks numbers never goes back once it has a newer order; one that ignores
// them is right again after one reconciliation.
func TestLateOrders(t *testing.T) {
	g := NewWithT(t)
	const seed = 7
	rng := rand.New(rand.NewPCG(seed, 0))
	setBack := 0
	for range 200 {
		old := fencing.Belief{Revision: 4, List: list(g, 3, 2, "old")}
		fresh := fencing.Belief{Revision: 9, List: list(g, 3, 2, "new")}
		engines := map[string]*engine{"e0": {checks: true}, "e1": {}}
		observe := func() (out []fencing.Observed) {
			for id, e := range engines {
				out = append(out, fencing.Observed{Endpoint: id, Fencing: e.fencing, Loaded: e.models})
			}
			return out
		}
		late := fencing.Plan(old, "hall", observe(), 2)
		orders := slices.Concat(late, fencing.Plan(fresh, "hall", observe(), 2))
		rng.Shuffle(len(orders), func(i, j int) { orders[i], orders[j] = orders[j], orders[i] })
		for _, o := range orders {
			engines[o.Endpoint.ID].order(o)
		}
		g.Expect(engines["e0"].models).To(Equal([]string{"new"}))
		if engines["e1"].models[0] == "old" {
			setBack++
		}
		for _, o := range fencing.Plan(fresh, "hall", observe(), 2) {
			engines[o.Endpoint.ID].order(o)
		}
		g.Expect(engines["e1"].models).To(Equal([]string{"new"}))
		g.Expect(fencing.Plan(fresh, "hall", observe(), 2)).To(BeEmpty())
		g.Expect(fencing.Plan(old, "hall", observe(), 2)).To(BeEmpty(), "an old belief orders against a newer number")
	}
	g.Expect(setBack).To(BeNumerically(">", 0), "the window was never seen")
}

func TestLoadsAreSpread(t *testing.T) {
	g := NewWithT(t)
	b := fencing.Belief{Revision: 1, List: list(g, 1, 6, "m")}
	observed := make([]fencing.Observed, 6)
	for i := range observed {
		observed[i].Endpoint = fmt.Sprint("e", i)
	}
	observed[5].Loading = []string{"m"}
	g.Expect(fencing.Plan(b, "hall", observed, 2)).To(HaveLen(1))
	g.Expect(fencing.Plan(b, "hall", observed, 4)).To(HaveLen(3))
}

func TestOneOrdererPerRevision(t *testing.T) {
	g := NewWithT(t)
	l := list(g, 5, 0)
	vm, ok := fencing.Orderer(l, "hall")
	g.Expect(ok).To(BeTrue())
	slices.Reverse(l.VMs)
	same, _ := fencing.Orderer(l, "hall")
	g.Expect(same).To(Equal(vm))
	_, ok = fencing.Orderer(l, "elsewhere")
	g.Expect(ok).To(BeFalse())
}

// Engines refused all orders after a restore, whose numbers were below those before.
func TestOrdersAfterARestoreHaveHigherNumbers(t *testing.T) {
	g := NewWithT(t)
	before, err := revision.New(1, 37)
	g.Expect(err).NotTo(HaveOccurred())
	after, err := revision.New(2, 33)
	g.Expect(err).NotTo(HaveOccurred())
	observed := []fencing.Observed{{Endpoint: "e0", Fencing: uint64(before)}}
	plan := fencing.Plan(fencing.Belief{Revision: after, List: list(g, 1, 1, "m")}, "hall", observed, 1)
	g.Expect(plan).To(HaveLen(1))
	g.Expect(plan[0].Fencing).To(BeNumerically(">", uint64(before)))
}
