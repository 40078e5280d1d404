// Package experiment measures scheduling policies side by side in virtual time:
// the real policy of package scheduler at several entries, the stand-in
// engine's model of memory and batching, and the delays between them. It is no
// simulator of a cluster: there are entries, engines and delays, nothing else.
package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/enginemodel"
	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/internal/virtualtime"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
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
