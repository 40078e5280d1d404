package peering

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// readsOf counts the reads of engines within 30 s, of which some run requests, by an entry that is
// alone.
func readsOf(engines, busy int) (reads int, ageOfIdle time.Duration) {
	policy := scheduler.Version(scheduler.ForwardingVersion)
	policy.DataCenter = "dc"
	s := scheduler.New(policy)
	view := membership.New(membership.Config{VM: "vm-0", DataCenter: "dc", Epoch: 1, Incarnation: make([]byte, 16)})
	b := NewBeliefs(view, dispatch.New(s), 1, func(drain.Leave, string) {})
	var list []fleet.Endpoint
	for i := range engines {
		list = append(list, fleet.Endpoint{ID: fmt.Sprint("e-", i), Type: fleet.Engine, DataCenter: "dc", Targets: []string{"t"}, MaxRunning: 8, CapacityTokens: 10_000, Incarnation: 5})
	}
	b.ApplyFleet((&fleet.List{}).WithEndpoints(list))
	for range 30 {
		now := time.Now()
		for _, e := range b.ToPoll(now) {
			reads++
			r := scheduler.Report{Endpoint: e.ID, Incarnation: 5, ReportedAt: now, CapacityTokens: 10_000}
			if e.ID < fmt.Sprint("e-", busy) && len(e.ID) == len("e-0") {
				r.Running, r.UsedTokens = 1, 100
			}
			b.Polled(r, false)
		}
		time.Sleep(time.Second)
	}
	loads := loadsOut(time.Now(), b.reports)
	oldest := time.Duration(0)
	for _, age := range loads.GetAges() {
		oldest = max(oldest, time.Duration(age)*ageStep)
	}
	return reads, oldest
}

// Engines that hold no work were read as often as the others, so that reads grew with the engines
// and not with the requests.
func TestReadsGrowWithTheWorkAndNotWithTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		small, _ := readsOf(100, 5)
		large, oldest := readsOf(200, 5)
		g.Expect(small).To(BeNumerically("<=", 5*30+95*3))
		g.Expect(large).To(BeNumerically("<=", 5*30+195*3))
		g.Expect(oldest).To(BeNumerically("<=", 2*time.Second), "what isn't read is still known")
	})
}

// An engine that is told to have been sent a prompt is read at once.
func TestAnIdleEngineIsReadWhenAPromptIsSentThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		policy := scheduler.Version(scheduler.ForwardingVersion)
		policy.DataCenter = "dc"
		view := membership.New(membership.Config{VM: "vm-0", DataCenter: "dc", Epoch: 1, Incarnation: make([]byte, 16)})
		b := NewBeliefs(view, dispatch.New(scheduler.New(policy)), 1, func(drain.Leave, string) {})
		e := fleet.Endpoint{ID: "e", Type: fleet.Engine, DataCenter: "dc", Targets: []string{"t"}, MaxRunning: 8, CapacityTokens: 10_000, Incarnation: 5}
		b.ApplyFleet((&fleet.List{}).WithEndpoints([]fleet.Endpoint{e}))
		read := func() {
			b.Polled(scheduler.Report{Endpoint: "e", Incarnation: 5, ReportedAt: time.Now(), CapacityTokens: 10_000}, false)
		}
		g.Expect(b.ToPoll(time.Now())).To(HaveLen(1), "never read")
		read()
		time.Sleep(time.Second)
		g.Expect(b.ToPoll(time.Now())).To(BeEmpty())
		b.PromptSent(LifeHash(e.Instance()), 500)
		g.Expect(b.ToPoll(time.Now())).To(HaveLen(1))
		b.PromptRead(LifeHash(e.Instance()), 500)
		time.Sleep(time.Second)
		g.Expect(b.ToPoll(time.Now())).To(HaveLen(1), "it runs, and no report shows it yet")
		read()
		time.Sleep(time.Second)
		g.Expect(b.ToPoll(time.Now())).To(BeEmpty())
		time.Sleep(IdleReadEvery)
		g.Expect(b.ToPoll(time.Now())).To(HaveLen(1), "read now and then")
	})
}
