// Package enginespeed estimates how fast each engine prefills prompts and generates tokens.
//
// The engines of one target differ in speed, and each has transient slowdowns. Estimates are kept per
// instance. The package does no I/O and reads no clock.
//
// Load handled here: a quarter of the engines are 2.2 times as fast as the others (15 and 34 ms
// between two events, 33 and 74 ms while a prompt is prefilled), and for 0.5 to 1.5 s at a time, 15%
// of the time, everything at an engine takes 2.5 times as long. An engine keeps its ordinary speed
// for its lifetime. The two are told apart as follows:
//
//   - The ordinary speed of an instance is a low quantile of what was observed over several
//     intervals of its time, so that a slowdown in some of them doesn't matter.
//   - A transient slowdown is a sudden common factor of consecutive events of one instance whose
//     ordinary speed is known. What is observed during one isn't used for the ordinary speed.
//
// Ratios that the engines of a target share let the few observations of an instance inform each
// other: that of the time per token with a prefill to the time without, and the product of the
// prefill rate and the time per token. An instance without observations has the medians of its
// target.
package enginespeed

import "time"

// Estimate is the estimated speed of one engine instance.
type Estimate struct {
	// PrefillRate is the number of prompt tokens per second outside transient slowdowns.
	PrefillRate float64
	// TokenTime is the time per output token while no prompt is prefilled, and PrefillTokenTime
	// while one is. They are zero if unknown.
	TokenTime        time.Duration
	PrefillTokenTime time.Duration
	// Slowdown is the factor by which everything takes longer at present; 1 is ordinary.
	Slowdown float64
	// PeakSlowdown is the factor of the transient slowdowns on the target's engines; 1 if none has
	// been observed.
	PeakSlowdown float64
	// Known is set if the times per token are learned from the instance itself, and not only from
	// the target's other engines.
	Known bool
}

// LongestGap returns the expected longest time between two events of a stream: that of a prefill
// during a transient slowdown. It is zero if unknown.
func (e Estimate) LongestGap(tokensPerEvent int) time.Duration {
	return e.gap(tokensPerEvent, e.PeakSlowdown)
}

// GapNow returns the expected time between two events while a prompt is prefilled, at the present
// slowdown. It is zero if unknown.
func (e Estimate) GapNow(tokensPerEvent int) time.Duration {
	return e.gap(tokensPerEvent, e.Slowdown)
}

func (e Estimate) gap(tokensPerEvent int, slowdown float64) time.Duration {
	return time.Duration(float64(e.PrefillTokenTime) * float64(max(tokensPerEvent, 1)) * max(slowdown, 1))
}

// Config holds the settings of a Model.
type Config struct {
	// PrefillRate is the prior of Estimate.PrefillRate.
	PrefillRate float64
}
