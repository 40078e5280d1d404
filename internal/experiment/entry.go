package experiment

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// entry is one entry with its policy.
type entry struct {
	sim      *sim
	index    int
	dc       string
	policy   scheduler.Policy
	nextID   scheduler.ID
	requests map[scheduler.ID]*request
	dead     bool
	lastSeen map[int]time.Time
}

func (s *sim) newEntry(i int) *entry {
	return &entry{
		sim:      s,
		index:    i,
		dc:       dataCenter(i, s.sc.Fleet.DataCentres),
		requests: map[scheduler.ID]*request{},
		lastSeen: map[int]time.Time{},
	}
}

func (s *sim) nextEntry() *entry {
	for {
		s.turn++
		if e := s.entries[s.turn%len(s.entries)]; !e.dead {
			return e
		}
	}
}

func (e *entry) submit(r *request) {
	e.nextID++
	r.entry, r.id = e, e.nextID
	r.engine, r.seq = nil, nil
	e.requests[r.id] = r
	err := e.policy.Submit(e.sim.Now(), scheduler.Request{
		ID:           r.id,
		Workspace:    r.arrival.Workspace,
		Kind:         r.arrival.Kind.Name,
		Row:          e.sim.sc.Row(r.arrival.Kind.Name),
		PromptTokens: r.arrival.PromptTokens,
		ArrivedAt:    r.arrived,
	})
	if err != nil {
		e.refuse(r, err)
		return
	}
	e.pump()
}

func (e *entry) refuse(r *request, _ *outcome.Error) { e.sim.end(r, load.NotRun) }

// pump does what the policy wants done now.
func (e *entry) pump() {
	if e.dead {
		return
	}
	actions := e.policy.Next(e.sim.Now())
	for _, x := range actions.Refusals {
		if r := e.requests[x.ID]; r != nil {
			e.refuse(r, x.Err)
		}
	}
	for _, x := range actions.Dispatches {
		if r := e.requests[x.ID]; r != nil {
			e.dispatch(r, x.Endpoint)
		}
	}
}

func (e *entry) dispatch(r *request, spec fleet.Endpoint) {
	s := e.sim
	target := s.engineByID(spec.ID)
	r.engine = target
	delay := hop
	if target.spec.DataCenter != e.dc {
		delay = remoteHop
	}
	s.After(delay, func() {
		if r.done {
			return
		}
		if target.gone || !s.reaches(e.dc, target.spec.DataCenter) {
			e.notSent(r)
			return
		}
		target.add(r)
	})
}

// notSent puts a request back that could not be sent.
func (e *entry) notSent(r *request) {
	s := e.sim
	e.policy.Finish(s.Now(), r.id, scheduler.Result{Failed: true})
	delete(e.requests, r.id)
	r.engine = nil
	s.After(refuseHop+50*time.Millisecond, func() {
		if !r.done && !e.dead {
			e.submit(r)
		}
	})
}

// exchange tells every entry what each other has in flight, after a delay.
func (s *sim) exchange() {
	for _, from := range s.entries {
		if from.dead {
			continue
		}
		shares := append([]scheduler.InFlightLoad{}, from.policy.InFlightLoads()...)
		for _, to := range s.entries {
			if to == from || to.dead || !s.reaches(from.dc, to.dc) {
				continue
			}
			late := time.Duration((0.2 + s.rng.Float64()) * float64(sharesEvery))
			s.After(late, func() { to.hear(from, shares) })
		}
	}
	for _, e := range s.entries {
		e.forget()
	}
}

func (e *entry) hear(from *entry, shares []scheduler.InFlightLoad) {
	e.lastSeen[from.index] = e.sim.Now()
	e.policy.SetPeerLoads(e.sim.Now(), fmt.Sprint(from.index), shares)
}

func (e *entry) forget() {
	for _, i := range slices.Sorted(maps.Keys(e.lastSeen)) {
		if e.sim.Now().Sub(e.lastSeen[i]) > forgetShares {
			e.policy.SetPeerLoads(e.sim.Now(), fmt.Sprint(i), nil)
			delete(e.lastSeen, i)
		}
	}
}
