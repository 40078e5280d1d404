package scheduler

import (
	"math"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/enginespeed"
)

// Condition handled here: the engines of one target differ in speed by a factor of two, and each is
// slower for a while now and then. With one prefill rate for all of them, slow engines seem able to
// start answers in time that they start late, and fast ones seem busy while they have room. So the
// expected start of an answer, in seconds, is derived from the speed of each engine. Where all
// engines are busy, this spreads prompts in proportion to speed.

const (
	// maxCandidateSpeedAge is the age up to which a cached estimate is used for a candidate. A
	// transient slowdown lasts 0.5 s and more.
	maxCandidateSpeedAge = 20 * time.Millisecond
	// maxSpeedAge is the age up to which it is used where all engines of a target are compared. It
	// bounds the cost of these comparisons: at 1,200 engines, 6,000 estimates per second.
	maxSpeedAge = 200 * time.Millisecond
)

// learnsEngineSpeed reports whether the speed of each engine is estimated.
func (s *Scheduler) learnsEngineSpeed() bool { return s.cfg.EngineSpeed && s.cfg.PrefillRate > 0 }

// usesEngineSpeed reports whether the speed of each engine of a target is used instead of the rates of
// the target.
func (s *Scheduler) usesEngineSpeed(now time.Time, target string) bool {
	return s.learnsEngineSpeed() && (!s.cfg.SpeedWhereGapsDiffer || s.gapsDiffer(now, target))
}

// gapsDiffer reports whether some engines of a target meet the strictest objective between events of
// this entry's rows and others don't.
func (s *Scheduler) gapsDiffer(now time.Time, target string) bool {
	strictest := s.gapObjectivesOf(target).strictest
	return strictest > 0 && s.gapSorts(now, target, strictest).differ
}

// speedOf returns the estimated speed of an engine, at most maxAge old. Its rate is positive and its
// slowdown at least 1.
func (s *Scheduler) speedOf(now time.Time, e *endpoint, maxAge time.Duration) *enginespeed.Estimate {
	if !e.speedAt.IsZero() && now.Sub(e.speedAt) < maxAge {
		return &e.speed
	}
	e.speed, e.speedAt = s.engineSpeed(now, e), now
	if e.speed.PrefillRate <= 0 {
		e.speed.PrefillRate = s.cfg.PrefillRate
	}
	e.speed.Slowdown = max(e.speed.Slowdown, 1)
	return &e.speed
}

// currentPrefillRate returns how many prompt tokens per second an engine processes at present; zero
// if the prefill backlog isn't estimated.
func (s *Scheduler) currentPrefillRate(now time.Time, e *endpoint) float64 {
	if !s.usesEngineSpeed(now, e.spec.Targets[0]) {
		return s.prefillRate(e.spec.Targets[0])
	}
	speed := s.speedOf(now, e, maxCandidateSpeedAge)
	return speed.PrefillRate / speed.Slowdown
}

// startLine is the expected start at an engine as a function of the length of the prompt.
type startLine struct {
	// wait is the time that the backlog takes, and perToken the time that each token of the
	// prompt adds, both in seconds.
	wait, perToken float64
}

func (l startLine) at(promptTokens int) time.Duration {
	return time.Duration((l.wait + l.perToken*float64(promptTokens)) * float64(time.Second))
}

// earliestStarts holds the engines of a target that start an answer first. Which one it is depends on
// the length of the prompt: a fast engine with a backlog starts a long prompt sooner than an idle slow
// one.
type earliestStarts struct {
	refreshedAt time.Time
	// lines are those of the engines that no other engine precedes whatever the length of the
	// prompt; empty if no engine takes requests.
	lines []startLine
	// idlePerToken is the time per prompt token at the fastest engine, in seconds.
	idlePerToken float64
}

// add adds an engine unless another one precedes it whatever the length of the prompt, and removes
// those that it precedes.
func (es *earliestStarts) add(l startLine) {
	es.idlePerToken = min(es.idlePerToken, l.perToken)
	kept := es.lines[:0]
	for _, other := range es.lines {
		if other.wait <= l.wait && other.perToken <= l.perToken {
			// None has been removed: the other one would precede those that this one precedes.
			return
		}
		if l.wait > other.wait || l.perToken > other.perToken {
			kept = append(kept, other)
		}
	}
	es.lines = append(kept, l)
}

// earliestStarts returns the engines of a target that start an answer first, at most
// minBacklogRefresh old.
func (s *Scheduler) earliestStarts(now time.Time, target string) *earliestStarts {
	es := &s.target(target).earliest
	if !es.refreshedAt.IsZero() && now.Sub(es.refreshedAt) < minBacklogRefresh {
		return es
	}
	es.refreshedAt = now
	es.lines = es.lines[:0]
	es.idlePerToken = math.Inf(1)
	efficiency := s.queue(target).prefillEfficiencyOrOne()
	for e := range s.notLeaving(target) {
		if !s.remoteLoadUnknown(now, e) && s.breakersAllow(now, e) && s.backpressure.Accepts(now, e.spec) {
			speed := s.speedOf(now, e, maxSpeedAge)
			perToken := speed.Slowdown / (speed.PrefillRate * efficiency)
			es.add(startLine{s.prefillBacklog(now, e) * perToken, perToken})
		}
	}
	return es
}

// first returns the earliest expected start of a prompt, and false if no engine takes requests.
func (es *earliestStarts) first(promptTokens int) (time.Duration, bool) {
	soonest := time.Duration(math.MaxInt64)
	for _, l := range es.lines {
		soonest = min(soonest, l.at(promptTokens))
	}
	return soonest, len(es.lines) > 0
}
