package published_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// TestPendingValueIsAdoptedAfterSettlePeriod checks that a pending value is adopted if nothing
// newer follows, and isn't sent to peers before that.
func TestPendingValueIsAdoptedAfterSettlePeriod(t *testing.T) {
	g := NewWithT(t)
	var events []register.Verdict
	s := published.New(published.Config{
		SettlePeriod: 5 * time.Second,
		ParseTable:   func([]byte) (*table.Table, error) { return nil, nil },
		ParseFleet:   func([]byte) (*fleet.List, error) { return nil, nil },
	}, func(ev published.Event) { events = append(events, ev.Verdict) }, func(*fleet.List, time.Time) {})
	now := time.Unix(0, 0)
	before, err := revision.New(1, 37)
	g.Expect(err).NotTo(HaveOccurred())
	after, err := revision.New(2, 33)
	g.Expect(err).NotTo(HaveOccurred())
	s.OfferFromStore(now, published.Value{Name: published.Table, Revision: before, Content: []byte("a")}, "platform")
	for range 3 {
		s.OfferFromStore(now, published.Value{Name: published.Table, Revision: after, Content: []byte("b")}, "platform")
	}
	s.Settle(now.Add(4 * time.Second))
	g.Expect(s.SeenRevisions()).To(Equal(map[string]revision.ID{published.Table: before}))
	g.Expect(events).To(Equal([]register.Verdict{register.Adopted, register.Pending}), "reported once")
	s.Settle(now.Add(5 * time.Second))
	g.Expect(s.SeenRevisions()).To(Equal(map[string]revision.ID{published.Table: after}))
	s.Settle(now.Add(time.Hour))
	g.Expect(events).To(Equal([]register.Verdict{register.Adopted, register.Pending, register.Adopted}))
}
