package peering

import (
	"math"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// What endpoints say of how much they take reaches the entry that asked. Its record tells the
// others, so that those who haven't asked yet don't begin with more, and those without a part
// of a limit hear that it is over. As with leaves, only who was told by the endpoint, or by an
// entry of another data centre, tells it on.

// HearLimit takes what an answer that this entry had says of a limit.
func (b *Beliefs) HearLimit(now time.Time, st backpressure.LimitReport) {
	if st.Limit.Kind == backpressure.Unlimited && b.noneThrottles() {
		// As nearly all answers say, so that they wait for nobody.
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hearLimit(now, st, backpressure.FromResponse, SourceEndpoint)
}

func (b *Beliefs) noneThrottles() (none bool) {
	b.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { none = s.Backpressure().Idle() })
	return none
}

// OnLimit sets who is told of limits that come, go or change, and where that came from.
func (b *Beliefs) OnLimit(told func(c backpressure.Change, source string)) { b.onLimit = told }

// hearLimit gives a statement to the scheduler. The caller holds the lock.
func (b *Beliefs) hearLimit(now time.Time, st backpressure.LimitReport, from backpressure.Source, source string) {
	var change backpressure.Change
	changed := false
	b.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { change, changed = s.Backpressure().Apply(now, st, from) })
	if changed && b.onLimit != nil {
		b.onLimit(change, source)
	}
}

// hearLimits takes what the record of another entry tells. The caller holds the lock.
func (b *Beliefs) hearLimits(now time.Time, r *peerv1.NodeRecord) {
	from := backpressure.FromSameDataCenter
	if r.GetDataCenter() != b.view.Self().GetDataCenter() {
		from = backpressure.FromOtherDataCenter
	}
	for _, told := range r.GetLimits() {
		e := b.lifeOf(told.GetEndpoint())
		if e == nil {
			// Of a life that isn't listed, and so isn't sent anything.
			continue
		}
		if st, readable := limitIn(now, e.Instance(), told); readable {
			b.hearLimit(now, st, from, r.GetVm())
		}
	}
}

// limitIn reads a limit; one that is no number says nothing.
func limitIn(now time.Time, l fleet.Instance, told *peerv1.EndpointLimit) (st backpressure.LimitReport, readable bool) {
	age := time.Duration(told.GetAgeMs()) * time.Millisecond
	st = backpressure.LimitReport{Instance: l, ReportedAt: now.Add(-age)}
	if told.GetNone() {
		return st, true
	}
	n := told.GetPerSecond()
	if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return st, false
	}
	st.Limit = backpressure.Limit{Kind: backpressure.Limited, PerSecond: n}
	return st, true
}

// tellLimits puts what this entry tells into its own record, if there is something new. Else
// the record stays as it is, ages included.
func (b *Beliefs) tellLimits(now time.Time, r *peerv1.NodeRecord) {
	b.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) {
		s.Backpressure().Expire(now)
		if version := s.Backpressure().Version(); version != b.limitsVersion {
			b.limitsVersion = version
			r.Limits = limitsOut(now, s.Backpressure().Announcements())
		}
	})
}

func limitsOut(now time.Time, told []backpressure.LimitReport) []*peerv1.EndpointLimit {
	out := make([]*peerv1.EndpointLimit, 0, len(told))
	for _, st := range told {
		age := min(max(now.Sub(st.ReportedAt).Milliseconds(), 0), math.MaxUint32)
		out = append(out, &peerv1.EndpointLimit{
			Endpoint: LifeHash(st.Instance), None: st.Limit.Kind == backpressure.Unlimited, PerSecond: st.Limit.PerSecond, AgeMs: uint32(age),
		})
	}
	return out
}

// isThere says that a member hasn't been silent for long. The parts of one that has are for the
// others: else an endpoint of which only such ones have a part would get nothing until they
// are forgotten. One that is cut off shares nothing with these any more, as each side reaches
// its own endpoints only.
func isThere(s membership.Status) bool { return s == membership.Alive || s == membership.Suspect }

// backpressurePlace is where this entry stands among itself and the members that are there.
func backpressurePlace(self *peerv1.NodeRecord, members []membership.Member) backpressure.Rank {
	p := backpressure.Rank{
		DataCenter: self.GetDataCenter(),
		Entries:    map[string]int{self.GetDataCenter(): 1},
		Preceding:  map[string]int{},
	}
	for _, m := range members {
		if !isThere(m.Status) {
			continue
		}
		p.Entries[m.DataCenter]++
		if m.VM < self.GetVm() {
			p.Preceding[m.DataCenter]++
		}
	}
	return p
}
