// Package experiment measures scheduling policies side by side in virtual time:
// the real policy of package scheduler at several entries, the stand-in
// engine's model of memory and batching, and the delays between them. It is no
// simulator of a cluster: there are entries, engines and delays, nothing else.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/enginemodel"
	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/internal/virtualtime"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// sim is one run of one policy.
type sim struct {
	*virtualtime.Loop
	sc      Scenario
	rng     *rand.Rand
	start   time.Time
	entries []*entry
	engines []*engine
	result  *Run
	// cut says that the data centres can't reach each other.
	cut  bool
	turn int
}

// Delays of the experiment.
const (
	hop          = time.Millisecond
	remoteHop    = 2 * time.Millisecond
	sharesEvery  = 500 * time.Millisecond
	tickEvery    = 20 * time.Millisecond
	noticeGone   = time.Second
	forgetShares = 12 * time.Second
	refuseHop    = 2 * time.Millisecond
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

// engine is one engine with its model.
type engine struct {
	sim      *sim
	spec     fleet.Endpoint
	model    *enginemodel.Engine
	running  map[string]*request
	busy     bool
	gone     bool
	slowdown float64
}

// request is one request of a caller.
type request struct {
	arrival   load.Arrival
	arrived   time.Time
	ended     time.Time
	entry     *entry
	id        scheduler.ID
	key       string
	engine    *engine
	seq       *enginemodel.Sequence
	lastToken time.Time
	record    load.Record
	done      bool
	prefix    uint64
}

func newSim(sc Scenario, p NamedPolicy, seed uint64) *sim {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &sim{
		Loop:   virtualtime.New(start),
		sc:     sc,
		rng:    rand.New(rand.NewPCG(seed, 2)),
		start:  start,
		result: &Run{Scenario: sc.Name, Policy: p.Name, Seed: seed},
	}
	var endpoints []fleet.Endpoint
	for i := range sc.Engines {
		e := s.newEngine(i)
		s.engines = append(s.engines, e)
		endpoints = append(endpoints, e.spec)
	}
	for i := range sc.Entries {
		e := &entry{sim: s, index: i, dc: dataCenter(i, sc.DataCenters), requests: map[scheduler.ID]*request{}, lastSeen: map[int]time.Time{}}
		e.policy = p.Make(e.dc, i, sc.Entries, rand.New(rand.NewPCG(seed, uint64(100+i))))
		e.policy.SetEndpoints(start, endpoints)
		s.entries = append(s.entries, e)
	}
	return s
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

func dataCenter(i, count int) string { return fmt.Sprintf("dc-%d", i%max(count, 1)) }

func (s *sim) newEngine(i int) *engine {
	cfg := enginemodel.DefaultConfig()
	return &engine{
		sim:     s,
		model:   enginemodel.New(cfg),
		running: map[string]*request{},
		spec: fleet.Endpoint{
			ID:             engineName(i),
			Type:           fleet.Engine,
			DataCenter:     dataCenter(i, s.sc.DataCenters),
			Targets:        []string{s.sc.Model},
			Incarnation:    1,
			State:          fleet.Live,
			CapacityTokens: cfg.CapacityTokens,
			MaxRunning:     cfg.MaxRunning,
		},
		slowdown: 1,
	}
}

// run plays the arrivals and the scenario's disturbances to the end.
func (s *sim) run(seed uint64) *Run {
	rng := rand.New(rand.NewPCG(seed, 0))
	for _, a := range load.Plan(rng, s.sc.Kinds, s.sc.Rate, s.sc.Duration) {
		s.sc.shift(&a)
		prefix := rng.Uint64N(prefixGroups) + 1
		s.At(s.start.Add(a.At), func() { s.arrive(a, prefix) })
	}
	s.Every(sharesEvery, s.exchange)
	s.Every(time.Second, s.report)
	s.Every(tickEvery, func() {
		for _, e := range s.entries {
			e.pump()
		}
	})
	if s.sc.Disturb != nil {
		s.sc.Disturb(s)
	}
	s.RunUntil(s.start.Add(s.sc.Duration + s.sc.drain()))
	prompts, cached := 0, 0
	for _, g := range s.engines {
		p, c := g.model.CacheHits()
		prompts += p
		cached += c
	}
	s.result.CacheHits = float64(cached) / float64(max(prompts, 1))
	s.result.finish()
	return s.result
}

// arrive hands a request to the next entry in turn, as the balancer does.
func (s *sim) arrive(a load.Arrival, prefix uint64) {
	e := s.nextEntry()
	row, _ := s.sc.table().Lookup(a.Workspace, a.Kind.Name)
	r := &request{
		arrival:   a,
		arrived:   s.Now(),
		lastToken: s.Now(),
		prefix:    prefix,
		record:    load.Record{Kind: a.Kind.Name, Weight: a.Kind.Weight, Class: load.MayHaveRun},
	}
	s.result.requests = append(s.result.requests, r)
	s.At(s.Now().Add(row.Timeout), func() { s.timeout(r) })
	e.submit(r)
}

func (s *sim) nextEntry() *entry {
	for {
		s.turn++
		if e := s.entries[s.turn%len(s.entries)]; !e.dead {
			return e
		}
	}
}

// timeout ends a request whose caller waits no longer.
func (s *sim) timeout(r *request) {
	if r.done {
		return
	}
	if r.engine != nil {
		r.engine.drop(r)
		r.entry.policy.Finish(s.Now(), r.id, scheduler.Result{Generated: generated(r)})
		s.end(r, load.Incomplete)
		return
	}
	if r.entry.policy.Cancel(s.Now(), r.id) {
		s.end(r, load.NotRun)
	}
}

func generated(r *request) int {
	if r.seq == nil {
		return 0
	}
	return r.seq.Generated()
}

func (s *sim) end(r *request, c load.Class) {
	r.done = true
	r.ended = s.Now()
	r.record.Class = c
	if r.entry != nil {
		delete(r.entry.requests, r.id)
	}
	if r.seq != nil {
		r.record.Preemptions += r.seq.Preemptions()
	}
}

func (e *entry) submit(r *request) {
	e.nextID++
	r.entry, r.id = e, e.nextID
	r.engine, r.seq = nil, nil
	row, _ := e.sim.sc.table().Lookup(r.arrival.Workspace, r.arrival.Kind.Name)
	e.requests[r.id] = r
	err := e.policy.Submit(e.sim.Now(), scheduler.Request{
		ID:           r.id,
		Workspace:    r.arrival.Workspace,
		Kind:         r.arrival.Kind.Name,
		Row:          row,
		PromptTokens: r.arrival.PromptTokens,
		Arrived:      r.arrived,
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
		if target.gone || s.cut && target.spec.DataCenter != e.dc {
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
		Priority:     priority(g.sim, r),
		PromptTokens: r.arrival.PromptTokens,
		OutputTokens: r.arrival.OutputTokens,
		Prefix:       r.prefix,
		PrefixTokens: r.arrival.PromptTokens / 2,
	}
	g.running[r.key] = r
	g.model.Add(r.seq)
	g.wake()
}

func priority(s *sim, r *request) int {
	row, _ := s.sc.table().Lookup(r.arrival.Workspace, r.arrival.Kind.Name)
	return row.Priority
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

// exchange tells every entry what each other has in flight, after a delay.
func (s *sim) exchange() {
	for _, from := range s.entries {
		if from.dead {
			continue
		}
		shares := append([]scheduler.Share{}, from.policy.Shares()...)
		for _, to := range s.entries {
			if to == from || to.dead || s.cut && to.dc != from.dc {
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

func (e *entry) hear(from *entry, shares []scheduler.Share) {
	e.lastSeen[from.index] = e.sim.Now()
	e.policy.SetShares(e.sim.Now(), fmt.Sprint(from.index), shares)
}

func (e *entry) forget() {
	for i, at := range e.lastSeen {
		if e.sim.Now().Sub(at) > forgetShares {
			e.policy.SetShares(e.sim.Now(), fmt.Sprint(i), nil)
			delete(e.lastSeen, i)
		}
	}
}

// report passes the load of each engine on, with the scenario's lag.
func (s *sim) report() {
	for _, g := range s.engines {
		if g.gone {
			continue
		}
		l := g.model.Load()
		if s.Now().Sub(s.start) < s.sc.Duration {
			s.result.memory += float64(l.UsedTokens) / float64(g.spec.CapacityTokens)
			s.result.memoryCount++
		}
		rep := scheduler.Report{
			Endpoint: g.spec.ID, Incarnation: 1, At: s.Now(),
			UsedTokens: l.UsedTokens, CapacityTokens: g.spec.CapacityTokens,
			Running: l.Running, Waiting: l.Waiting, Preemptions: l.Preemptions,
		}
		s.After(s.sc.reportLag(), func() {
			for _, e := range s.entries {
				if !s.cut || e.dc == g.spec.DataCenter {
					e.policy.Report(s.Now(), rep)
				}
			}
		})
	}
}
