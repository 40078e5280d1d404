// Package policies names the scheduling policies that experiments compare: the
// baselines, the versions of package scheduler, and versions without some of their
// mechanisms.
package policies

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// MaxEngines bounds the engines of a scenario.
const MaxEngines = 64

// EngineName is the id of an engine by its number, from 0.
func EngineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// Policy makes a scheduling policy for one of several entries.
type Policy struct {
	Name string
	// About says in a line what the policy does.
	About string
	Make  func(dataCenter string, entries int, rng *rand.Rand) scheduler.Policy
}

// Policies lists the baselines and the versions, the oldest first.
func Policies() []Policy {
	out := []Policy{
		baseline("round-robin", "baseline: each engine in turn", func() scheduler.Policy { return scheduler.NewRoundRobin() }),
		baseline("least-in-flight", "baseline: the engine with the fewest requests", func() scheduler.Policy { return scheduler.NewLeastInFlight() }),
	}
	for _, name := range scheduler.Versions() {
		out = append(out, Policy{name, aboutVersion(name), configured(scheduler.Version(name))})
	}
	return out
}

func baseline(name, about string, fresh func() scheduler.Policy) Policy {
	return Policy{name, about, func(string, int, *rand.Rand) scheduler.Policy { return fresh() }}
}

func aboutVersion(name string) string {
	switch name {
	case scheduler.CurrentVersion:
		return "version of the scheduler, used by bridgehoist-entry"
	case scheduler.ForwardingVersion:
		return "version of the scheduler, used by bridgehoist-gateway"
	default:
		return "version of the scheduler"
	}
}

// Ablations lists the version of the gateways with one mechanism switched off each.
func Ablations() []Policy {
	var out []Policy
	for _, off := range scheduler.Mechanisms() {
		out = append(out, Mix(fmt.Sprintf("%s-without-%s", scheduler.ForwardingVersion, off), scheduler.ForwardingVersion, off))
	}
	return out
}

// Mix is a version without some of its mechanisms.
func Mix(name, version string, off ...scheduler.Mechanism) Policy {
	about := fmt.Sprintf("%s without %v", version, off)
	return Policy{name, about, configured(scheduler.Version(version).Disable(off...))}
}

// Find looks a policy up among the baselines, versions and ablations.
func Find(name string) (Policy, bool) {
	all := append(Policies(), Ablations()...)
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}

// configured makes schedulers whose entry is a home of every engine.
func configured(cfg scheduler.Config) func(string, int, *rand.Rand) scheduler.Policy {
	return func(dataCenter string, entries int, rng *rand.Rand) scheduler.Policy {
		cfg := cfg
		cfg.DataCenter = dataCenter
		cfg.Rand = rng
		s := scheduler.New(cfg)
		for i := range MaxEngines {
			s.SetHomeEntries(EngineName(i), entries)
		}
		return s
	}
}
