// Package evacuate moves the running generations of this entry away from engines
// that are about to end. What goes where and when is decided by package
// evacuation; this package reads the engine's own list of runs, makes the calls
// and tells the streams.
package evacuate

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/engines"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/pkg/evacuation"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

const (
	// reportTimeout is for the list of runs: without it the plan is made of what
	// this entry knows.
	reportTimeout = 300 * time.Millisecond
	// copyTimeout bounds one copy. An engine that was told to end lives for about
	// two seconds.
	copyTimeout = 2500 * time.Millisecond
	// releaseTimeout bounds the release of a copy that isn't used; the engines
	// forget it by themselves some seconds later.
	releaseTimeout = 500 * time.Millisecond
	// passPause is the wait before an engine is looked at again that something could
	// not be moved off: a target may have room by then.
	passPause = 150 * time.Millisecond
	// leavingFor is for how long an engine that was told to end may live; some take
	// many seconds (PROTOCOL, service discovery).
	leavingFor = 30 * time.Second
	// reportAge is how old a report is when it is read; measured on the users' bench.
	reportAge = 500 * time.Millisecond
	// growth is the horizon, by index, at which a target needs to have room: some
	// seconds of decoding.
	growth = 1
	// usableShare is the share of a target's memory that copies may fill; the rest
	// is for the growth of what runs there.
	usableShare = 0.9
	// overhead is what moving one generation takes besides the copy of its memory;
	// measured on the users' bench.
	overhead = 20 * time.Millisecond
	// farFactor is by how much longer a copy to another data centre takes
	// (PROTOCOL, model servers).
	farFactor   = 2
	bitsPerByte = 8
)

// Config holds the settings of an Evacuator.
type Config struct {
	Forwarder  *relay.Forwarder
	Engines    engines.Caller
	Dispatcher *dispatch.Dispatcher
	// Service returns what the table says of a target.
	Service func(target string) (table.Service, bool)
	// Endpoint finds an endpoint in force by its id.
	Endpoint func(id string) (fleet.Endpoint, bool)
	Log      *log.Logger
	// OnMove is told the result of each move, for metrics.
	OnMove func(result string)
}

// Results of moves, for metrics.
const (
	ResultMoved   = "moved"
	ResultEnded   = "ended"
	ResultNoRoom  = "no_room"
	ResultFailed  = "failed"
	ResultReturn  = "stayed"
	ResultTooLate = "too_late"
)

// Evacuator moves generations. It is safe for concurrent use.
type Evacuator struct {
	cfg Config

	mu     sync.Mutex
	active map[string]bool
	// leaving holds the engines that are about to end, with the time of the notice.
	leaving map[string]time.Time
}

// New makes an evacuator.
func New(cfg Config) *Evacuator {
	return &Evacuator{cfg: cfg, active: map[string]bool{}, leaving: map[string]time.Time{}}
}

// Leaving starts the evacuation of an engine, unless it is under way. It doesn't
// wait for it.
func (e *Evacuator) Leaving(ctx context.Context, source fleet.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if source.Type != fleet.Engine {
		return
	}
	e.forget()
	e.leaving[source.ID] = time.Now()
	e.start(ctx, source)
}

// Begun tells that a generation has begun at an engine. One that was sent there
// before the engine was known to leave is moved now that it runs.
func (e *Evacuator) Begun(ctx context.Context, source fleet.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, leaving := e.leaving[source.ID]; leaving {
		e.start(ctx, source)
	}
}

// forget drops engines that have ended long ago.
func (e *Evacuator) forget() {
	for id, since := range e.leaving {
		if time.Since(since) > leavingFor {
			delete(e.leaving, id)
		}
	}
}

// start begins an evacuation unless one is under way. The caller holds the lock.
func (e *Evacuator) start(ctx context.Context, source fleet.Endpoint) {
	if e.active[source.ID] {
		return
	}
	e.active[source.ID] = true
	go func() {
		e.run(ctx, source)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.active, source.ID)
		if len(e.begun(source)) > 0 && ctx.Err() == nil && time.Since(e.leaving[source.ID]) < leavingFor {
			// One began after the last pass had looked.
			e.start(ctx, source)
		}
	}()
}

// run looks at an engine until none of this entry's generations runs there: they
// were moved, or the engine has ended and their streams with it.
func (e *Evacuator) run(ctx context.Context, source fleet.Endpoint) {
	service, ok := e.cfg.Service(source.Targets[0])
	if !ok || service.Engine == nil || !service.Engine.CanMove {
		return
	}
	end := time.Now().Add(leavingFor)
	for time.Now().Before(end) {
		mine := e.begun(source)
		if len(mine) == 0 || !e.pass(ctx, source, service.Engine, mine) || !pause.For(ctx, passPause) {
			return
		}
	}
}

// begun lists the generations of this entry that run at an engine. Those whose
// prompt is still being read can't be moved.
func (e *Evacuator) begun(source fleet.Endpoint) map[string]*relay.Session {
	out := map[string]*relay.Session{}
	for _, s := range e.cfg.Forwarder.SessionsAt(source.ID) {
		if s.Begun() {
			out[s.RequestID()] = s
		}
	}
	return out
}

// pass moves what is there; it returns false if the context has ended.
func (e *Evacuator) pass(ctx context.Context, source fleet.Endpoint, engine *table.Engine, mine map[string]*relay.Session) bool {
	begun := time.Now()
	report, err := e.report(ctx, source)
	in := evacuation.Input{
		Source:  source.ID,
		Runs:    runs(report, mine, engine.TokensPerEvent),
		Targets: e.targets(source),
		Link:    link(engine),
		Left:    left(report),
	}
	steps := evacuation.Plan(in)
	e.cfg.Log.Info("evacuation", "endpoint", source.ID, "mine", len(mine), "runs", len(in.Runs), "targets", len(in.Targets),
		"steps", len(steps), "left_ms", in.Left.Milliseconds(), "report_error", err)
	for _, step := range steps {
		if !pause.For(ctx, time.Until(begun.Add(step.Start))) {
			return false
		}
		e.cfg.OnMove(e.move(ctx, mine[step.RequestID], source, step.Target))
	}
	return true
}

func (e *Evacuator) report(ctx context.Context, source fleet.Endpoint) (engines.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return e.cfg.Engines.Report(ctx, source)
}

// runs joins the engine's list with the streams that it doesn't show yet.
func runs(report engines.Report, mine map[string]*relay.Session, perEvent int) []evacuation.Run {
	var out []evacuation.Run
	listed := map[string]bool{}
	for _, r := range report.Runs {
		listed[r.RequestID] = true
		made := min(r.Events*perEvent, r.Tokens)
		out = append(out, evacuation.Run{RequestID: r.RequestID, Tokens: r.Tokens, Made: made, Mine: mine[r.RequestID] != nil})
	}
	for id, s := range mine {
		if !listed[id] {
			out = append(out, evacuation.Run{RequestID: id, Tokens: s.Tokens(perEvent), Mine: true, Unlisted: true})
		}
	}
	return out
}

// left corrects the time that an engine still has by the age of its report.
func left(r engines.Report) time.Duration {
	if r.LeavesIn == 0 {
		return 0
	}
	return max(r.LeavesIn-reportAge, time.Millisecond)
}

func link(engine *table.Engine) evacuation.Link {
	return evacuation.Link{
		BytesPerToken:  engine.KVBytesPerToken,
		BytesPerSecond: engine.LinkBitsPerSecond / bitsPerByte,
		Overhead:       overhead,
		FarFactor:      farFactor,
	}
}

// targets lists the engines that may take generations of a source.
func (e *Evacuator) targets(source fleet.Endpoint) []evacuation.Target {
	var out []evacuation.Target
	e.cfg.Dispatcher.View(func(now time.Time, p scheduler.Policy) {
		s, ok := p.(*scheduler.Scheduler)
		if !ok {
			return
		}
		for _, st := range s.Status(now) {
			at, known := e.cfg.Endpoint(st.ID)
			if !known || st.ID == source.ID || st.Leaving || st.Breaker != retry.Closed || at.Targets[0] != source.Targets[0] {
				continue
			}
			out = append(out, evacuation.Target{
				ID:         st.ID,
				FreeTokens: int(usableShare*float64(st.Capacity)) - int(st.Projected[growth]) - st.Unexplained,
				Far:        at.DataCenter != source.DataCenter,
			})
		}
	})
	return out
}

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
