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

// Starts of an engine, one after the other, in milliseconds.
const (
	firstStart  = 1_764_700_000_000
	secondStart = 1_764_700_060_000
)

// life is the list of one engine that started then.
func life(start uint64, state fleet.State) *fleet.List {
	list := hall(1)
	e := list.Endpoints[0]
	e.Incarnation, e.State = start, state
	return list.WithEndpoints([]fleet.Endpoint{e})
}

// full is a report of an engine that is full, as it tells it itself.
func full(now time.Time, start uint64) scheduler.Report {
	return scheduler.Report{Endpoint: "engine-000", Incarnation: start, ReportedAt: now, UsedTokens: 34_000, CapacityTokens: 34_000, Running: 24, Waiting: 9}
}

// teller is another entry, which knows a life only and tells of it.
func teller(now time.Time, dataCenter string, start uint64) *Beliefs {
	b, _ := loadsOf("teller", dataCenter, life(start, fleet.Live))
	b.ToPoll(now)
	b.Polled(full(now, start), true)
	b.Beat(now, nil)
	return b
}

// lateNews are all ways by which news of a life comes, but for the list.
func lateNews(now time.Time, start uint64) map[string]func(*Beliefs) {
	one := drain.Leave{Endpoint: "engine-000", Incarnation: start}
	return map[string]func(*Beliefs){
		"a report":                 func(b *Beliefs) { b.Polled(full(now, start), false) },
		"a report of its leaving":  func(b *Beliefs) { b.Polled(full(now, start), true) },
		"an answer of its leaving": func(b *Beliefs) { b.Leave(one, SourceEndpoint) },
		"a peer's record":          func(b *Beliefs) { b.Merge(now, []*peerv1.NodeRecord{teller(now, "hall", start).view.Self()}) },
		"a record of another data centre": func(b *Beliefs) {
			b.Merge(now, []*peerv1.NodeRecord{teller(now, "annex", start).view.Self()})
		},
		"a datagram of a prompt": func(b *Beliefs) { b.PromptSent(LifeHash(fleet.Instance(one)), 9000) },
		"loads of another data centre": func(b *Beliefs) {
			from, s := loadsOf("from", "hall", life(start, fleet.Live))
			s.Report(now, full(now, start))
			b.TakeLoads(from.Loads(first))
		},
	}
}

// expectEmpty says that nothing is believed of the engine.
func expectEmpty(g *WithT, b *Beliefs, s *scheduler.Scheduler, now time.Time) {
	st := s.Status(now)[0]
	g.Expect(st.Leaving).To(BeFalse())
	g.Expect(st.PrefillBacklog).To(BeZero())
	g.Expect(st.PeersRunning).To(BeZero())
	g.Expect(b.Leaving(b.list.Endpoints[0])).To(BeFalse())
	g.Expect(b.toldLeaves(now)).To(BeEmpty())
	b.Beat(now.Add(2*PayloadEvery), nil)
	g.Expect(b.view.Self().GetLoads().GetEndpoints()).To(BeEmpty(), "others aren't told either")
}

// TestNewsOfAnEarlierLife: whatever comes late of a life that is over changes nothing of
// what is believed of the next, at entries of the engine's data centre and of another.
func TestNewsOfAnEarlierLife(t *testing.T) {
	for _, dataCenter := range []string{"hall", "annex"} {
		for name := range lateNews(time.Time{}, firstStart) {
			t.Run(name+" at "+dataCenter, func(t *testing.T) {
				g := NewWithT(t)
				now := time.Now()
				b, s := loadsOf("hears", dataCenter, life(firstStart, fleet.Leaving))
				b.ToPoll(now)
				b.ApplyFleet(life(secondStart, fleet.Live))
				lateNews(now, firstStart)[name](b)
				expectEmpty(g, b, s, now)
			})
		}
	}
}

// TestNewsOfALifeBeforeItsEnd: the same, if the news came before the engine started again.
func TestNewsOfALifeBeforeItsEnd(t *testing.T) {
	for _, dataCenter := range []string{"hall", "annex"} {
		for name := range lateNews(time.Time{}, firstStart) {
			t.Run(name+" at "+dataCenter, func(t *testing.T) {
				g := NewWithT(t)
				now := time.Now()
				b, s := loadsOf("hears", dataCenter, life(firstStart, fleet.Live))
				b.ToPoll(now)
				lateNews(now, firstStart)[name](b)
				b.ApplyFleet(life(secondStart, fleet.Live))
				expectEmpty(g, b, s, now)
			})
		}
	}
}

// TestNewsOfALifeCountsInIt is the other side: the same news of the life that is listed.
func TestNewsOfALifeCountsInIt(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	counts := func(name, dataCenter string) scheduler.EndpointStatus {
		b, s := loadsOf("hears", dataCenter, life(firstStart, fleet.Live))
		b.ApplyFleet(life(secondStart, fleet.Live))
		if name == "a report" || name == "a report of its leaving" {
			b.ToPoll(now)
		}
		lateNews(now, secondStart)[name](b)
		return s.Status(now)[0]
	}
	for _, name := range []string{"a report of its leaving", "an answer of its leaving", "a peer's record", "a record of another data centre"} {
		g.Expect(counts(name, "hall").Leaving).To(BeTrue(), name)
	}
	for _, name := range []string{"a report", "a peer's record", "a datagram of a prompt"} {
		g.Expect(counts(name, "hall").PrefillBacklog).To(BeNumerically(">", 0), name)
	}
	g.Expect(counts("loads of another data centre", "annex").PrefillBacklog).To(BeNumerically(">", 0))
}

// TestALeaveOfALaterLifeIsKept: news of it may come before the list shows that life. The
// one that the list still shows is over, and the next takes no work from its first moment.
func TestALeaveOfALaterLifeIsKept(t *testing.T) {
	g := NewWithT(t)
	b, s := loadsOf("hears", "hall", life(firstStart, fleet.Live))
	b.Leave(drain.Leave{Endpoint: "engine-000", Incarnation: secondStart}, "teller")
	g.Expect(s.Status(time.Now())[0].Leaving).To(BeTrue())
	b.ApplyFleet(life(firstStart, fleet.Leaving))
	b.ApplyFleet(life(secondStart, fleet.Live))
	g.Expect(s.Status(time.Now())[0].Leaving).To(BeTrue())
	g.Expect(b.toldLeaves(time.Now())).To(HaveLen(1))
}

// TestAClockThatWasSetBack: the list takes an engine to a start that is earlier by its own
// clock. What was known of the other is over, also when it comes once more.
func TestAClockThatWasSetBack(t *testing.T) {
	for name := range lateNews(time.Time{}, secondStart) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Now()
			b, s := loadsOf("hears", "hall", life(secondStart, fleet.Leaving))
			b.ToPoll(now)
			lateNews(now, secondStart)[name](b)
			b.ApplyFleet(life(firstStart, fleet.Live))
			expectEmpty(g, b, s, now)
			lateNews(now, secondStart)[name](b)
			expectEmpty(g, b, s, now)
			b.Leave(drain.Leave{Endpoint: "engine-000", Incarnation: firstStart}, SourceEndpoint)
			g.Expect(s.Status(now)[0].Leaving).To(BeTrue(), "its own leave counts")
		})
	}
}

// TestAnEngineThatTellsNoStart is named as before, so that entries of both versions
// understand each other.
func TestAnEngineThatTellsNoStart(t *testing.T) {
	g := NewWithT(t)
	const asBefore = 0xe7d24ffa
	g.Expect(LifeHash(fleet.Instance{Endpoint: "engine-000", Incarnation: 1})).To(Equal(uint32(asBefore)))
	g.Expect(LifeHash(fleet.Instance{Endpoint: "engine-000"})).To(Equal(uint32(asBefore)))
	g.Expect(LifeHash(fleet.Instance{Endpoint: "engine-000", Incarnation: firstStart})).NotTo(Equal(uint32(asBefore)))
	now := time.Now()
	b, s := loadsOf("hears", "hall", hall(1))
	b.ToPoll(now)
	b.Polled(full(now, 1), true)
	g.Expect(s.Status(now)[0].Leaving).To(BeTrue())
	b.ApplyFleet(hall(1))
	g.Expect(s.Status(now)[0].Leaving).To(BeTrue(), "no start tells that it is another life")
}
