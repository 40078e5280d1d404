package limits_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/limits"
)

var key = limits.Key{Workspace: "w", Kind: "k"}

// maxOvershoot simulates entries that acquire whenever they may and exchange their
// usage every exchangeInterval steps within each of the partitions. It returns the
// highest total usage above the limit.
func maxOvershoot(entries, limit, exchangeInterval int, partitions int) int {
	rng := rand.New(rand.NewPCG(4, 4))
	counters := make([]*limits.Counter, entries)
	own := make([]int, entries)
	for i := range counters {
		counters[i] = limits.New()
		counters[i].SetEntryCount(entries)
	}
	worst := 0
	for step := range 3000 {
		i := rng.IntN(entries)
		if counters[i].Allows(key, limit) {
			counters[i].Acquire(key, limit)
			own[i]++
		}
		if j := rng.IntN(entries); own[j] > 0 && rng.IntN(3) == 0 {
			counters[j].Release(key)
			own[j]--
		}
		if step%exchangeInterval == 0 {
			exchangeUsage(counters, partitions)
		}
		sum := 0
		for _, n := range own {
			sum += n
		}
		worst = max(worst, sum-limit)
	}
	return worst
}

// exchangeUsage sends the published usage of each entry to all peers in the same
// partition.
func exchangeUsage(counters []*limits.Counter, partitions int) {
	for i, from := range counters {
		usage := map[limits.Hash]int{}
		for _, u := range from.PublishedUsage() {
			usage[u.Hash] = u.Count
		}
		for j, to := range counters {
			if i != j && i%partitions == j%partitions {
				to.SetPeerUsage(fmt.Sprint(i), usage)
			}
		}
	}
}

func TestOvershootIsBounded(t *testing.T) {
	g := NewWithT(t)
	for _, entries := range []int{3, 9, 30} {
		g.Expect(maxOvershoot(entries, 64, 1, 1)).To(BeNumerically("<=", 2), "%d entries that exchange usage after each request", entries)
		delayed := maxOvershoot(entries, 64, 10, 1)
		t.Logf("%d entries, usage exchanged every 10 requests: %d over 64", entries, delayed)
		g.Expect(delayed).To(BeNumerically("<=", 12))
		partitioned := maxOvershoot(entries, 64, 10, 2)
		t.Logf("%d entries in two partitions: %d over 64", entries, partitioned)
		g.Expect(partitioned).To(BeNumerically("<=", 64+12))
	}
}

func TestFloorWhenPeerUsageIsUncertain(t *testing.T) {
	g := NewWithT(t)
	c := limits.New()
	c.SetEntryCount(4)
	c.SetPeerUsage("ended-peer", map[limits.Hash]int{key.Hash(): 1000})
	g.Expect(c.Allows(key, 20)).To(BeFalse())
	c.SetUncertain(true)
	for range 5 {
		g.Expect(c.Allows(key, 20)).To(BeTrue())
		c.Acquire(key, 20)
	}
	g.Expect(c.Allows(key, 20)).To(BeFalse())
	c.SetPeerUsage("ended-peer", nil)
	g.Expect(c.Allows(key, 20)).To(BeTrue())
}

// The small usage of many entries must be published, else their sum can exceed the
// limit although it is below the limit in each entry's view.
func TestManySmallUsagesArePublished(t *testing.T) {
	g := NewWithT(t)
	const entries, limit = 100, 64
	counters := make([]*limits.Counter, entries)
	for i := range counters {
		counters[i] = limits.New()
		counters[i].SetEntryCount(entries)
	}
	admitted := 0
	for _, c := range counters {
		if c.Allows(key, limit) {
			c.Acquire(key, limit)
			admitted++
		}
		exchangeUsage(counters, 1)
	}
	g.Expect(admitted).To(Equal(limit))
}
