package evacuate

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/engines"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// move copies one generation, stops it, copies the rest and hands it over.
func (e *Evacuator) move(ctx context.Context, s *relay.Session, source fleet.Endpoint, targetID string) string {
	target, ok := e.cfg.Endpoint(targetID)
	if !ok {
		return e.failed(s, source, targetID, errors.New("the target has gone"))
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
	if !s.Begin(target, first) {
		e.release(ctx, target, first)
		return ResultEnded
	}
	last, err := e.copy(ctx, source, s, target, true)
	switch {
	case err == nil:
		s.Finish(target, &last)
		return ResultMoved
	case errors.Is(err, engines.ErrNoRun):
		s.Finish(target, nil)
		return ResultEnded
	case errors.Is(err, engines.ErrNoRoom):
		// The generation has stopped, and its memory is still at the source.
		s.Finish(source, &last)
		return ResultReturn
	default:
		// If the stream breaks off, the first copy is all there is.
		s.Finish(target, nil)
		e.failed(s, source, targetID, err)
		return ResultTooLate
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
