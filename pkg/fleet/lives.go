package fleet

import (
	"fmt"
	"slices"
	"time"
)

// Life is one life of an endpoint: from a start under its id to the next. What is believed
// of an endpoint is believed of one life. The next one holds nothing of it.
//
//	[life 1] --start under the same id--> [life 2] --...
//	    |                                     |
//	    +-- news of it counts until here      +-- counts for life 2 only
type Life struct {
	Endpoint    string
	Incarnation uint64
}

// Told reports whether the endpoint tells its lives apart. Those of one that doesn't are
// all taken for one.
func (l Life) Told() bool { return l.Incarnation > UntoldStart }

// Life names the life of the endpoint that this is.
func (e Endpoint) Life() Life { return Life{e.ID, e.Incarnation} }

// OverError says that an endpoint has started again since.
type OverError struct{ Life Life }

// Error implements error.
func (e OverError) Error() string {
	return fmt.Sprintf("%s has started again since its start at %d", e.Life.Endpoint, e.Life.Incarnation)
}

// Lives keeps a list of endpoints from falling back to an earlier life of one.
//
// Endpoints write their records themselves, so that the last word of a life may reach the
// list after the first of the next. It stands there until the next life writes again, which
// it does within moments. Believed, it would end a healthy life: its streams would be taken
// for lost, and if it says that the endpoint leaves, they would be moved. So the record of
// the later life is used instead, for Hold at most: one that stands longer is no late word.
// Then the endpoint's clock was set back between two starts, and it is believed.
//
// The caller serialises calls.
type Lives struct {
	// Hold is for how long an earlier life isn't believed.
	Hold time.Duration

	// latest are those used last; they are shared with the lists that were returned.
	latest map[string]*Endpoint
	// back are the earlier lives that the list shows, with when they are believed.
	back map[string]setBack
}

type setBack struct {
	incarnation uint64
	until       time.Time
}

// Apply takes the listed endpoints and returns those to use, which the caller must not change. If a record is held back, again
// is when to apply the same list once more.
func (l *Lives) Apply(now time.Time, listed []Endpoint) (use []Endpoint, again time.Time) {
	use = listed
	latest := make(map[string]*Endpoint, len(listed))
	back := map[string]setBack{}
	for i := range listed {
		e := &listed[i]
		if until := l.heldBack(now, e); !until.IsZero() {
			if len(back) == 0 {
				use = slices.Clone(listed)
			}
			use[i] = *l.latest[e.ID]
			back[e.ID] = setBack{e.Incarnation, until}
			if again.IsZero() || until.Before(again) {
				again = until
			}
		}
	}
	for i := range use {
		latest[use[i].ID] = &use[i]
	}
	l.latest, l.back = latest, back
	return use, again
}

// heldBack returns until when a record isn't believed; zero if it is.
func (l *Lives) heldBack(now time.Time, e *Endpoint) (until time.Time) {
	if known, ok := l.latest[e.ID]; !ok || e.Incarnation >= known.Incarnation {
		return time.Time{}
	}
	until = now.Add(l.Hold)
	if b, ok := l.back[e.ID]; ok && b.incarnation == e.Incarnation {
		until = b.until
	}
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}
