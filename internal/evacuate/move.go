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
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

const (
	// copyTimeout bounds one copy. An engine that was told to end lives for about
	// two seconds.
	copyTimeout = 2500 * time.Millisecond
	// releaseTimeout bounds the release of a copy that isn't used; the engines
	// forget it by themselves some seconds later.
	releaseTimeout = 500 * time.Millisecond
	// freeLink is how long a copy of what is new takes at most while no other copy
	// goes over the link: some milliseconds for the calls, and one or two for the
	// tokens of a quarter of a second.
	freeLink = 25 * time.Millisecond
	// maxRefreshes bounds the copies that wait for the link to be free.
	maxRefreshes = 3
)

// errWithheld says that a target has said it takes no more.
var errWithheld = errors.New("the target takes no more at present")

// move copies one generation, stops it, copies the rest and hands it over.
func (e *Evacuator) move(ctx context.Context, s *relay.Session, source fleet.Endpoint, targetID string) string {
	target, ok := e.cfg.Endpoint(targetID)
	if !ok {
		return e.failed(s, source, targetID, errors.New("the target has gone"))
	}
	if e.cfg.Over(source.Instance()) {
		// What ran there is gone, and the address may be asked for another's copy.
		return e.failed(s, source, targetID, fleet.InstanceEndedError{Instance: source.Instance()})
	}
	if !e.cfg.Admit(target.Instance()) {
		// A generation arrives there as a request does. Another pass finds another target.
		e.failed(s, source, targetID, errWithheld)
		return ResultNoRoom
	}
	first, err := e.copy(ctx, source, s, target, false)
	switch {
	case errors.Is(err, engines.ErrNoRun):
		return ResultEnded
	case errors.Is(err, engines.ErrNoRoom):
		e.failed(s, source, targetID, err)
		return ResultNoRoom
	case err != nil:
		return e.failed(s, source, targetID, err)
	}
	h := s.Begin(target, first)
	if h == nil {
		e.release(ctx, target, first)
		return ResultEnded
	}
	if !e.cfg.Off.CopyRefresh {
		e.refresh(ctx, source, s, h)
	}
	if e.cfg.Over(target.Instance()) {
		// Its next life has no room taken and nothing of the memory: the stop would make the
		// caller wait for a whole copy. The next pass begins anew.
		s.Cancel(h)
		return e.failed(s, source, targetID, fleet.InstanceEndedError{Instance: target.Instance()})
	}
	last, err := e.copy(ctx, source, s, target, true)
	switch {
	case err == nil:
		h.Moved(target, last)
		return ResultMoved
	case withheld(err):
		// The stop wasn't asked for, so the generation runs on.
		s.Cancel(h)
		return e.failed(s, source, targetID, err)
	case errors.Is(err, engines.ErrNoRun) && e.stillLives(ctx, source):
		h.Ended()
		return ResultEnded
	case errors.Is(err, engines.ErrNoRoom):
		// The generation has stopped, and its memory is still at the source.
		h.Moved(source, last)
		return ResultReturn
	default:
		e.lost(ctx, h, source, target)
		e.failed(s, source, targetID, err)
		return ResultTooLate
	}
}

// withheld reports whether a call wasn't made because the engine wants nothing now.
func withheld(err error) bool {
	var failure *attempt.Failure
	return errors.As(err, &failure) && failure.Paused
}

// lost settles a handoff whose stop wasn't answered: if the stream breaks off, the copy
// before it is all there is. It is worth nothing once source or target has started again,
// which the list may not tell yet.
func (e *Evacuator) lost(ctx context.Context, h *relay.Handoff, source, target fleet.Endpoint) {
	if err := e.startedAgain(ctx, source, target); err != nil {
		h.Void(err)
		return
	}
	h.Lost()
}

// stillLives reports whether an engine answers that it hasn't started again. The next life
// knows of no run of the one before, which says nothing of how that ended; and the end of a
// process may look like that of a stream without a length.
func (e *Evacuator) stillLives(ctx context.Context, at fleet.Endpoint) bool {
	if !at.Instance().HasIncarnation() {
		return true
	}
	_, err := e.report(ctx, at)
	return err == nil
}

// startedAgain asks engines for their starts, all at the same time, and returns an error of
// type fleet.OverError if one has started again. One that doesn't answer may have ended,
// which takes nothing from a copy elsewhere. It ends before a stream stops waiting for its
// handoff, by copyTimeout and reportTimeout.
func (e *Evacuator) startedAgain(ctx context.Context, engines ...fleet.Endpoint) error {
	errs := make([]error, len(engines))
	var asked sync.WaitGroup
	for i, at := range engines {
		if at.Instance().HasIncarnation() {
			asked.Go(func() { _, errs[i] = e.report(ctx, at) })
		}
	}
	asked.Wait()
	for _, err := range errs {
		if over := (fleet.InstanceEndedError{}); errors.As(err, &over) {
			return over
		}
	}
	return nil
}

// refresh copies what is new, while the generation runs on, until the link is free.
// The copy after the stop would wait behind those of others, and the caller with it.
func (e *Evacuator) refresh(ctx context.Context, source fleet.Endpoint, s *relay.Session, h *relay.Handoff) {
	target := h.Target
	for range maxRefreshes {
		begun := clock.Now()
		newer, err := e.copy(ctx, source, s, target, false)
		if err != nil {
			// The stop that follows finds out what is wrong.
			e.cfg.Log.Debug("copy not refreshed", "request", s.RequestID(), "from", source.ID, "to", target.ID, "error", err)
			return
		}
		h.Update(newer)
		if clock.Since(begun) <= freeLink {
			return
		}
	}
}

func (e *Evacuator) copy(ctx context.Context, source fleet.Endpoint, s *relay.Session, target fleet.Endpoint, stop bool) (engines.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return e.cfg.Engines.Copy(ctx, source, s.RequestID(), target, stop)
}

func (e *Evacuator) release(ctx context.Context, at fleet.Endpoint, c engines.Copy) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := e.cfg.Engines.Release(ctx, at, c); err != nil {
		e.cfg.Log.Debug("copy not released", "endpoint", at.ID, "error", err)
	}
}

func (e *Evacuator) failed(s *relay.Session, source fleet.Endpoint, target string, err error) string {
	e.cfg.Log.Warn("move failed", "request", s.RequestID(), "from", source.ID, "to", target, "error", err)
	return ResultFailed
}
