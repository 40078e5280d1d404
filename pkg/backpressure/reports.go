package backpressure

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// LimitReport is the limit that one response of an endpoint instance states.
type LimitReport struct {
	Instance fleet.Instance
	// Limit is never Unreadable.
	Limit Limit
	// ReportedAt orders the reports of an instance: the latest applies. It is the time when the
	// response was received, or, for a response without a limit, when its request was sent: such a
	// response may have been written at any time since, so it must not revoke a limit that another
	// response names meanwhile.
	ReportedAt time.Time
}

// NewLimitReport returns the report of a response, if the response states one. Any response may
// name a limit. Only a response that serves its request states that there is none: errors, refusals
// and state reports may be written by components of an endpoint that don't implement its throttling.
func NewLimitReport(instance fleet.Instance, limit Limit, served bool, sent, received time.Time) (r LimitReport, ok bool) {
	switch {
	case limit.Kind == Limited:
		return LimitReport{Instance: instance, Limit: limit, ReportedAt: received}, true
	case limit.Kind == Unlimited && served:
		return LimitReport{Instance: instance, Limit: limit, ReportedAt: sent}, true
	default:
		return LimitReport{}, false
	}
}

// Source is the origin of a report.
type Source int

const (
	// FromResponse: a response to this entry.
	FromResponse Source = iota
	// FromSameDataCenter: a peer in this data centre, which itself announces the report to all
	// entries there.
	FromSameDataCenter
	// FromOtherDataCenter: a peer in another data centre.
	FromOtherDataCenter
)

// Change is a limit that was set, changed or removed.
type Change struct {
	Instance fleet.Instance
	// Previous and Current are the limits before and after the change.
	Previous, Current Limit
	// Duration is how long the previous limit applied.
	Duration time.Duration
	// RequestsSent counts the requests that this entry sent to the instance in that time.
	RequestsSent int
}

// state is the limit of one endpoint instance that has reported one.
type state struct {
	limit Limit
	// reportedAt is the time of the latest report.
	reportedAt time.Time
	// announced is the limit last announced and logged, announcedAt the time since which it
	// applies, and sent the number of requests that this entry has sent since.
	announced   Limit
	announcedAt time.Time
	sent        int
	// announce is set if this entry announces the limit to its peers.
	announce bool
	// unlistedSince is when the instance was first missing in the list; zero if it is listed.
	unlistedSince time.Time
	bucket        bucket
}

// Apply applies a report and returns the change that it makes, unless the limits are similar. A report
// older than the known one changes nothing; if it comes from a peer and differs in kind, the newer one
// is announced to that peer.
func (s *Set) Apply(now time.Time, r LimitReport, source Source) (Change, bool) {
	st := s.states[r.Instance]
	switch {
	case st == nil && r.Limit.Kind != Limited:
		return Change{}, false
	case st == nil:
		st = &state{announcedAt: now, bucket: bucket{refilledAt: now}}
		s.states[r.Instance] = st
	case !r.ReportedAt.After(st.reportedAt):
		if source != FromResponse && r.Limit.Kind != st.limit.Kind {
			// The version changes even if the limit is announced already, since the report may be newer
			// than the one announced.
			st.announce = true
			s.version++
		}
		return Change{}, false
	}
	st.reportedAt, st.limit = r.ReportedAt, r.Limit
	if st.announced.similar(r.Limit) {
		return Change{}, false
	}
	c := Change{Instance: r.Instance, Previous: st.announced, Current: r.Limit, Duration: now.Sub(st.announcedAt), RequestsSent: st.sent}
	st.announced, st.announcedAt, st.sent = r.Limit, now, 0
	st.announce = source != FromSameDataCenter
	s.version++
	return c, true
}

// Announcements returns the reports that this entry announces to its peers, ordered by endpoint:
// those from responses to itself and those received from another data centre.
func (s *Set) Announcements() []LimitReport {
	var reports []LimitReport
	for instance, st := range s.states {
		if st.announce {
			reports = append(reports, LimitReport{Instance: instance, Limit: st.limit, ReportedAt: st.reportedAt})
		}
	}
	slices.SortFunc(reports, func(a, b LimitReport) int { return strings.Compare(a.Instance.Endpoint, b.Instance.Endpoint) })
	return reports
}

// Version changes whenever Announcements has new content.
func (s *Set) Version() uint64 { return s.version }

const (
	// unlimitedRetention is the time for which the removal of a limit is kept and announced,
	// until all entries have received it.
	unlimitedRetention = 30 * time.Second
	// unlistedRetention is the time for which the limit of an instance is kept that isn't
	// listed: records expire while the store is unavailable, and return with endpoints that
	// throttle as before.
	unlistedRetention = 2 * time.Minute
)

// UpdateListed records which instances the list contains.
func (s *Set) UpdateListed(now time.Time, listed func(fleet.Instance) bool) {
	for instance, st := range s.states {
		switch {
		case listed(instance):
			st.unlistedSince = time.Time{}
		case st.unlistedSince.IsZero():
			st.unlistedSince = now
		}
	}
}

// Expire drops pauses that have ended, removals of limits after unlimitedRetention, and instances
// unlisted for unlistedRetention.
func (s *Set) Expire(now time.Time) {
	maps.DeleteFunc(s.pauses, func(_ fleet.Instance, until time.Time) bool { return !now.Before(until) })
	for instance, st := range s.states {
		delisted := !st.unlistedSince.IsZero() && now.Sub(st.unlistedSince) >= unlistedRetention
		expired := st.limit.Kind == Unlimited && now.Sub(st.announcedAt) >= unlimitedRetention
		if delisted || expired {
			delete(s.states, instance)
			s.version++
		}
	}
}
