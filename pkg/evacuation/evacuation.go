// Package evacuation plans how running generations leave engines that are about
// to end.
//
// # Design
//
// Copying the memory of a generation takes a good part of a second, and the
// copies over the link of one engine, out of it or into it, go one after the
// other. Each generation is copied twice: first while it runs, then once more
// after it was stopped, for the little that is new. The pause that the caller sees
// is that of the second copy, so it must not wait behind the first copy of another
// generation.
//
// Engines leave in groups: the platform takes several at the same moment, often of
// one data centre, and their generations compete for the memory and the links of
// those that stay. So one plan is made for all engines of a group.
//
// The generations of one engine belong to several entries, which don't talk about
// it. They all know the engines' own lists of their runs, so each computes the same
// order and the time that each copy takes, and starts its own when those before
// are done: a schedule without coordination.
//
// Ways that were weighed: one copy after a stop makes every caller wait for the
// whole copy; copying all at once makes the second copies queue; a lock or a
// leader per engine costs round trips that the notice doesn't leave time for; a
// plan for each engine alone sends the runs of both to the same target, over the
// same link.
//
// What goes first is what is worth most for the time that its copy takes: the worth
// of a generation grows with its size, that of the copy with the memory it holds
// now. So short prompts and long answers go before long prompts that have just
// begun. Each goes to the target at which its copy ends first. Plan does no I/O and
// reads no clock.
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

// Source is an engine that is about to end.
type Source struct {
	ID         string
	DataCenter string
	Runs       []Run
	// Left is how long it still runs; zero is unknown.
	Left time.Duration
}

// Target is an engine that may take generations over.
type Target struct {
	ID         string
	DataCenter string
	// FreeTokens that it has room for, as far as is known.
	FreeTokens int
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

// Input is what a plan is made from. Entries with the same sources, runs and
// targets make plans that fit together.
type Input struct {
	Sources []Source
	Targets []Target
	Link    Link
	// NoSlack plans copies one right after the other.
	NoSlack bool
}

// Step moves one generation of the planning entry.
type Step struct {
	RequestID string
	Source    string
	Target    string
	// Start is when to begin, counted from the notice.
	Start time.Duration
}

// Plan returns the steps of the planning entry in the order of their starts.
// Generations that no target has room for, or that can't be moved in time, have
// none.
func Plan(in Input) []Step {
	runs := queue(in.Sources)
	var steps []Step
	tried := slacks
	if in.NoSlack {
		tried = slacks[len(slacks)-1:]
	}
	for _, slack := range tried {
		link := in.Link
		link.Overhead += slack
		var inTime bool
		if steps, inTime = newPlanner(link, in.Targets).all(runs); inTime {
			break
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Start, b.Start) })
	return steps
}

// slacks are times that each copy is given besides what it needs, the longest first:
// entries hear of a notice some ten milliseconds apart, and a copy that begins late
// must not run into the next one. The longest is taken with which all runs end in
// time.
var slacks = []time.Duration{80 * time.Millisecond, 40 * time.Millisecond, 0}

// presumedLeft is how long a source that hasn't said is expected to run: the
// shortest notices seen were 1.5 s.
const presumedLeft = 1400 * time.Millisecond

func newPlanner(link Link, targets []Target) *planner {
	p := &planner{link: link, busy: map[string]time.Duration{}}
	for _, t := range targets {
		p.targets = append(p.targets, &place{Target: t})
	}
	slices.SortFunc(p.targets, func(a, b *place) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

// all plans the runs in their order. It returns the steps of the planning entry, and
// whether all the runs that every entry knows of end in time.
func (p *planner) all(runs []candidate) (steps []Step, inTime bool) {
	inTime = true
	for _, c := range runs {
		s, ok := p.plan(c.source, c.run)
		if ok && c.run.Mine {
			steps = append(steps, s)
		}
		left := c.source.Left
		if left == 0 {
			left = presumedLeft
		}
		if !c.run.Unlisted && (!ok || p.busy[c.source.ID] > left) {
			inTime = false
		}
	}
	return steps, inTime
}

// candidate is a run with its source.
type candidate struct {
	source *Source
	run    Run
}

// queue lists all runs in the order in which they are planned.
func queue(sources []Source) []candidate {
	var out []candidate
	for i := range sources {
		for _, r := range sources[i].Runs {
			out = append(out, candidate{&sources[i], r})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(
			compareBool(a.run.Unlisted, b.run.Unlisted),
			cmp.Compare(b.run.worth(), a.run.worth()),
			cmp.Compare(a.run.RequestID, b.run.RequestID),
		)
	})
	return out
}

// place is a target with what the plan does to it.
type place struct {
	Target
	// busy is until when its link copies what is planned so far.
	busy time.Duration
}

type planner struct {
	link    Link
	targets []*place
	// busy is until when the link of each source copies what is planned so far.
	busy map[string]time.Duration
}

// plan finds the target at which the copy of a run ends first.
func (p *planner) plan(source *Source, r Run) (Step, bool) {
	var best *place
	var start, end time.Duration
	for _, t := range p.targets {
		if t.FreeTokens < r.Tokens {
			continue
		}
		s := max(p.busy[source.ID], t.busy)
		e := s + p.link.Time(r.Tokens, t.DataCenter != source.DataCenter)
		if best == nil || e < end || e == end && t.weight(r) > best.weight(r) {
			best, start, end = t, s, e
		}
	}
	if best == nil || source.Left > 0 && end > source.Left {
		return Step{}, false
	}
	best.FreeTokens -= r.Tokens
	best.busy = end
	p.busy[source.ID] = end
	return Step{RequestID: r.RequestID, Source: source.ID, Target: best.ID, Start: start}, true
}

// weight orders targets at which a copy ends at the same time. It spreads the runs
// over them by the memory that they have left, and by the run's id, so that entries
// and groups that plan apart don't all choose the emptiest.
func (t *place) weight(r Run) float64 {
	const top = 1 << 53
	draw := float64(xxhash.Sum64String(r.RequestID+"\x00"+t.ID)>>11) / top
	return math.Pow(draw, 1/float64(max(t.FreeTokens, 1)))
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
