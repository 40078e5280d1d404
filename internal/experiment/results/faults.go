package results

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// FaultCost is what a fault cost a policy: the worth answered without it above that with it.
type FaultCost struct {
	Scenario string
	Policy   string
	// Fault counts the scenario's faults from 0.
	Fault int
	Kind  string
	// Cost is in weight; Offered is the mean weight of all requests.
	Cost    Difference
	Offered float64
}

// Verdict judges the cost; a fault that costs is worse.
func (c FaultCost) Verdict() Verdict { return Measure{better: -1}.Verdict(c.Cost) }

// Label names the fault by its place in the scenario.
func (c FaultCost) Label() string { return fmt.Sprintf("%d: %s", c.Fault, c.Kind) }

// Share is the cost in percent of the worth offered.
func (c FaultCost) Share() float64 { return 100 * c.Cost.Mean / max(c.Offered, 1) }

// faultKey is a fault of a scenario, under a policy.
type faultKey struct {
	cell
	fault int
}

// FaultCosts sums up the runs that were repeated without a fault.
func FaultCosts(set *Set) []FaultCost {
	var order []faultKey
	by := map[faultKey][]WithoutFault{}
	for _, w := range set.WithoutFault {
		k := faultKey{cell{w.With.Scenario, w.With.Policy}, w.Fault}
		if by[k] == nil {
			order = append(order, k)
		}
		by[k] = append(by[k], w)
	}
	var out []FaultCost
	for _, k := range order {
		out = append(out, faultCost(by[k]))
	}
	return out
}

func faultCost(pairs []WithoutFault) FaultCost {
	var with, without, offered []float64
	for _, w := range pairs {
		with = append(with, w.With.WeightedAnswered)
		without = append(without, w.Without.WeightedAnswered)
		offered = append(offered, sum(w.With.Offered))
	}
	first := pairs[0]
	return FaultCost{
		Scenario: first.With.Scenario,
		Policy:   first.With.Policy,
		Fault:    first.Fault,
		Kind:     first.Kind,
		Cost:     Paired(with, without),
		Offered:  stat.Mean(offered, nil),
	}
}

func sum(vs []float64) float64 {
	total := 0.0
	for _, v := range vs {
		total += v
	}
	return total
}
