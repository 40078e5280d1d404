package experiment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/experiment/scenario"
	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// schedule lets a fault begin and end in its time.
func (s *sim) schedule(f *scenario.Fault) {
	begin, end := s.effects(f)
	if begin == nil {
		return
	}
	s.after(f.At, begin)
	if f.Until > 0 {
		s.after(f.Until, end)
	}
}

// after is After, at once for what is so from the start.
func (s *sim) after(d time.Duration, f func()) {
	if d == 0 {
		f()
		return
	}
	s.After(d, f)
}

// effects gives what a fault does at its begin and at its end. Longer outputs are drawn
// with the arrivals, so there is nothing to do for them.
func (s *sim) effects(f *scenario.Fault) (begin, end func()) {
	switch f.Kind {
	case scenario.EngineReclaimed:
		return s.engines[f.Engine].reclaim, nil
	case scenario.EntryLost:
		return s.entries[f.Entry].lose, nil
	case scenario.SlowEngine:
		g := s.engines[f.Engine]
		return func() { g.slowdown *= f.Factor }, func() { g.slowdown /= f.Factor }
	case scenario.DataCentreCut:
		return func() { s.cuts++ }, func() { s.cuts-- }
	case scenario.LateReports:
		return func() { s.late[f] = true }, func() { delete(s.late, f) }
	default:
		return nil, nil
	}
}

// reaches reports whether a data centre reaches another.
func (s *sim) reaches(from, to string) bool { return s.cuts == 0 || from == to }

// reportLag is how old reports are now.
func (s *sim) reportLag() time.Duration {
	lag := s.sc.Fleet.ReportLag
	for f := range s.late {
		lag = max(lag, f.Lag)
	}
	return lag
}

// lengthen stretches an output that comes while outputs are longer.
func (s *sim) lengthen(a *load.Arrival) {
	if a.Kind.Urgent {
		return
	}
	for _, f := range s.sc.Faults {
		if f.Kind == scenario.LongerOutputs && f.Holds(a.At) {
			a.OutputTokens = min(int(float64(a.OutputTokens)*f.Factor), load.MaxOutputTokens)
		}
	}
}

// reclaim takes an engine away. What hasn't delivered a token and may be
// repeated runs again; the rest is lost.
func (g *engine) reclaim() {
	g.gone = true
	s := g.sim
	for _, r := range g.inOrder() {
		if r.done {
			// Its entry died a moment ago.
			continue
		}
		r.entry.policy.Finish(s.Now(), r.id, scheduler.Result{Failed: true, Generated: generated(r)})
		if s.sc.Row(r.arrival.Kind.Name).Idempotent && r.record.FirstToken == 0 {
			delete(r.entry.requests, r.id)
			r.entry.submit(r)
			continue
		}
		s.end(r, load.Incomplete)
	}
	clear(g.running)
	s.After(noticeGone, func() {
		for _, e := range s.entries {
			e.policy.SetLeaving(g.spec.ID, true)
		}
	})
}

// inOrder lists what runs at an engine, the same way in every run of a seed.
func (g *engine) inOrder() []*request {
	return slices.SortedFunc(maps.Values(g.running), func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.entry.index, b.entry.index), cmp.Compare(a.id, b.id))
	})
}

// lose kills an entry: its requests are lost, and the engines notice after a
// while that nobody reads.
func (e *entry) lose() {
	e.dead = true
	s := e.sim
	for _, r := range e.requests {
		class := load.NotRun
		if r.engine != nil {
			class = load.Incomplete
			s.After(noticeGone, func() { r.engine.drop(r) })
		}
		s.end(r, class)
	}
}
