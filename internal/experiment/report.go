package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// measure is one figure of a run.
type measure struct {
	name string
	of   func(*Run) float64
}

var measures = []measure{
	{"weighted", func(r *Run) float64 { return r.WeightedAnswered }},
	{"answered%", func(r *Run) float64 { return 100 * float64(r.Answered) / float64(max(r.Sent, 1)) }},
	{"urgent%", func(r *Run) float64 { return 100 * float64(r.UrgentAnswered) / float64(max(r.UrgentSent, 1)) }},
	{"urgent_stall_p99", func(r *Run) float64 { return r.UrgentStallP99 }},
	{"urgent_gap_p99", func(r *Run) float64 { return r.UrgentGapP99 }},
	{"long_stall_p50", func(r *Run) float64 { return r.LongStallP50 }},
	{"long_stall_p99", func(r *Run) float64 { return r.LongStallP99 }},
	{"long_gap_p99", func(r *Run) float64 { return r.LongGapP99 }},
	{"memory_used%", func(r *Run) float64 { return 100 * r.MemoryUsed }},
	{"cache_hits%", func(r *Run) float64 { return 100 * r.CacheHits }},
	{"refused", func(r *Run) float64 { return float64(r.Refused) }},
	{"refused_early", func(r *Run) float64 { return float64(r.RefusedEarly) }},
	{"preemptions", func(r *Run) float64 { return float64(r.Preemptions) }},
}

// spread holds the median, minimum and maximum over the seeds.
type spread struct{ median, low, high float64 }

func spreadOf(vs []float64) spread {
	slices.Sort(vs)
	return spread{vs[len(vs)/2], vs[0], vs[len(vs)-1]}
}

type cell struct{ scenario, policy string }

// group sorts runs by scenario and policy, in the order of their first run.
func group(runs []*Run) (order []cell, by map[cell][]*Run) {
	by = map[cell][]*Run{}
	for _, r := range runs {
		c := cell{r.Scenario, r.Policy}
		if by[c] == nil {
			order = append(order, c)
		}
		by[c] = append(by[c], r)
	}
	return order, by
}

func values(runs []*Run, m measure) []float64 {
	out := make([]float64, len(runs))
	for i, r := range runs {
		out[i] = m.of(r)
	}
	return out
}

// width is the width of a column.
func width(m measure) int { return max(len(m.name), 19) }

// WriteText prints medians with their spread.
func WriteText(w io.Writer, runs []*Run) {
	order, by := group(runs)
	fmt.Fprintf(w, "%-18s %-16s", "scenario", "policy")
	for _, m := range measures {
		fmt.Fprintf(w, " %*s", width(m), m.name)
	}
	fmt.Fprintln(w)
	last := ""
	for _, c := range order {
		if last != "" && last != c.scenario {
			fmt.Fprintln(w)
		}
		last = c.scenario
		fmt.Fprintf(w, "%-18s %-16s", c.scenario, c.policy)
		for _, m := range measures {
			s := spreadOf(values(by[c], m))
			fmt.Fprintf(w, " %*s", width(m), fmt.Sprintf("%.0f (%.0f-%.0f)", s.median, s.low, s.high))
		}
		fmt.Fprintln(w)
	}
}

// WriteCSV writes every run.
func WriteCSV(w io.Writer, runs []*Run) error {
	out := csv.NewWriter(w)
	header := []string{"scenario", "policy", "seed"}
	for _, m := range measures {
		header = append(header, m.name)
	}
	if err := out.Write(header); err != nil {
		return err
	}
	for _, r := range runs {
		row := []string{r.Scenario, r.Policy, strconv.FormatUint(r.Seed, 10)}
		for _, m := range measures {
			row = append(row, strconv.FormatFloat(m.of(r), 'f', 3, 64))
		}
		if err := out.Write(row); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
