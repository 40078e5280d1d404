package scheduler

import (
	"math"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// The load that this file answers: more prompts come than the engines can read, for
// seconds. An engine reads one after the other, so each that is sent makes all that
// follow begin later, and soon every answer begins after its objective; the engines
// work as much as before, for answers that are worth little. So a prompt is sent only
// where it is expected to be read in time, and refused at once when there is no such
// engine, with the time after which there will be one.
//
// Urgent requests are not held to it where engines read them first, whatever else waits.
// Where they are read in turn (Config.ReadInTurn) they go only where they begin in time as
// well, else to the engine that has least to read, and are never refused: a late verdict is
// better than none. The engine with the most memory left may have most to read, and they and
// the long ones behind them would begin late.

// startMargin is left for what isn't known when a prompt is sent: one prompt that
// another entry sends at the same moment, 2,200 to 3,000 tokens at ReadRate.
const startMargin = 350 * time.Millisecond

// idle reports whether an engine has no more to read than the margin allows for.
func (s *Scheduler) idle(target string, backlog float64) bool {
	return backlog <= s.readRate(target)*startMargin.Seconds()
}

// startsIn is how long an engine is expected to take until it begins with an answer:
// it reads what waits already, and the urgent prompts that come meanwhile.
func (s *Scheduler) startsIn(now time.Time, backlog float64, it *item) time.Duration {
	seconds := (backlog + float64(it.req.PromptTokens)) / s.spareRate(now, it.req.Row.Target)
	return time.Duration(seconds * float64(time.Second))
}

// boundByStart reports whether a request is sent only where it can begin in time.
func (s *Scheduler) boundByStart(it *item) bool {
	return s.cfg.StartInTime && s.cfg.ReadRate > 0 && it.req.PromptTokens > 0 && it.req.Row.Objective > 0 && (s.cfg.ReadInTurn || !it.req.Urgent())
}

// startWithin is the time within which an answer is to begin: its objective, or what an
// idle engine needs if that is more. Refusing what begins late anyway would gain nothing
// for others.
func (s *Scheduler) startWithin(now time.Time, it *item) time.Duration {
	return max(it.req.Row.Objective, s.startsIn(now, 0, it)+2*startMargin)
}

// beginsInTime reports whether an engine with so many prompt tokens to read is expected
// to begin with a request's answer within its objective.
func (s *Scheduler) beginsInTime(now time.Time, backlog float64, it *item) bool {
	if !s.boundByStart(it) {
		return true
	}
	return now.Sub(it.req.Arrived)+s.startsIn(now, backlog, it)+startMargin <= s.startWithin(now, it)
}

// pressedFor is for how long after a request was refused or had to wait its engines
// count as full.
const pressedFor = 2 * time.Second

// Pressed reports whether requests have waited or been refused lately because engines
// were full.
func (s *Scheduler) Pressed(now time.Time) bool {
	return !s.pressedAt.IsZero() && now.Sub(s.pressedAt) < pressedFor
}

// leastEvery is how often the least backlog of a target is looked for anew: often
// enough to see the prompts of a burst, and so rarely that a decision before 1,200
// endpoints takes 29 microseconds in place of 122 (BenchmarkEngineDecision).
const leastEvery = 20 * time.Millisecond

// leastBacklog is that of the endpoint of a target that has least to read; infinite if
// none may get requests.
func (s *Scheduler) leastBacklog(now time.Time, target string) float64 {
	q := s.queue(target)
	if !q.leastAt.IsZero() && now.Sub(q.leastAt) < leastEvery {
		return q.leastBacklog
	}
	q.leastAt = now
	q.leastBacklog = math.Inf(1)
	for e := range s.staying(target) {
		if s.allowed(now, e) && s.pressure.Accepts(now, e.spec) && !s.unknownRemote(now, e) {
			q.leastBacklog = min(q.leastBacklog, s.backlog(now, e))
		}
	}
	return q.leastBacklog
}

// tooLate refuses a request that no engine is expected to begin in time.
func (s *Scheduler) tooLate(now time.Time, it *item) *outcome.Error {
	if !s.boundByStart(it) || it.req.Urgent() {
		return nil
	}
	least := s.leastBacklog(now, it.req.Row.Target)
	if math.IsInf(least, 1) || s.beginsInTime(now, least, it) {
		return nil
	}
	s.pressedAt = now
	late := now.Sub(it.req.Arrived) + s.startsIn(now, least, it) + startMargin - s.startWithin(now, it)
	return s.refusal(outcome.CodeDeadline, late, "the first engine would begin %v after the objective of %v",
		late.Round(time.Millisecond), s.startWithin(now, it).Round(time.Millisecond))
}
