// Package evacuate moves the running generations of this entry away from engines
// that are about to end. What goes where and when is decided by package
// evacuation; this package reads the engine's own list of runs, makes the calls
// and tells the streams.
//
//	[notice] --5 ms--> [group] --reports--> [plan] --moves--> [look again]
//	                                          ^                  |  |
//	                                          +--runs are left---+  +--none--> done
//
// groups.go gathers the engines that leave together, input.go describes them to
// package evacuation, move.go moves one generation.
//
// All of it is kept by the lives of engines: one that starts again under its id has none of
// the generations, isn't leaving, and knows of no copy.
package evacuate

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/engines"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/pkg/evacuation"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

const (
	// maxNews is the highest age at which a notice is news.
	maxNews = time.Second
	// passPause is the wait before an engine is looked at again that something could
	// not be moved off: a target may have room by then.
	passPause = 150 * time.Millisecond
	// leavingFor is for how long an engine that was told to end may live; some take
	// many seconds (PROTOCOL, service discovery).
	leavingFor = 30 * time.Second
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
	// Over reports whether an endpoint is known to have started again since.
	Over func(fleet.Instance) bool
	// Admit reports whether an engine takes one more generation from this entry now, and
	// counts it if so.
	Admit func(fleet.Instance) bool
	// PausedFor is for how much longer an engine wants nothing from this entry.
	PausedFor func(fleet.Instance) time.Duration
	Log       *log.Logger
	// Off switches parts off, to measure what they are worth.
	Off Off
	// OnMove is told the result of each move, for metrics.
	OnMove func(result string)
}

// Off are the parts that are switched off.
type Off struct {
	// Moves leaves generations where they are.
	Moves bool
	// CopyRefresh stops a generation after its first copy, whether or not the link is
	// free.
	CopyRefresh bool
	// CopySlack plans copies one right after the other.
	CopySlack bool
	// GroupPlans plans for each engine alone.
	GroupPlans bool
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

	mu sync.Mutex
	// active holds the engines that are being evacuated.
	active map[fleet.Instance]bool
	// leaving holds the engines that are about to end, with the time of the notice. It is
	// that of one life: the next one stays.
	leaving map[fleet.Instance]time.Time
	// groups gather the engines whose notices come together.
	groups map[groupKey][]fleet.Endpoint
}

// New makes an evacuator.
func New(cfg Config) *Evacuator {
	return &Evacuator{cfg: cfg, active: map[fleet.Instance]bool{}, leaving: map[fleet.Instance]time.Time{}, groups: map[groupKey][]fleet.Endpoint{}}
}

// Leaving starts the evacuation of an engine, unless it is under way. It doesn't
// wait for it. Plans of different entries fit together only if their times count
// from the same moment, so noticed is when the first entry had the notice.
func (e *Evacuator) Leaving(ctx context.Context, source fleet.Endpoint, noticed time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if source.Type != fleet.Engine {
		return
	}
	e.forget()
	if _, known := e.leaving[source.Instance()]; !known {
		e.leaving[source.Instance()] = noticed
	}
	e.join(ctx, source)
}

// Begun tells that a generation has begun at an engine. One that was sent there
// before the engine was known to leave is moved now that it runs.
func (e *Evacuator) Begun(ctx context.Context, source fleet.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, leaving := e.leaving[source.Instance()]; leaving {
		e.join(ctx, source)
	}
}

// run looks at the engines until none of this entry's generations runs there: they
// were moved, or the engines have ended and their streams with them.
func (e *Evacuator) run(ctx context.Context, group []fleet.Endpoint) {
	begun := e.noticed(group)
	end := clock.Now().Add(leavingFor)
	for clock.Now().Before(end) {
		if !e.pass(ctx, group, begun) || !pause.For(ctx, passPause) {
			return
		}
		begun = clock.Now()
	}
}

// noticed returns when the first entry had the notice of a group. Times beyond
// maxNews are not believed: a plan from then is no use to anybody.
func (e *Evacuator) noticed(group []fleet.Endpoint) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	first := now
	for _, source := range group {
		if at := e.leaving[source.Instance()]; at.Before(first) && now.Sub(at) <= maxNews {
			first = at
		}
	}
	return first
}

// begun lists the generations of this entry that run at an engine. Those whose
// prompt is still being read can't be moved, and those of a life that is over are gone.
func (e *Evacuator) begun(source fleet.Endpoint) map[string]*relay.Session {
	out := map[string]*relay.Session{}
	if e.cfg.Over(source.Instance()) {
		return out
	}
	for _, s := range e.cfg.Forwarder.SessionsAt(source.Instance()) {
		if s.Begun() {
			out[s.RequestID()] = s
		}
	}
	return out
}

// pass moves what is there, by a plan whose times count from begun; it returns
// false if there was nothing, or if the context has ended.
func (e *Evacuator) pass(ctx context.Context, group []fleet.Endpoint, begun time.Time) bool {
	mine := map[string]*relay.Session{}
	for _, source := range group {
		maps.Copy(mine, e.begun(source))
	}
	if len(mine) == 0 {
		return false
	}
	if group = e.askable(group); len(group) == 0 {
		return true
	}
	in := e.input(ctx, group, mine)
	steps := evacuation.Plan(in)
	e.logPlan(in, steps)
	var moves sync.WaitGroup
	for _, source := range group {
		moves.Go(func() { e.follow(ctx, source, steps, mine, begun) })
	}
	moves.Wait()
	return ctx.Err() == nil
}

// askable leaves out the engines that want nothing at present: they can't be asked for
// copies. A later pass looks again.
func (e *Evacuator) askable(group []fleet.Endpoint) []fleet.Endpoint {
	return slices.DeleteFunc(slices.Clone(group), func(source fleet.Endpoint) bool { return e.cfg.PausedFor(source.Instance()) > 0 })
}

// follow takes the steps of one engine, one after the other.
func (e *Evacuator) follow(ctx context.Context, source fleet.Endpoint, steps []evacuation.Step, mine map[string]*relay.Session, begun time.Time) {
	for _, step := range steps {
		if step.Source != source.ID {
			continue
		}
		if !pause.For(ctx, clock.Until(begun.Add(step.Start))) {
			return
		}
		e.cfg.OnMove(e.move(ctx, mine[step.RequestID], source, step.Target))
	}
}
