package fleet

import (
	"slices"
	"time"
)

// Grace keeps endpoints whose records lapsed in use for a short time.
//
// While the platform's store is away the endpoints can't renew their records, so
// many of them may vanish together although they live; they come back soon after
// the store does. An endpoint that vanishes is therefore kept for Hold if fewer
// than half of the live endpoints of its target are left without those that
// vanished at the same time. A single one that vanishes is gone at once. After a restore of
// the store every endpoint that vanishes with it is kept: the copy is older than its record,
// which it writes again.
//
// The caller serialises calls.
type Grace struct {
	// Hold is for how long a lapsed endpoint is kept.
	Hold time.Duration

	// known are those used last; they are shared with the lists that were returned.
	known map[string]*Endpoint
	held  map[string]time.Time
}

// Apply takes the published endpoints and returns those to use, which the caller must not change;
// restored says that the list is
// the first after a restore. If some are held, again is when to apply the same list once more.
func (g *Grace) Apply(now time.Time, published []Endpoint, restored bool) (use []Endpoint, again time.Time) {
	if g.known == nil {
		g.known = map[string]*Endpoint{}
		g.held = map[string]time.Time{}
	}
	listed := make(map[string]bool, len(published))
	for _, e := range published {
		listed[e.ID] = true
	}
	g.holdLapsed(now, listed, restored)
	use = slices.Clip(published)
	for id, until := range g.held {
		if listed[id] || !now.Before(until) {
			delete(g.held, id)
			continue
		}
		use = append(use, *g.known[id])
		if again.IsZero() || until.Before(again) {
			again = until
		}
	}
	clear(g.known)
	for i := range use {
		g.known[use[i].ID] = &use[i]
	}
	return use, again
}

// Forget drops endpoints whose records are there but name none any more. They have not
// lapsed, so they aren't held, and don't count among those that vanished together.
func (g *Grace) Forget(bad []BadRecord) {
	for _, b := range bad {
		delete(g.known, b.ID)
		delete(g.held, b.ID)
	}
}

// holdLapsed holds the endpoints that vanished now, if they are most of their
// target's or all of them are held.
func (g *Grace) holdLapsed(now time.Time, listed map[string]bool, all bool) {
	live, left := map[string]int{}, map[string]int{}
	for id, e := range g.known {
		if e.State == Leaving {
			continue
		}
		for _, t := range e.Targets {
			live[t]++
			if listed[id] {
				left[t]++
			}
		}
	}
	for id, e := range g.known {
		if listed[id] || e.State == Leaving || len(e.Targets) == 0 {
			continue
		}
		if _, held := g.held[id]; held {
			continue
		}
		if t := e.Targets[0]; all || live[t] > 1 && left[t]*2 < live[t] {
			g.held[id] = now.Add(g.Hold)
		}
	}
}
