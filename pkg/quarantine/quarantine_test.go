package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bridgehoist/bridgehoist/internal/fixedseed"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

func init() { fixedseed.Set() }

var start = time.Unix(1000, 0)

// identityOf returns an identity derived from a name.
func identityOf(name string) quarantine.Identity { return quarantine.IdentityOf("w", "h", name, nil) }

// termination returns the fact that an instance, given by a number, terminated under a request.
func termination(name string, instance uint64, occurredAt time.Time) quarantine.Fact {
	return quarantine.Fact{Identity: identityOf(name), EventID: instance, OccurredAt: occurredAt}
}

func statusOf(s *quarantine.Set, now time.Time, name string) quarantine.Status {
	status, _ := s.Status(now, identityOf(name))
	return status
}

func TestThreeTerminationsContain(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	g.Expect(s.Check(start, identityOf("a"))).To(BeNil())
	s.Add(start, termination("a", 1, start), termination("a", 1, start), termination("a", 2, start))
	g.Expect(statusOf(s, start, "a")).To(Equal(quarantine.Suspected), "an instance terminates once, whichever entry reports it")
	g.Expect(s.Check(start, identityOf("a"))).To(BeNil())
	s.Add(start, termination("a", 3, start))
	refusal := s.Check(start.Add(time.Minute), identityOf("a"))
	g.Expect(refusal).To(Equal(&quarantine.Refusal{Status: quarantine.Contained, Terminations: 3, RetryAfter: quarantine.ContainmentPeriod - time.Minute}))
	g.Expect(s.Check(start, identityOf("b"))).To(BeNil())
}

// TestCompletedRunClears: terminations up to a completed run, and shortly after, don't count, also
// if they are reported late. Later ones do.
func TestCompletedRunClears(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	s.Add(start, termination("a", 1, start), termination("a", 2, start), termination("a", 3, start))
	g.Expect(statusOf(s, start, "a")).To(Equal(quarantine.Contained))
	f, cleared := s.RecordCompletion(start.Add(time.Second), identityOf("a"), 7)
	g.Expect(cleared).To(BeTrue())
	now := start.Add(2 * time.Second)
	s.Add(now, f)
	g.Expect(statusOf(s, now, "a")).To(Equal(quarantine.Unknown))
	g.Expect(s.Add(now, termination("a", 4, start), termination("a", 5, now))).To(BeEmpty(), "before and shortly after the completed run")
	now = now.Add(quarantine.ClearedPeriod)
	s.Add(now, termination("a", 6, now), termination("a", 7, now))
	g.Expect(statusOf(s, now, "a")).To(Equal(quarantine.Suspected))
	s.Add(now, termination("a", 8, now))
	g.Expect(statusOf(s, now, "a")).To(Equal(quarantine.Contained))
	_, cleared = s.RecordCompletion(now, identityOf("b"), 9)
	g.Expect(cleared).To(BeFalse(), "it has no terminations")
}

// TestCompletionBeforeFirstTerminationClears: a request that completed at one entry before its
// first termination is cleared at all entries that reconcile with it.
func TestCompletionBeforeFirstTerminationClears(t *testing.T) {
	g := NewWithT(t)
	observer, peer := quarantine.New(), quarantine.New()
	observer.RecordCompletion(start, identityOf("a"), 7)
	now := start.Add(time.Second)
	for instance := range uint64(quarantine.AmbiguousThreshold) {
		peer.Add(now, termination("a", instance, now))
	}
	g.Expect(statusOf(peer, now, "a")).To(Equal(quarantine.Contained))
	reconcile(now, observer, peer)
	reconcile(now, observer, peer)
	g.Expect(statusOf(observer, now, "a")).To(Equal(quarantine.Unknown))
	g.Expect(statusOf(peer, now, "a")).To(Equal(quarantine.Unknown))
}

// TestAmbiguousRequestsAreContainedLate: requests that share all their terminations go on, since
// most of them are innocent, until AmbiguousThreshold or until a further termination shows which of
// them is the culprit.
func TestAmbiguousRequestsAreContainedLate(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	for instance := range uint64(quarantine.AmbiguousThreshold) {
		g.Expect(statusOf(s, start, "crash")).NotTo(Equal(quarantine.Contained))
		s.Add(start, termination("crash", instance, start), termination("beside", instance, start))
	}
	refusal := s.Check(start, identityOf("beside"))
	g.Expect(refusal).To(HaveField("RetryAfter", quarantine.AmbiguousPeriod))
	probeTime := start.Add(quarantine.AmbiguousPeriod)
	g.Expect(statusOf(s, probeTime, "beside")).To(Equal(quarantine.HalfOpen))
	s.Add(probeTime, termination("crash", 100, probeTime))
	g.Expect(statusOf(s, probeTime, "crash")).To(Equal(quarantine.Contained))
	g.Expect(s.Check(probeTime, identityOf("crash"))).To(HaveField("RetryAfter", quarantine.ContainmentPeriod))
	g.Expect(statusOf(s, probeTime, "beside")).To(Equal(quarantine.Unknown))
}

// TestAttributedTerminationsCountAgainstNoOther: the terminations of a culprit don't count against
// a request that ran beside it, and its own later ones do.
func TestAttributedTerminationsCountAgainstNoOther(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	for instance := range uint64(3) {
		s.Add(start, termination("beside", instance, start))
	}
	g.Expect(statusOf(s, start, "beside")).To(Equal(quarantine.Contained), "no other request is known to share them yet")
	for instance := range uint64(7) {
		s.Add(start, termination("crash", instance, start))
	}
	g.Expect(statusOf(s, start, "crash")).To(Equal(quarantine.Contained))
	g.Expect(statusOf(s, start, "beside")).To(Equal(quarantine.Unknown))
	s.Add(start, termination("beside", 10, start), termination("beside", 11, start))
	g.Expect(statusOf(s, start, "beside")).To(Equal(quarantine.Suspected))
	s.Add(start, termination("beside", 12, start))
	g.Expect(statusOf(s, start, "beside")).To(Equal(quarantine.Contained), "three terminations are its own")
}

// TestBystanderOfTwoCulprits: an innocent request that ran in two instances beside one culprit, and
// in a third beside another, isn't contained.
func TestBystanderOfTwoCulprits(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	s.Add(start, termination("crash", 1, start), termination("crash", 2, start), termination("beside", 2, start), termination("crash", 3, start), termination("beside", 3, start))
	g.Expect(statusOf(s, start, "crash")).To(Equal(quarantine.Isolated), "reports of what else ran in the first terminated instance may still arrive")
	g.Expect(statusOf(s, start.Add(300*time.Millisecond), "crash")).To(Equal(quarantine.Contained))
	g.Expect(statusOf(s, start.Add(300*time.Millisecond), "beside")).To(Equal(quarantine.Unknown))
	now := start.Add(500 * time.Millisecond)
	s.Add(now, termination("other", 4, now), termination("beside", 4, now))
	g.Expect(statusOf(s, now, "beside")).To(Equal(quarantine.Suspected))
	g.Expect(statusOf(s, now, "crash")).To(Equal(quarantine.Contained))
}

// TestProbeAfterContainment: when the containment period expires, one run at a time is permitted.
// Another termination contains the request again, and without a completed run its facts expire.
func TestProbeAfterContainment(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	s.Add(start, termination("a", 1, start), termination("a", 2, start), termination("a", 3, start))
	probeTime := start.Add(quarantine.ContainmentPeriod)
	g.Expect(statusOf(s, probeTime, "a")).To(Equal(quarantine.HalfOpen))
	probe, refusal := s.Begin(probeTime, identityOf("a"))
	g.Expect(refusal).To(BeNil())
	g.Expect(probe).To(BeTrue())
	_, refusal = s.Begin(probeTime, identityOf("a"))
	g.Expect(refusal.RetryAfter).To(Equal(time.Second))
	s.Finish(identityOf("a"))
	g.Expect(s.Check(probeTime, identityOf("a"))).To(BeNil())
	s.Add(probeTime, termination("a", 4, probeTime))
	g.Expect(statusOf(s, probeTime.Add(quarantine.ContainmentPeriod-1), "a")).To(Equal(quarantine.Contained))
	s.Expire(probeTime.Add(2 * quarantine.ContainmentPeriod))
	g.Expect(s.Empty()).To(BeTrue())
}

// TestOneEntryProbesAtATime: entries take turns to probe a half-open request.
func TestOneEntryProbesAtATime(t *testing.T) {
	g := NewWithT(t)
	const entries = 3
	sets := make([]*quarantine.Set, entries)
	for rank := range sets {
		sets[rank] = quarantine.New()
		sets[rank].SetRank(rank, entries)
		sets[rank].Add(start, termination("a", 1, start), termination("a", 2, start), termination("a", 3, start))
	}
	probes := map[int]int{}
	for now := start.Add(quarantine.ContainmentPeriod); now.Before(start.Add(quarantine.ContainmentPeriod + time.Minute)); now = now.Add(100 * time.Millisecond) {
		allowed := 0
		for rank, s := range sets {
			if s.Check(now, identityOf("a")) == nil {
				allowed++
				probes[rank]++
			}
		}
		g.Expect(allowed).To(Equal(1))
	}
	g.Expect(probes).To(Equal(map[int]int{0: 200, 1: 200, 2: 200}))
}

// TestMaxFacts: the number of facts is bounded, and the facts of requests with the most terminations
// are kept.
func TestMaxFacts(t *testing.T) {
	g := NewWithT(t)
	s := quarantine.New()
	s.Add(start, termination("crash", 1, start), termination("crash", 2, start), termination("crash", 3, start))
	for i := range uint64(3 * quarantine.MaxFacts) {
		now := start.Add(time.Duration(i) * time.Millisecond)
		s.Add(now, termination(fmt.Sprint("beside", i), 100+i, now))
	}
	g.Expect(s.Keys()).To(HaveLen(quarantine.MaxFacts))
	g.Expect(statusOf(s, start, "crash")).To(Equal(quarantine.Contained))
}

// TestEntriesConverge: entries that see terminations and completed runs in any order, and reconcile
// from time to time, derive the same status of each request.
func TestEntriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 4
		sets := make([]*quarantine.Set, entries)
		for i := range sets {
			sets[i] = quarantine.New()
		}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			set := sets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "request")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if f, cleared := set.RecordCompletion(now, identityOf(name), rand.Uint64()); cleared {
					set.Add(now, f)
				}
			case 1:
				reconcile(now, set, sets[rapid.IntRange(0, entries-1).Draw(t, "peer")])
			default:
				set.Add(now, termination(name, uint64(rapid.IntRange(1, 12).Draw(t, "life")), now))
			}
		}
		for range 2 {
			for i := range sets {
				reconcile(now, sets[i], sets[(i+1)%entries])
				reconcile(now, sets[(i+1)%entries], sets[i])
			}
		}
		for _, s := range sets[1:] {
			if fmt.Sprint(s.Keys()) != fmt.Sprint(sets[0].Keys()) {
				t.Fatalf("entries have different keys: %v and %v", s.Keys(), sets[0].Keys())
			}
			for _, name := range []string{"a", "b", "c"} {
				if statusOf(s, now, name) != statusOf(sets[0], now, name) {
					t.Fatalf("entries have different statuses of %s: %v and %v", name, statusOf(s, now, name), statusOf(sets[0], now, name))
				}
			}
		}
	})
}

// reconcile is one exchange of facts that a starts with b.
func reconcile(now time.Time, a, b *quarantine.Set) {
	missing, wanted := b.Compare(a.Keys())
	a.Add(now, missing...)
	b.Add(now, a.Facts(wanted)...)
}
