package evacuate

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/engines"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/pkg/evacuation"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

const (
	// copyTimeout limits one copy. An engine that is asked to terminate runs on for about two
	// seconds.
	copyTimeout = 2500 * time.Millisecond
	// releaseTimeout limits the release of an unused copy, which engines otherwise drop by
	// themselves some seconds later.
	releaseTimeout = 500 * time.Millisecond
	// idleLinkCopyTime is the maximum duration of an incremental copy while no other copy uses
	// the link: some milliseconds for the calls, plus one or two milliseconds for the tokens
	// generated in a quarter of a second.
	idleLinkCopyTime = 25 * time.Millisecond
	// maxRefreshes limits the incremental copies that are made until the link is idle.
	maxRefreshes = 3
)

// move copies a generation to the target, stops it, copies the rest and hands over the stream.
// It returns a result for metrics, and why the first copy was refused, if it was: then the
// generation runs on at the source, and another target may be tried.
func (e *Evacuator) move(ctx context.Context, s *relay.Session, source, target fleet.Endpoint) (result string, refused refusalCause) {
	if !e.cfg.Admit(target.Instance()) {
		// A moved generation counts against the target's limit as a request does.
		return e.logRefusal(s, source, target.ID, errThrottled, causeThrottled)
	}
	first, err := e.copy(ctx, source, s, target, false)
	switch {
	case errors.Is(err, engines.ErrNoRun):
		return ResultEnded, notRefused
	case err != nil:
		return e.logRefusal(s, source, target.ID, err, causeOf(err))
	}
	return e.finishMove(ctx, s, source, target, first), notRefused
}

// finishMove moves a generation of which a first copy is at the target.
func (e *Evacuator) finishMove(ctx context.Context, s *relay.Session, source, target fleet.Endpoint, first engines.Copy) string {
	e.bookingCopied(s.RequestID())
	h := s.Begin(target, first)
	if h == nil {
		e.release(ctx, target, first)
		return ResultEnded
	}
	if !e.cfg.Disabled.CopyRefresh {
		e.refresh(ctx, source, s, h)
	}
	if e.cfg.InstanceEnded(target.Instance()) {
		// The target's next instance has not admitted the generation and holds nothing of the
		// copy. If the generation were stopped now, the caller would wait for a full copy. The
		// next pass starts over.
		s.Cancel(h)
		return e.logFailure(s, source, target.ID, fleet.InstanceEndedError{Instance: target.Instance()})
	}
	last, err := e.copy(ctx, source, s, target, true)
	switch {
	case err == nil:
		e.RunMoved(evacuation.RunHash(s.RequestID()))
		h.Moved(target, last)
		return ResultMoved
	case isThrottled(err):
		// The stop was not requested, so the generation continues at the source.
		s.Cancel(h)
		return e.logFailure(s, source, target.ID, err)
	case errors.Is(err, engines.ErrNoRun) && e.sameInstance(ctx, source):
		h.Ended()
		return ResultEnded
	case errors.Is(err, engines.ErrNoRoom):
		// The generation has stopped, and its memory is still at the source.
		h.Moved(source, last)
		return ResultReturned
	default:
		e.settleUnansweredStop(ctx, h, source, target)
		e.logFailure(s, source, target.ID, err)
		return ResultTooLate
	}
}

// isThrottled reports whether a call was not made because the engine accepts nothing at
// present.
func isThrottled(err error) bool {
	var failure *attempt.Failure
	return errors.As(err, &failure) && failure.Paused
}

// settleUnansweredStop settles a handoff whose stop got no response. If the stream breaks off,
// only the copy made before it remains. That copy is useless if the source or the target has
// restarted, which the list may not show yet.
func (e *Evacuator) settleUnansweredStop(ctx context.Context, h *relay.Handoff, source, target fleet.Endpoint) {
	if err := e.checkRestarted(ctx, source, target); err != nil {
		h.Void(err)
		return
	}
	h.Lost()
}

// sameInstance reports whether an engine's report shows that it hasn't restarted; an engine
// without a known incarnation counts as not restarted. After a restart, a missing run doesn't
// show that the generation completed: the next instance doesn't list the runs of the previous
// one, and a connection that a terminating process closes may look like the regular end of a
// stream without a content length.
func (e *Evacuator) sameInstance(ctx context.Context, endpoint fleet.Endpoint) bool {
	if !endpoint.Instance().HasIncarnation() {
		return true
	}
	_, err := e.fetchReport(ctx, endpoint)
	return err == nil
}

// checkRestarted fetches reports from all engines concurrently, and returns a
// fleet.InstanceEndedError if one of them has restarted. An engine that doesn't answer may have
// terminated, which doesn't affect a copy elsewhere. Streams wait for their handoff for longer
// than copyTimeout and reportTimeout together, so checkRestarted returns in time.
func (e *Evacuator) checkRestarted(ctx context.Context, endpoints ...fleet.Endpoint) error {
	errs := make([]error, len(endpoints))
	var calls sync.WaitGroup
	for i, endpoint := range endpoints {
		if endpoint.Instance().HasIncarnation() {
			calls.Go(func() { _, errs[i] = e.fetchReport(ctx, endpoint) })
		}
	}
	calls.Wait()
	for _, err := range errs {
		if ended := (fleet.InstanceEndedError{}); errors.As(err, &ended) {
			return ended
		}
	}
	return nil
}

// refresh repeats incremental copies while the generation runs, until the link is idle.
// Otherwise the copy after the stop would wait behind copies of other generations, and the
// caller with it.
func (e *Evacuator) refresh(ctx context.Context, source fleet.Endpoint, s *relay.Session, h *relay.Handoff) {
	target := h.Target
	for range maxRefreshes {
		startedAt := clock.Now()
		newer, err := e.copy(ctx, source, s, target, false)
		if err != nil {
			// The following stop reports the cause.
			e.cfg.Log.Debug("copy not refreshed", "request", s.RequestID(), "from", source.ID, "to", target.ID, "error", err)
			return
		}
		h.Update(newer)
		if clock.Since(startedAt) <= idleLinkCopyTime {
			return
		}
	}
}

func (e *Evacuator) copy(ctx context.Context, source fleet.Endpoint, s *relay.Session, target fleet.Endpoint, stop bool) (engines.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return e.cfg.Engines.Copy(ctx, source, s.RequestID(), target, stop)
}

func (e *Evacuator) release(ctx context.Context, endpoint fleet.Endpoint, c engines.Copy) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := e.cfg.Engines.Release(ctx, endpoint, c); err != nil {
		e.cfg.Log.Debug("copy not released", "endpoint", endpoint.ID, "error", err)
	}
}

func (e *Evacuator) logFailure(s *relay.Session, source fleet.Endpoint, target string, err error) string {
	e.cfg.Log.Warn("move failed", "request", s.RequestID(), "from", source.ID, "to", target, "error", err)
	return ResultFailed
}
