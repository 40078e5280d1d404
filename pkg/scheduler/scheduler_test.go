package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/limits"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

func TestScheduler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scheduler")
}

func engineWithCapacity(id, dc string, tokens int) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Type: fleet.Engine, DataCenter: dc, Address: "127.0.0.1:1", Targets: []string{"m"},
		Incarnation: 1, State: fleet.Live, CapacityTokens: tokens, MaxRunning: 100}
}

// testScheduler is a scheduler with a virtual clock and a source of request IDs.
type testScheduler struct {
	*scheduler.Scheduler
	now    time.Time
	lastID scheduler.ID
}

func newTestScheduler(endpoints ...fleet.Endpoint) *testScheduler {
	cfg := scheduler.Version(scheduler.CurrentVersion)
	cfg.DataCenter = "hall"
	cfg.Rand = rand.New(rand.NewPCG(5, 5))
	s := &testScheduler{Scheduler: scheduler.New(cfg), now: time.Unix(1000, 0)}
	s.SetEndpoints(s.now, endpoints)
	for _, e := range endpoints {
		if e.DataCenter == "hall" {
			s.SetHomeEntries(e.ID, 1)
		}
	}
	return s
}

func (s *testScheduler) submit(prompt int, change func(*scheduler.Request)) (scheduler.ID, *outcome.Error) {
	s.lastID++
	r := scheduler.Request{ID: s.lastID, Workspace: "w", Kind: "k", Row: defaultRow, PromptTokens: prompt, ArrivedAt: s.now}
	if change != nil {
		change(&r)
	}
	return s.lastID, s.Submit(s.now, r)
}

func (s *testScheduler) dispatched() (ids []scheduler.ID) {
	for _, d := range s.Next(s.now).Dispatches {
		ids = append(ids, d.ID)
	}
	return ids
}

func makeUrgent(r *scheduler.Request) { r.Row.Priority = 9; r.Kind = "urgent" }

var _ = Describe("the scheduler", func() {
	It("queues requests behind one that does not fit, but lets urgent ones pass", func() {
		s := newTestScheduler(engineWithCapacity("e", "hall", 10_000))
		first, _ := s.submit(6000, nil)
		Expect(s.dispatched()).To(ConsistOf(first))
		large, _ := s.submit(6000, nil)
		alike, _ := s.submit(6000, nil)
		urgent, _ := s.submit(10, makeUrgent)
		Expect(s.dispatched()).To(ConsistOf(urgent))
		s.Finish(s.now, first, scheduler.Result{Complete: true, Generated: 10})
		Expect(s.dispatched()).To(ConsistOf(large))
		s.Finish(s.now, large, scheduler.Result{Complete: true, Generated: 10})
		Expect(s.dispatched()).To(ConsistOf(alike))
	})

	It("does not let a stream of small requests starve a large one", func() {
		s := newTestScheduler(engineWithCapacity("e", "hall", 10_000))
		var running []scheduler.ID
		small := func() {
			s.submit(1500, nil)
			running = append(running, s.dispatched()...)
		}
		for range 20 {
			small()
		}
		large, err := s.submit(8000, nil)
		Expect(err).To(BeNil())
		end := s.now.Add(defaultRow.MaxQueueTime)
		for s.now.Before(end) && !slices.Contains(running, large) {
			s.now = s.now.Add(100 * time.Millisecond)
			small()
			if len(running) > 0 {
				s.Finish(s.now, running[0], scheduler.Result{Complete: true, Generated: 50})
				running = running[1:]
			}
			running = append(running, s.dispatched()...)
		}
		Expect(running).To(ContainElement(large))
	})

	It("sends an urgent request even if long ones use all memory", func() {
		s := newTestScheduler(engineWithCapacity("e", "hall", 10_000))
		s.submit(30_000, nil)
		Expect(s.dispatched()).To(HaveLen(1), "an idle endpoint accepts any request")
		urgent, _ := s.submit(500, makeUrgent)
		Expect(s.dispatched()).To(ConsistOf(urgent))
	})

	It("refuses a request that has waited too long as not run, with a retry delay", func() {
		s := newTestScheduler(engineWithCapacity("e", "hall", 10_000))
		s.submit(9000, nil)
		s.dispatched()
		waiting, _ := s.submit(9000, nil)
		s.now = s.now.Add(defaultRow.MaxQueueTime + time.Second)
		refusals := s.Next(s.now).Refusals
		Expect(refusals).To(HaveLen(1))
		Expect(refusals[0].ID).To(Equal(waiting))
		Expect(refusals[0].Err.Outcome).To(Equal(outcome.NotRun))
		Expect(refusals[0].Err.RetryAfter).To(BeNumerically(">", 0))
	})

	It("refuses a request at once if it can't start in time by the observed drain rate", func() {
		s := newTestScheduler(engineWithCapacity("e", "hall", 3_000))
		var refused *outcome.Error
		running := map[scheduler.ID]time.Time{}
		for i := 0; i < 4000 && refused == nil; i++ {
			s.now = s.now.Add(50 * time.Millisecond)
			_, refused = s.submit(1000, nil)
			for _, id := range s.dispatched() {
				running[id] = s.now
			}
			for id, dispatchedAt := range running {
				if s.now.Sub(dispatchedAt) > 3*time.Second {
					s.Finish(s.now, id, scheduler.Result{Complete: true, Generated: 200})
					delete(running, id)
				}
			}
		}
		Expect(refused).NotTo(BeNil())
		Expect(refused.Code).To(Equal(outcome.CodeDeadlineUnreachable))
		Expect(refused.Outcome).To(Equal(outcome.NotRun))
	})

	It("sends no new work to a leaving or broken endpoint", func() {
		s := newTestScheduler(engineWithCapacity("a", "hall", 10_000), engineWithCapacity("b", "hall", 10_000))
		s.SetLeaving("a", true)
		for range 5 {
			id, _ := s.submit(10, nil)
			d := s.Next(s.now).Dispatches
			Expect(d).To(HaveLen(1))
			Expect(d[0].Endpoint.ID).To(Equal("b"))
			s.Finish(s.now, id, scheduler.Result{Failed: true})
			if s.Status(s.now)[1].Breaker.String() == "open" {
				break
			}
		}
		s.submit(10, nil)
		Expect(s.dispatched()).To(BeEmpty())
	})

	It("sends to another data centre only with a fresh report", func() {
		s := newTestScheduler(engineWithCapacity("near", "hall", 2_000), engineWithCapacity("far", "other", 10_000))
		s.submit(1500, nil)
		Expect(s.dispatched()).To(HaveLen(1))
		s.submit(1500, nil)
		Expect(s.dispatched()).To(BeEmpty(), "the load of the remote endpoint is unknown")
		s.Report(s.now, scheduler.Report{Endpoint: "far", Incarnation: 1, ReportedAt: s.now, CapacityTokens: 10_000})
		Expect(s.dispatched()).To(HaveLen(1))
		s.now = s.now.Add(10 * time.Second)
		s.submit(1500, nil)
		Expect(s.dispatched()).To(BeEmpty(), "the report is stale")
	})

	It("stays within its partition of an endpoint without peer state", func() {
		s := newTestScheduler(engineWithCapacity("e", "hall", 30_000))
		s.SetHomeEntries("e", 3)
		s.Report(s.now, scheduler.Report{Endpoint: "e", Incarnation: 1, ReportedAt: s.now, UsedTokens: 24_000, CapacityTokens: 30_000, Running: 5})
		sum := 0
		for range 30 {
			s.submit(1000, nil)
			sum += 1000 * len(s.dispatched())
		}
		Expect(sum).To(BeNumerically(">", 3_000))
		Expect(sum).To(BeNumerically("<=", 10_000))
	})

	It("enforces the limits of the table", func() {
		s := newTestScheduler(engineWithCapacity("e", "hall", 1<<20))
		limit := func(r *scheduler.Request) { r.Row.MaxInFlight = 2; r.Row.MaxQueued = 3 }
		for range 2 {
			s.submit(10, limit)
		}
		Expect(s.dispatched()).To(HaveLen(2))
		for range 3 {
			_, err := s.submit(10, limit)
			Expect(err).To(BeNil())
		}
		Expect(s.dispatched()).To(BeEmpty())
		_, err := s.submit(10, limit)
		Expect(err.Code).To(Equal(outcome.CodeQueueFull))
	})

	It("projects memory by the caller's bound on the output", func() {
		s := newTestScheduler(engineWithCapacity("e", "hall", 3_000))
		s.submit(100, nil)
		s.dispatched()
		unbounded, _ := s.submit(2500, nil)
		Expect(s.dispatched()).To(BeEmpty())
		Expect(s.Cancel(s.now, unbounded)).To(BeTrue())
		bounded, _ := s.submit(2500, func(r *scheduler.Request) { r.MaxTokens = 32 })
		Expect(s.dispatched()).To(ConsistOf(bounded))
	})

	It("removes a cancelled request from the queue", func() {
		s := newTestScheduler(engineWithCapacity("e", "hall", 2_000))
		s.submit(1500, nil)
		s.dispatched()
		id, _ := s.submit(1500, nil)
		Expect(s.Cancel(s.now, id)).To(BeTrue())
		Expect(s.Cancel(s.now, id)).To(BeFalse())
		Expect(s.Waiting()).To(BeZero())
	})

	It("releases all counters and memory when requests end", func() {
		s := newTestScheduler(engineWithCapacity("a", "hall", 50_000), engineWithCapacity("b", "hall", 50_000))
		rng := rand.New(rand.NewPCG(9, 9))
		var running []scheduler.ID
		for range 3000 {
			s.now = s.now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			s.submit(1+rng.IntN(3000), nil)
			running = append(running, s.dispatched()...)
			for len(running) > 5 {
				i := rng.IntN(len(running))
				s.Progress(s.now, running[i], 1+rng.IntN(500))
				s.Finish(s.now, running[i], scheduler.Result{Complete: rng.IntN(4) > 0, Generated: 500})
				running = append(running[:i], running[i+1:]...)
			}
		}
		s.now = s.now.Add(time.Hour)
		s.Next(s.now)
		for _, id := range running {
			s.Finish(s.now, id, scheduler.Result{})
		}
		for _, st := range s.Status(s.now) {
			Expect(st.Running).To(BeZero())
			Expect(st.Projected.Max()).To(BeZero())
		}
		k := limits.Key{Workspace: "w", Kind: "k"}
		Expect(s.InFlight().TotalUsage(k)).To(BeZero())
		Expect(s.Queued().TotalUsage(k)).To(BeZero())
	})
})

func ExampleScheduler() {
	now := time.Unix(0, 0)
	s := scheduler.New(scheduler.Version(scheduler.CurrentVersion))
	s.SetEndpoints(now, []fleet.Endpoint{{ID: "engine-1", Type: fleet.Engine, Targets: []string{"m"}, CapacityTokens: 16_000, MaxRunning: 64}})
	s.SetHomeEntries("engine-1", 1)
	r := scheduler.Request{ID: 1, Workspace: "w", Kind: "k", Row: defaultRow, PromptTokens: 300, ArrivedAt: now}
	if err := s.Submit(now, r); err == nil {
		for _, d := range s.Next(now).Dispatches {
			fmt.Println(d.ID, d.Endpoint.ID)
		}
	}
	s.Finish(now, 1, scheduler.Result{Complete: true, Generated: 120})
	// Output: 1 engine-1
}
