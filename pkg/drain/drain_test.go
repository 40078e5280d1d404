package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bridgehoist/bridgehoist/internal/fixedseed"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
)

func init() { fixedseed.Set() }

const endpoint = "engine-1"

// TestLeavesApplyPerIncarnation restarts an endpoint repeatedly, mostly with a higher incarnation
// than before. Leaves of all its incarnations so far arrive in any order, any number of times.
// The listed incarnation is leaving if and only if a leave of it has arrived while it was listed.
func TestLeavesApplyPerIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drain.New()
		incarnations := []uint64{}
		leaving := map[uint64]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(incarnations) == 0 || rapid.IntRange(0, 3).Draw(t, "start again") == 0 {
				incarnations = append(incarnations, drawIncarnation(t, incarnations))
			} else {
				incarnation := rapid.SampledFrom(incarnations).Draw(t, "leave of")
				s.Add(drain.Leave{Endpoint: endpoint, Incarnation: incarnation})
				leaving[incarnation] = leaving[incarnation] || incarnation == incarnations[len(incarnations)-1]
			}
			current := incarnations[len(incarnations)-1]
			s.SetListed(endpoint, current)
			if s.Leaving(endpoint, current) != leaving[current] {
				t.Fatalf("incarnations %v: leaving %v, leave received %v", incarnations, !leaving[current], leaving[current])
			}
		}
	})
}

// drawIncarnation draws an incarnation that isn't among the earlier ones. One in five is below the
// latest one, as after a clock was set back.
func drawIncarnation(t *rapid.T, earlier []uint64) uint64 {
	const maxStep = 1000
	highest := uint64(maxStep)
	used := map[uint64]bool{}
	for _, incarnation := range earlier {
		highest = max(highest, incarnation)
		used[incarnation] = true
	}
	if len(earlier) == 0 || rapid.IntRange(0, 4).Draw(t, "set back") > 0 {
		return highest + uint64(rapid.IntRange(1, maxStep).Draw(t, "later"))
	}
	incarnation := uint64(rapid.IntRange(1, int(earlier[len(earlier)-1])).Draw(t, "earlier"))
	for used[incarnation] {
		incarnation = highest + 1
		highest++
	}
	return incarnation
}

// TestLeaveAheadOfList checks that a leave of an incarnation that isn't listed yet is recorded,
// that the listed lower incarnation is leaving, and that the next incarnation ends the leave.
func TestLeaveAheadOfList(t *testing.T) {
	g := NewWithT(t)
	s := drain.New()
	s.SetListed(endpoint, 4)
	g.Expect(s.Add(drain.Leave{Endpoint: endpoint, Incarnation: 5})).To(BeTrue())
	s.SetListed(endpoint, 4)
	g.Expect(s.Leaving(endpoint, 4)).To(BeTrue())
	s.SetListed(endpoint, 5)
	g.Expect(s.Leaving(endpoint, 5)).To(BeTrue())
	g.Expect(s.Contains(drain.Leave{Endpoint: endpoint, Incarnation: 5})).To(BeTrue())
	s.SetListed(endpoint, 6)
	g.Expect(s.Leaving(endpoint, 6)).To(BeFalse())
	g.Expect(s.All()).To(BeEmpty())
}

// TestLeaveSurvivesLapsedRecord checks that a leave is retained while the endpoint's record has
// lapsed, and deleted once the endpoint hasn't been listed for UnlistedRetention.
func TestLeaveSurvivesLapsedRecord(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	listed := true
	s := drain.New()
	prune := func() { s.Prune(now, func(string) bool { return listed }) }
	s.SetListed(endpoint, 5)
	s.Add(drain.Leave{Endpoint: endpoint, Incarnation: 5})
	for range 3 {
		listed = false
		prune()
		now = now.Add(drain.UnlistedRetention - time.Second)
		prune()
		listed = true
		prune()
		g.Expect(s.Leaving(endpoint, 5)).To(BeTrue(), "its record reappeared unchanged")
	}
	listed = false
	prune()
	now = now.Add(drain.UnlistedRetention)
	prune()
	g.Expect(s.Leaving(endpoint, 5)).To(BeFalse())
}
