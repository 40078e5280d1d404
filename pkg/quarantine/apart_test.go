package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// TestTwoThatCrashInTurnBesideOne: an innocent request that runs in every endpoint, which
// two others end in turn, is kept apart and never contained, though it alone has all the
// ends. The two are, after an end at an endpoint of its own of one of them.
func TestTwoThatCrashInTurnBesideOne(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	now := start
	for life := range uint64(6) {
		now = now.Add(50 * time.Millisecond)
		crash := []string{"crash 0", "crash 1"}[life%2]
		// What ran in the life is told by two entries, one after the other, in either order.
		facts := []quarantine.Fact{end(crash, life, now), end("all", life, now)}
		for i := range facts {
			one := facts[(i+int(life/2))%2]
			sent := now.Add(-20 * time.Millisecond)
			if one.Identity == named("all") {
				sent = start
			}
			if s.Evidence(now, one.Identity, sent) {
				s.Add(now, one)
			}
			g.Expect(s.Check(now, named("all"))).To(BeNil(), "life %d", life)
		}
	}
	g.Expect(standing(s, now, "all")).To(Equal(quarantine.Apart))
	now = now.Add(time.Second)
	s.Add(now, end("crash 0", 100, now))
	g.Expect(standing(s, now, "crash 0")).To(Equal(quarantine.Apart), "who saw another there may not have told yet")
	now = now.Add(300 * time.Millisecond)
	g.Expect(s.Check(now, named("crash 0"))).To(HaveField("RetryAfter", quarantine.Hold-300*time.Millisecond))
	g.Expect(standing(s, now, "crash 1")).To(Equal(quarantine.Contained), "what the other one doesn't explain")
	g.Expect(standing(s, now, "all")).To(Equal(quarantine.Unknown))
	g.Expect(s.KeptApart(now)).To(BeEmpty())
}

// TestWhatOthersExplainAltogether is acquitted, also where it was contained before them.
func TestWhatOthersExplainAltogether(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	for life := range uint64(3) {
		s.Add(start, end("beside", life, start))
	}
	g.Expect(standing(s, start, "beside")).To(Equal(quarantine.Contained), "nobody else was seen")
	later := start.Add(time.Second)
	// It was seen in the same lives, by who heard of their ends a moment later.
	seen := start.Add(time.Millisecond)
	s.Add(later, end("crash", 0, seen), end("crash", 1, seen), end("crash", 2, seen))
	for life := range uint64(3) {
		s.Add(later, end("crash", 10+life, later))
	}
	g.Expect(standing(s, later, "crash")).To(Equal(quarantine.Contained))
	g.Expect(standing(s, later, "beside")).To(Equal(quarantine.Unknown))
}

// TestOneEndBesideEachOfThree: an innocent request has ended with three others, once each, and
// was contained before these had enough ends of their own. It is acquitted then.
func TestOneEndBesideEachOfThree(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	for life := range uint64(3) {
		s.Add(start, end("beside", life, start), end(fmt.Sprint("crash ", life), life, start))
	}
	now := start.Add(time.Second)
	g.Expect(standing(s, now, "beside")).To(Equal(quarantine.Contained), "it alone explains all")
	for crash := range uint64(3) {
		for life := range uint64(3) {
			s.Add(now, end(fmt.Sprint("crash ", crash), 10*(crash+1)+life, now))
		}
	}
	for crash := range 3 {
		g.Expect(standing(s, now, fmt.Sprint("crash ", crash))).To(Equal(quarantine.Contained))
	}
	g.Expect(standing(s, now, "beside")).To(Equal(quarantine.Unknown))
}

// TestWhoHadEnoughEndsFirst explains first: an innocent request that ran beside two that crash
// has more ends than either, one of which nobody else is known to share yet.
func TestWhoHadEnoughEndsFirst(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	s.Add(start, end("crash", 1, start), end("crash", 2, start), end("crash", 3, start), end("beside", 2, start), end("beside", 3, start))
	now := start.Add(time.Second)
	s.Add(now, end("other", 4, now), end("beside", 4, now), end("beside", 5, now))
	g.Expect(standing(s, now, "crash")).To(Equal(quarantine.Contained))
	g.Expect(standing(s, now.Add(time.Second), "beside")).To(Equal(quarantine.Suspected))
}

// TestWhatRanBeforeIsNoEvidence: a request that is kept apart answers for what was sent since.
func TestWhatRanBeforeIsNoEvidence(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	for life := range uint64(3) {
		s.Add(start, end("a", life, start), end("b", life, start))
	}
	since, apart := s.ApartSince(start, named("a"))
	g.Expect(apart).To(BeTrue())
	g.Expect(since).To(Equal(start))
	g.Expect(s.Evidence(start, named("a"), start.Add(-time.Second))).To(BeFalse())
	g.Expect(s.Evidence(start, named("a"), start.Add(time.Second))).To(BeTrue())
	g.Expect(s.Evidence(start, named("c"), start.Add(-time.Second))).To(BeTrue(), "it isn't kept apart")
}

// TestAssign: requests have endpoints of their own as long as there are enough, whoever chooses.
func TestAssign(t *testing.T) {
	g := NewWithT(t)
	endpoints := []string{"e0", "e1", "e2"}
	for try := range 20 {
		var requests []quarantine.KeptApart
		for n := range 5 {
			requests = append(requests, quarantine.KeptApart{Identity: named(fmt.Sprint(try, n))})
		}
		assigned := quarantine.Assign(requests, endpoints)
		count := map[int]int{}
		for i, r := range requests {
			g.Expect(assigned).To(HaveKey(r.Identity))
			count[assigned[r.Identity]]++
			if i == 2 {
				g.Expect(count).To(Equal(map[int]int{0: 1, 1: 1, 2: 1}))
			}
		}
		g.Expect(quarantine.Assign(requests, nil)).To(BeEmpty())
	}
}

// TestEndsOf: the ends that entries tell of are counted one after the other.
func TestEndsOf(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	listed := fleet.Instance{Endpoint: "e", Incarnation: 7}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	g.Expect(s.EndsOf(listed, at(9))).To(BeZero())
	s.Add(at(9), end("a", quarantine.MarkOf(listed, 0), at(1)), end("b", quarantine.MarkOf(listed, 1), at(3)))
	g.Expect(s.EndsOf(listed, at(0))).To(BeZero(), "before the first")
	g.Expect(s.EndsOf(listed, at(2))).To(Equal(1))
	g.Expect(s.EndsOf(listed, at(4))).To(Equal(2))
	g.Expect(s.EndsOf(fleet.Instance{Endpoint: "e", Incarnation: 8}, at(9))).To(BeZero())
}
