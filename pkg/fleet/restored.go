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
//   - An endpoint that had left the list isn't used again because the copy lists it. Its record
//     in the copy lapses within Hold, unless the endpoint lives and renews it. If most endpoints
//     of a target had left, records had lapsed in an outage, and those in the copy are used.
//   - A data centre that was closed stays closed for Hold.
//
// The caller serialises calls.
type Restored struct {
	// Hold is for how long what was known before goes before what the copy shows. It is
	// longer than a record lives that nobody renews.
	Hold time.Duration

	era    uint64
	until  time.Time
	listed map[Life]bool
	// left are the lives that have left the list, and when.
	left   map[Life]time.Time
	closed []string
	// kept are the data centres that were closed before the restore.
	kept []string
}

// leftFor is for how long it is remembered that a life has left the list: longer than any copy
// of the store is old.
const leftFor = 2 * time.Minute

// Bridged is what holds of a list.
type Bridged struct {
	Endpoints []Endpoint
	Closed    []string
	// KeptOut are the lives in the list that aren't used, KeptClosed the data centres that
	// are closed though the list doesn't show it.
	KeptOut    []Life
	KeptClosed []string
	// Again, unless zero, is when to apply the same list once more.
	Again time.Time
}

// Apply takes the endpoints and the closed data centres of a list, and the era of the store
// that it is of.
func (r *Restored) Apply(now time.Time, era uint64, listed []Endpoint, closed []string) Bridged {
	maps.DeleteFunc(r.left, func(_ Life, at time.Time) bool { return now.Sub(at) >= leftFor })
	r.notice(now, era)
	out := Bridged{Endpoints: listed, Closed: closed}
	if now.Before(r.until) {
		out = r.bridge(now, listed, closed)
	}
	r.remember(now, out)
	return out
}

// IsRestore reports whether a list of an era would be the first after a restore.
func (r *Restored) IsRestore(era uint64) bool { return r.listed != nil && era > r.era }

func (r *Restored) notice(now time.Time, era uint64) {
	if r.IsRestore(era) {
		r.until = now.Add(r.Hold)
		r.kept = r.closed
	}
	r.era = max(r.era, era)
}

func (r *Restored) bridge(now time.Time, listed []Endpoint, closed []string) Bridged {
	out := Bridged{Closed: slices.Clone(closed)}
	back := r.back(listed)
	for _, e := range listed {
		if back[e.Life()] {
			out.KeptOut = append(out.KeptOut, e.Life())
			continue
		}
		out.Endpoints = append(out.Endpoints, e)
	}
	// One that the copy or a later list shows is told by the list from then on.
	r.kept = slices.DeleteFunc(slices.Clone(r.kept), func(name string) bool { return slices.Contains(closed, name) })
	for _, name := range r.kept {
		out.KeptClosed = append(out.KeptClosed, name)
		out.Closed = append(out.Closed, name)
	}
	slices.Sort(out.Closed)
	if len(out.KeptOut) > 0 || len(out.KeptClosed) > 0 {
		out.Again = r.until
	}
	return out
}

// back tells which of the listed lives had left the list, unless they are most of their target.
func (r *Restored) back(listed []Endpoint) map[Life]bool {
	all, back := map[string]int{}, map[string]int{}
	for _, e := range listed {
		if len(e.Targets) == 0 {
			continue
		}
		all[e.Targets[0]]++
		if _, had := r.left[e.Life()]; had {
			back[e.Targets[0]]++
		}
	}
	out := map[Life]bool{}
	for _, e := range listed {
		_, had := r.left[e.Life()]
		out[e.Life()] = had && len(e.Targets) > 0 && back[e.Targets[0]]*2 <= all[e.Targets[0]]
	}
	return out
}

// remember notes which lives are in use and which have left.
func (r *Restored) remember(now time.Time, out Bridged) {
	use := make(map[Life]bool, len(out.Endpoints))
	for _, e := range out.Endpoints {
		use[e.Life()] = true
		delete(r.left, e.Life())
	}
	if r.left == nil {
		r.left = map[Life]time.Time{}
	}
	for life := range r.listed {
		if !use[life] {
			r.left[life] = now
		}
	}
	r.listed, r.closed = use, out.Closed
}
