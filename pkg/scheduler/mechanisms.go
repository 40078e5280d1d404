package scheduler

import (
	"math"
	"slices"

	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// Mechanism names a part of a policy that can be switched off, so that what it is worth
// can be measured.
type Mechanism string

// The mechanisms.
const (
	// Near prefers endpoints of the own data centre.
	Near Mechanism = "near"
	// PromptBacklog prefers endpoints that have few prompts left to read.
	PromptBacklog Mechanism = "prompt-backlog"
	// FewChoices compares a few endpoints a decision instead of all.
	FewChoices Mechanism = "few-choices"
	// Breakers keep requests away from endpoints that fail.
	Breakers Mechanism = "breakers"
	// DataCenterBreakers do so for whole data centres.
	DataCenterBreakers Mechanism = "data-center-breakers"
	// UnservableRefusals refuse at once what no endpoint can serve.
	UnservableRefusals Mechanism = "unservable-refusals"
	// DeadlineRefusals refuse at once what would wait too long.
	DeadlineRefusals Mechanism = "deadline-refusals"
	// RemoteNews sends to engines of other data centres only by news of their load.
	RemoteNews Mechanism = "remote-news"
	// ReadNews counts what engines have still to read in place of estimating it.
	ReadNews Mechanism = "read-news"
	// ReadPace learns how fast prompts that aren't urgent get through.
	ReadPace Mechanism = "read-pace"
	// LearntLengths projects memory by the lengths of earlier outputs.
	LearntLengths Mechanism = "learnt-lengths"
)

// allEndpoints is more than any fleet has.
const allEndpoints = math.MaxInt32

var switchOff = map[Mechanism]func(*Config){
	Near: func(c *Config) {
		c.dropScorer(func(s routing.Scorer) bool { _, ok := s.(routing.Locality); return ok })
	},
	PromptBacklog: func(c *Config) {
		c.dropScorer(func(s routing.Scorer) bool { _, ok := s.(routing.PrefillBacklog); return ok })
	},
	FewChoices:         func(c *Config) { c.CompareAll = true },
	Breakers:           func(c *Config) { c.NoBreakers = true },
	DataCenterBreakers: func(c *Config) { c.ReachByDataCenter = false },
	UnservableRefusals: func(c *Config) { c.RefuseUnservable = false },
	DeadlineRefusals:   func(c *Config) { c.KeepLate = true },
	RemoteNews:         func(c *Config) { c.KnownRemotes = false },
	ReadNews:           func(c *Config) { c.ToldReads = false },
	ReadPace:           func(c *Config) { c.LearnPace = false },
	LearntLengths:      func(c *Config) { c.ForgetLengths = true },
}

// Mechanisms lists the mechanisms by name.
func Mechanisms() []Mechanism {
	var out []Mechanism
	for m := range switchOff {
		out = append(out, m)
	}
	slices.Sort(out)
	return out
}

// Without switches mechanisms off; those of other packages are passed over.
func (c Config) Without(off ...Mechanism) Config {
	for _, m := range off {
		if change := switchOff[m]; change != nil {
			change(&c)
		}
	}
	return c
}

// isSpeed tells the scorer that prefers endpoints whose tokens come faster.
func isSpeed(s routing.Scorer) bool { _, ok := s.(routing.TokenLatency); return ok }

func (c *Config) dropScorer(drop func(routing.Scorer) bool) {
	isIt := func(w routing.WeightedScorer) bool { return drop(w.Scorer) }
	c.Pipeline.Scorers = slices.DeleteFunc(slices.Clone(c.Pipeline.Scorers), isIt)
}
