package backpressure_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

var (
	start    = time.Unix(1000, 0)
	instance = fleet.Instance{Endpoint: "a", Incarnation: 7}
)

func limited(n float64) backpressure.Limit {
	return backpressure.Limit{Kind: backpressure.Limited, PerSecond: n}
}

// TestLimitHoldsUntilLaterRequestReportsNone: a response without a limit must not revoke a limit
// named after its request was sent, since the response may have been written before.
func TestLimitHoldsUntilLaterRequestReportsNone(t *testing.T) {
	g := NewWithT(t)
	s := backpressure.New()
	apply := func(l backpressure.Limit, served bool, sent, received time.Duration) bool {
		r, ok := backpressure.NewLimitReport(instance, l, served, start.Add(sent), start.Add(received))
		if !ok {
			return false
		}
		_, changed := s.Apply(start.Add(received), r, backpressure.FromResponse)
		return changed
	}
	g.Expect(apply(backpressure.Limit{}, true, 0, time.Second)).To(BeFalse(), "there is no limit to revoke")
	g.Expect(apply(limited(4.1), true, time.Second, 2*time.Second)).To(BeTrue())
	g.Expect(apply(limited(4.1), true, time.Second, 3*time.Second)).To(BeFalse(), "the limit is unchanged")
	g.Expect(apply(backpressure.Limit{}, true, 2500*time.Millisecond, 4*time.Second)).To(BeFalse(), "the request was sent before the limit was last named")
	g.Expect(apply(backpressure.Limit{}, false, 3500*time.Millisecond, 4*time.Second)).To(BeFalse(), "an error response")
	g.Expect(apply(backpressure.Limit{Kind: backpressure.Unreadable}, true, 3500*time.Millisecond, 4*time.Second)).To(BeFalse())
	g.Expect(apply(limited(2), false, time.Second, 4*time.Second)).To(BeTrue(), "any response may name a limit")
	g.Expect(apply(backpressure.Limit{}, true, 5*time.Second, 6*time.Second)).To(BeTrue())
}

// TestALimitPastAllBoundsIsShared guards against a number of sharers that overflows.
func TestALimitPastAllBoundsIsShared(t *testing.T) {
	g := NewWithT(t)
	s := backpressure.New()
	s.SetRank(backpressure.Rank{DataCenter: "dc", Entries: map[string]int{"dc": 3}})
	r, ok := backpressure.NewLimitReport(instance, limited(1e300), true, start, start)
	g.Expect(ok).To(BeTrue())
	s.Apply(start, r, backpressure.FromSameDataCenter)
	e := fleet.Endpoint{ID: instance.Endpoint, Incarnation: instance.Incarnation, DataCenter: "dc"}
	s.Accepts(start, e)
	g.Expect(s.Accepts(start.Add(time.Second), e)).To(BeTrue())
}

// TestChangeCountsRequestsSent: a Change counts the requests sent under the previous limit, so that
// the log shows whether that limit was kept.
func TestChangeCountsRequestsSent(t *testing.T) {
	g := NewWithT(t)
	s := backpressure.New()
	e := fleet.Endpoint{ID: instance.Endpoint, Incarnation: instance.Incarnation}
	s.RecordSent(start, e)
	first, _ := s.Apply(start, backpressure.LimitReport{Instance: instance, Limit: limited(4), ReportedAt: start}, backpressure.FromResponse)
	g.Expect(first).To(Equal(backpressure.Change{Instance: instance, Current: limited(4)}))
	s.RecordSent(start, e)
	s.RecordSent(start, e)
	later := start.Add(3 * time.Second)
	last, _ := s.Apply(later, backpressure.LimitReport{Instance: instance, ReportedAt: later}, backpressure.FromResponse)
	g.Expect(last).To(Equal(backpressure.Change{Instance: instance, Previous: limited(4), Duration: 3 * time.Second, RequestsSent: 2}))
}

// TestLimitRetainedWhileUnlisted: a limit is kept while its endpoint is missing in the list for
// less than unlistedRetention, and dropped after.
func TestLimitRetainedWhileUnlisted(t *testing.T) {
	g := NewWithT(t)
	s := backpressure.New()
	s.Apply(start, backpressure.LimitReport{Instance: instance, Limit: limited(4), ReportedAt: start}, backpressure.FromResponse)
	noneListed := func(fleet.Instance) bool { return false }
	for _, after := range []time.Duration{0, time.Minute, 119 * time.Second} {
		s.UpdateListed(start.Add(after), noneListed)
		s.Expire(start.Add(after))
		g.Expect(s.Idle()).To(BeFalse(), "after %v", after)
	}
	g.Expect(s.Announcements()).To(HaveLen(1))
	s.Expire(start.Add(2 * time.Minute))
	g.Expect(s.Idle()).To(BeTrue())
}

// TestNewerReportIsAnnounced: an entry that receives a report older than its own announces its own,
// even if it received that from a peer in its data centre.
func TestNewerReportIsAnnounced(t *testing.T) {
	g := NewWithT(t)
	s := backpressure.New()
	apply := func(l backpressure.Limit, reportedAt time.Duration, source backpressure.Source) {
		s.Apply(start, backpressure.LimitReport{Instance: instance, Limit: l, ReportedAt: start.Add(reportedAt)}, source)
	}
	apply(limited(4), time.Second, backpressure.FromSameDataCenter)
	g.Expect(s.Announcements()).To(BeEmpty(), "the peer announces it to all others in the data centre")
	apply(limited(4), 0, backpressure.FromSameDataCenter)
	g.Expect(s.Announcements()).To(BeEmpty(), "the report is the same")
	apply(backpressure.Limit{}, 0, backpressure.FromSameDataCenter)
	g.Expect(s.Announcements()).To(Equal([]backpressure.LimitReport{{Instance: instance, Limit: limited(4), ReportedAt: start.Add(time.Second)}}))
	apply(limited(4), 2*time.Second, backpressure.FromResponse)
	version := s.Version()
	apply(backpressure.Limit{}, time.Second+time.Millisecond, backpressure.FromSameDataCenter)
	g.Expect(s.Version()).NotTo(Equal(version), "announced again")
	g.Expect(s.Announcements()[0].ReportedAt).To(Equal(start.Add(2 * time.Second)))
	apply(backpressure.Limit{}, 3*time.Second, backpressure.FromSameDataCenter)
	g.Expect(s.Announcements()).To(BeEmpty())
}
