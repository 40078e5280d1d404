package peering

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

const leavingEngines = 22

// listed makes a list of engines, of which the first so many leave.
func listed(leaving int) *fleet.List {
	var engines []fleet.Endpoint
	for i := range leavingEngines {
		e := fleet.Endpoint{ID: fmt.Sprintf("engine-%02d", i), Incarnation: 1, Type: fleet.Engine, State: fleet.Live, Targets: []string{"t"}}
		if i < leaving {
			e.State = fleet.Leaving
		}
		engines = append(engines, e)
	}
	return (&fleet.List{}).WithEndpoints(engines)
}

func beliefsOf(vm, dataCenter string) *Beliefs {
	view := membership.New(membership.Config{VM: vm, DataCenter: dataCenter, Incarnation: []byte(vm)})
	return NewBeliefs(view, dispatch.New(scheduler.New(scheduler.Config{})), HomeEntries, func(drain.Leave, string) {})
}

func (b *Beliefs) toldLeaves(now time.Time) (ids []string) {
	b.Beat(now, nil)
	for _, l := range b.view.Self().GetLeaves() {
		ids = append(ids, l.GetEndpoint())
	}
	return ids
}

// TestLeavesOfTheListChangeNoRecord: each entry hears of them with the list, so that no
// entry's record has to go around for them.
func TestLeavesOfTheListChangeNoRecord(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	changed := 0
	for i := range 100 {
		b := beliefsOf(fmt.Sprintf("entry-%d", i), "hall")
		b.ApplyFleet(listed(0))
		b.Beat(now, nil)
		for n := range leavingEngines {
			before := b.view.Self().GetVersion()
			b.ApplyFleet(listed(n + 1))
			b.Beat(now, nil)
			if b.view.Self().GetVersion() != before {
				changed++
			}
		}
		g.Expect(b.Leaves()).To(HaveLen(leavingEngines))
	}
	g.Expect(changed).To(BeZero())
}

// TestASeenLeaveIsTold: what one entry sees at an endpoint, or hears from another data
// centre, it tells those of its own; they do not repeat it.
func TestASeenLeaveIsTold(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	sees, near, far := beliefsOf("sees", "hall"), beliefsOf("near", "hall"), beliefsOf("far", "annex")
	for _, b := range []*Beliefs{sees, near, far} {
		b.ApplyFleet(listed(0))
	}
	sees.Leave(drain.Leave{Endpoint: "engine-07", Incarnation: 1}, SourceEndpoint)
	g.Expect(sees.toldLeaves(now)).To(ConsistOf("engine-07"))

	record := []*peerv1.NodeRecord{sees.view.Self()}
	near.Merge(now, record)
	far.Merge(now, record)
	g.Expect(near.Leaving(fleet.Endpoint{ID: "engine-07", Incarnation: 1})).To(BeTrue())
	g.Expect(near.toldLeaves(now)).To(BeEmpty())
	g.Expect(far.toldLeaves(now)).To(ConsistOf("engine-07"))

	for _, b := range []*Beliefs{sees, far} {
		b.ApplyFleet(listed(leavingEngines))
		g.Expect(b.toldLeaves(now)).To(BeEmpty(), "the list says so now")
	}
}
