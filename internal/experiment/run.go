package experiment

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// NamedPolicy makes a policy for one of several entries.
type NamedPolicy struct {
	Name string
	Make func(dataCenter string, index, entries int, rng *rand.Rand) scheduler.Policy
}

// maxEngines bounds the engines of a scenario.
const maxEngines = 64

// Policies lists the baselines and ours; earlier ones are kept by name.
func Policies() []NamedPolicy {
	out := []NamedPolicy{
		{"round-robin", func(string, int, int, *rand.Rand) scheduler.Policy { return scheduler.NewRoundRobin() }},
		{"least-in-flight", func(string, int, int, *rand.Rand) scheduler.Policy { return scheduler.NewLeastInFlight() }},
	}
	for _, name := range scheduler.Versions() {
		out = append(out, ours(name, scheduler.Version(name)))
	}
	return out
}

// Ablations lists the version of the gateways with one mechanism switched off each.
func Ablations() []NamedPolicy {
	var out []NamedPolicy
	for _, off := range scheduler.Mechanisms() {
		name := fmt.Sprintf("%s-without-%s", scheduler.Forwarding, off)
		out = append(out, ours(name, scheduler.Version(scheduler.Forwarding).Without(off)))
	}
	return out
}

// ours is a policy of the entries.
func ours(name string, cfg scheduler.Config) NamedPolicy {
	return NamedPolicy{name, func(dc string, _, entries int, rng *rand.Rand) scheduler.Policy {
		cfg.DataCenter = dc
		cfg.Rand = rng
		s := scheduler.New(cfg)
		for i := range maxEngines {
			s.SetHome(engineName(i), entries)
		}
		return s
	}}
}

// Run is the outcome of one policy in one scenario with one seed.
type Run struct {
	Scenario string
	Policy   string
	Seed     uint64

	// WeightedAnswered sums the weights of the answered requests.
	WeightedAnswered float64
	Sent             int
	Answered         int
	UrgentSent       int
	UrgentAnswered   int
	Refused          int
	Preemptions      int
	// Times in milliseconds.
	UrgentStallP99 float64
	LongStallP50   float64
	LongStallP99   float64
	UrgentGapP99   float64
	LongGapP99     float64
	// MemoryUsed is the mean share of the engines' memory in use in the burst.
	MemoryUsed float64
	// RefusedEarly counts requests refused within a second of their arrival.
	RefusedEarly int

	// CacheHits is the share of prompt tokens found in the engines' caches.
	CacheHits float64

	memory      float64
	memoryCount int

	requests []*request
}

func (r *Run) finish() {
	var urgentStall, longStall, urgentGap, longGap []time.Duration
	for _, q := range r.requests {
		rec := &q.record
		r.Sent++
		r.Preemptions += rec.Preemptions
		urgent := q.arrival.Kind.Urgent
		if urgent {
			r.UrgentSent++
		}
		if rec.Class == load.NotRun {
			r.Refused++
			if q.ended.Sub(q.arrived) < time.Second {
				r.RefusedEarly++
			}
		}
		if rec.Class != load.Answered {
			continue
		}
		r.Answered++
		r.WeightedAnswered += float64(rec.Weight)
		if urgent {
			r.UrgentAnswered++
			urgentStall = append(urgentStall, rec.Stall)
			urgentGap = append(urgentGap, rec.Gaps...)
		} else {
			longStall = append(longStall, rec.Stall)
			longGap = append(longGap, rec.Gaps...)
		}
	}
	r.MemoryUsed = r.memory / float64(max(r.memoryCount, 1))
	r.UrgentStallP99 = load.QuantilesOf(urgentStall).P99
	r.UrgentGapP99 = load.QuantilesOf(urgentGap).P99
	q := load.QuantilesOf(longStall)
	r.LongStallP50, r.LongStallP99 = q.P50, q.P99
	r.LongGapP99 = load.QuantilesOf(longGap).P99
	r.requests = nil
}

// Compare runs every policy in every scenario with every seed.
func Compare(scenarios []Scenario, policies []NamedPolicy, firstSeed, seeds uint64) []*Run {
	var all []*Run
	for _, sc := range scenarios {
		for _, p := range policies {
			for seed := firstSeed; seed < firstSeed+seeds; seed++ {
				all = append(all, &Run{Scenario: sc.Name, Policy: p.Name, Seed: seed})
			}
		}
	}
	var g errgroup.Group
	g.SetLimit(max(runtime.NumCPU()/2, 1))
	for i, r := range all {
		sc := scenarios[slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == r.Scenario })]
		p := policies[slices.IndexFunc(policies, func(p NamedPolicy) bool { return p.Name == r.Policy })]
		g.Go(func() error {
			all[i] = newSim(sc, p, r.Seed).run(r.Seed)
			return nil
		})
	}
	_ = g.Wait()
	return all
}
