package evacuate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/engines"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/pkg/evacuation"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// refusalCause is why a first copy was not made, as a label of a metric.
type refusalCause string

const (
	notRefused refusalCause = ""
	// causeNoRoom means that the target has too little memory.
	causeNoRoom refusalCause = "no_room"
	// causeThrottled means that the target accepts no further generations from this entry now.
	causeThrottled refusalCause = "throttled"
	// causeTargetGone means that the target has left the list, or restarted.
	causeTargetGone refusalCause = "target_gone"
	// causeFailed means that the source answered with an error, such as that it can't reach the
	// target.
	causeFailed refusalCause = "failed"
	// causeSourcePaused, causeSourceLost and causeSourceUnreachable concern the source, so that
	// no other target helps: it accepts no calls now, the connection broke, or there was none.
	causeSourcePaused      = "source_paused"
	causeSourceLost        = "source_lost"
	causeSourceUnreachable = "source_unreachable"
)

// errThrottled means that the target accepts no further generations at present, and errTargetGone
// that it is no longer listed or has restarted.
var (
	errThrottled  = errors.New("target is throttled")
	errTargetGone = errors.New("target is no longer listed")
	errNoTarget   = errors.New("no further target has room")
)

// ofSource reports whether no other target would help.
func (c refusalCause) ofSource() bool {
	return c == causeSourcePaused || c == causeSourceLost || c == causeSourceUnreachable
}

// result is the result of a move that ends with the refusal.
func (c refusalCause) result() string {
	if c == causeNoRoom || c == causeThrottled {
		return ResultNoRoom
	}
	return ResultFailed
}

// causeOf classifies the error of a first copy.
func causeOf(err error) refusalCause {
	var failure *attempt.Failure
	switch {
	case errors.Is(err, engines.ErrNoRoom):
		return causeNoRoom
	case isUnreachable(err):
		return causeSourceUnreachable
	case isThrottled(err):
		return causeSourcePaused
	case errors.As(err, &failure):
		return causeSourceLost
	default:
		return causeFailed
	}
}

// isUnreachable reports whether no connection to the engine could be opened.
func isUnreachable(err error) bool {
	var failure *attempt.Failure
	return errors.As(err, &failure) && failure.Kind == retry.NotSent && !failure.Paused
}

// runStep moves a generation to the target of its step or, while targets refuse it and its engine
// has time left, to the next alternative. It returns a result for metrics, and whether the source
// can be reached.
func (e *Evacuator) runStep(ctx context.Context, s *relay.Session, source fleet.Endpoint, step evacuation.Step, deadline time.Time) (result string, reachable bool) {
	if e.cfg.InstanceEnded(source.Instance()) {
		// The generation is lost, and the address may now belong to an engine with other
		// generations.
		e.releaseBooking(step.RequestID)
		return e.logFailure(s, source, step.Target, fleet.InstanceEndedError{Instance: source.Instance()}), true
	}
	result = ResultNoRoom
	var tried []string
	for ctx.Err() == nil {
		targetID, ok := e.nextTarget(step, tried, deadline)
		if !ok {
			break
		}
		tried = append(tried, targetID)
		target, listed := e.cfg.Endpoint(targetID)
		if !listed {
			result, _ = e.logRefusal(s, source, targetID, errTargetGone, causeTargetGone)
			continue
		}
		e.rebook(step, target)
		var refused refusalCause
		if result, refused = e.move(ctx, s, source, target); refused == notRefused {
			if result != ResultMoved && result != ResultTooLate {
				e.releaseBooking(step.RequestID)
			}
			return result, true
		}
		e.recordRefusal(step, targetID, refused)
		if refused.ofSource() {
			e.releaseBooking(step.RequestID)
			return result, refused != causeSourceUnreachable
		}
	}
	e.releaseBooking(step.RequestID)
	if len(tried) == 0 {
		e.logFailure(s, source, step.Target, errNoTarget)
	}
	return result, true
}

// nextTarget chooses the target to try next, from what is known now.
func (e *Evacuator) nextTarget(step evacuation.Step, tried []string, deadline time.Time) (target string, ok bool) {
	if e.cfg.Disabled.Retargeting {
		return step.Target, len(tried) == 0
	}
	c := evacuation.Conditions{
		Tried: tried,
		Refused: func(target string) bool {
			return e.isLeaving(target) || e.refused(target, step.Tokens) || e.refused(refusalKey(step.Source, target), step.Tokens)
		},
		HasRoom: func(target string) bool { return e.hasRoom(target, step) },
	}
	if !deadline.IsZero() {
		// After the deadline the engine may run on for a moment, but no further copy ends in time.
		c.Remaining = max(clock.Until(deadline), time.Nanosecond)
	}
	return step.NextTarget(c)
}

// hasRoom reports whether a target has room for a copy as far as this entry knows now, beside the
// reservations of other generations.
func (e *Evacuator) hasRoom(target string, step evacuation.Step) (fits bool) {
	e.cfg.Dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		free, known := s.FreeTokens(now, target, evacuation.RunHash(step.RequestID))
		fits = known && free >= step.Tokens
	})
	return fits
}

// refused reports whether a target refused this or a smaller copy recently.
func (e *Evacuator) refused(target string, tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.cfg.Disabled.Retargeting && e.refusals.Refused(clock.Now(), target, tokens)
}

// isLeaving reports whether a target has announced its own departure since the plan was made.
func (e *Evacuator) isLeaving(target string) bool {
	endpoint, listed := e.cfg.Endpoint(target)
	e.mu.Lock()
	defer e.mu.Unlock()
	noticedAt, leaving := e.leaving[endpoint.Instance()]
	return listed && leaving && clock.Since(noticedAt) < maxLeavingTime
}

// recordRefusal records a refusal, so that the target isn't tried again for the other generations
// of this size or more. An error of the source concerns only its own copies to the target, whatever
// their size.
func (e *Evacuator) recordRefusal(step evacuation.Step, target string, cause refusalCause) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch cause {
	case causeNoRoom:
		e.refusals.Record(clock.Now(), target, step.Tokens)
	case causeFailed:
		e.refusals.Record(clock.Now(), refusalKey(step.Source, target), 0)
	}
}

// refusalKey identifies the copies from one engine to another among the refusals.
func refusalKey(source, target string) string { return source + "\x00" + target }

// logRefusal logs and counts a refused first copy.
func (e *Evacuator) logRefusal(s *relay.Session, source fleet.Endpoint, target string, err error, cause refusalCause) (result string, refused refusalCause) {
	e.cfg.Log.Warn("move failed", "request", s.RequestID(), "from", source.ID, "to", target, "cause", string(cause), "error", err)
	e.cfg.OnRefused(string(cause))
	return cause.result(), cause
}
