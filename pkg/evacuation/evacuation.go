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
// prompts that have just begun. Each goes to the target at which its copy ends first. If not all of
// them fit, those with the highest value go first, wherever this loses less value in total, and those
// that were moved before go before all others.
//
// The free memory of targets is an estimate, from reports that are half a second old. So each step
// has alternatives, which are tried at once if its target has no room, and generations that find no
// room are planned into memory that the targets' own generations will need some seconds later:
// losing a generation costs its caller the whole answer, while an engine that runs out of memory
// prefills one prompt again.
//
// refusals.go records which targets had no room. Plan does no I/O and reads no clock.
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
	// Moved reports whether the generation was moved before.
	Moved bool
}

// RunHash identifies a generation in notices between entries by four bytes of a hash of its request
// ID. Some hundred generations are moved at a time, so that two of them hardly ever have the same.
func RunHash(requestID string) uint32 { return uint32(xxhash.Sum64String(requestID)) }

// The value of a generation is baseValue, plus 1 for each prompt token and outputTokenValue for each
// output token, including those expected: to the users, an output token counts as much as ten prompt
// tokens.
const (
	baseValue        = 5000
	outputTokenValue = 10
	// expectedRemainingTokens is the estimated number of output tokens not yet generated.
	expectedRemainingTokens = 600
)

// value returns what the caller loses with the generation. It is highest for long prompts and for
// answers near their end.
func (r Run) value() float64 {
	prompt := r.Tokens - r.OutputTokens
	return float64(baseValue + prompt + outputTokenValue*(r.OutputTokens+expectedRemainingTokens))
}

// valuePerToken returns the value of the generation per token of memory.
func (r Run) valuePerToken() float64 { return r.value() / float64(max(r.Tokens, 1)) }

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
	// FreeTokens is its free memory in tokens, as observed by the planning entry, less what its own
	// generations will need within some seconds.
	FreeTokens int
	// SpareTokens is the memory that is free now beyond FreeTokens. It is used for generations that
	// would be lost otherwise.
	SpareTokens int
	// FreeSlots is the number of generations that it has slots for; zero means that it is unknown.
	FreeSlots int
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
	if s >= maxCopyTime.Seconds() || math.IsNaN(s) {
		return maxCopyTime
	}
	return l.Overhead + time.Duration(s*float64(time.Second))
}

// maxCopyTime is longer than any generation. It bounds the time of links for which operators name
// impossible numbers.
const maxCopyTime = 24 * time.Hour

// Input is what a plan is computed from. Plans by entries with the same sources, runs and targets
// are consistent: no two copies overlap on a link.
type Input struct {
	Sources []Source
	Targets []Target
	Link    Link
	// DisableSlack plans each copy right after the previous one.
	DisableSlack bool
	// Refused, if set, reports whether a target refused a copy of this or a smaller size recently.
	// Such targets are not planned for.
	Refused func(target string, tokens int) bool
}

// Step moves one generation of the planning entry.
type Step struct {
	RequestID string
	Source    string
	Target    string
	// Start is when to begin, counted from the notice.
	Start time.Duration
	// Tokens is the number of tokens to be copied, and CopyTime how long that takes.
	Tokens   int
	CopyTime time.Duration
	// Alternatives are further targets for the case that Target refuses, the best first.
	Alternatives []Alternative
}

// Alternative is a target that a generation may be copied to, with the time that this takes.
type Alternative struct {
	Target   string
	CopyTime time.Duration
}

// maxAlternatives bounds the alternatives of a step. Within the time that is left, hardly more
// copies of one generation can be tried beside those of the others.
const maxAlternatives = 4

// Plan returns the steps of the planning entry in the order of their starts. Generations that no
// target has memory for, or that can't be moved in time, have none.
func Plan(in Input) []Step {
	allowedSlacks := slacks
	if in.DisableSlack {
		allowedSlacks = slacks[len(slacks)-1:]
	}
	in.Targets = slices.SortedFunc(slices.Values(in.Targets), func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	byValuePerToken, byValue := planOrder(in.Sources, Run.valuePerToken), planOrder(in.Sources, Run.value)
	var p *planner
	for _, slack := range allowedSlacks {
		p = newPlanner(in, slack)
		if p.planAll(byValuePerToken); p.allInTime {
			break
		}
		if q := newPlanner(in, slack); q.planAll(byValue) > p.plannedValue {
			p = q
		}
		if p.allInTime {
			break
		}
	}
	steps := p.localSteps()
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

// newPlanner returns a planner for the targets of in, which are sorted by ID.
func newPlanner(in Input, slack time.Duration) *planner {
	p := &planner{link: in.Link, slack: slack, refused: in.Refused, busyUntil: map[string]time.Duration{}}
	states := make([]targetState, len(in.Targets))
	p.targets = make([]*targetState, len(in.Targets))
	for i, t := range in.Targets {
		states[i].Target = t
		p.targets[i] = &states[i]
	}
	return p
}

// planAll plans the runs in their order, and then those that found no target once more with the
// spare memory of the targets. It returns the value of the planned runs.
func (p *planner) planAll(runs []sourceRun) float64 {
	var unplaced []sourceRun
	for _, r := range runs {
		if !p.plan(r, false) {
			unplaced = append(unplaced, r)
		}
	}
	p.allInTime = true
	for _, r := range unplaced {
		if !p.plan(r, true) && !r.run.Unlisted {
			p.allInTime = false
		}
	}
	for _, s := range p.planned {
		if !s.run.Unlisted && s.end > s.source.remaining() {
			p.allInTime = false
		}
	}
	return p.plannedValue
}

// remaining returns how long a source still runs, or is assumed to.
func (s *Source) remaining() time.Duration { return cmp.Or(s.Remaining, defaultRemaining) }

// sourceRun is a run with its source.
type sourceRun struct {
	source *Source
	run    Run
}

// planOrder returns all runs in the order in which they are planned, by decreasing worth. Runs that
// were moved before go first, since their callers have waited for one move already.
func planOrder(sources []Source, worth func(Run) float64) []sourceRun {
	var runs []sourceRun
	for i := range sources {
		for _, r := range sources[i].Runs {
			runs = append(runs, sourceRun{&sources[i], r})
		}
	}
	slices.SortFunc(runs, func(a, b sourceRun) int {
		return cmp.Or(
			compareBool(a.run.Unlisted, b.run.Unlisted),
			compareBool(b.run.Moved, a.run.Moved),
			cmp.Compare(worth(b.run), worth(a.run)),
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
	// placed counts the runs planned for it.
	placed int
}

// plannedRun is a run with its place in the plan.
type plannedRun struct {
	sourceRun
	target     *targetState
	start, end time.Duration
}

type planner struct {
	link Link
	// slack is the margin added to each copy.
	slack   time.Duration
	refused func(target string, tokens int) bool
	targets []*targetState
	// busyUntil is when the link of each source has finished the copies planned so far, counted from
	// the notice.
	busyUntil map[string]time.Duration
	planned   []plannedRun
	// plannedValue is the sum of the values of the planned runs, without the unlisted ones, which
	// differ between entries.
	plannedValue float64
	// allInTime is set if the copies of all runs except the unlisted ones end in time.
	allInTime bool
}

// fits reports whether a target has room for a run, counting its spare memory if spare is set.
func (p *planner) fits(t *targetState, r Run, spare bool) bool {
	free := t.FreeTokens
	if spare {
		free += t.SpareTokens
	}
	hasSlot := t.FreeSlots == 0 || t.placed < t.FreeSlots
	return free >= r.Tokens && hasSlot && (p.refused == nil || !p.refused(t.ID, r.Tokens))
}

func (p *planner) copyTime(r sourceRun, t *targetState) time.Duration {
	return p.link.CopyTime(r.run.Tokens, t.DataCenter != r.source.DataCenter)
}

// plan assigns a run to the target at which its copy ends first. It returns false if there is none
// with enough memory, or if the copy would end after the source.
func (p *planner) plan(r sourceRun, spare bool) bool {
	var best *targetState
	var start, end time.Duration
	bestScore := math.NaN() // Unknown until there is a tie.
	for _, t := range p.targets {
		if spare && t.SpareTokens <= 0 || !p.fits(t, r.run, spare) {
			// Without spare memory it took the run before if it could.
			continue
		}
		copyStart := max(p.busyUntil[r.source.ID], t.busyUntil)
		copyEnd := copyStart + p.copyTime(r, t) + p.slack
		if best == nil || copyEnd < end {
			best, start, end, bestScore = t, copyStart, copyEnd, math.NaN()
			continue
		}
		if copyEnd > end {
			continue
		}
		if math.IsNaN(bestScore) {
			bestScore = best.rendezvousScore(r.run)
		}
		if score := t.rendezvousScore(r.run); score > bestScore {
			best, start, bestScore = t, copyStart, score
		}
	}
	if best == nil || r.source.Remaining > 0 && end > r.source.Remaining {
		return false
	}
	best.FreeTokens -= r.run.Tokens
	best.placed++
	best.busyUntil = end
	p.busyUntil[r.source.ID] = end
	p.planned = append(p.planned, plannedRun{r, best, start, end})
	if !r.run.Unlisted {
		p.plannedValue += r.run.value()
	}
	return true
}

// localSteps returns the steps of the planning entry.
func (p *planner) localSteps() []Step {
	var steps []Step
	for _, r := range p.planned {
		if r.run.Local {
			steps = append(steps, Step{
				RequestID: r.run.RequestID, Source: r.source.ID, Target: r.target.ID, Start: r.start,
				Tokens: r.run.Tokens, CopyTime: p.copyTime(r.sourceRun, r.target), Alternatives: p.alternatives(r),
			})
		}
	}
	return steps
}

// alternatives returns the targets that have room for a planned run beside the whole plan: first
// those that need no spare memory, and among them those at which the copy would end first.
func (p *planner) alternatives(r plannedRun) []Alternative {
	type candidate struct {
		*targetState
		spare bool
		end   time.Duration
		score float64
	}
	var others []candidate
	for _, t := range p.targets {
		if t != r.target && p.fits(t, r.run, true) {
			end := max(r.end, t.busyUntil) + p.copyTime(r.sourceRun, t)
			others = append(others, candidate{t, t.FreeTokens < r.run.Tokens, end, t.rendezvousScore(r.run)})
		}
	}
	slices.SortFunc(others, func(a, b candidate) int {
		return cmp.Or(compareBool(a.spare, b.spare), cmp.Compare(a.end, b.end), cmp.Compare(b.score, a.score))
	})
	var alternatives []Alternative
	for _, t := range others[:min(len(others), maxAlternatives)] {
		alternatives = append(alternatives, Alternative{t.ID, p.copyTime(r.sourceRun, t.targetState)})
	}
	return alternatives
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
