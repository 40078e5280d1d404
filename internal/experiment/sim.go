// Package experiment measures scheduling policies side by side in virtual time:
// the real policy of package scheduler at several entries, the stand-in
// engine's model of memory and batching, and the delays between them. It is no
// simulator of a cluster: there are entries, engines and delays, nothing else.
package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/enginemodel"
	"github.com/bridgehoist/bridgehoist/internal/experiment/policies"
	"github.com/bridgehoist/bridgehoist/internal/experiment/results"
	"github.com/bridgehoist/bridgehoist/internal/experiment/scenario"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/internal/virtualtime"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// sim is one run of one policy.
type sim struct {
	*virtualtime.Loop
	sc      *scenario.Scenario
	rng     *rand.Rand
	start   time.Time
	entries []*entry
	engines []*engine
	// requests are all that came, in that order.
	requests []*request
	result   *results.Run
	// cuts counts the cuts between data centres that are there now.
	cuts int
	// late holds the faults that make reports late now.
	late map[*scenario.Fault]bool
	turn int
	// memory sums the share of memory in use over memoryCount reports.
	memory      float64
	memoryCount int
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
	// drain is how long a run goes on after the last arrival.
	drain = 2 * time.Minute
)

const (
	stallGap     = job.StallThreshold
	prefixGroups = 20
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
	// ends counts how often the request ended; more than once is a fault of the simulator.
	ends   int
	prefix uint64
}

func newSim(sc *scenario.Scenario, p policies.Policy, seed uint64) *sim {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &sim{
		Loop:   virtualtime.New(start),
		sc:     sc,
		rng:    rand.New(rand.NewPCG(seed, 2)),
		start:  start,
		late:   map[*scenario.Fault]bool{},
		result: &results.Run{Scenario: sc.Name, Policy: p.Name, Seed: seed},
	}
	var endpoints []fleet.Endpoint
	for i := range sc.Fleet.Engines {
		e := s.newEngine(i)
		s.engines = append(s.engines, e)
		endpoints = append(endpoints, e.spec)
	}
	for i := range sc.Fleet.Entries {
		e := s.newEntry(i)
		e.policy = p.Make(e.dc, sc.Fleet.Entries, rand.New(rand.NewPCG(seed, uint64(100+i))))
		e.policy.SetEndpoints(start, endpoints)
		s.entries = append(s.entries, e)
	}
	return s
}

// run plays the arrivals and the scenario's faults to the end.
func (s *sim) run(seed uint64) *results.Run {
	rng := rand.New(rand.NewPCG(seed, 0))
	for _, a := range load.Plan(rng, s.sc.LoadKinds(), s.sc.Load.Rate, s.sc.Load.Duration) {
		s.lengthen(&a)
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
	for i := range s.sc.Faults {
		s.schedule(&s.sc.Faults[i])
	}
	s.RunUntil(s.start.Add(s.sc.Load.Duration + drain))
	return s.summarize()
}

// arrive hands a request to the next entry in turn, as the balancer does.
func (s *sim) arrive(a load.Arrival, prefix uint64) {
	e := s.nextEntry()
	r := &request{
		arrival:   a,
		arrived:   s.Now(),
		lastToken: s.Now(),
		prefix:    prefix,
		record:    load.Record{Kind: a.Kind.Name, Weight: a.Kind.Weight, Class: load.MayHaveRun},
	}
	s.requests = append(s.requests, r)
	s.At(s.Now().Add(s.sc.Row(a.Kind.Name).Timeout), func() { s.timeout(r) })
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
	r.ends++
	r.ended = s.Now()
	r.record.Class = c
	if r.entry != nil {
		delete(r.entry.requests, r.id)
	}
	if r.seq != nil {
		r.record.Preemptions += r.seq.Preemptions()
	}
}
