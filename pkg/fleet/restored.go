package fleet

import (
	"maps"
	"slices"
	"time"
)

// Restored bridges a restore of the platform's store. The copy that the store comes back from
// is some seconds old. It shows endpoints that have left since, and not that operators have
// closed a data centre since. Who wrote that writes it again, within moments; until then what
// was known before holds:
//
//   - An endpoint that had left isn't used again because the first list after the restore shows
//     it. Its record in the copy lapses within Hold, unless the endpoint lives and renews it.
//     If more than three times as many had left as are in use of their target, records had
//     lapsed in an outage, and they are used.
//   - A data centre that was closed stays closed. Operators write it again sooner than records
//     lapse, and may have opened it again, which the copy doesn't show either.
//
// Either ends with a list that somebody has read later than its hold after the restore was
// noticed: it shows what has been written since. Without one, while nothing changes or at an
// entry that is cut off, it ends after twice its hold.
//
// The caller serialises calls.
type Restored struct {
	// Hold is that of endpoints, longer than a record lives that nobody renews, and HoldClosed that
	// of closed data centres.
	Hold, HoldClosed time.Duration

	era uint64
	// noticed is when the last restore was noticed.
	noticed time.Time
	// used are the lives in use, with their targets; nil before the first list.
	used map[Life][]string
	// left are the lives that were in use and aren't, and since when.
	left   map[Life]time.Time
	closed []string
	// out are the lives that the copy shows and that had left.
	out map[Life]bool
	// kept are the data centres that were closed before the restore.
	kept []string
}

const (
	// leftFor is for how long it is remembered that a life has left: longer than any copy of the
	// store is old.
	leftFor = 2 * time.Minute
	// mostHolds bounds, in times of Hold, for how long a list that nobody has read since is held
	// back.
	mostHolds = 2
)

// Bridged is what holds of a list.
type Bridged struct {
	Endpoints []Endpoint
	Closed    []string
	// KeptOut are the lives in the list that aren't used, KeptClosed the data centres that
	// are closed though the list doesn't show it.
	KeptOut    []Life
	KeptClosed []string
	// First says that the list is the first after a restore.
	First bool
	// Again, unless zero, is when to apply the same list once more.
	Again time.Time
}

// Apply takes the endpoints and the closed data centres of a list, the era of the store that it
// is of, and when somebody has read it first. Use has to follow.
func (r *Restored) Apply(now, read time.Time, era uint64, listed []Endpoint, closed []string) Bridged {
	first := r.used != nil && era > r.era
	if first {
		r.noticed = now
		r.out = r.hadLeft(now, listed)
		r.kept = r.closed
	}
	r.era = max(r.era, era)
	if r.over(now, read, r.Hold) {
		r.out = nil
	}
	if r.over(now, read, r.HoldClosed) {
		r.kept = nil
	}
	result := r.bridge(listed, closed)
	result.First = first
	r.closed = result.Closed
	return result
}

// over reports whether a hold has ended, with a list that somebody has read first at some time.
func (r *Restored) over(now, read time.Time, hold time.Duration) bool {
	return read.Sub(r.noticed) >= hold || now.Sub(r.noticed) >= mostHolds*hold
}

// Use tells which endpoints are used, of the list and those that Grace keeps.
func (r *Restored) Use(now time.Time, endpoints []Endpoint) {
	before := r.used
	r.used = make(map[Life][]string, len(endpoints))
	for _, e := range endpoints {
		r.used[e.Life()] = e.Targets
	}
	inUse := func(l Life) bool { _, ok := r.used[l]; return ok }
	if r.left == nil {
		r.left = map[Life]time.Time{}
	}
	for life := range before {
		if !inUse(life) {
			r.left[life] = now
		}
	}
	maps.DeleteFunc(r.left, func(l Life, at time.Time) bool { return inUse(l) || now.Sub(at) >= leftFor })
}

// mostLeft is up to how many endpoints of a target may have left, for each that is in use.
const mostLeft = 3

// hadLeft tells which of the listed lives had left.
func (r *Restored) hadLeft(now time.Time, listed []Endpoint) map[Life]bool {
	had := func(e Endpoint) bool {
		at, ok := r.left[e.Life()]
		return ok && now.Sub(at) < leftFor
	}
	left, inUse := map[string]int{}, map[string]int{}
	for _, targets := range r.used {
		for _, t := range targets {
			inUse[t]++
		}
	}
	for _, e := range listed {
		for _, t := range e.Targets {
			if had(e) {
				left[t]++
			}
		}
	}
	lapsed := func(t string) bool { return left[t] > mostLeft*inUse[t] }
	out := map[Life]bool{}
	for _, e := range listed {
		if had(e) && !slices.ContainsFunc(e.Targets, lapsed) {
			out[e.Life()] = true
		}
	}
	return out
}

// bridge leaves out of a list what had left, and adds what was closed.
func (r *Restored) bridge(listed []Endpoint, closed []string) Bridged {
	if len(r.out) == 0 && len(r.kept) == 0 {
		return Bridged{Endpoints: listed, Closed: closed}
	}
	result := Bridged{Closed: slices.Clone(closed)}
	// What isn't listed any more is news when it comes back.
	still := map[Life]bool{}
	for _, e := range listed {
		if r.out[e.Life()] {
			still[e.Life()] = true
			result.KeptOut = append(result.KeptOut, e.Life())
			continue
		}
		result.Endpoints = append(result.Endpoints, e)
	}
	r.out = still
	// What the list shows is told by the list from then on.
	r.kept = slices.DeleteFunc(slices.Clone(r.kept), func(name string) bool { return slices.Contains(closed, name) })
	result.KeptClosed = r.kept
	result.Closed = append(result.Closed, r.kept...)
	slices.Sort(result.Closed)
	if len(result.KeptOut) > 0 {
		result.Again = r.noticed.Add(mostHolds * r.Hold)
	}
	if len(result.KeptClosed) > 0 {
		result.Again = r.noticed.Add(mostHolds * min(r.Hold, r.HoldClosed))
	}
	return result
}
