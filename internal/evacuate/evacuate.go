// Package evacuate moves this entry's running generations away from engines that are about to
// terminate. Package evacuation plans which generation goes where and when; this package
// fetches the engines' own lists of runs, makes the calls and switches the streams over.
//
//	[notice] --5 ms--> [group] --reports--> [plan] --moves--> [next pass]
//	                                          ^                  |  |
//	                                          +--runs remain-----+  +--none--> done
//
// groups.go groups the engines that leave together, input.go builds the input of package
// evacuation, reserve.go reserves the room that a plan uses, step.go chooses the targets of a step
// one after the other, and move.go moves one generation.
//
// All state is kept per instance of an engine: an engine that restarts under the same id has
// none of the generations, isn't leaving, and holds no copies.
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
	"github.com/bridgehoist/bridgehoist/internal/notices"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/pkg/evacuation"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

const (
	// maxNoticeAge is the maximum age of a notice whose time may be the start of a plan.
	maxNoticeAge = time.Second
	// passInterval is the wait before another pass over engines with generations that could
	// not be moved. A target may have room by then.
	passInterval = 150 * time.Millisecond
	// maxLeavingTime is how long an engine may run on after it is asked to terminate; some
	// take many seconds (PROTOCOL, service discovery).
	maxLeavingTime = 30 * time.Second
)

// Config holds the dependencies and settings of an Evacuator.
type Config struct {
	Forwarder  *relay.Forwarder
	Engines    engines.Client
	Dispatcher *dispatch.Dispatcher
	// Service returns the table's settings of a target.
	Service func(target string) (table.Service, bool)
	// Endpoint returns the listed endpoint with the given id.
	Endpoint func(id string) (fleet.Endpoint, bool)
	// InstanceEnded reports whether the endpoint is known to have restarted since.
	InstanceEnded func(fleet.Instance) bool
	// Admit reports whether the engine accepts one more generation from this entry now, and if
	// so counts it.
	Admit func(fleet.Instance) bool
	// PauseRemaining returns for how much longer the engine accepts nothing from this entry.
	PauseRemaining func(fleet.Instance) time.Duration
	Log            *log.Logger
	// Disabled disables features, to measure their effect.
	Disabled DisabledFeatures
	// OnMove is called with the result of each move, for metrics.
	OnMove func(result string)
	// OnRefused is called with the cause each time a target or a source refuses a first copy, for
	// metrics.
	OnRefused func(cause string)
	// Announce announces reservations at engines of a data centre to its entries; nil announces
	// nothing. InstanceHash identifies an engine in notices.
	Announce     func(dataCenter string, reservations []notices.Reservation) notices.SentReservations
	InstanceHash func(fleet.Instance) uint32
}

// DisabledFeatures selects the features to disable.
type DisabledFeatures struct {
	// Moves disables moves: generations stay at their engines.
	Moves bool
	// CopyRefresh disables refreshing: a generation stops after its first copy, even if the
	// link is busy.
	CopyRefresh bool
	// CopySlack disables the slack between copies: each is planned right after the previous
	// one.
	CopySlack bool
	// GroupPlans disables joint plans: each engine is planned for alone.
	GroupPlans bool
	// Reservations disables the reservation of the room that a plan uses.
	Reservations bool
	// Retargeting disables trying another target at once if one refuses.
	Retargeting bool
}

// Results of moves, for metrics. ResultEnded means that the generation ended before it could be
// moved, ResultReturned that it continues at the source since the target lacks memory for the
// last copy, and ResultTooLate that the source didn't confirm the stop.
const (
	ResultMoved    = "moved"
	ResultEnded    = "ended"
	ResultNoRoom   = "no_room"
	ResultFailed   = "failed"
	ResultReturned = "stayed"
	ResultTooLate  = "too_late"
)

// Evacuator moves generations. It is safe for concurrent use.
type Evacuator struct {
	cfg Config

	mu sync.Mutex
	// active holds the engines that are being evacuated.
	active map[fleet.Instance]bool
	// leaving holds the engines that are about to terminate, with the time of the notice. It
	// is keyed by instance, since the notice doesn't apply to the next instance.
	leaving map[fleet.Instance]time.Time
	// groups holds the groups that are still open to further leaving engines.
	groups map[groupKey][]fleet.Endpoint
	// refusals are the targets that refused a copy recently.
	refusals evacuation.Refusals
	// bookings are the reservations of this entry by request ID.
	bookings map[string]booking
	// movedAt holds when generations were moved, by the hash of their request IDs. Old ones are
	// removed at movedPrunedAt and movedRunTTL later.
	movedAt       map[uint32]time.Time
	movedPrunedAt time.Time
}

// New returns an Evacuator.
func New(cfg Config) *Evacuator {
	return &Evacuator{
		cfg: cfg, active: map[fleet.Instance]bool{}, leaving: map[fleet.Instance]time.Time{}, groups: map[groupKey][]fleet.Endpoint{},
		bookings: map[string]booking{}, movedAt: map[uint32]time.Time{},
	}
}

// EngineLeaving starts the evacuation of an engine in the background, unless it is in progress.
// noticedAt is when the first entry received the notice: the plans of different entries are
// consistent only if their times count from the same moment.
func (e *Evacuator) EngineLeaving(ctx context.Context, source fleet.Endpoint, noticedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if source.Type != fleet.Engine {
		return
	}
	e.expireLeaving()
	if _, known := e.leaving[source.Instance()]; !known {
		e.leaving[source.Instance()] = noticedAt
	}
	e.addToGroup(ctx, source)
}

// GenerationStarted records that a generation has started at an engine. If the request was sent
// there before the engine was known to be leaving, the generation is moved now that it runs.
func (e *Evacuator) GenerationStarted(ctx context.Context, source fleet.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, leaving := e.leaving[source.Instance()]; leaving {
		e.addToGroup(ctx, source)
	}
}

// runPasses repeats passes until none of this entry's generations runs at the engines: either
// they were moved, or the engines have terminated and the streams have ended.
func (e *Evacuator) runPasses(ctx context.Context, group []fleet.Endpoint) {
	planStart := e.earliestNotice(group)
	deadline := clock.Now().Add(maxLeavingTime)
	for clock.Now().Before(deadline) {
		if !e.pass(ctx, group, planStart) || !pause.For(ctx, passInterval) {
			return
		}
		planStart = clock.Now()
	}
}

// earliestNotice returns when the first entry received the notice of a group. Times older than
// maxNoticeAge are ignored, as a plan that starts then is outdated.
func (e *Evacuator) earliestNotice(group []fleet.Endpoint) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clock.Now()
	earliest := now
	for _, source := range group {
		if noticedAt := e.leaving[source.Instance()]; noticedAt.Before(earliest) && now.Sub(noticedAt) <= maxNoticeAge {
			earliest = noticedAt
		}
	}
	return earliest
}

// startedSessions returns this entry's generations that run at an engine, by request ID. Those
// still in prefill can't be moved, and those of a terminated instance are lost.
func (e *Evacuator) startedSessions(source fleet.Endpoint) map[string]*relay.Session {
	started := map[string]*relay.Session{}
	if e.cfg.InstanceEnded(source.Instance()) {
		return started
	}
	for _, s := range e.cfg.Forwarder.SessionsAt(source.Instance()) {
		if s.Begun() {
			started[s.RequestID()] = s
		}
	}
	return started
}

// pass moves the generations that run at a group of engines, by a plan whose times count from
// planStart. It returns false if there are none, or if the context has ended.
func (e *Evacuator) pass(ctx context.Context, group []fleet.Endpoint, planStart time.Time) bool {
	sessions := map[string]*relay.Session{}
	for _, source := range group {
		maps.Copy(sessions, e.startedSessions(source))
	}
	if len(sessions) == 0 {
		return false
	}
	if group = e.withoutPaused(group); len(group) == 0 {
		return true
	}
	in := e.planInput(ctx, group, sessions)
	steps := evacuation.Plan(in)
	e.logPlan(in, steps)
	e.reserveSteps(steps)
	var moves sync.WaitGroup
	for i, source := range group {
		var deadline time.Time
		if remaining := in.Sources[i].Remaining; remaining > 0 {
			deadline = clock.Now().Add(remaining)
		}
		moves.Go(func() { e.runSteps(ctx, source, steps, sessions, planStart, deadline) })
	}
	moves.Wait()
	return ctx.Err() == nil
}

// withoutPaused returns the engines that aren't paused. Paused ones can't be asked for copies;
// a later pass checks them again.
func (e *Evacuator) withoutPaused(group []fleet.Endpoint) []fleet.Endpoint {
	return slices.DeleteFunc(slices.Clone(group), func(source fleet.Endpoint) bool { return e.cfg.PauseRemaining(source.Instance()) > 0 })
}

// runSteps executes the steps of one engine one after the other. The engine terminates at the
// deadline, which is zero if it is unknown. If the engine can't be reached, the other steps are left
// to the next pass, so that a pass waits for one connection timeout at most.
func (e *Evacuator) runSteps(ctx context.Context, source fleet.Endpoint, steps []evacuation.Step, sessions map[string]*relay.Session, planStart, deadline time.Time) {
	reachable := true
	for _, step := range steps {
		if step.Source != source.ID {
			continue
		}
		if !reachable || !pause.For(ctx, clock.Until(planStart.Add(step.Start))) {
			e.releaseBooking(step.RequestID)
			continue
		}
		var result string
		result, reachable = e.runStep(ctx, sessions[step.RequestID], source, step, deadline)
		e.cfg.OnMove(result)
	}
}
