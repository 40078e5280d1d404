package fleet

import (
	"slices"
	"time"
)

// EndpointRetention retains endpoints for a grace period after their records lapsed.
//
// Endpoints can't renew their records while the platform's store is unavailable, so many
// of them can disappear from the list together although they are running. They are listed
// again soon after the store recovers. An endpoint that disappears is therefore retained
// for GracePeriod if fewer than half of the live endpoints of its first target remain after
// all disappearances of the same update. The only live endpoint of a target is removed at
// once, and so is an endpoint when at least half of its target remains. After a restore of
// the store from a copy, every live endpoint that disappears with it is retained: the copy
// may be older than the endpoint's record, which the endpoint writes again. Endpoints that
// were leaving are never retained.
//
// The caller serialises calls.
type EndpointRetention struct {
	// GracePeriod is how long a lapsed endpoint is retained.
	GracePeriod time.Duration

	// latest are the endpoints returned last, by id; they are shared with the returned list.
	latest        map[string]*Endpoint
	retainedUntil map[string]time.Time
}

// Apply returns the effective endpoints for a published list: those listed and those retained.
// The caller must not change them. The argument restored is set for the first list after a restore
// of the store. If endpoints are retained, reapplyAt is when to apply the same list again;
// otherwise it is zero.
func (r *EndpointRetention) Apply(now time.Time, published []Endpoint, restored bool) (effective []Endpoint, reapplyAt time.Time) {
	if r.latest == nil {
		r.latest = map[string]*Endpoint{}
		r.retainedUntil = map[string]time.Time{}
	}
	listed := make(map[string]bool, len(published))
	for _, e := range published {
		listed[e.ID] = true
	}
	r.retainLapsed(now, listed, restored)
	effective = slices.Clip(published)
	for id, until := range r.retainedUntil {
		if listed[id] || !now.Before(until) {
			delete(r.retainedUntil, id)
			continue
		}
		effective = append(effective, *r.latest[id])
		if reapplyAt.IsZero() || until.Before(reapplyAt) {
			reapplyAt = until
		}
	}
	clear(r.latest)
	for i := range effective {
		r.latest[effective[i].ID] = &effective[i]
	}
	return effective, reapplyAt
}

// Remove removes endpoints whose records exist but are invalid. These records haven't lapsed,
// so the endpoints are neither retained nor counted as disappeared.
func (r *EndpointRetention) Remove(badRecords []BadRecord) {
	for _, b := range badRecords {
		delete(r.latest, b.ID)
		delete(r.retainedUntil, b.ID)
	}
}

// retainLapsed starts the grace period of endpoints that have just disappeared, if more than
// half of their first target have, or retainAll is set.
func (r *EndpointRetention) retainLapsed(now time.Time, listed map[string]bool, retainAll bool) {
	liveBefore, remaining := map[string]int{}, map[string]int{}
	for id, e := range r.latest {
		if e.State == Leaving {
			continue
		}
		for _, t := range e.Targets {
			liveBefore[t]++
			if listed[id] {
				remaining[t]++
			}
		}
	}
	for id, e := range r.latest {
		if listed[id] || e.State == Leaving || len(e.Targets) == 0 {
			continue
		}
		if _, retained := r.retainedUntil[id]; retained {
			continue
		}
		if t := e.Targets[0]; retainAll || liveBefore[t] > 1 && remaining[t]*2 < liveBefore[t] {
			r.retainedUntil[id] = now.Add(r.GracePeriod)
		}
	}
}
