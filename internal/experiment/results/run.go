// Package results holds what experiments measured: it writes the figures as text, CSV,
// plots and an HTML report, and compares paired runs.
package results

import (
	"time"

	"github.com/bridgehoist/bridgehoist/internal/load"
)

// Windows is the number of equal parts of the time of arrivals.
const Windows = 18

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

	// WindowLength is the length of one of the Windows.
	WindowLength time.Duration
	// Offered and Worth sum, by the window of their arrival, the weights of all requests
	// and of the answered ones.
	Offered, Worth []float64
	// Placed counts the requests that reached each engine.
	Placed []int
	// UrgentWait and LongWait are the times from arrival to the first token of answered
	// requests.
	UrgentWait, LongWait load.Quantiles
}

// WithoutFault is a run, and the same run without one of its faults.
type WithoutFault struct {
	// Fault counts the scenario's faults from 0.
	Fault         int
	Kind          string
	With, Without *Run
}

// Set is the outcome of an experiment.
type Set struct {
	Runs         []*Run
	WithoutFault []WithoutFault
}
