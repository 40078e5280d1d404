// Package evacuation plans how running generations leave an engine that is about
// to end.
//
// # Design
//
// Copying the memory of a generation takes a good part of a second, and the
// copies out of one engine go one after the other over its link. Each generation
// is copied twice: first while it runs, then once more after it was stopped, for
// the little that is new. The pause that the caller sees is that of the second
// copy, so it must not wait behind the first copy of another generation.
//
// The generations of one engine belong to several entries, which don't talk about
// it. They all know the engine's own list of its runs, so each computes the same
// order and the time that each copy takes, and starts its own when those before
// are done: a schedule without coordination.
//
// Ways that were weighed: one copy after a stop makes every caller wait for the
// whole copy; copying all at once makes the second copies queue; a lock or a
// leader per engine costs round trips that the notice doesn't leave time for.
//
// What goes first is what is worth most for the time that its copy takes: the worth
// of a generation grows with its size, that of the copy with the memory it holds
// now. So short prompts and long answers go before long prompts that have just
// begun. Plan does no I/O and reads no clock.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Run is one generation at the leaving engine.
type Run struct {
	RequestID string
	// Tokens that it holds in memory.
	Tokens int
	// Made counts those of them that are its answer so far.
	Made int
	// Mine says that the planning entry relays it.
	Mine bool
	// Unlisted says that it is too young for the engine's own list, so that the
	// other entries don't know of it. It goes last.
	Unlisted bool
}

// How the worth of a generation grows with its size: the users count a token of
// the answer like ten of the prompt, and part of the worth is the same for all.
const (
	baseWorth   = 5000
	answerWorth = 10
	// expectedRest is how many tokens are still to come, as far as anybody knows.
	expectedRest = 600
)

// worth is what a generation is worth per token of memory.
func (r Run) worth() float64 {
	prompt := r.Tokens - r.Made
	return float64(baseWorth+prompt+answerWorth*(r.Made+expectedRest)) / float64(max(r.Tokens, 1))
}

// Target is an engine that may take generations over.
type Target struct {
	ID string
	// FreeTokens that it has room for, as far as is known.
	FreeTokens int
	// Far says that it is in another data centre than the source.
	Far bool
}

// Link describes how fast memory is copied.
type Link struct {
	BytesPerToken  float64
	BytesPerSecond float64
	// Overhead is what each generation takes besides: the calls, the second copy
	// and the first step at the target.
	Overhead time.Duration
	// FarFactor is by how much longer a copy to another data centre takes.
	FarFactor float64
}

// Time is how long the copies of one generation take.
func (l Link) Time(tokens int, far bool) time.Duration {
	if l.BytesPerSecond <= 0 {
		return l.Overhead
	}
	s := float64(tokens) * l.BytesPerToken / l.BytesPerSecond
	if far {
		s *= l.FarFactor
	}
	return l.Overhead + time.Duration(s*float64(time.Second))
}

// Input is what a plan is made from. Entries with the same source, runs and targets
// make plans that fit together.
type Input struct {
	// Source is the id of the leaving engine.
	Source  string
	Runs    []Run
	Targets []Target
	Link    Link
	// Left is how long the source still runs; zero is unknown.
	Left time.Duration
}

// Step moves one generation of the planning entry.
type Step struct {
	RequestID string
	Target    string
	// Start is when to begin, counted from the notice.
	Start time.Duration
}

// Plan returns the steps of the planning entry in their order. Generations that
// no target has room for, or that can't be moved in time, have none.
func Plan(in Input) []Step {
	runs := slices.Clone(in.Runs)
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(
			compareBool(a.Unlisted, b.Unlisted),
			cmp.Compare(b.worth(), a.worth()),
			cmp.Compare(a.RequestID, b.RequestID),
		)
	})
	targets := ordered(in)
	var steps []Step
	at := time.Duration(0)
	for i, r := range runs {
		t := pick(targets, i, r.Tokens)
		if t == nil {
			continue
		}
		took := in.Link.Time(r.Tokens, t.Far)
		if in.Left > 0 && at+took > in.Left {
			continue
		}
		t.FreeTokens -= r.Tokens
		if r.Mine {
			steps = append(steps, Step{RequestID: r.RequestID, Target: t.ID, Start: at})
		}
		at += took
	}
	return steps
}

// ordered puts the near targets first, and each group into an order that depends
// on the source, so that two engines that leave together use different ones.
func ordered(in Input) []Target {
	targets := slices.Clone(in.Targets)
	rank := func(id string) uint64 { return xxhash.Sum64String(in.Source + "\x00" + id) }
	slices.SortFunc(targets, func(a, b Target) int {
		return cmp.Or(compareBool(a.Far, b.Far), cmp.Compare(rank(a.ID), rank(b.ID)))
	})
	return targets
}

// pick returns the target for the i-th generation: the near ones in turn, then
// the far ones.
func pick(targets []Target, i, tokens int) *Target {
	near := 0
	for near < len(targets) && !targets[near].Far {
		near++
	}
	for _, group := range [][]Target{targets[:near], targets[near:]} {
		for k := range group {
			if t := &group[(i+k)%len(group)]; t.FreeTokens >= tokens {
				return t
			}
		}
	}
	return nil
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
