package fleet

import (
	"maps"
	"slices"
	"time"
)

// RestoreReconciler corrects lists read after a restore of the platform's store. The store is
// restored from a copy that is some seconds old. The copy still contains endpoints that were
// removed since, and doesn't show that operators have closed a data centre since. Endpoints and
// operators write the current state again shortly; until then the state observed before the
// restore applies:
//
//   - An endpoint that was removed stays excluded although the first list after the restore
//     contains it. Its record in the copy lapses within EndpointGracePeriod, unless the endpoint
//     is running and renews it. If more than three times as many endpoints of a target were
//     removed as are active, their records lapsed in an outage, and they are used.
//   - A data centre that was closed stays closed. Its grace period is a separate one: operators
//     write the closing again sooner than records lapse, and may have opened the data centre
//     again, which the copy doesn't show either.
//
// Each rule ends with a list that any entry has first read at least one grace period after the
// restore was detected, since that list contains all that was written again. Without such a
// list, for example while nothing changes or at an entry that is cut off, the rule ends after two
// grace periods.
//
// The caller serialises calls.
type RestoreReconciler struct {
	// EndpointGracePeriod is how long removed endpoints stay excluded; it must exceed the lifetime
	// of a record that isn't renewed. ClosedGracePeriod is how long data centres stay closed.
	EndpointGracePeriod, ClosedGracePeriod time.Duration

	// era is the highest era of the store seen.
	era uint64
	// detectedAt is when the last restore was detected.
	detectedAt time.Time
	// active are the instances in use, with their targets; nil before the first list.
	active map[Instance][]string
	// removedAt is when instances that were in use were removed.
	removedAt map[Instance]time.Time
	// closedDataCenters are the data centres closed according to the last result.
	closedDataCenters []string
	// excluded are the instances in the restored copy that had been removed before.
	excluded map[Instance]bool
	// retainedClosed are the data centres that were closed before the restore.
	retainedClosed []string
}

const (
	// removalRetention is how long the removal of an instance is recorded. It exceeds the age of
	// any copy that the store is restored from.
	removalRetention = 2 * time.Minute
	// maxGracePeriods is the number of grace periods after which a rule ends even if no entry
	// has read a list since.
	maxGracePeriods = 2
)

// ReconciledList is a list with the state from before a restore applied to it.
type ReconciledList struct {
	Endpoints         []Endpoint
	ClosedDataCenters []string
	// Excluded are the listed instances that must not be used, and RetainedClosed the data
	// centres that are closed although the list doesn't show it.
	Excluded       []Instance
	RetainedClosed []string
	// FirstAfterRestore is set if the list is the first after a restore.
	FirstAfterRestore bool
	// ReapplyAt, unless zero, is when to apply the same list again.
	ReapplyAt time.Time
}

// Apply reconciles the endpoints and the closed data centres of a list. It takes the store's era
// as of the list and the time at which an entry first read the list from the store. The caller
// must call SetActive afterwards.
func (r *RestoreReconciler) Apply(now, readAt time.Time, era uint64, listed []Endpoint, closed []string) ReconciledList {
	firstAfterRestore := r.active != nil && era > r.era
	if firstAfterRestore {
		r.detectedAt = now
		r.excluded = r.findReappeared(now, listed)
		r.retainedClosed = r.closedDataCenters
	}
	r.era = max(r.era, era)
	if r.graceEnded(now, readAt, r.EndpointGracePeriod) {
		r.excluded = nil
	}
	if r.graceEnded(now, readAt, r.ClosedGracePeriod) {
		r.retainedClosed = nil
	}
	result := r.reconcile(listed, closed)
	result.FirstAfterRestore = firstAfterRestore
	r.closedDataCenters = result.ClosedDataCenters
	return result
}

// graceEnded reports whether a grace period has ended, given when the list was first read.
func (r *RestoreReconciler) graceEnded(now, readAt time.Time, gracePeriod time.Duration) bool {
	return readAt.Sub(r.detectedAt) >= gracePeriod || now.Sub(r.detectedAt) >= maxGracePeriods*gracePeriod
}

// SetActive records the endpoints in use: those of the list and those that are retained.
func (r *RestoreReconciler) SetActive(now time.Time, endpoints []Endpoint) {
	previous := r.active
	r.active = make(map[Instance][]string, len(endpoints))
	for _, e := range endpoints {
		r.active[e.Instance()] = e.Targets
	}
	isActive := func(instance Instance) bool { _, ok := r.active[instance]; return ok }
	if r.removedAt == nil {
		r.removedAt = map[Instance]time.Time{}
	}
	for instance := range previous {
		if !isActive(instance) {
			r.removedAt[instance] = now
		}
	}
	maps.DeleteFunc(r.removedAt, func(instance Instance, removedAt time.Time) bool {
		return isActive(instance) || now.Sub(removedAt) >= removalRetention
	})
}

// maxRemovedRatio is the maximum number of removed endpoints of a target per active one. Above it,
// their records are taken to have lapsed in an outage.
const maxRemovedRatio = 3

// findReappeared returns the listed instances that had been removed and aren't to be used.
func (r *RestoreReconciler) findReappeared(now time.Time, listed []Endpoint) map[Instance]bool {
	wasRemoved := func(e Endpoint) bool {
		removedAt, ok := r.removedAt[e.Instance()]
		return ok && now.Sub(removedAt) < removalRetention
	}
	removed, active := map[string]int{}, map[string]int{}
	for _, targets := range r.active {
		for _, t := range targets {
			active[t]++
		}
	}
	for _, e := range listed {
		for _, t := range e.Targets {
			if wasRemoved(e) {
				removed[t]++
			}
		}
	}
	lapsed := func(target string) bool { return removed[target] > maxRemovedRatio*active[target] }
	reappeared := map[Instance]bool{}
	for _, e := range listed {
		if wasRemoved(e) && !slices.ContainsFunc(e.Targets, lapsed) {
			reappeared[e.Instance()] = true
		}
	}
	return reappeared
}

// reconcile removes the excluded instances from a list and adds the retained closed data centres.
func (r *RestoreReconciler) reconcile(listed []Endpoint, closed []string) ReconciledList {
	if len(r.excluded) == 0 && len(r.retainedClosed) == 0 {
		return ReconciledList{Endpoints: listed, ClosedDataCenters: closed}
	}
	result := ReconciledList{ClosedDataCenters: slices.Clone(closed)}
	// An excluded instance whose record lapses is used if it is listed again: it has written
	// the record since.
	stillListed := map[Instance]bool{}
	for _, e := range listed {
		if r.excluded[e.Instance()] {
			stillListed[e.Instance()] = true
			result.Excluded = append(result.Excluded, e.Instance())
			continue
		}
		result.Endpoints = append(result.Endpoints, e)
	}
	r.excluded = stillListed
	// Once the list contains a closed data centre, the list determines its state.
	r.retainedClosed = slices.DeleteFunc(slices.Clone(r.retainedClosed), func(name string) bool { return slices.Contains(closed, name) })
	result.RetainedClosed = r.retainedClosed
	result.ClosedDataCenters = append(result.ClosedDataCenters, r.retainedClosed...)
	slices.Sort(result.ClosedDataCenters)
	if len(result.Excluded) > 0 {
		result.ReapplyAt = r.detectedAt.Add(maxGracePeriods * r.EndpointGracePeriod)
	}
	if len(result.RetainedClosed) > 0 {
		result.ReapplyAt = r.detectedAt.Add(maxGracePeriods * min(r.EndpointGracePeriod, r.ClosedGracePeriod))
	}
	return result
}
