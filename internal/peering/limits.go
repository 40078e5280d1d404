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

// Endpoints report rate limits in their responses to requests. The entry that receives a
// response announces the limit in its record, so that entries without a response yet do not
// exceed the limit, and entries without a share of it are informed when it ends. As with leaves, only
// an entry that received the limit from the endpoint itself or from another data centre
// announces it.

// ApplyLimitReport applies the limit that a response of an endpoint to this entry reports.
func (cs *ClusterState) ApplyLimitReport(now time.Time, report backpressure.LimitReport) {
	if report.Limit.Kind == backpressure.Unlimited && cs.noLimits() {
		// Most responses report no limit, and these must not contend for the lock.
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.applyLimitReportLocked(now, report, backpressure.FromResponse, SourceEndpoint)
}

func (cs *ClusterState) noLimits() (none bool) {
	cs.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { none = s.Backpressure().Idle() })
	return none
}

// OnLimitChange sets a function that is called with each limit that is set, removed or changed,
// and with the source of the change. It must be called before the state is used.
func (cs *ClusterState) OnLimitChange(fn func(c backpressure.Change, source string)) {
	cs.onLimitChange = fn
}

// applyLimitReportLocked passes a limit report to the scheduler. The caller holds the lock.
func (cs *ClusterState) applyLimitReportLocked(now time.Time, report backpressure.LimitReport, from backpressure.Source, source string) {
	var change backpressure.Change
	changed := false
	cs.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { change, changed = s.Backpressure().Apply(now, report, from) })
	if changed && cs.onLimitChange != nil {
		cs.onLimitChange(change, source)
	}
}

// applyPeerLimits applies the limits in the record of a peer. The caller holds the lock.
func (cs *ClusterState) applyPeerLimits(now time.Time, r *peerv1.NodeRecord) {
	from := backpressure.FromSameDataCenter
	if r.GetDataCenter() != cs.view.Self().GetDataCenter() {
		from = backpressure.FromOtherDataCenter
	}
	for _, encoded := range r.GetLimits() {
		e := cs.endpointByHash(encoded.GetEndpoint())
		if e == nil {
			// Requests go to listed instances only.
			continue
		}
		if report, valid := decodeLimit(now, e.Instance(), encoded); valid {
			cs.applyLimitReportLocked(now, report, from, r.GetVm())
		}
	}
}

// decodeLimit decodes a limit. It is not valid if the rate is negative, infinite or NaN.
func decodeLimit(now time.Time, instance fleet.Instance, encoded *peerv1.EndpointLimit) (report backpressure.LimitReport, valid bool) {
	age := time.Duration(encoded.GetAgeMs()) * time.Millisecond
	report = backpressure.LimitReport{Instance: instance, ReportedAt: now.Add(-age)}
	if encoded.GetNone() {
		return report, true
	}
	n := encoded.GetPerSecond()
	if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return report, false
	}
	report.Limit = backpressure.Limit{Kind: backpressure.Limited, PerSecond: n}
	return report, true
}

// publishLimits sets the limits in the own record if they have changed. Otherwise the limits
// keep their encoded ages, so that the record does not change.
func (cs *ClusterState) publishLimits(now time.Time, r *peerv1.NodeRecord) {
	cs.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) {
		s.Backpressure().Expire(now)
		if version := s.Backpressure().Version(); version != cs.limitsVersion {
			cs.limitsVersion = version
			r.Limits = encodeLimits(now, s.Backpressure().Announcements())
		}
	})
}

func encodeLimits(now time.Time, reports []backpressure.LimitReport) []*peerv1.EndpointLimit {
	encoded := make([]*peerv1.EndpointLimit, 0, len(reports))
	for _, report := range reports {
		age := min(max(now.Sub(report.ReportedAt).Milliseconds(), 0), math.MaxUint32)
		encoded = append(encoded, &peerv1.EndpointLimit{
			Endpoint: InstanceHash(report.Instance), None: report.Limit.Kind == backpressure.Unlimited, PerSecond: report.Limit.PerSecond, AgeMs: uint32(age),
		})
	}
	return encoded
}

// sharesLimits reports whether a member has a share of rate limits. The shares of dead members go
// to the other entries: otherwise an endpoint whose limit only dead members share would receive
// nothing until these members expire. A member that is cut off by a network partition needs no
// share, as each side reaches only its own endpoints.
func sharesLimits(s membership.Status) bool { return s == membership.Alive || s == membership.Suspect }

// backpressureRank returns the rank of this entry among the entries that share limits, per data
// centre.
func backpressureRank(self *peerv1.NodeRecord, members []membership.Member) backpressure.Rank {
	rank := backpressure.Rank{
		DataCenter: self.GetDataCenter(),
		Entries:    map[string]int{self.GetDataCenter(): 1},
		Preceding:  map[string]int{},
	}
	for _, m := range members {
		if !sharesLimits(m.Status) {
			continue
		}
		rank.Entries[m.DataCenter]++
		if m.VM < self.GetVm() {
			rank.Preceding[m.DataCenter]++
		}
	}
	return rank
}
