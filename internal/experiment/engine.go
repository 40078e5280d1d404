package experiment

import (
	"fmt"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/enginemodel"
	"github.com/bridgehoist/bridgehoist/internal/experiment/policies"
	"github.com/bridgehoist/bridgehoist/internal/experiment/scenario"
	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// engine is one engine with its model.
type engine struct {
	sim      *sim
	spec     fleet.Endpoint
	model    *enginemodel.Engine
	running  map[string]*request
	busy     bool
	gone     bool
	slowdown float64
	// placed counts the requests that came.
	placed int
}

func dataCenter(i, count int) string { return fmt.Sprintf("dc-%d", i%max(count, 1)) }

func (s *sim) newEngine(i int) *engine {
	cfg := s.sc.Engine
	return &engine{
		sim:     s,
		model:   enginemodel.New(cfg),
		running: map[string]*request{},
		spec: fleet.Endpoint{
			ID:             policies.EngineName(i),
			Type:           fleet.Engine,
			DataCenter:     dataCenter(i, s.sc.Fleet.DataCentres),
			Targets:        []string{scenario.Target},
			Incarnation:    1,
			State:          fleet.Live,
			CapacityTokens: cfg.CapacityTokens,
			MaxRunning:     cfg.MaxRunning,
		},
		slowdown: 1,
	}
}

func (s *sim) engineByID(id string) *engine {
	for _, e := range s.engines {
		if e.spec.ID == id {
			return e
		}
	}
	return nil
}

func (g *engine) add(r *request) {
	r.key = fmt.Sprintf("%d/%d", r.entry.index, r.id)
	r.seq = &enginemodel.Sequence{
		ID:           r.key,
		Priority:     g.sim.sc.Row(r.arrival.Kind.Name).Priority,
		PromptTokens: r.arrival.PromptTokens,
		OutputTokens: r.arrival.OutputTokens,
		Prefix:       r.prefix,
		PrefixTokens: r.arrival.PromptTokens / 2,
	}
	g.running[r.key] = r
	g.placed++
	g.model.Add(r.seq)
	g.wake()
}

func (g *engine) drop(r *request) {
	delete(g.running, r.key)
	g.model.Remove(r.key)
}

func (g *engine) wake() {
	if g.busy || g.gone {
		return
	}
	g.busy = true
	g.step()
}

func (g *engine) step() {
	if g.gone || g.model.Idle() {
		g.busy = false
		return
	}
	st := g.model.Step()
	took := time.Duration(float64(st.Duration) * g.slowdown)
	g.sim.After(took, func() {
		for _, q := range st.Progressed {
			g.progress(q)
		}
		g.step()
	})
}

// progress delivers one token to the entry and the caller.
func (g *engine) progress(q *enginemodel.Sequence) {
	r := g.running[q.ID]
	if r == nil || r.done {
		return
	}
	s := g.sim
	gap := s.Now().Sub(r.lastToken)
	r.lastToken = s.Now()
	if r.record.FirstToken == 0 {
		r.record.FirstToken = s.Now().Sub(r.arrived)
	} else {
		r.record.Gaps = append(r.record.Gaps, gap)
	}
	if gap > stallGap {
		r.record.Stall += gap
	}
	r.entry.policy.Progress(s.Now(), r.id, q.Generated())
	if q.Generated() < q.OutputTokens {
		return
	}
	delete(g.running, q.ID)
	r.entry.policy.Finish(s.Now(), r.id, scheduler.Result{Complete: true, Generated: q.Generated()})
	s.end(r, load.Answered)
	r.entry.pump()
}

// report passes the load of each engine on, with the scenario's lag.
func (s *sim) report() {
	for _, g := range s.engines {
		if g.gone {
			continue
		}
		l := g.model.Load()
		if s.Now().Sub(s.start) < s.sc.Load.Duration {
			s.memory += float64(l.UsedTokens) / float64(g.spec.CapacityTokens)
			s.memoryCount++
		}
		rep := scheduler.Report{
			Endpoint: g.spec.ID, Incarnation: 1, ReportedAt: s.Now(),
			UsedTokens: l.UsedTokens, CapacityTokens: g.spec.CapacityTokens,
			Running: l.Running, Waiting: l.Waiting, Preemptions: l.Preemptions,
		}
		s.After(s.reportLag(), func() {
			for _, e := range s.entries {
				if s.reaches(g.spec.DataCenter, e.dc) {
					e.policy.Report(s.Now(), rep)
				}
			}
		})
	}
}
