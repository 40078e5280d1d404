package results

import "slices"

// Measure is one figure of a run.
type Measure struct {
	Name string
	// better is 1 if higher is better, -1 if lower is, 0 if neither.
	better int
	of     func(*Run) float64
}

// measures are the columns of runs.csv.
var measures = []Measure{
	{"weighted", 1, func(r *Run) float64 { return r.WeightedAnswered }},
	{"answered%", 1, func(r *Run) float64 { return percent(r.Answered, r.Sent) }},
	{"urgent%", 1, func(r *Run) float64 { return percent(r.UrgentAnswered, r.UrgentSent) }},
	{"urgent_stall_p99", -1, func(r *Run) float64 { return r.UrgentStallP99 }},
	{"urgent_gap_p99", -1, func(r *Run) float64 { return r.UrgentGapP99 }},
	{"long_stall_p50", -1, func(r *Run) float64 { return r.LongStallP50 }},
	{"long_stall_p99", -1, func(r *Run) float64 { return r.LongStallP99 }},
	{"long_gap_p99", -1, func(r *Run) float64 { return r.LongGapP99 }},
	{"memory_used%", 0, func(r *Run) float64 { return 100 * r.MemoryUsed }},
	{"cache_hits%", 1, func(r *Run) float64 { return 100 * r.CacheHits }},
	{"refused", -1, func(r *Run) float64 { return float64(r.Refused) }},
	{"refused_early", 0, func(r *Run) float64 { return float64(r.RefusedEarly) }},
	{"preemptions", -1, func(r *Run) float64 { return float64(r.Preemptions) }},
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// measureNamed gives the index of a measure.
func measureNamed(name string) int {
	return slices.IndexFunc(measures, func(m Measure) bool { return m.Name == name })
}
