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

// recordsPut counts the endpoints of all lists that come into force while each of so many
// endpoints changes once within ten seconds, and what the last list holds.
func recordsPut(t *testing.T, endpoints int) (count int, store *published.Store) {
	g := NewWithT(t)
	parsers := published.Parsers{
		Pace: time.Millisecond, MaxPace: time.Minute,
		Fleet: func(data []byte) (*fleet.List, error) {
			records, err := fleet.DecodeRecords(data)
			count += len(records)
			return (&fleet.List{}).WithEndpoints(make([]fleet.Endpoint, len(records))), err
		},
	}
	store = published.New(parsers, func(published.Event) {}, func(*fleet.List, time.Time) {})
	registry := fleet.NewRegistry()
	now := time.Unix(0, 0)
	for i := range endpoints {
		now = now.Add(10 * time.Second / time.Duration(endpoints))
		at := revision.ID(i + 1)
		base := registry.Revision()
		change := []fleet.Record{{ID: fmt.Sprintf("e-%05d", i), Revision: uint64(at), Content: []byte(`{}`)}}
		registry.Apply(at, change)
		content, err := registry.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		data, err := fleet.EncodeChanges(change)
		g.Expect(err).NotTo(HaveOccurred())
		store.Offer(now, published.Value{Name: published.Fleet, Revision: at, Content: content, Base: base, Changes: data}, "peer")
		g.Expect(store.Seen()).To(HaveKeyWithValue(published.Fleet, at), "what waits is known")
		if due, waits := store.Due(); waits && !due.After(now) {
			store.ApplyDue(now)
		}
	}
	due, waits := store.Due()
	g.Expect(waits).To(BeTrue())
	store.ApplyDue(due)
	return count, store
}

// The work that lists of endpoints take grew with the square of the fleet: each endpoint that
// changed put a list of all into force.
func TestListsThatComeIntoForceDoNotGrowWithTheSquareOfTheFleet(t *testing.T) {
	g := NewWithT(t)
	small, _ := recordsPut(t, 300)
	large, store := recordsPut(t, 600)
	g.Expect(large).To(BeNumerically("<=", 2*small+600))
	g.Expect(store.Fleet().Value.Endpoints).To(HaveLen(600))
	g.Expect(store.Fleet().Revision).To(Equal(revision.ID(600)))
}

func TestAListThatWaitsComesIntoForceOnce(t *testing.T) {
	g := NewWithT(t)
	var known []time.Time
	parsers := published.Parsers{
		Pace: time.Second, MaxPace: 3 * time.Second,
		Fleet: func([]byte) (*fleet.List, error) {
			return (&fleet.List{}).WithEndpoints(make([]fleet.Endpoint, 10)), nil
		},
	}
	store := published.New(parsers, func(published.Event) {}, func(_ *fleet.List, since time.Time) { known = append(known, since) })
	var due []time.Time
	store.OnDeferred(func(at time.Time) { due = append(due, at) })
	begin := time.Unix(0, 0)
	offer := func(after time.Duration, at revision.ID) register.Verdict {
		return store.Offer(begin.Add(after), published.Value{Name: published.Fleet, Revision: at, Content: fmt.Appendf(nil, "[%d]", at)}, "peer")
	}
	g.Expect(offer(0, 1)).To(Equal(register.Adopted))
	g.Expect(offer(time.Second, 5)).To(Equal(register.Deferred))
	g.Expect(offer(2*time.Second, 7)).To(Equal(register.Deferred))
	g.Expect(offer(2*time.Second, 6)).To(Equal(register.Known), "an older one than waits")
	g.Expect(due).To(Equal([]time.Time{begin.Add(3 * time.Second)}), "bounded by the longest wait")
	store.ApplyDue(begin.Add(2 * time.Second))
	g.Expect(store.Fleet().Revision).To(Equal(revision.ID(1)), "too soon")
	store.ApplyDue(due[0])
	g.Expect(store.Fleet().Revision).To(Equal(revision.ID(7)))
	g.Expect(known).To(Equal([]time.Time{begin, begin.Add(time.Second)}), "known since the first that waited")
	_, waits := store.Due()
	g.Expect(waits).To(BeFalse())
}
