package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// busyAt is a report of an engine that holds half of its memory.
func busyAt(now time.Time, id string) scheduler.Report {
	return scheduler.Report{Endpoint: id, Incarnation: 1, At: now, UsedTokens: 17_000, CapacityTokens: 34_000, Running: 5}
}

// sendsTo submits requests and counts where they go.
func sendsTo(g *WithT, s *scheduler.Scheduler, now time.Time, count int) map[string]int {
	out := map[string]int{}
	for i := range count {
		g.Expect(s.Submit(now, longRequest(i+1, now))).To(BeNil())
		for _, d := range s.Next(now).Dispatches {
			out[d.Endpoint.ID]++
		}
	}
	return out
}

// TestUnknownEnginesElsewhereAreNotTakenForEmpty: while the engines of the own data centre
// are busy, one of another gets prompts if it is known to be idle, and none if nothing is
// known of it.
func TestUnknownEnginesElsewhereAreNotTakenForEmpty(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	busy := func() *scheduler.Scheduler {
		s := newForwardingScheduler("dc0", 1)
		s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("far", "dc1")})
		s.Report(now, busyAt(now, "a"))
		for range 2 {
			s.PromptSent(now, "a", 3000)
		}
		return s
	}
	g.Expect(sendsTo(g, busy(), now, 1)).To(Equal(map[string]int{"a": 1}))

	s := busy()
	s.TakeLoad(now, scheduler.Load{Report: scheduler.Report{Endpoint: "far", Incarnation: 1, At: now, CapacityTokens: 34_000}})
	g.Expect(sendsTo(g, s, now, 1)).To(Equal(map[string]int{"far": 1}))
	later := now.Add(4 * time.Second)
	s.Report(later, busyAt(later, "a"))
	s.PromptSent(later, "a", 3000)
	g.Expect(sendsTo(g, s, later, 1)).To(Equal(map[string]int{"a": 1}), "the news is too old")
}

// TestAnEntryWithoutEnginesSendsElsewhere: also to those that nothing is known of.
func TestAnEntryWithoutEnginesSendsElsewhere(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newForwardingScheduler("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("far", "dc1")})
	s.SetLeaving("a", true)
	g.Expect(sendsTo(g, s, now, 1)).To(Equal(map[string]int{"far": 1}))
}

// TestLoadsElsewhereCountOwnPromptsOnce: who tells of an engine counts the prompts of all.
func TestLoadsElsewhereCountOwnPromptsOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	here, there := newForwardingScheduler("dc0", 1), newForwardingScheduler("dc1", 2)
	endpoints := []fleet.Endpoint{engine("far", "dc1")}
	for _, s := range []*scheduler.Scheduler{here, there} {
		s.SetEndpoints(now, endpoints)
	}
	there.Report(now, busyAt(now, "far"))
	there.PromptSent(now, "far", 2000)
	g.Expect(sendsTo(g, here, now, 1)).To(Equal(map[string]int{"far": 1}))
	there.PromptSent(now, "far", 3000) // The notice of the prompt that was just sent.

	loads := there.Loads(now)
	g.Expect(loads).To(HaveLen(1))
	g.Expect(loads[0].Unread).To(Equal(5000))
	here.TakeLoad(now, loads[0])
	g.Expect(here.Status(now)[0].Backlog).To(BeNumerically("~", 5000, 1))
	there.PromptRead(now, "far", 2000)
	g.Expect(there.Loads(now)[0].Unread).To(Equal(3000))
}
