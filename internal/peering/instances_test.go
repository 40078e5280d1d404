package peering

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// Incarnations of consecutive instances of an engine: start times in milliseconds.
const (
	firstIncarnation  = 1_764_700_000_000
	secondIncarnation = 1_764_700_060_000
)

// instanceList returns a list of one engine with the given incarnation and state.
func instanceList(incarnation uint64, state fleet.State) *fleet.List {
	list := engineList(1)
	e := list.Endpoints[0]
	e.Incarnation, e.State = incarnation, state
	return list.WithEndpoints([]fleet.Endpoint{e})
}

// fullReport is the load report of an engine that is fully utilized.
func fullReport(now time.Time, incarnation uint64) scheduler.Report {
	return scheduler.Report{Endpoint: "engine-000", Incarnation: incarnation, ReportedAt: now, UsedTokens: 34_000, CapacityTokens: 34_000, Running: 24, Waiting: 9}
}

// reportingPeer returns a peer whose list shows the given instance and whose record contains a load
// and a leave of it.
func reportingPeer(now time.Time, dataCenter string, incarnation uint64) *ClusterState {
	cs, _ := newSchedulerState("peer", dataCenter, instanceList(incarnation, fleet.Live))
	cs.EndpointsToPoll(now)
	cs.RecordPoll(fullReport(now, incarnation), true)
	cs.Heartbeat(now, nil)
	return cs
}

// reportPaths are all ways except the fleet list by which state of an instance reaches an entry.
func reportPaths(now time.Time, incarnation uint64) map[string]func(*ClusterState) {
	leave := drain.Leave{Endpoint: "engine-000", Incarnation: incarnation}
	return map[string]func(*ClusterState){
		"a report":                 func(cs *ClusterState) { cs.RecordPoll(fullReport(now, incarnation), false) },
		"a report of its leaving":  func(cs *ClusterState) { cs.RecordPoll(fullReport(now, incarnation), true) },
		"an answer of its leaving": func(cs *ClusterState) { cs.RecordLeave(leave, SourceEndpoint) },
		"a peer's record": func(cs *ClusterState) {
			cs.Merge(now, []*peerv1.NodeRecord{reportingPeer(now, "hall", incarnation).view.Self()})
		},
		"a record of another data centre": func(cs *ClusterState) {
			cs.Merge(now, []*peerv1.NodeRecord{reportingPeer(now, "annex", incarnation).view.Self()})
		},
		"a datagram of a prompt": func(cs *ClusterState) { cs.PromptSent(InstanceHash(fleet.Instance(leave)), 9000) },
		"loads of another data centre": func(cs *ClusterState) {
			remote, s := newSchedulerState("from", "hall", instanceList(incarnation, fleet.Live))
			s.Report(now, fullReport(now, incarnation))
			cs.SetRemoteLoads(remote.LocalLoads(pickFirst))
		},
	}
}

// expectNoReports checks that no state of the engine is recorded or published.
func expectNoReports(g *WithT, cs *ClusterState, s *scheduler.Scheduler, now time.Time) {
	st := s.Status(now)[0]
	g.Expect(st.Leaving).To(BeFalse())
	g.Expect(st.PrefillBacklog).To(BeZero())
	g.Expect(st.PeersRunning).To(BeZero())
	g.Expect(cs.IsLeaving(cs.list.Endpoints[0])).To(BeFalse())
	g.Expect(cs.announcedLeaveIDs(now)).To(BeEmpty())
	cs.Heartbeat(now.Add(2*DefaultPayloadInterval), nil)
	g.Expect(cs.view.Self().GetLoads().GetEndpoints()).To(BeEmpty(), "no load is published")
}

// TestStaleReportsAfterRestart checks that stale state of an ended instance does not affect the
// next one, at entries of the engine's data centre and of another.
func TestStaleReportsAfterRestart(t *testing.T) {
	for _, dataCenter := range []string{"hall", "annex"} {
		for name := range reportPaths(time.Time{}, firstIncarnation) {
			t.Run(name+" at "+dataCenter, func(t *testing.T) {
				g := NewWithT(t)
				now := time.Now()
				cs, s := newSchedulerState("receiver", dataCenter, instanceList(firstIncarnation, fleet.Leaving))
				cs.EndpointsToPoll(now)
				cs.ApplyFleet(instanceList(secondIncarnation, fleet.Live))
				reportPaths(now, firstIncarnation)[name](cs)
				expectNoReports(g, cs, s, now)
			})
		}
	}
}

// TestRestartDropsEarlierReports checks that state of an instance that was received before the
// engine restarted is dropped.
func TestRestartDropsEarlierReports(t *testing.T) {
	for _, dataCenter := range []string{"hall", "annex"} {
		for name := range reportPaths(time.Time{}, firstIncarnation) {
			t.Run(name+" at "+dataCenter, func(t *testing.T) {
				g := NewWithT(t)
				now := time.Now()
				cs, s := newSchedulerState("receiver", dataCenter, instanceList(firstIncarnation, fleet.Live))
				cs.EndpointsToPoll(now)
				reportPaths(now, firstIncarnation)[name](cs)
				cs.ApplyFleet(instanceList(secondIncarnation, fleet.Live))
				expectNoReports(g, cs, s, now)
			})
		}
	}
}

// TestReportsOfListedInstanceApply is the counterpart: state of the listed instance is applied.
func TestReportsOfListedInstanceApply(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	statusAfter := func(name, dataCenter string) scheduler.EndpointStatus {
		cs, s := newSchedulerState("receiver", dataCenter, instanceList(firstIncarnation, fleet.Live))
		cs.ApplyFleet(instanceList(secondIncarnation, fleet.Live))
		if name == "a report" || name == "a report of its leaving" {
			cs.EndpointsToPoll(now)
		}
		reportPaths(now, secondIncarnation)[name](cs)
		return s.Status(now)[0]
	}
	for _, name := range []string{"a report of its leaving", "an answer of its leaving", "a peer's record", "a record of another data centre"} {
		g.Expect(statusAfter(name, "hall").Leaving).To(BeTrue(), name)
	}
	for _, name := range []string{"a report", "a peer's record", "a datagram of a prompt"} {
		g.Expect(statusAfter(name, "hall").PrefillBacklog).To(BeNumerically(">", 0), name)
	}
	g.Expect(statusAfter("loads of another data centre", "annex").PrefillBacklog).To(BeNumerically(">", 0))
}

// TestLeaveOfUnlistedInstanceIsRetained: a leave may be received before the list shows its
// instance. The instance that the list still shows has ended, and the next one receives no work
// from the start.
func TestLeaveOfUnlistedInstanceIsRetained(t *testing.T) {
	g := NewWithT(t)
	cs, s := newSchedulerState("receiver", "hall", instanceList(firstIncarnation, fleet.Live))
	cs.RecordLeave(drain.Leave{Endpoint: "engine-000", Incarnation: secondIncarnation}, "peer")
	g.Expect(s.Status(time.Now())[0].Leaving).To(BeTrue())
	cs.ApplyFleet(instanceList(firstIncarnation, fleet.Leaving))
	cs.ApplyFleet(instanceList(secondIncarnation, fleet.Live))
	g.Expect(s.Status(time.Now())[0].Leaving).To(BeTrue())
	g.Expect(cs.announcedLeaveIDs(time.Now())).To(HaveLen(1))
}

// TestRestartWithEarlierIncarnation: an engine restarts with a lower incarnation because its clock
// was set back. State of the previous instance is dropped, even if it is received again.
func TestRestartWithEarlierIncarnation(t *testing.T) {
	for name := range reportPaths(time.Time{}, secondIncarnation) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Now()
			cs, s := newSchedulerState("receiver", "hall", instanceList(secondIncarnation, fleet.Leaving))
			cs.EndpointsToPoll(now)
			reportPaths(now, secondIncarnation)[name](cs)
			cs.ApplyFleet(instanceList(firstIncarnation, fleet.Live))
			expectNoReports(g, cs, s, now)
			reportPaths(now, secondIncarnation)[name](cs)
			expectNoReports(g, cs, s, now)
			cs.RecordLeave(drain.Leave{Endpoint: "engine-000", Incarnation: firstIncarnation}, SourceEndpoint)
			g.Expect(s.Status(now)[0].Leaving).To(BeTrue(), "a leave of the listed instance applies")
		})
	}
}

// TestInstanceHashWithoutIncarnation: the hash of an instance with an unknown incarnation is that
// of earlier versions, so that entries of both versions can exchange loads.
func TestInstanceHashWithoutIncarnation(t *testing.T) {
	g := NewWithT(t)
	const hashOfEndpointID = 0xe7d24ffa
	g.Expect(InstanceHash(fleet.Instance{Endpoint: "engine-000", Incarnation: 1})).To(Equal(uint32(hashOfEndpointID)))
	g.Expect(InstanceHash(fleet.Instance{Endpoint: "engine-000"})).To(Equal(uint32(hashOfEndpointID)))
	g.Expect(InstanceHash(fleet.Instance{Endpoint: "engine-000", Incarnation: firstIncarnation})).NotTo(Equal(uint32(hashOfEndpointID)))
	now := time.Now()
	cs, s := newSchedulerState("receiver", "hall", engineList(1))
	cs.EndpointsToPoll(now)
	cs.RecordPoll(fullReport(now, 1), true)
	g.Expect(s.Status(now)[0].Leaving).To(BeTrue())
	cs.ApplyFleet(engineList(1))
	g.Expect(s.Status(now)[0].Leaving).To(BeTrue(), "without an incarnation a restart is not detected")
}
