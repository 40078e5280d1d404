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
	b := &testScheduler{Scheduler: scheduler.New(cfg), now: time.Unix(1000, 0)}
	b.SetEndpoints(b.now, endpoints)
	for _, e := range endpoints {
		if e.DataCenter == "hall" {
			b.SetHome(e.ID, 1)
		}
	}
	return b
}

func (b *testScheduler) submit(prompt int, change func(*scheduler.Request)) (scheduler.ID, *outcome.Error) {
	b.lastID++
	r := scheduler.Request{ID: b.lastID, Workspace: "w", Kind: "k", Row: defaultRow, PromptTokens: prompt, ArrivedAt: b.now}
	if change != nil {
		change(&r)
	}
	return b.lastID, b.Submit(b.now, r)
}

func (b *testScheduler) dispatched() (ids []scheduler.ID) {
	for _, d := range b.Next(b.now).Dispatches {
		ids = append(ids, d.ID)
	}
	return ids
}

func makeUrgent(r *scheduler.Request) { r.Row.Priority = 9; r.Kind = "urgent" }

var _ = Describe("the scheduler", func() {
	It("queues requests behind one that does not fit, but lets urgent ones pass", func() {
		b := newTestScheduler(engineWithCapacity("e", "hall", 10_000))
		first, _ := b.submit(6000, nil)
		Expect(b.dispatched()).To(ConsistOf(first))
		large, _ := b.submit(6000, nil)
		alike, _ := b.submit(6000, nil)
		urgent, _ := b.submit(10, makeUrgent)
		Expect(b.dispatched()).To(ConsistOf(urgent))
		b.Finish(b.now, first, scheduler.Result{Complete: true, Generated: 10})
		Expect(b.dispatched()).To(ConsistOf(large))
		b.Finish(b.now, large, scheduler.Result{Complete: true, Generated: 10})
		Expect(b.dispatched()).To(ConsistOf(alike))
	})

	It("does not let a stream of small requests starve a large one", func() {
		b := newTestScheduler(engineWithCapacity("e", "hall", 10_000))
		var running []scheduler.ID
		small := func() {
			b.submit(1500, nil)
			running = append(running, b.dispatched()...)
		}
		for range 20 {
			small()
		}
		large, err := b.submit(8000, nil)
		Expect(err).To(BeNil())
		end := b.now.Add(defaultRow.MaxQueueTime)
		for b.now.Before(end) && !slices.Contains(running, large) {
			b.now = b.now.Add(100 * time.Millisecond)
			small()
			if len(running) > 0 {
				b.Finish(b.now, running[0], scheduler.Result{Complete: true, Generated: 50})
				running = running[1:]
			}
			running = append(running, b.dispatched()...)
		}
		Expect(running).To(ContainElement(large))
	})

	It("sends an urgent request even if long ones use all memory", func() {
		b := newTestScheduler(engineWithCapacity("e", "hall", 10_000))
		b.submit(30_000, nil)
		Expect(b.dispatched()).To(HaveLen(1), "an idle endpoint accepts any request")
		urgent, _ := b.submit(500, makeUrgent)
		Expect(b.dispatched()).To(ConsistOf(urgent))
	})

	It("refuses a request that has waited too long as not run, with a retry delay", func() {
		b := newTestScheduler(engineWithCapacity("e", "hall", 10_000))
		b.submit(9000, nil)
		b.dispatched()
		waiting, _ := b.submit(9000, nil)
		b.now = b.now.Add(defaultRow.MaxQueueTime + time.Second)
		refusals := b.Next(b.now).Refusals
		Expect(refusals).To(HaveLen(1))
		Expect(refusals[0].ID).To(Equal(waiting))
		Expect(refusals[0].Err.Outcome).To(Equal(outcome.NotRun))
		Expect(refusals[0].Err.RetryAfter).To(BeNumerically(">", 0))
	})

	It("refuses a request at once if it can't start in time by the observed drain rate", func() {
		b := newTestScheduler(engineWithCapacity("e", "hall", 3_000))
		var refused *outcome.Error
		running := map[scheduler.ID]time.Time{}
		for i := 0; i < 4000 && refused == nil; i++ {
			b.now = b.now.Add(50 * time.Millisecond)
			_, refused = b.submit(1000, nil)
			for _, id := range b.dispatched() {
				running[id] = b.now
			}
			for id, dispatchedAt := range running {
				if b.now.Sub(dispatchedAt) > 3*time.Second {
					b.Finish(b.now, id, scheduler.Result{Complete: true, Generated: 200})
					delete(running, id)
				}
			}
		}
		Expect(refused).NotTo(BeNil())
		Expect(refused.Code).To(Equal(outcome.CodeDeadlineUnreachable))
		Expect(refused.Outcome).To(Equal(outcome.NotRun))
	})

	It("sends no new work to a leaving or broken endpoint", func() {
		b := newTestScheduler(engineWithCapacity("a", "hall", 10_000), engineWithCapacity("b", "hall", 10_000))
		b.SetLeaving("a", true)
		for range 5 {
			id, _ := b.submit(10, nil)
			d := b.Next(b.now).Dispatches
			Expect(d).To(HaveLen(1))
			Expect(d[0].Endpoint.ID).To(Equal("b"))
			b.Finish(b.now, id, scheduler.Result{Failed: true})
			if b.Status(b.now)[1].Breaker.String() == "open" {
				break
			}
		}
		b.submit(10, nil)
		Expect(b.dispatched()).To(BeEmpty())
	})

	It("sends to another data centre only with a fresh report", func() {
		b := newTestScheduler(engineWithCapacity("near", "hall", 2_000), engineWithCapacity("far", "other", 10_000))
		b.submit(1500, nil)
		Expect(b.dispatched()).To(HaveLen(1))
		b.submit(1500, nil)
		Expect(b.dispatched()).To(BeEmpty(), "the load of the remote endpoint is unknown")
		b.Report(b.now, scheduler.Report{Endpoint: "far", Incarnation: 1, ReportedAt: b.now, CapacityTokens: 10_000})
		Expect(b.dispatched()).To(HaveLen(1))
		b.now = b.now.Add(10 * time.Second)
		b.submit(1500, nil)
		Expect(b.dispatched()).To(BeEmpty(), "the report is stale")
	})

	It("stays within its part of an endpoint without peer state", func() {
		b := newTestScheduler(engineWithCapacity("e", "hall", 30_000))
		b.SetHome("e", 3)
		b.Report(b.now, scheduler.Report{Endpoint: "e", Incarnation: 1, ReportedAt: b.now, UsedTokens: 24_000, CapacityTokens: 30_000, Running: 5})
		sum := 0
		for range 30 {
			b.submit(1000, nil)
			sum += 1000 * len(b.dispatched())
		}
		Expect(sum).To(BeNumerically(">", 3_000))
		Expect(sum).To(BeNumerically("<=", 10_000))
	})

	It("enforces the limits of the table", func() {
		b := newTestScheduler(engineWithCapacity("e", "hall", 1<<20))
		limit := func(r *scheduler.Request) { r.Row.MaxInFlight = 2; r.Row.MaxQueued = 3 }
		for range 2 {
			b.submit(10, limit)
		}
		Expect(b.dispatched()).To(HaveLen(2))
		for range 3 {
			_, err := b.submit(10, limit)
			Expect(err).To(BeNil())
		}
		Expect(b.dispatched()).To(BeEmpty())
		_, err := b.submit(10, limit)
		Expect(err.Code).To(Equal(outcome.CodeQueueFull))
	})

	It("projects memory by the caller's bound on the output", func() {
		b := newTestScheduler(engineWithCapacity("e", "hall", 3_000))
		b.submit(100, nil)
		b.dispatched()
		unbounded, _ := b.submit(2500, nil)
		Expect(b.dispatched()).To(BeEmpty())
		Expect(b.Cancel(b.now, unbounded)).To(BeTrue())
		bounded, _ := b.submit(2500, func(r *scheduler.Request) { r.MaxTokens = 32 })
		Expect(b.dispatched()).To(ConsistOf(bounded))
	})

	It("removes a cancelled request from the queue", func() {
		b := newTestScheduler(engineWithCapacity("e", "hall", 2_000))
		b.submit(1500, nil)
		b.dispatched()
		id, _ := b.submit(1500, nil)
		Expect(b.Cancel(b.now, id)).To(BeTrue())
		Expect(b.Cancel(b.now, id)).To(BeFalse())
		Expect(b.Waiting()).To(BeZero())
	})

	It("releases all counters and memory when requests end", func() {
		b := newTestScheduler(engineWithCapacity("a", "hall", 50_000), engineWithCapacity("b", "hall", 50_000))
		rng := rand.New(rand.NewPCG(9, 9))
		var running []scheduler.ID
		for range 3000 {
			b.now = b.now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			b.submit(1+rng.IntN(3000), nil)
			running = append(running, b.dispatched()...)
			for len(running) > 5 {
				i := rng.IntN(len(running))
				b.Progress(b.now, running[i], 1+rng.IntN(500))
				b.Finish(b.now, running[i], scheduler.Result{Complete: rng.IntN(4) > 0, Generated: 500})
				running = append(running[:i], running[i+1:]...)
			}
		}
		b.now = b.now.Add(time.Hour)
		b.Next(b.now)
		for _, id := range running {
			b.Finish(b.now, id, scheduler.Result{})
		}
		for _, st := range b.Status(b.now) {
			Expect(st.Running).To(BeZero())
			Expect(st.Projected.Max()).To(BeZero())
		}
		k := limits.Key{Workspace: "w", Kind: "k"}
		Expect(b.InFlight().TotalUsage(k)).To(BeZero())
		Expect(b.Queued().TotalUsage(k)).To(BeZero())
	})
})

func ExampleScheduler() {
	now := time.Unix(0, 0)
	s := scheduler.New(scheduler.Version(scheduler.CurrentVersion))
	s.SetEndpoints(now, []fleet.Endpoint{{ID: "engine-1", Type: fleet.Engine, Targets: []string{"m"}, CapacityTokens: 16_000, MaxRunning: 64}})
	s.SetHome("engine-1", 1)
	r := scheduler.Request{ID: 1, Workspace: "w", Kind: "k", Row: defaultRow, PromptTokens: 300, ArrivedAt: now}
	if err := s.Submit(now, r); err == nil {
		for _, d := range s.Next(now).Dispatches {
			fmt.Println(d.ID, d.Endpoint.ID)
		}
	}
	s.Finish(now, 1, scheduler.Result{Complete: true, Generated: 120})
	// Output: 1 engine-1
}
