package scheduler

import (
	"math"
	"slices"

	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// Mechanism names a part of a policy that can be disabled, so that experiments can measure
// its effect.
type Mechanism string

// The mechanisms.
const (
	// LocalPreference prefers endpoints of the entry's own data centre.
	LocalPreference Mechanism = "near"
	// BacklogPreference prefers endpoints with a small prefill backlog.
	BacklogPreference Mechanism = "prompt-backlog"
	// EndpointSampling compares a sample of the endpoints in each decision instead of all.
	EndpointSampling Mechanism = "few-choices"
	// Breakers keeps requests away from endpoints that fail.
	Breakers Mechanism = "breakers"
	// DataCenterBreakers keeps requests away from data centres that can't be reached.
	DataCenterBreakers Mechanism = "data-center-breakers"
	// UnservableRefusals refuses requests at once that no endpoint can serve.
	UnservableRefusals Mechanism = "unservable-refusals"
	// DeadlineRefusals refuses requests at once that would wait too long.
	DeadlineRefusals Mechanism = "deadline-refusals"
	// RemoteLoadReports sends prompts to engines of other data centres only while their
	// load is known.
	RemoteLoadReports Mechanism = "remote-news"
	// PrefillNotices counts pending prefill tokens from notices instead of estimating them.
	PrefillNotices Mechanism = "read-news"
	// EffectivePrefillRate learns the rate at which engines work off the prefill backlog
	// before prompts that aren't urgent.
	EffectivePrefillRate Mechanism = "read-pace"
	// GapObjective places requests by the objective between events of their row.
	GapObjective Mechanism = "gap-objective"
	// LearnedLengths projects memory from the lengths of earlier outputs.
	LearnedLengths Mechanism = "learnt-lengths"
	// EngineSpeed learns the speed of each engine instance and exchanges it with peers.
	EngineSpeed Mechanism = "engine-speed"
	// PrecedenceLimits keeps the prefill backlog of engines short enough for requests of higher
	// precedence.
	PrecedenceLimits Mechanism = "dispatch-ahead"
	// MemoryReserve keeps memory free for requests of higher precedence, and lets urgent ones
	// wait for it at the entry.
	MemoryReserve Mechanism = "memory-reserve"
	// Precedence orders waiting requests by level, share of the workspace, and objective.
	Precedence Mechanism = "precedence"
	// EarlyRefusals refuses requests as soon as they aren't expected to start in time.
	EarlyRefusals Mechanism = "early-refusal"
	// RetrySpread compares waiting prompts with engines again after a random delay.
	RetrySpread Mechanism = "retry-spread"
	// ServiceLatency chooses among plain services by the latency of this entry's requests.
	ServiceLatency Mechanism = "service-latency"
)

// unlimitedSampleSize exceeds the number of endpoints of any fleet.
const unlimitedSampleSize = math.MaxInt32

// mechanismDisablers holds the configuration change that disables each mechanism.
var mechanismDisablers = map[Mechanism]func(*Config){
	LocalPreference: func(c *Config) {
		c.removeScorers(func(s routing.Scorer) bool { _, ok := s.(routing.Locality); return ok })
	},
	BacklogPreference: func(c *Config) {
		c.removeScorers(func(s routing.Scorer) bool { _, ok := s.(routing.PrefillBacklog); return ok })
	},
	EndpointSampling:     func(c *Config) { c.DisableSampling = true },
	Breakers:             func(c *Config) { c.DisableBreakers = true },
	DataCenterBreakers:   func(c *Config) { c.DataCenterBreakers = false },
	UnservableRefusals:   func(c *Config) { c.RefuseUnservable = false },
	DeadlineRefusals:     func(c *Config) { c.DisableDeadlineRefusals = true },
	RemoteLoadReports:    func(c *Config) { c.RequireRemoteReports = false },
	PrefillNotices:       func(c *Config) { c.PrefillFromNotices = false },
	EffectivePrefillRate: func(c *Config) { c.LearnEffectivePrefillRate = false },
	EngineSpeed:          func(c *Config) { c.EngineSpeed = false },
	GapObjective: func(c *Config) {
		c.GapObjective = false
		c.Pipeline.Tiers, c.Pipeline.AvoidGapsScorers = nil, nil
	},
	LearnedLengths:   func(c *Config) { c.DisableLengthLearning = true },
	PrecedenceLimits: func(c *Config) { c.LimitByPrecedence = false },
	Precedence:       func(c *Config) { c.OrderByPrecedence = false },
	EarlyRefusals:    func(c *Config) { c.RefuseByForecast = false },
	MemoryReserve:    func(c *Config) { c.ReserveByDemand = false },
	RetrySpread:      func(c *Config) { c.SpreadRetries = false },
	ServiceLatency:   func(c *Config) { c.ServiceLatency = false },
}

// Mechanisms returns all mechanisms, sorted by name.
func Mechanisms() []Mechanism {
	var names []Mechanism
	for m := range mechanismDisablers {
		names = append(names, m)
	}
	slices.Sort(names)
	return names
}

// Disable returns a copy of the configuration with the given mechanisms disabled. Mechanisms
// of other packages are ignored.
func (c Config) Disable(mechanisms ...Mechanism) Config {
	for _, m := range mechanisms {
		if disable := mechanismDisablers[m]; disable != nil {
			disable(&c)
		}
	}
	return c
}

// isInterTokenLatencyScorer reports whether s is the scorer that prefers endpoints with a lower
// inter-token latency.
func isInterTokenLatencyScorer(s routing.Scorer) bool {
	_, ok := s.(routing.InterTokenLatency)
	return ok
}

// removeScorers removes the matching scorers from a copy of the pipeline's scorers, which
// other configurations may share.
func (c *Config) removeScorers(matches func(routing.Scorer) bool) {
	remove := func(w routing.WeightedScorer) bool { return matches(w.Scorer) }
	c.Pipeline.Scorers = slices.DeleteFunc(slices.Clone(c.Pipeline.Scorers), remove)
	c.Pipeline.AvoidGapsScorers = slices.DeleteFunc(slices.Clone(c.Pipeline.AvoidGapsScorers), remove)
}
