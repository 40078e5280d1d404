package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// Incarnations of two consecutive instances of an engine.
const (
	firstIncarnation  = 1_000
	secondIncarnation = 2_000
)

// engineInstance returns an engine of the entry's own data centre with an incarnation.
func engineInstance(id string, incarnation uint64) fleet.Endpoint {
	e := engine(id, "dc0")
	e.Incarnation = incarnation
	return e
}

// newSchedulerAfterRestart returns a scheduler whose only engine has just restarted. The first
// instance was leaving and had load of every kind.
func newSchedulerAfterRestart(g *WithT, now time.Time) *scheduler.Scheduler {
	s := newForwardingScheduler("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engineInstance("a", firstIncarnation)})
	g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	s.PromptSent(now, "a", 3000)
	s.Report(now, fullReport(now, firstIncarnation))
	s.SetLeaving("a", true)
	s.SetEndpoints(now, []fleet.Endpoint{engineInstance("a", secondIncarnation)})
	return s
}

// fullReport returns a report of an engine with full memory and many waiting prompts.
func fullReport(reportedAt time.Time, incarnation uint64) scheduler.Report {
	return scheduler.Report{Endpoint: "a", Incarnation: incarnation, ReportedAt: reportedAt, UsedTokens: 34_000, CapacityTokens: 34_000, Running: 24, Waiting: 9}
}

// expectNoState checks that the scheduler has no load or state for the first endpoint.
func expectNoState(g *WithT, s *scheduler.Scheduler, now time.Time, description string) {
	st := s.Status(now)[0]
	g.Expect(st.Leaving).To(BeFalse(), description)
	g.Expect(st.PrefillBacklog).To(BeZero(), description)
	g.Expect(st.PeersRunning).To(BeZero(), description)
	g.Expect(st.Running).To(BeZero(), description)
	g.Expect(st.Projected[0]).To(BeZero(), description)
	g.Expect(st.ReportAge).To(BeZero(), description)
}

// TestNewInstanceStartsWithoutState checks that neither the state of the previous instance nor
// late reports and results from it affect the next instance.
func TestNewInstanceStartsWithoutState(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newSchedulerAfterRestart(g, now)
	expectNoState(g, s, now, "after the restart")

	later := now.Add(100 * time.Millisecond)
	s.Report(later, fullReport(later, firstIncarnation))
	expectNoState(g, s, later, "after a stale report")
	s.SetRemoteLoad(later, scheduler.Load{Report: fullReport(later, firstIncarnation), PendingPrefillTokens: 9000})
	expectNoState(g, s, later, "after a stale load from another data centre")
	s.Progress(later, 1, 40)
	s.Finish(later, 1, scheduler.Result{Failed: true, Unreachable: true})
	expectNoState(g, s, later, "after the end of a request at the previous instance")
	g.Expect(s.TargetUnreachable("m")).To(BeFalse(), "the failure is that of the previous instance")
	g.Expect(submitAndCount(g, s, later, 1)).To(Equal(map[string]int{"a": 1}))

	s.Report(later, fullReport(later, secondIncarnation))
	g.Expect(s.Status(later)[0].PeersRunning).To(BeNumerically(">", 0), "a report of the new instance counts")
	s.Report(later.Add(time.Second), fullReport(later.Add(time.Second), firstIncarnation))
	g.Expect(s.Status(later.Add(time.Second))[0].ReportAge).To(Equal(time.Second), "a later report of the previous instance doesn't replace it")
}

// TestStaleRemoteLoadIsIgnored checks the same for engines of other data centres, whose loads
// come from the entries there.
func TestStaleRemoteLoadIsIgnored(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newForwardingScheduler("far", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engineInstance("a", secondIncarnation)})
	s.SetRemoteLoad(now, scheduler.Load{Report: fullReport(now, firstIncarnation), PendingPrefillTokens: 9000})
	expectNoState(g, s, now, "after a stale load")
	s.SetRemoteLoad(now, scheduler.Load{Report: fullReport(now, secondIncarnation), PendingPrefillTokens: 9000})
	g.Expect(s.Status(now)[0].PrefillBacklog).To(BeNumerically(">=", 9000))
}

// TestLeavingEndsWithInstance checks that leaving ends with the instance, also if the engine
// isn't listed for a while.
func TestLeavingEndsWithInstance(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newForwardingScheduler("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engineInstance("a", firstIncarnation)})
	s.SetLeaving("a", true)
	s.SetEndpoints(now, []fleet.Endpoint{engineInstance("a", firstIncarnation)})
	g.Expect(s.Status(now)[0].Leaving).To(BeTrue(), "it is the same instance")
	s.SetEndpoints(now, nil)
	s.SetEndpoints(now, []fleet.Endpoint{engineInstance("a", secondIncarnation)})
	g.Expect(s.Status(now)[0].Leaving).To(BeFalse())
}

// TestMoveCountsAtReceivingInstance checks that a generation moved to an earlier instance of a
// restarted engine doesn't count at the present instance.
func TestMoveCountsAtReceivingInstance(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newForwardingScheduler("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engineInstance("a", firstIncarnation)})
	g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	s.SetEndpoints(now, []fleet.Endpoint{engineInstance("a", firstIncarnation), engineInstance("b", secondIncarnation)})
	s.Move(1, engineInstance("b", firstIncarnation).Instance())
	g.Expect(s.Status(now)[1].Running).To(BeZero())
	s.Move(1, engineInstance("b", secondIncarnation).Instance())
	g.Expect(s.Status(now)[1].Running).To(Equal(1))
}
