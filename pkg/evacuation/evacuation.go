// Package evacuation plans how running generations are moved off engines that are about to
// terminate.
//
// # Design
//
// Copying the memory of a generation takes a considerable part of a second, and the copies over the
// link of one engine, out of it or into it, run one after the other. Each generation is copied
// twice: first while it runs, then, after it was stopped, only the memory added since. The pause
// that the caller sees is that of the second copy, so the second copy must not wait behind the first
// copy of another generation.
//
// Engines leave in groups: the platform takes several at the same moment, often of one data centre,
// and their generations compete for the memory and the links of the remaining engines. So one plan
// is made for all engines of a group.
//
// The generations of one engine belong to several entries, which exchange no messages about the
// plan. All of them have the engines' own lists of runs, so each computes the same order and the
// time that each copy takes, and starts its own copies when the preceding ones are done: a schedule
// without coordination.
//
// Alternatives have these drawbacks: a single copy after a stop makes every caller wait for the
// whole copy; copying all at once makes the second copies queue; a lock or a leader per engine costs
// round trips for which the notice leaves no time; a separate plan for each engine sends the runs of
// both to the same target, over the same link.
//
// Generations are ordered by their value per copy time: the value of a generation grows with its
// size, the copy time with the memory it holds now. So short prompts and long answers go before long
// prompts that have just begun. Each goes to the target at which its copy ends first. Plan does no
// I/O and reads no clock.
package evacuation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Run is one generation at a leaving engine.
type Run struct {
	RequestID string
	// Tokens is the number of tokens that the generation holds in memory.
	Tokens int
	// OutputTokens counts those of them that were generated so far.
	OutputTokens int
	// Local reports whether the planning entry relays the generation.
	Local bool
	// Unlisted reports whether the generation is too recent for the engine's own list of runs, so
	// that the other entries have no record of it. Unlisted runs are planned last.
	Unlisted bool
}

// The value of a generation is baseValue, plus 1 for each prompt token and outputTokenValue for each
// output token, including those expected: to the users, an output token counts as much as ten prompt
// tokens.
const (
	baseValue        = 5000
	outputTokenValue = 10
	// expectedRemainingTokens is the estimated number of output tokens not yet generated.
	expectedRemainingTokens = 600
)

// valuePerToken returns the value of the generation per token of memory.
func (r Run) valuePerToken() float64 {
	prompt := r.Tokens - r.OutputTokens
	return float64(baseValue+prompt+outputTokenValue*(r.OutputTokens+expectedRemainingTokens)) / float64(max(r.Tokens, 1))
}

// Source is an engine that is about to terminate.
type Source struct {
	ID         string
	DataCenter string
	Runs       []Run
	// Remaining is how long it still runs; zero if unknown.
	Remaining time.Duration
}

// Target is an engine that may take over generations.
type Target struct {
	ID         string
	DataCenter string
	// FreeTokens is its free memory in tokens, as observed by the planning entry.
	FreeTokens int
}

// Link describes the speed of copies.
type Link struct {
	BytesPerToken  float64
	BytesPerSecond float64
	// Overhead is the additional time for each generation: the calls, the second copy and the
	// first step at the target.
	Overhead time.Duration
	// CrossDataCenterFactor is the ratio of copy times to another and to the same data centre.
	CrossDataCenterFactor float64
}

// CopyTime returns the time that the copies of one generation take.
func (l Link) CopyTime(tokens int, crossDataCenter bool) time.Duration {
	if l.BytesPerSecond <= 0 {
		return l.Overhead
	}
	s := float64(tokens) * l.BytesPerToken / l.BytesPerSecond
	if crossDataCenter {
		s *= l.CrossDataCenterFactor
	}
	return l.Overhead + time.Duration(s*float64(time.Second))
}

// Input is what a plan is computed from. Plans by entries with the same sources, runs and targets
// are consistent: no two copies overlap on a link.
type Input struct {
	Sources []Source
	Targets []Target
	Link    Link
	// DisableSlack plans each copy right after the previous one.
	DisableSlack bool
}

// Step moves one generation of the planning entry.
type Step struct {
	RequestID string
	Source    string
	Target    string
	// Start is when to begin, counted from the notice.
	Start time.Duration
}

// Plan returns the steps of the planning entry in the order of their starts. Generations that no
// target has memory for, or that can't be moved in time, have none.
func Plan(in Input) []Step {
	runs := planOrder(in.Sources)
	var steps []Step
	allowedSlacks := slacks
	if in.DisableSlack {
		allowedSlacks = slacks[len(slacks)-1:]
	}
	for _, slack := range allowedSlacks {
		link := in.Link
		link.Overhead += slack
		var inTime bool
		if steps, inTime = newPlanner(link, in.Targets).planAll(runs); inTime {
			break
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Start, b.Start) })
	return steps
}

// slacks are the margins added to each copy, the longest first. Entries receive a notice some ten
// milliseconds apart, and a copy that begins late must not overlap the next one. Plan takes the
// longest slack with which all copies end in time.
var slacks = []time.Duration{80 * time.Millisecond, 40 * time.Millisecond, 0}

// defaultRemaining is the assumed remaining time of a source that doesn't report it, a little less
// than the shortest notice of the platform, 1.5 s.
const defaultRemaining = 1400 * time.Millisecond

func newPlanner(link Link, targets []Target) *planner {
	p := &planner{link: link, busyUntil: map[string]time.Duration{}}
	for _, t := range targets {
		p.targets = append(p.targets, &targetState{Target: t})
	}
	slices.SortFunc(p.targets, func(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

// planAll plans the runs in their order. It returns the steps of the planning entry, and whether the
// copies of all runs except the unlisted ones end in time.
func (p *planner) planAll(runs []sourceRun) (steps []Step, inTime bool) {
	inTime = true
	for _, r := range runs {
		s, ok := p.plan(r.source, r.run)
		if ok && r.run.Local {
			steps = append(steps, s)
		}
		remaining := r.source.Remaining
		if remaining == 0 {
			remaining = defaultRemaining
		}
		if !r.run.Unlisted && (!ok || p.busyUntil[r.source.ID] > remaining) {
			inTime = false
		}
	}
	return steps, inTime
}

// sourceRun is a run with its source.
type sourceRun struct {
	source *Source
	run    Run
}

// planOrder returns all runs in the order in which they are planned.
func planOrder(sources []Source) []sourceRun {
	var runs []sourceRun
	for i := range sources {
		for _, r := range sources[i].Runs {
			runs = append(runs, sourceRun{&sources[i], r})
		}
	}
	slices.SortFunc(runs, func(a, b sourceRun) int {
		return cmp.Or(
			compareBool(a.run.Unlisted, b.run.Unlisted),
			cmp.Compare(b.run.valuePerToken(), a.run.valuePerToken()),
			cmp.Compare(a.run.RequestID, b.run.RequestID),
		)
	})
	return runs
}

// targetState is a target with the effects of the steps planned so far.
type targetState struct {
	Target
	// busyUntil is when its link has finished the copies planned so far, counted from the notice.
	busyUntil time.Duration
}

type planner struct {
	link    Link
	targets []*targetState
	// busyUntil is when the link of each source has finished the copies planned so far, counted from
	// the notice.
	busyUntil map[string]time.Duration
}

// plan assigns a run to the target at which its copy ends first. It returns false if there is none
// with enough memory, or if the copy would end after the source.
func (p *planner) plan(source *Source, r Run) (Step, bool) {
	var best *targetState
	var start, end time.Duration
	for _, t := range p.targets {
		if t.FreeTokens < r.Tokens {
			continue
		}
		copyStart := max(p.busyUntil[source.ID], t.busyUntil)
		copyEnd := copyStart + p.link.CopyTime(r.Tokens, t.DataCenter != source.DataCenter)
		if best == nil || copyEnd < end || copyEnd == end && t.rendezvousScore(r) > best.rendezvousScore(r) {
			best, start, end = t, copyStart, copyEnd
		}
	}
	if best == nil || source.Remaining > 0 && end > source.Remaining {
		return Step{}, false
	}
	best.FreeTokens -= r.Tokens
	best.busyUntil = end
	p.busyUntil[source.ID] = end
	return Step{RequestID: r.RequestID, Source: source.ID, Target: best.ID, Start: start}, true
}

// rendezvousScore orders targets at which a copy ends at the same time, by weighted rendezvous
// hashing: it spreads the runs over targets in proportion to their free memory, by the run's id, so
// that entries and groups that plan separately don't all choose the target with the most.
func (t *targetState) rendezvousScore(r Run) float64 {
	const scale = 1 << 53
	uniform := float64(xxhash.Sum64String(r.RequestID+"\x00"+t.ID)>>11) / scale
	return math.Pow(uniform, 1/float64(max(t.FreeTokens, 1)))
}

// compareBool orders false before true.
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
