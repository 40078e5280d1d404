package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// started is an endpoint that tells its start.
func started(id string, start uint64, state fleet.State) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Incarnation: start, State: state, Targets: []string{"t"}}
}

func one(e fleet.Endpoint) []fleet.Endpoint { return []fleet.Endpoint{e} }

// TestALateRecordOfAnEarlierLife isn't believed until it has stood for a while.
func TestALateRecordOfAnEarlierLife(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	lives := fleet.Lives{Hold: 2 * time.Second}
	apply := func(at time.Duration, e fleet.Endpoint) (fleet.Endpoint, time.Time) {
		use, again := lives.Apply(now.Add(at), one(e))
		g.Expect(use).To(HaveLen(1))
		return use[0], again
	}
	apply(0, started("a", 100, fleet.Live))
	second := started("a", 200, fleet.Live)
	use, again := apply(0, second)
	g.Expect(use).To(Equal(second), "a later life counts at once")
	g.Expect(again.IsZero()).To(BeTrue())

	late := started("a", 100, fleet.Leaving)
	use, again = apply(time.Second, late)
	g.Expect(use).To(Equal(second))
	g.Expect(again).To(Equal(now.Add(3 * time.Second)))
	use, again = apply(2*time.Second, late)
	g.Expect(use).To(Equal(second))
	g.Expect(again).To(Equal(now.Add(3*time.Second)), "other news of the list doesn't renew the hold")
	use, _ = apply(2500*time.Millisecond, started("a", 200, fleet.Leaving))
	g.Expect(use.State).To(Equal(fleet.Leaving), "the later life has written again")
	use, again = apply(2600*time.Millisecond, late)
	g.Expect(use.Incarnation).To(Equal(uint64(200)))
	g.Expect(again).To(Equal(now.Add(4600*time.Millisecond)), "a second late word is held for itself")

	use, again = apply(5*time.Second, late)
	g.Expect(use).To(Equal(late), "it stands: the clock was set back")
	g.Expect(again.IsZero()).To(BeTrue())
	use, _ = apply(6*time.Second, started("a", 100, fleet.Live))
	g.Expect(use.State).To(Equal(fleet.Live), "and is believed from then on")
}

// TestAnEndpointThatVanishedBeginsAnew: what a list doesn't hold is over.
func TestAnEndpointThatVanishedBeginsAnew(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	lives := fleet.Lives{Hold: 2 * time.Second}
	lives.Apply(now, one(started("a", 200, fleet.Live)))
	lives.Apply(now, nil)
	use, again := lives.Apply(now, one(started("a", 100, fleet.Live)))
	g.Expect(use[0].Incarnation).To(Equal(uint64(100)))
	g.Expect(again.IsZero()).To(BeTrue())
}

// TestGraceKeepsNoEarlierLife: a record that is held because many vanished makes way for
// that of the next life, which is judged for itself when it vanishes.
func TestGraceKeepsNoEarlierLife(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	grace := fleet.Grace{Hold: 2 * time.Second}
	all := []fleet.Endpoint{started("a", 100, fleet.Live), started("b", 100, fleet.Live), started("c", 100, fleet.Live)}
	grace.Apply(now, all, false)
	use, _ := grace.Apply(now, all[:1], false)
	g.Expect(use).To(HaveLen(3), "two of three vanished together")
	next := []fleet.Endpoint{all[0], started("b", 200, fleet.Live)}
	use, _ = grace.Apply(now.Add(time.Second), next, false)
	g.Expect(use).To(ConsistOf(next[0], next[1], all[2]))
	use, _ = grace.Apply(now.Add(1500*time.Millisecond), all[:1], false)
	g.Expect(use).To(ConsistOf(all[0], next[1], all[2]), "one of three is left, so the next life is held")
	use, _ = grace.Apply(now.Add(2500*time.Millisecond), all[:1], false)
	g.Expect(use).To(ConsistOf(all[0], next[1]), "for a time of its own")
	use, _ = grace.Apply(now.Add(3500*time.Millisecond), all[:1], false)
	g.Expect(use).To(ConsistOf(all[0]))
}

// TestSupersedes: a life has ended if the next one is listed, or another endpoint has its
// address. One that only vanished may go on.
func TestSupersedes(t *testing.T) {
	g := NewWithT(t)
	e := fleet.Endpoint{ID: "a", Address: "10.0.0.1:1", Incarnation: 1}
	list := func(others ...fleet.Endpoint) *fleet.List { return (&fleet.List{}).WithEndpoints(others) }
	next, same, other := e, e, e
	next.Incarnation, other.ID = 2, "b"
	elsewhere := other
	elsewhere.Address = "10.0.0.2:1"
	g.Expect(list(same).Supersedes(e)).To(BeFalse())
	g.Expect(list(elsewhere).Supersedes(e)).To(BeFalse())
	g.Expect(list(next).Supersedes(e)).To(BeTrue())
	g.Expect(list(other).Supersedes(e)).To(BeTrue())
	g.Expect(list(same, other).Supersedes(e)).To(BeFalse(), "two records of one address")
}
