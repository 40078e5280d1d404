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

// TestLivesLeaveForThemselves: an endpoint starts again and again, most often with a higher
// incarnation than before. Leaves of all its lives so far come in any order, any number of
// times. The life on the list is out if and only if a leave of it has come.
func TestLivesLeaveForThemselves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drain.New()
		lives := []uint64{}
		left := map[uint64]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(lives) == 0 || rapid.IntRange(0, 3).Draw(t, "start again") == 0 {
				lives = append(lives, nextStart(t, lives))
			} else {
				l := rapid.SampledFrom(lives).Draw(t, "leave of")
				s.Add(drain.Leave{Endpoint: endpoint, Incarnation: l})
				left[l] = left[l] || l == lives[len(lives)-1]
			}
			now := lives[len(lives)-1]
			s.Listed(endpoint, now)
			if s.Leaving(endpoint, now) != left[now] {
				t.Fatalf("lives %v: leaving %v, a leave has come: %v", lives, !left[now], left[now])
			}
		}
	})
}

// nextStart draws a start that no life had. One in five is before the latest, by a clock
// that was set back.
func nextStart(t *rapid.T, lives []uint64) uint64 {
	const space = 1000
	highest := uint64(space)
	used := map[uint64]bool{}
	for _, l := range lives {
		highest = max(highest, l)
		used[l] = true
	}
	if len(lives) == 0 || rapid.IntRange(0, 4).Draw(t, "set back") > 0 {
		return highest + uint64(rapid.IntRange(1, space).Draw(t, "later"))
	}
	start := uint64(rapid.IntRange(1, int(lives[len(lives)-1])).Draw(t, "earlier"))
	for used[start] {
		start = highest + 1
		highest++
	}
	return start
}

// TestAListThatLags: a leave of a life that the list doesn't show yet is kept for it, and
// the life that it shows is out, whatever else the list brings meanwhile.
func TestAListThatLags(t *testing.T) {
	g := NewWithT(t)
	s := drain.New()
	s.Listed(endpoint, 4)
	g.Expect(s.Add(drain.Leave{Endpoint: endpoint, Incarnation: 5})).To(BeTrue())
	s.Listed(endpoint, 4)
	g.Expect(s.Leaving(endpoint, 4)).To(BeTrue())
	s.Listed(endpoint, 5)
	g.Expect(s.Leaving(endpoint, 5)).To(BeTrue())
	g.Expect(s.Holds(drain.Leave{Endpoint: endpoint, Incarnation: 5})).To(BeTrue())
	s.Listed(endpoint, 6)
	g.Expect(s.Leaving(endpoint, 6)).To(BeFalse())
	g.Expect(s.All()).To(BeEmpty())
}

// TestALeaveOutlastsALapsedRecord: what an endpoint said of itself holds while its record is
// gone for a while, and is forgotten when it stays away.
func TestALeaveOutlastsALapsedRecord(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	listed := true
	s := drain.New()
	keep := func() { s.Keep(now, func(string) bool { return listed }) }
	s.Listed(endpoint, 5)
	s.Add(drain.Leave{Endpoint: endpoint, Incarnation: 5})
	for range 3 {
		listed = false
		keep()
		now = now.Add(drain.UnlistedFor - time.Second)
		keep()
		listed = true
		keep()
		g.Expect(s.Leaving(endpoint, 5)).To(BeTrue(), "it came back as it was")
	}
	listed = false
	keep()
	now = now.Add(drain.UnlistedFor)
	keep()
	g.Expect(s.Leaving(endpoint, 5)).To(BeFalse())
}
