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

const engineCount = 22

// listWithLeaving returns a list of engines, of which the first ones are leaving.
func listWithLeaving(leaving int) *fleet.List {
	var engines []fleet.Endpoint
	for i := range engineCount {
		e := fleet.Endpoint{ID: fmt.Sprintf("engine-%02d", i), Incarnation: 1, Type: fleet.Engine, State: fleet.Live, Targets: []string{"t"}}
		if i < leaving {
			e.State = fleet.Leaving
		}
		engines = append(engines, e)
	}
	return (&fleet.List{}).WithEndpoints(engines)
}

func newTestState(vm, dataCenter string) *ClusterState {
	view := membership.New(membership.Config{VM: vm, DataCenter: dataCenter, Incarnation: []byte(vm)})
	return NewClusterState(view, dispatch.New(scheduler.New(scheduler.Config{})), DefaultHomeEntries, func(drain.Leave, string) {})
}

func (cs *ClusterState) announcedLeaveIDs(now time.Time) (ids []string) {
	cs.Heartbeat(now, nil)
	for _, l := range cs.view.Self().GetLeaves() {
		ids = append(ids, l.GetEndpoint())
	}
	return ids
}

// TestListedLeavesChangeNoRecord: all entries receive the leaves on the fleet list with the list,
// so that no record has to change and spread because of them.
func TestListedLeavesChangeNoRecord(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	changed := 0
	for i := range 100 {
		cs := newTestState(fmt.Sprintf("entry-%d", i), "hall")
		cs.ApplyFleet(listWithLeaving(0))
		cs.Heartbeat(now, nil)
		for n := range engineCount {
			before := cs.view.Self().GetVersion()
			cs.ApplyFleet(listWithLeaving(n + 1))
			cs.Heartbeat(now, nil)
			if cs.view.Self().GetVersion() != before {
				changed++
			}
		}
		g.Expect(cs.Leaves()).To(HaveLen(engineCount))
	}
	g.Expect(changed).To(BeZero())
}

// TestObservedLeaveIsAnnounced checks that an entry announces the leaves that it receives from an
// endpoint or from another data centre, and that peers of its data centre do not repeat them.
func TestObservedLeaveIsAnnounced(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	observer, sameDC, otherDC := newTestState("observer", "hall"), newTestState("near", "hall"), newTestState("far", "annex")
	for _, cs := range []*ClusterState{observer, sameDC, otherDC} {
		cs.ApplyFleet(listWithLeaving(0))
	}
	observer.RecordLeave(drain.Leave{Endpoint: "engine-07", Incarnation: 1}, SourceEndpoint)
	g.Expect(observer.announcedLeaveIDs(now)).To(ConsistOf("engine-07"))

	record := []*peerv1.NodeRecord{observer.view.Self()}
	sameDC.Merge(now, record)
	otherDC.Merge(now, record)
	g.Expect(sameDC.IsLeaving(fleet.Endpoint{ID: "engine-07", Incarnation: 1})).To(BeTrue())
	g.Expect(sameDC.announcedLeaveIDs(now)).To(BeEmpty())
	g.Expect(otherDC.announcedLeaveIDs(now)).To(ConsistOf("engine-07"))

	for _, cs := range []*ClusterState{observer, otherDC} {
		cs.ApplyFleet(listWithLeaving(engineCount))
		g.Expect(cs.announcedLeaveIDs(now)).To(BeEmpty(), "the list shows the leaves now")
	}
}
