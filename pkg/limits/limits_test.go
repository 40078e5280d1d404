package limits_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/limits"
)

var key = limits.Key{Workspace: "w", Kind: "k"}

// overshoot plays entries that all want as much as they can get and hear of each
// other every so many steps, and returns the highest use above the limit.
func overshoot(entries, limit, newsEvery int, sides int) int {
	rng := rand.New(rand.NewPCG(4, 4))
	all := make([]*limits.Counter, entries)
	own := make([]int, entries)
	for i := range all {
		all[i] = limits.New()
		all[i].SetEntries(entries)
	}
	worst := 0
	for step := range 3000 {
		i := rng.IntN(entries)
		if all[i].Allows(key, limit) {
			all[i].Take(key, limit)
			own[i]++
		}
		if j := rng.IntN(entries); own[j] > 0 && rng.IntN(3) == 0 {
			all[j].Release(key)
			own[j]--
		}
		if step%newsEvery == 0 {
			tell(all, sides)
		}
		sum := 0
		for _, n := range own {
			sum += n
		}
		worst = max(worst, sum-limit)
	}
	return worst
}

func tell(all []*limits.Counter, sides int) {
	for i, from := range all {
		use := map[limits.Hash]int{}
		for _, u := range from.Published() {
			use[u.Hash] = u.Count
		}
		for j, to := range all {
			if i != j && i%sides == j%sides {
				to.SetPeer(fmt.Sprint(i), use)
			}
		}
	}
}

func TestOvershootIsBounded(t *testing.T) {
	g := NewWithT(t)
	for _, entries := range []int{3, 9, 30} {
		g.Expect(overshoot(entries, 64, 1, 1)).To(BeNumerically("<=", 2), "%d entries with fresh news", entries)
		late := overshoot(entries, 64, 10, 1)
		t.Logf("%d entries, news every 10 requests: %d over 64", entries, late)
		g.Expect(late).To(BeNumerically("<=", 12))
		cut := overshoot(entries, 64, 10, 2)
		t.Logf("%d entries, cut in two: %d over 64", entries, cut)
		g.Expect(cut).To(BeNumerically("<=", 64+12))
	}
}

func TestFloorInDoubt(t *testing.T) {
	g := NewWithT(t)
	c := limits.New()
	c.SetEntries(4)
	c.SetPeer("gone", map[limits.Hash]int{key.Hash(): 1000})
	g.Expect(c.Allows(key, 20)).To(BeFalse())
	c.SetDoubt(true)
	for range 5 {
		g.Expect(c.Allows(key, 20)).To(BeTrue())
		c.Take(key, 20)
	}
	g.Expect(c.Allows(key, 20)).To(BeFalse())
	c.SetPeer("gone", nil)
	g.Expect(c.Allows(key, 20)).To(BeTrue())
}

// TestManySmallUsesAreSeen: many entries with one each must not add up unseen.
func TestManySmallUsesAreSeen(t *testing.T) {
	g := NewWithT(t)
	const entries, limit = 100, 64
	all := make([]*limits.Counter, entries)
	for i := range all {
		all[i] = limits.New()
		all[i].SetEntries(entries)
	}
	taken := 0
	for _, c := range all {
		if c.Allows(key, limit) {
			c.Take(key, limit)
			taken++
		}
		tell(all, 1)
	}
	g.Expect(taken).To(Equal(limit))
}
