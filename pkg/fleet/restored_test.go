package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// apply is Restored as gateways use it, of a list that was just read, without what else they do
// with one.
func apply(r *fleet.Restored, now time.Time, era uint64, listed []fleet.Endpoint, closed []string) fleet.Bridged {
	out := r.Apply(now, now, era, listed, closed)
	r.Use(now, out.Endpoints)
	return out
}

func TestWhatHadLeftBeforeARestoreStaysOut(t *testing.T) {
	g := NewWithT(t)
	const hold = 5 * time.Second
	r := &fleet.Restored{Hold: hold, HoldClosed: hold}
	now := time.Unix(1000, 0)
	list := func(after time.Duration, era uint64, use ...string) (used []string, again time.Time) {
		out := apply(r, now.Add(after), era, endpoints(use...), nil)
		return ids(out.Endpoints), out.Again
	}
	list(0, 1, "a", "b", "c", "d")
	list(time.Second, 1, "b", "c", "d")
	used, again := list(2*time.Second, 2, "a", "b", "c", "d")
	g.Expect(used).To(ConsistOf("b", "c", "d"))
	g.Expect(again).To(Equal(now.Add(2*time.Second + 2*hold)))
	used, _ = list(4*time.Second, 3, "a", "b", "c", "d")
	g.Expect(used).To(ConsistOf("b", "c", "d"), "another restore")
	used, _ = list(4*time.Second+hold-1, 3, "a", "b", "c", "d", "e")
	g.Expect(used).To(ConsistOf("b", "c", "d", "e"), "e comes after the copy's list")
	used, again = list(4*time.Second+hold, 3, "a", "b", "c", "d", "e")
	g.Expect(used).To(ConsistOf("a", "b", "c", "d", "e"), "its record stands")
	g.Expect(again.IsZero()).To(BeTrue())
}

// TestAListThatNobodyHasReadSinceEndsNoHold: an entry that is cut off hears nothing of what is
// written again.
func TestAListThatNobodyHasReadSinceEndsNoHold(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.Restored{Hold: 5 * time.Second, HoldClosed: 5 * time.Second}
	now := time.Unix(1000, 0)
	apply(r, now, 1, endpoints("a", "b"), []string{"x"})
	apply(r, now, 1, endpoints("b"), []string{"x"})
	restored := now.Add(time.Second)
	apply(r, restored, 2, endpoints("a", "b"), nil)
	out := r.Apply(restored.Add(9*time.Second), restored.Add(4*time.Second), 2, endpoints("a", "b"), nil)
	g.Expect(ids(out.Endpoints)).To(ConsistOf("b"))
	g.Expect(out.Closed).To(Equal([]string{"x"}))
	out = r.Apply(out.Again, restored.Add(4*time.Second), 2, endpoints("a", "b"), nil)
	g.Expect(ids(out.Endpoints)).To(ConsistOf("a", "b"))
	g.Expect(out.Closed).To(BeEmpty())
}

func TestWhatLapsesAndComesBackWithoutARestoreIsUsed(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.Restored{Hold: 5 * time.Second, HoldClosed: 5 * time.Second}
	now := time.Unix(1000, 0)
	apply(r, now, 1, endpoints("a", "b", "c"), nil)
	apply(r, now, 1, endpoints("b", "c"), nil)
	g.Expect(ids(apply(r, now, 1, endpoints("a", "b", "c"), nil).Endpoints)).To(ConsistOf("a", "b", "c"))
	apply(r, now, 1, endpoints("b", "c"), nil)
	out := apply(r, now.Add(3*time.Minute), 2, endpoints("a", "b", "c"), nil)
	g.Expect(ids(out.Endpoints)).To(ConsistOf("a", "b", "c"), "no copy is that old")
}

// TestNearlyAllOfATargetAreNotKeptOut: their records had lapsed in an outage.
func TestNearlyAllOfATargetAreNotKeptOut(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.Restored{Hold: 5 * time.Second, HoldClosed: 5 * time.Second}
	now := time.Unix(1000, 0)
	apply(r, now, 1, endpoints("a", "b", "c", "d", "e"), nil)
	apply(r, now, 1, endpoints("e"), nil)
	out := apply(r, now, 2, endpoints("a", "b", "c", "d", "e"), nil)
	g.Expect(ids(out.Endpoints)).To(ConsistOf("a", "b", "c", "d", "e"))
}

// TestALapsedRecordThatComesBackIsNews: its endpoint has written it again.
func TestALapsedRecordThatComesBackIsNews(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.Restored{Hold: 5 * time.Second, HoldClosed: 5 * time.Second}
	now := time.Unix(1000, 0)
	apply(r, now, 1, endpoints("a", "b", "c"), nil)
	apply(r, now, 1, endpoints("b", "c"), nil)
	g.Expect(ids(apply(r, now, 2, endpoints("a", "b", "c"), nil).Endpoints)).To(ConsistOf("b", "c"))
	apply(r, now.Add(time.Second), 2, endpoints("b", "c"), nil)
	g.Expect(ids(apply(r, now.Add(2*time.Second), 2, endpoints("a", "b", "c"), nil).Endpoints)).To(ConsistOf("a", "b", "c"))
}

func TestAnotherLifeOfWhatHadLeftIsUsed(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.Restored{Hold: 5 * time.Second, HoldClosed: 5 * time.Second}
	now := time.Unix(1000, 0)
	apply(r, now, 1, append(endpoints("b"), started("a", 100, fleet.Live)), nil)
	apply(r, now, 1, endpoints("b"), nil)
	out := apply(r, now, 2, append(endpoints("b"), started("a", 200, fleet.Live)), nil)
	g.Expect(ids(out.Endpoints)).To(ConsistOf("a", "b"))
}

// A data centre that was opened again while the store was restored stayed closed for as long as
// endpoints that had left stay out.
func TestClosedDataCentersAreHeldForLessThanEndpoints(t *testing.T) {
	g := NewWithT(t)
	r := &fleet.Restored{Hold: 10 * time.Second, HoldClosed: 4 * time.Second}
	now := time.Unix(1000, 0)
	apply(r, now, 1, endpoints("a", "b"), []string{"x"})
	apply(r, now, 1, endpoints("b"), []string{"x"})
	out := apply(r, now, 2, endpoints("a", "b"), nil)
	g.Expect(out.Again).To(Equal(now.Add(8 * time.Second)))
	out = r.Apply(out.Again, now, 2, endpoints("a", "b"), nil)
	g.Expect(out.Closed).To(BeEmpty())
	g.Expect(ids(out.Endpoints)).To(ConsistOf("b"))
	g.Expect(out.Again).To(Equal(now.Add(20 * time.Second)))
}

func TestClosedDataCentersStayClosedOverARestore(t *testing.T) {
	g := NewWithT(t)
	const hold = 5 * time.Second
	r := &fleet.Restored{Hold: hold, HoldClosed: hold}
	now := time.Unix(1000, 0)
	closed := func(after time.Duration, era uint64, listed ...string) []string {
		return apply(r, now.Add(after), era, endpoints("a"), listed).Closed
	}
	g.Expect(closed(0, 1, "x", "y")).To(Equal([]string{"x", "y"}))
	g.Expect(closed(time.Second, 1, "x")).To(Equal([]string{"x"}), "opened again")
	g.Expect(closed(2*time.Second, 2)).To(Equal([]string{"x"}), "the copy is older")
	g.Expect(closed(3*time.Second, 3, "z")).To(Equal([]string{"x", "z"}), "another restore")
	g.Expect(closed(4*time.Second, 3, "x", "z")).To(Equal([]string{"x", "z"}), "written again")
	g.Expect(closed(5*time.Second, 3, "z")).To(Equal([]string{"z"}), "opened again")
	g.Expect(closed(3*time.Second+hold, 3)).To(BeEmpty())
}

// TestWhatACopyLacksIsKeptForATime, also if few vanish.
func TestWhatACopyLacksIsKeptForATime(t *testing.T) {
	g := NewWithT(t)
	grace := &fleet.Grace{Hold: 2 * time.Second}
	now := time.Unix(1000, 0)
	grace.Apply(now, endpoints("a", "b", "c", "d", "e"), false)
	use, again := grace.Apply(now, endpoints("a", "b", "c", "d"), true)
	g.Expect(ids(use)).To(ConsistOf("a", "b", "c", "d", "e"))
	g.Expect(again).To(Equal(now.Add(2 * time.Second)))
	use, _ = grace.Apply(now.Add(time.Second), endpoints("a", "c", "d"), false)
	g.Expect(ids(use)).To(ConsistOf("a", "c", "d", "e"), "b has left since")
	use, _ = grace.Apply(now.Add(2*time.Second), endpoints("a", "c", "d"), false)
	g.Expect(ids(use)).To(ConsistOf("a", "c", "d"))
}
