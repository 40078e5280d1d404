package fleet

import (
	"fmt"
	"slices"
	"time"
)

// Instance is one run of an endpoint, from a start under its id to the next start. All state
// about an endpoint belongs to one instance and doesn't carry over to the next:
//
//	[instance 1] --restart under the same id--> [instance 2] --...
//	reports of instance 1 apply                 only reports of instance 2 apply
type Instance struct {
	Endpoint    string
	Incarnation uint64
}

// HasIncarnation reports whether the incarnation is known. All instances of an endpoint
// without one are treated as the same instance.
func (i Instance) HasIncarnation() bool { return i.Incarnation > UnknownIncarnation }

// Instance identifies the instance of the endpoint.
func (e Endpoint) Instance() Instance { return Instance{e.ID, e.Incarnation} }

// InstanceEndedError is returned if an endpoint has restarted, so that the instance has ended.
type InstanceEndedError struct{ Instance Instance }

// Error implements error.
func (e InstanceEndedError) Error() string {
	return fmt.Sprintf("%s has started again since its start at %d", e.Instance.Endpoint, e.Instance.Incarnation)
}

// StaleRecordFilter prevents a list of endpoints from reverting to an earlier instance of one.
//
// Endpoints write their own records, so the last write of an instance can reach the list after
// the first write of the next instance. The stale record is listed until the next instance
// renews its record, shortly afterwards. Using it would end a healthy instance: its streams would
// be treated as lost, or be moved if the stale record is in state leaving. So the record of the
// later instance is used instead, for at most SuppressionPeriod. A record that is listed for
// longer isn't stale: the endpoint's clock was set back between two starts, and the record with
// the lower incarnation is used.
//
// The caller serialises calls.
type StaleRecordFilter struct {
	// SuppressionPeriod is how long a record with a lower incarnation is ignored.
	SuppressionPeriod time.Duration

	// latest are the endpoints returned last, by id; they are shared with the returned list.
	latest map[string]*Endpoint
	// suppressed are the listed records that are ignored, by endpoint id.
	suppressed map[string]suppression
}

// suppression is a record that is ignored until a deadline.
type suppression struct {
	incarnation uint64
	until       time.Time
}

// Apply returns the effective endpoints for a list, which the caller must not change. If a
// record is suppressed, reapplyAt is when to apply the same list again; otherwise it is zero.
func (f *StaleRecordFilter) Apply(now time.Time, listed []Endpoint) (effective []Endpoint, reapplyAt time.Time) {
	effective = listed
	latest := make(map[string]*Endpoint, len(listed))
	suppressed := map[string]suppression{}
	for i := range listed {
		e := &listed[i]
		if until := f.suppressedUntil(now, e); !until.IsZero() {
			if len(suppressed) == 0 {
				effective = slices.Clone(listed)
			}
			effective[i] = *f.latest[e.ID]
			suppressed[e.ID] = suppression{e.Incarnation, until}
			if reapplyAt.IsZero() || until.Before(reapplyAt) {
				reapplyAt = until
			}
		}
	}
	for i := range effective {
		latest[effective[i].ID] = &effective[i]
	}
	f.latest, f.suppressed = latest, suppressed
	return effective, reapplyAt
}

// suppressedUntil returns until when a record is ignored, or zero if it is used.
func (f *StaleRecordFilter) suppressedUntil(now time.Time, e *Endpoint) (until time.Time) {
	if latest, ok := f.latest[e.ID]; !ok || e.Incarnation >= latest.Incarnation {
		return time.Time{}
	}
	until = now.Add(f.SuppressionPeriod)
	if s, ok := f.suppressed[e.ID]; ok && s.incarnation == e.Incarnation {
		until = s.until
	}
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}
