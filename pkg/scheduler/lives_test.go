package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// Starts of an engine, one after the other.
const (
	firstStart  = 1_000
	secondStart = 2_000
)

// startedAt is an engine of the own data centre that tells its start.
func startedAt(id string, start uint64) fleet.Endpoint {
	e := engine(id, "dc0")
	e.Incarnation = start
	return e
}

// restarted is a scheduler whose only engine, of which all is known, has just started again.
func restarted(g *WithT, now time.Time) *scheduler.Scheduler {
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{startedAt("a", firstStart)})
	g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	s.PromptSent(now, "a", 3000)
	s.Report(now, fullReport(now, firstStart))
	s.SetLeaving("a", true)
	s.SetEndpoints(now, []fleet.Endpoint{startedAt("a", secondStart)})
	return s
}

// fullReport shows an engine whose memory is full and that has many prompts to read.
func fullReport(at time.Time, start uint64) scheduler.Report {
	return scheduler.Report{Endpoint: "a", Incarnation: start, At: at, UsedTokens: 34_000, CapacityTokens: 34_000, Running: 24, Waiting: 9}
}

// empty is what is believed of an engine that nothing is known of.
func expectEmpty(g *WithT, s *scheduler.Scheduler, now time.Time, what string) {
	st := s.Status(now)[0]
	g.Expect(st.Leaving).To(BeFalse(), what)
	g.Expect(st.Backlog).To(BeZero(), what)
	g.Expect(st.PeersRunning).To(BeZero(), what)
	g.Expect(st.Running).To(BeZero(), what)
	g.Expect(st.Projected[0]).To(BeZero(), what)
	g.Expect(st.ReportAge).To(BeZero(), what)
}

// TestALifeBeginsEmpty: nothing that was known of the life before counts on the next, and
// what still comes of it doesn't either.
func TestALifeBeginsEmpty(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := restarted(g, now)
	expectEmpty(g, s, now, "at its start")

	later := now.Add(100 * time.Millisecond)
	s.Report(later, fullReport(later, firstStart))
	expectEmpty(g, s, later, "after a late report")
	s.TakeLoad(later, scheduler.Load{Report: fullReport(later, firstStart), Unread: 9000})
	expectEmpty(g, s, later, "after late news of another data centre")
	s.Progress(later, 1, 40)
	s.Finish(later, 1, scheduler.Result{Failed: true, Unreachable: true})
	expectEmpty(g, s, later, "after the end of a request of the life before")
	g.Expect(s.OutOfReach("m")).To(BeFalse(), "its failure is that of the life before")
	g.Expect(sendsTo(g, s, later, 1)).To(Equal(map[string]int{"a": 1}))

	s.Report(later, fullReport(later, secondStart))
	g.Expect(s.Status(later)[0].PeersRunning).To(BeNumerically(">", 0), "its own report counts")
	s.Report(later.Add(time.Second), fullReport(later.Add(time.Second), firstStart))
	g.Expect(s.Status(later.Add(time.Second))[0].ReportAge).To(Equal(time.Second), "a later one of the life before doesn't replace it")
}

// TestLateNewsOfAnotherDataCentre is the same for the engines that only news tells of.
func TestLateNewsOfAnotherDataCentre(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := forwarding("far", 1)
	s.SetEndpoints(now, []fleet.Endpoint{startedAt("a", secondStart)})
	s.TakeLoad(now, scheduler.Load{Report: fullReport(now, firstStart), Unread: 9000})
	expectEmpty(g, s, now, "after late news")
	s.TakeLoad(now, scheduler.Load{Report: fullReport(now, secondStart), Unread: 9000})
	g.Expect(s.Status(now)[0].Backlog).To(BeNumerically(">=", 9000))
}

// TestALeaveEndsWithItsLife: also if the engine was not listed for a while.
func TestALeaveEndsWithItsLife(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{startedAt("a", firstStart)})
	s.SetLeaving("a", true)
	s.SetEndpoints(now, []fleet.Endpoint{startedAt("a", firstStart)})
	g.Expect(s.Status(now)[0].Leaving).To(BeTrue(), "it is the same life")
	s.SetEndpoints(now, nil)
	s.SetEndpoints(now, []fleet.Endpoint{startedAt("a", secondStart)})
	g.Expect(s.Status(now)[0].Leaving).To(BeFalse())
}

// TestAMoveCountsAtTheLifeThatTookIt: a generation that goes on at an engine which starts
// again at that moment runs at neither of its lives.
func TestAMoveCountsAtTheLifeThatTookIt(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{startedAt("a", firstStart)})
	g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	s.SetEndpoints(now, []fleet.Endpoint{startedAt("a", firstStart), startedAt("b", secondStart)})
	s.Move(1, startedAt("b", firstStart).Instance())
	g.Expect(s.Status(now)[1].Running).To(BeZero())
	s.Move(1, startedAt("b", secondStart).Instance())
	g.Expect(s.Status(now)[1].Running).To(Equal(1))
}
