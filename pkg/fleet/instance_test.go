package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// newEndpoint returns an endpoint with a known incarnation.
func newEndpoint(id string, incarnation uint64, state fleet.State) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Incarnation: incarnation, State: state, Targets: []string{"t"}}
}

func listOf(e fleet.Endpoint) []fleet.Endpoint { return []fleet.Endpoint{e} }

// TestStaleRecordIsSuppressed checks that a record with a lower incarnation is ignored until the
// suppression period has ended.
func TestStaleRecordIsSuppressed(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	filter := fleet.StaleRecordFilter{SuppressionPeriod: 2 * time.Second}
	apply := func(elapsed time.Duration, e fleet.Endpoint) (fleet.Endpoint, time.Time) {
		effective, reapplyAt := filter.Apply(now.Add(elapsed), listOf(e))
		g.Expect(effective).To(HaveLen(1))
		return effective[0], reapplyAt
	}
	apply(0, newEndpoint("a", 100, fleet.Live))
	second := newEndpoint("a", 200, fleet.Live)
	effective, reapplyAt := apply(0, second)
	g.Expect(effective).To(Equal(second), "a later instance is used at once")
	g.Expect(reapplyAt.IsZero()).To(BeTrue())

	stale := newEndpoint("a", 100, fleet.Leaving)
	effective, reapplyAt = apply(time.Second, stale)
	g.Expect(effective).To(Equal(second))
	g.Expect(reapplyAt).To(Equal(now.Add(3 * time.Second)))
	effective, reapplyAt = apply(2*time.Second, stale)
	g.Expect(effective).To(Equal(second))
	g.Expect(reapplyAt).To(Equal(now.Add(3*time.Second)), "other changes of the list don't extend the suppression")
	effective, _ = apply(2500*time.Millisecond, newEndpoint("a", 200, fleet.Leaving))
	g.Expect(effective.State).To(Equal(fleet.Leaving), "the later instance has renewed its record")
	effective, reapplyAt = apply(2600*time.Millisecond, stale)
	g.Expect(effective.Incarnation).To(Equal(uint64(200)))
	g.Expect(reapplyAt).To(Equal(now.Add(4600*time.Millisecond)), "a second stale record has its own suppression period")

	effective, reapplyAt = apply(5*time.Second, stale)
	g.Expect(effective).To(Equal(stale), "it is still listed: the clock was set back")
	g.Expect(reapplyAt.IsZero()).To(BeTrue())
	effective, _ = apply(6*time.Second, newEndpoint("a", 100, fleet.Live))
	g.Expect(effective.State).To(Equal(fleet.Live), "and is used from then on")
}

// TestUnlistedEndpointReturnsWithLowerIncarnation checks that the state of an endpoint is
// deleted when the list doesn't contain it.
func TestUnlistedEndpointReturnsWithLowerIncarnation(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	filter := fleet.StaleRecordFilter{SuppressionPeriod: 2 * time.Second}
	filter.Apply(now, listOf(newEndpoint("a", 200, fleet.Live)))
	filter.Apply(now, nil)
	effective, reapplyAt := filter.Apply(now, listOf(newEndpoint("a", 100, fleet.Live)))
	g.Expect(effective[0].Incarnation).To(Equal(uint64(100)))
	g.Expect(reapplyAt.IsZero()).To(BeTrue())
}

// TestRetentionEndsWithNextInstance checks that the record of the next instance replaces a
// retained record, and has its own grace period when it disappears.
func TestRetentionEndsWithNextInstance(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	retention := fleet.EndpointRetention{GracePeriod: 2 * time.Second}
	initial := []fleet.Endpoint{newEndpoint("a", 100, fleet.Live), newEndpoint("b", 100, fleet.Live), newEndpoint("c", 100, fleet.Live)}
	retention.Apply(now, initial, false)
	effective, _ := retention.Apply(now, initial[:1], false)
	g.Expect(effective).To(HaveLen(3), "two of three disappeared together")
	next := []fleet.Endpoint{initial[0], newEndpoint("b", 200, fleet.Live)}
	effective, _ = retention.Apply(now.Add(time.Second), next, false)
	g.Expect(effective).To(ConsistOf(next[0], next[1], initial[2]))
	effective, _ = retention.Apply(now.Add(1500*time.Millisecond), initial[:1], false)
	g.Expect(effective).To(ConsistOf(initial[0], next[1], initial[2]), "one of three remains, so the next instance is retained")
	effective, _ = retention.Apply(now.Add(2500*time.Millisecond), initial[:1], false)
	g.Expect(effective).To(ConsistOf(initial[0], next[1]), "the next instance has its own grace period")
	effective, _ = retention.Apply(now.Add(3500*time.Millisecond), initial[:1], false)
	g.Expect(effective).To(ConsistOf(initial[0]))
}

// TestSupersedes checks that an instance has ended if the next one is listed or another endpoint
// has its address, but not if it only isn't listed.
func TestSupersedes(t *testing.T) {
	g := NewWithT(t)
	e := fleet.Endpoint{ID: "a", Address: "10.0.0.1:1", Incarnation: 1}
	listWith := func(endpoints ...fleet.Endpoint) *fleet.List { return (&fleet.List{}).WithEndpoints(endpoints) }
	next, same, sameAddress := e, e, e
	next.Incarnation, sameAddress.ID = 2, "b"
	otherAddress := sameAddress
	otherAddress.Address = "10.0.0.2:1"
	g.Expect(listWith(same).Supersedes(e)).To(BeFalse())
	g.Expect(listWith(otherAddress).Supersedes(e)).To(BeFalse())
	g.Expect(listWith(next).Supersedes(e)).To(BeTrue())
	g.Expect(listWith(sameAddress).Supersedes(e)).To(BeTrue())
	g.Expect(listWith(same, sameAddress).Supersedes(e)).To(BeFalse(), "two records with one address")
}
