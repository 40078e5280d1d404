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

func newFleetList(g *WithT, vms, engines int, desired ...string) *fleet.List {
	var l fleet.List
	for i := range vms {
		l.VMs = append(l.VMs, fleet.VM{ID: fmt.Sprint("vm", i), Role: fleet.RoleEntry, DataCenter: "hall", Peer: "127.0.0.1:1", State: fleet.Live})
	}
	for i := range engines {
		l.Endpoints = append(l.Endpoints, fleet.Endpoint{ID: fmt.Sprint("e", i), Type: fleet.Engine, DataCenter: "hall",
			Address: "127.0.0.1:1", Targets: []string{"m"}, State: fleet.Live, CapacityTokens: 1, MaxRunning: 1, Desired: desired})
	}
	data, _ := json.Marshal(l)
	list, err := fleet.Parse("fleet", data)
	g.Expect(err).NotTo(HaveOccurred())
	return list
}

// engine is a fake engine that checks fencing numbers or ignores them.
type engine struct {
	checksFencing bool
	fencing       uint64
	models        []string
}

func (e *engine) apply(o fencing.Order) {
	if e.checksFencing && o.Fencing < e.fencing {
		return
	}
	e.fencing, e.models = o.Fencing, o.Desired
}

// Orders of a controller with a stale fleet list arrive in random order among
// current ones. An engine that checks fencing numbers must not go back to an older
// order; one that ignores them must have the current models after one
// reconciliation.
func TestStaleOrdersAreCorrected(t *testing.T) {
	g := NewWithT(t)
	const seed = 7
	rng := rand.New(rand.NewPCG(seed, 0))
	revertedCount := 0
	for range 200 {
		stale := fencing.FleetSnapshot{Revision: 4, List: newFleetList(g, 3, 2, "old")}
		current := fencing.FleetSnapshot{Revision: 9, List: newFleetList(g, 3, 2, "new")}
		engines := map[string]*engine{"e0": {checksFencing: true}, "e1": {}}
		observe := func() (reports []fencing.EngineReport) {
			for id, e := range engines {
				reports = append(reports, fencing.EngineReport{Endpoint: id, Fencing: e.fencing, Loaded: e.models})
			}
			return reports
		}
		staleOrders := fencing.Plan(stale, "hall", observe(), 2)
		orders := slices.Concat(staleOrders, fencing.Plan(current, "hall", observe(), 2))
		rng.Shuffle(len(orders), func(i, j int) { orders[i], orders[j] = orders[j], orders[i] })
		for _, o := range orders {
			engines[o.Endpoint.ID].apply(o)
		}
		g.Expect(engines["e0"].models).To(Equal([]string{"new"}))
		if engines["e1"].models[0] == "old" {
			revertedCount++
		}
		for _, o := range fencing.Plan(current, "hall", observe(), 2) {
			engines[o.Endpoint.ID].apply(o)
		}
		g.Expect(engines["e1"].models).To(Equal([]string{"new"}))
		g.Expect(fencing.Plan(current, "hall", observe(), 2)).To(BeEmpty())
		g.Expect(fencing.Plan(stale, "hall", observe(), 2)).To(BeEmpty(), "a stale fleet list gives orders to an engine with a higher fencing number")
	}
	g.Expect(revertedCount).To(BeNumerically(">", 0), "no engine was ever reverted by a stale order")
}

func TestConcurrentLoadsAreLimited(t *testing.T) {
	g := NewWithT(t)
	snapshot := fencing.FleetSnapshot{Revision: 1, List: newFleetList(g, 1, 6, "m")}
	reports := make([]fencing.EngineReport, 6)
	for i := range reports {
		reports[i].Endpoint = fmt.Sprint("e", i)
	}
	reports[5].Loading = []string{"m"}
	g.Expect(fencing.Plan(snapshot, "hall", reports, 2)).To(HaveLen(1))
	g.Expect(fencing.Plan(snapshot, "hall", reports, 4)).To(HaveLen(3))
}

func TestOneOrdererPerRevision(t *testing.T) {
	g := NewWithT(t)
	l := newFleetList(g, 5, 0)
	vm, ok := fencing.Orderer(l, "hall")
	g.Expect(ok).To(BeTrue())
	slices.Reverse(l.VMs)
	reversedVM, _ := fencing.Orderer(l, "hall")
	g.Expect(reversedVM).To(Equal(vm))
	_, ok = fencing.Orderer(l, "elsewhere")
	g.Expect(ok).To(BeFalse())
}

// After a restore of the store, revisions start again from lower ones. Fencing numbers
// must rise nevertheless, else engines refuse all orders.
func TestFencingNumberRisesAfterStoreRestore(t *testing.T) {
	g := NewWithT(t)
	before, err := revision.New(1, 37)
	g.Expect(err).NotTo(HaveOccurred())
	after, err := revision.New(2, 33)
	g.Expect(err).NotTo(HaveOccurred())
	reports := []fencing.EngineReport{{Endpoint: "e0", Fencing: uint64(before)}}
	plan := fencing.Plan(fencing.FleetSnapshot{Revision: after, List: newFleetList(g, 1, 1, "m")}, "hall", reports, 1)
	g.Expect(plan).To(HaveLen(1))
	g.Expect(plan[0].Fencing).To(BeNumerically(">", uint64(before)))
}
