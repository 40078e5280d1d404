package published_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

// countAppliedRecords changes each of the given number of endpoints once within ten seconds. It
// returns the total length of the lists that came into force, and the store.
func countAppliedRecords(t *testing.T, endpoints int) (count int, store *published.Store) {
	g := NewWithT(t)
	cfg := published.Config{
		ApplyIntervalPerEndpoint: time.Millisecond, MaxApplyInterval: time.Minute,
		ParseFleet: func(data []byte) (*fleet.List, error) {
			records, err := fleet.DecodeRecords(data)
			count += len(records)
			return (&fleet.List{}).WithEndpoints(make([]fleet.Endpoint, len(records))), err
		},
	}
	store = published.New(cfg, func(published.Event) {}, func(*fleet.List, time.Time) {})
	registry := fleet.NewRegistry()
	now := time.Unix(0, 0)
	for i := range endpoints {
		now = now.Add(10 * time.Second / time.Duration(endpoints))
		rev := revision.ID(i + 1)
		base := registry.Revision()
		change := []fleet.Record{{ID: fmt.Sprintf("e-%05d", i), Revision: uint64(rev), Content: []byte(`{}`)}}
		registry.Apply(rev, change)
		content, err := registry.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		data, err := fleet.EncodeChanges(change)
		g.Expect(err).NotTo(HaveOccurred())
		store.OfferFromPeer(now, published.Value{Name: published.Fleet, Revision: rev, Content: content, Base: base, Changes: data}, "peer")
		g.Expect(store.SeenRevisions()).To(HaveKeyWithValue(published.Fleet, rev), "a deferred list counts as seen")
		if due, deferred := store.DeferredUntil(); deferred && !due.After(now) {
			store.ApplyDeferred(now)
		}
	}
	due, deferred := store.DeferredUntil()
	g.Expect(deferred).To(BeTrue())
	store.ApplyDeferred(due)
	return count, store
}

// TestApplyCostOfFleetListsIsNotQuadratic guards against a cost of applying fleet lists that
// grows with the square of the fleet: each endpoint that changed caused a list of all endpoints
// to be applied.
func TestApplyCostOfFleetListsIsNotQuadratic(t *testing.T) {
	g := NewWithT(t)
	small, _ := countAppliedRecords(t, 300)
	large, store := countAppliedRecords(t, 600)
	g.Expect(large).To(BeNumerically("<=", 2*small+600))
	g.Expect(store.Fleet().Value.Endpoints).To(HaveLen(600))
	g.Expect(store.Fleet().Revision).To(Equal(revision.ID(600)))
}

func TestDeferredFleetListIsAppliedOnce(t *testing.T) {
	g := NewWithT(t)
	var firstReads []time.Time
	cfg := published.Config{
		ApplyIntervalPerEndpoint: time.Second, MaxApplyInterval: 3 * time.Second,
		ParseFleet: func([]byte) (*fleet.List, error) {
			return (&fleet.List{}).WithEndpoints(make([]fleet.Endpoint, 10)), nil
		},
	}
	store := published.New(cfg, func(published.Event) {}, func(_ *fleet.List, firstReadAt time.Time) { firstReads = append(firstReads, firstReadAt) })
	var due []time.Time
	store.OnDeferred(func(until time.Time) { due = append(due, until) })
	begin := time.Unix(0, 0)
	offer := func(elapsed time.Duration, rev revision.ID) register.Verdict {
		return store.OfferFromPeer(begin.Add(elapsed), published.Value{Name: published.Fleet, Revision: rev, Content: fmt.Appendf(nil, "[%d]", rev)}, "peer")
	}
	g.Expect(offer(0, 1)).To(Equal(register.Adopted))
	g.Expect(offer(time.Second, 5)).To(Equal(register.Deferred))
	g.Expect(offer(2*time.Second, 7)).To(Equal(register.Deferred))
	g.Expect(offer(2*time.Second, 6)).To(Equal(register.Known), "older than the deferred list")
	g.Expect(due).To(Equal([]time.Time{begin.Add(3 * time.Second)}), "capped at MaxApplyInterval")
	store.ApplyDeferred(begin.Add(2 * time.Second))
	g.Expect(store.Fleet().Revision).To(Equal(revision.ID(1)), "not due yet")
	store.ApplyDeferred(due[0])
	g.Expect(store.Fleet().Revision).To(Equal(revision.ID(7)))
	g.Expect(firstReads).To(Equal([]time.Time{begin, begin.Add(time.Second)}), "first read time of the first deferred list")
	_, deferred := store.DeferredUntil()
	g.Expect(deferred).To(BeFalse())
}
