package experiment

import (
	"context"
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/bridgehoist/bridgehoist/internal/experiment/policies"
	"github.com/bridgehoist/bridgehoist/internal/experiment/results"
	"github.com/bridgehoist/bridgehoist/internal/experiment/scenario"
)

// Case is a scenario and the policies that are compared in it.
type Case struct {
	Scenario *scenario.Scenario
	Policies []policies.Policy
}

// Plan says what to run.
type Plan struct {
	Cases     []Case
	FirstSeed uint64
	Seeds     uint64
	// FaultCosts asks for each run once more without each of its faults.
	FaultCosts bool
}

// UnknownPolicyError names a policy that a scenario doesn't know.
type UnknownPolicyError struct{ Policy, Scenario string }

func (e UnknownPolicyError) Error() string {
	return fmt.Sprintf("no policy is named %q in scenario %s; see -list", e.Policy, e.Scenario)
}

// NewCase chooses policies by name. Without names the scenario's own choice counts, and
// without one all policies but ablations.
func NewCase(sc *scenario.Scenario, names []string) (Case, error) {
	if len(names) == 0 {
		names = sc.Policies
	}
	c := Case{Scenario: sc}
	if len(names) == 0 {
		c.Policies = append(policies.Policies(), mixes(sc)...)
		return c, nil
	}
	for _, name := range names {
		p, ok := find(sc, name)
		if !ok {
			return Case{}, UnknownPolicyError{name, sc.Name}
		}
		c.Policies = append(c.Policies, p)
	}
	return c, nil
}

func find(sc *scenario.Scenario, name string) (policies.Policy, bool) {
	for _, p := range mixes(sc) {
		if p.Name == name {
			return p, true
		}
	}
	return policies.Find(name)
}

func mixes(sc *scenario.Scenario) []policies.Policy {
	var out []policies.Policy
	for _, m := range sc.Mixes {
		out = append(out, policies.Mix(m.Name, m.Version, m.Without...))
	}
	return out
}

// Count is the number of runs of a plan.
func (p *Plan) Count() int { return len(p.tasks(&results.Set{})) }

// Run runs a plan on half of the processors and calls done after each run; calls of done
// may come at the same time. It stops early, with the context's error, when ctx ends.
func (p *Plan) Run(ctx context.Context, done func()) (*results.Set, error) {
	set := &results.Set{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(runtime.NumCPU()/2, 1))
	for _, t := range p.tasks(set) {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			*t.run = *newSim(t.scenario, t.policy, t.seed).run(t.seed)
			done()
			return nil
		})
	}
	return set, group.Wait()
}

// task is one run and the place for its result.
type task struct {
	scenario *scenario.Scenario
	policy   policies.Policy
	seed     uint64
	run      *results.Run
}

// tasks lists the runs and makes places for their results in a set.
func (p *Plan) tasks(set *results.Set) []task {
	var out []task
	for _, c := range p.Cases {
		for _, policy := range c.Policies {
			for seed := p.FirstSeed; seed < p.FirstSeed+p.Seeds; seed++ {
				t := task{c.Scenario, policy, seed, &results.Run{}}
				set.Runs = append(set.Runs, t.run)
				out = append(out, t)
			}
		}
	}
	if !p.FaultCosts {
		return out
	}
	for _, t := range out[:len(out):len(out)] {
		out = append(out, withoutFaults(t, set)...)
	}
	return out
}

// withoutFaults lists a run once more without each of its faults.
func withoutFaults(t task, set *results.Set) []task {
	var out []task
	for i, f := range t.scenario.Faults {
		without := task{t.scenario.Without(i), t.policy, t.seed, &results.Run{}}
		set.WithoutFault = append(set.WithoutFault, results.WithoutFault{Fault: i, Kind: string(f.Kind), With: t.run, Without: without.run})
		out = append(out, without)
	}
	return out
}

// Has reports whether a policy is among those that are compared.
func (c Case) Has(name string) bool {
	return slices.ContainsFunc(c.Policies, func(p policies.Policy) bool { return p.Name == name })
}
