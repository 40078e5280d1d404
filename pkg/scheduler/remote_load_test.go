package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// busyReport returns the report of an engine that uses half of its memory.
func busyReport(now time.Time, id string) scheduler.Report {
	return scheduler.Report{Endpoint: id, Incarnation: 1, ReportedAt: now, UsedTokens: 17_000, CapacityTokens: 34_000, Running: 5}
}

// submitAndCount submits requests and counts the dispatches by endpoint.
func submitAndCount(g *WithT, s *scheduler.Scheduler, now time.Time, count int) map[string]int {
	counts := map[string]int{}
	for i := range count {
		g.Expect(s.Submit(now, longRequest(i+1, now))).To(BeNil())
		for _, d := range s.Next(now).Dispatches {
			counts[d.Endpoint.ID]++
		}
	}
	return counts
}

// TestRemoteEngineWithUnknownLoadIsAvoided: while the engines of the own data centre are busy, an
// engine of another one gets prompts if a recent report shows it idle, and none if its load is
// unknown or the report is stale.
func TestRemoteEngineWithUnknownLoadIsAvoided(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	newBusyScheduler := func() *scheduler.Scheduler {
		s := newForwardingScheduler("dc0", 1)
		s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("far", "dc1")})
		s.Report(now, busyReport(now, "a"))
		for range 2 {
			s.PromptSent(now, "a", 3000)
		}
		return s
	}
	g.Expect(submitAndCount(g, newBusyScheduler(), now, 1)).To(Equal(map[string]int{"a": 1}))

	s := newBusyScheduler()
	s.SetRemoteLoad(now, scheduler.Load{Report: scheduler.Report{Endpoint: "far", Incarnation: 1, ReportedAt: now, CapacityTokens: 34_000}})
	g.Expect(submitAndCount(g, s, now, 1)).To(Equal(map[string]int{"far": 1}))
	later := now.Add(4 * time.Second)
	s.Report(later, busyReport(later, "a"))
	s.PromptSent(later, "a", 3000)
	g.Expect(submitAndCount(g, s, later, 1)).To(Equal(map[string]int{"a": 1}), "the report is stale")
}

// TestRemoteEngineIsUsedWithoutLocalEngines: if all local engines are leaving, requests go to remote
// engines even if their load is unknown.
func TestRemoteEngineIsUsedWithoutLocalEngines(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newForwardingScheduler("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("far", "dc1")})
	s.SetLeaving("a", true)
	g.Expect(submitAndCount(g, s, now, 1)).To(Equal(map[string]int{"far": 1}))
}

// TestRemoteLoadCountsOwnPromptsOnce: the load published by a remote entry includes the prompts of
// all entries, so the receiver must not add its own again.
func TestRemoteLoadCountsOwnPromptsOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	local, remote := newForwardingScheduler("dc0", 1), newForwardingScheduler("dc1", 2)
	endpoints := []fleet.Endpoint{engine("far", "dc1")}
	for _, s := range []*scheduler.Scheduler{local, remote} {
		s.SetEndpoints(now, endpoints)
	}
	remote.Report(now, busyReport(now, "far"))
	remote.PromptSent(now, "far", 2000)
	g.Expect(submitAndCount(g, local, now, 1)).To(Equal(map[string]int{"far": 1}))
	remote.PromptSent(now, "far", 3000) // The notice of the prompt that local has just sent.

	loads := remote.LocalLoads(now)
	g.Expect(loads).To(HaveLen(1))
	g.Expect(loads[0].PendingPrefillTokens).To(Equal(5000))
	local.SetRemoteLoad(now, loads[0])
	g.Expect(local.Status(now)[0].PrefillBacklog).To(BeNumerically("~", 5000, 1))
	remote.PromptPrefilled(now, "far", 2000)
	g.Expect(remote.LocalLoads(now)[0].PendingPrefillTokens).To(Equal(3000))
}
