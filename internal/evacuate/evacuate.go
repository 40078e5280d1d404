// Package evacuate moves the running generations of this entry away from engines
// that are about to end. What goes where and when is decided by package
// evacuation; this package reads the engine's own list of runs, makes the calls
// and tells the streams.
package evacuate

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

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
	// gatherFor is how long notices are waited for that come together: those of one
	// change of the store come within a millisecond.
	gatherFor = 5 * time.Millisecond
	// maxNews is the highest age at which a notice is news.
	maxNews = time.Second
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
	// groups gather the engines whose notices come together.
	groups map[groupKey][]fleet.Endpoint
}

// groupKey tells groups apart. Engines of different data centres move their
// generations to different ones as a rule, and each engine more in a group costs
// its entries a priced read.
type groupKey struct{ target, dataCenter string }

// New makes an evacuator.
func New(cfg Config) *Evacuator {
	return &Evacuator{cfg: cfg, active: map[string]bool{}, leaving: map[string]time.Time{}, groups: map[groupKey][]fleet.Endpoint{}}
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
	if _, known := e.leaving[source.ID]; !known {
		e.leaving[source.ID] = noticed
	}
	e.join(ctx, source)
}

// Begun tells that a generation has begun at an engine. One that was sent there
// before the engine was known to leave is moved now that it runs.
func (e *Evacuator) Begun(ctx context.Context, source fleet.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, leaving := e.leaving[source.ID]; leaving {
		e.join(ctx, source)
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

// join puts an engine into the group that is being gathered, unless it is being
// evacuated. The caller holds the lock.
func (e *Evacuator) join(ctx context.Context, source fleet.Endpoint) {
	if e.active[source.ID] || !e.movable(source) {
		return
	}
	e.active[source.ID] = true
	key := groupKey{source.Targets[0], source.DataCenter}
	e.groups[key] = append(e.groups[key], source)
	if len(e.groups[key]) == 1 {
		time.AfterFunc(gatherFor, func() { e.evacuate(ctx, key) })
	}
}

func (e *Evacuator) movable(source fleet.Endpoint) bool {
	service, ok := e.cfg.Service(source.Targets[0])
	return ok && service.Engine != nil && service.Engine.CanMove
}

// evacuate takes a gathered group and moves what runs there.
func (e *Evacuator) evacuate(ctx context.Context, key groupKey) {
	e.mu.Lock()
	group := e.groups[key]
	delete(e.groups, key)
	e.mu.Unlock()
	e.run(ctx, group)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, source := range group {
		delete(e.active, source.ID)
		if len(e.begun(source)) > 0 && ctx.Err() == nil && time.Since(e.leaving[source.ID]) < leavingFor {
			// One began after the last pass had looked.
			e.join(ctx, source)
		}
	}
}

// run looks at the engines until none of this entry's generations runs there: they
// were moved, or the engines have ended and their streams with them.
func (e *Evacuator) run(ctx context.Context, group []fleet.Endpoint) {
	begun := e.noticed(group)
	end := time.Now().Add(leavingFor)
	for time.Now().Before(end) {
		if !e.pass(ctx, group, begun) || !pause.For(ctx, passPause) {
			return
		}
		begun = time.Now()
	}
}

// noticed returns when the first entry had the notice of a group. Times beyond
// maxNews are not believed: a plan from then is no use to anybody.
func (e *Evacuator) noticed(group []fleet.Endpoint) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	first := now
	for _, source := range group {
		if at := e.leaving[source.ID]; at.Before(first) && now.Sub(at) <= maxNews {
			first = at
		}
	}
	return first
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

// follow takes the steps of one engine, one after the other.
func (e *Evacuator) follow(ctx context.Context, source fleet.Endpoint, steps []evacuation.Step, mine map[string]*relay.Session, begun time.Time) {
	for _, step := range steps {
		if step.Source != source.ID {
			continue
		}
		if !pause.For(ctx, time.Until(begun.Add(step.Start))) {
			return
		}
		e.cfg.OnMove(e.move(ctx, mine[step.RequestID], source, step.Target))
	}
}

// input asks the engines for their runs, all at the same time.
func (e *Evacuator) input(ctx context.Context, group []fleet.Endpoint, mine map[string]*relay.Session) evacuation.Input {
	in := evacuation.Input{Sources: make([]evacuation.Source, len(group)), Targets: e.targets(group)}
	var reports sync.WaitGroup
	for i, source := range group {
		service, ok := e.cfg.Service(source.Targets[0])
		if !ok || service.Engine == nil {
			continue
		}
		in.Link = link(service.Engine)
		reports.Go(func() { in.Sources[i] = e.source(ctx, source, service.Engine, mine) })
	}
	reports.Wait()
	return in
}

// source describes a leaving engine.
func (e *Evacuator) source(ctx context.Context, at fleet.Endpoint, engine *table.Engine, mine map[string]*relay.Session) evacuation.Source {
	report, err := e.report(ctx, at)
	if err != nil {
		e.cfg.Log.Warn("no list of runs, the plan is made of the own ones", "endpoint", at.ID, "error", err)
	}
	return evacuation.Source{
		ID:         at.ID,
		DataCenter: at.DataCenter,
		Runs:       runs(report, mine, at.ID, engine.TokensPerEvent),
		Left:       left(report),
	}
}

// logPlan logs what is known of each leaving engine and how much of it is moved.
func (e *Evacuator) logPlan(in evacuation.Input, steps []evacuation.Step) {
	for _, source := range in.Sources {
		mine, planned := 0, 0
		for _, r := range source.Runs {
			if r.Mine {
				mine++
			}
		}
		for _, s := range steps {
			if s.Source == source.ID {
				planned++
			}
		}
		e.cfg.Log.Info("evacuation", "endpoint", source.ID, "mine", mine, "runs", len(source.Runs),
			"targets", len(in.Targets), "steps", planned, "left_ms", source.Left.Milliseconds())
	}
}

func (e *Evacuator) report(ctx context.Context, source fleet.Endpoint) (engines.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return e.cfg.Engines.Report(ctx, source)
}

// runs joins an engine's list with the streams that it doesn't show yet.
func runs(report engines.Report, mine map[string]*relay.Session, at string, perEvent int) []evacuation.Run {
	var out []evacuation.Run
	listed := map[string]bool{}
	for _, r := range report.Runs {
		listed[r.RequestID] = true
		made := min(r.Events*perEvent, r.Tokens)
		out = append(out, evacuation.Run{RequestID: r.RequestID, Tokens: r.Tokens, Made: made, Mine: mine[r.RequestID] != nil})
	}
	for id, s := range mine {
		if !listed[id] && s.Endpoint().ID == at {
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

// targets lists the engines that may take generations of a group.
func (e *Evacuator) targets(group []fleet.Endpoint) []evacuation.Target {
	var out []evacuation.Target
	e.cfg.Dispatcher.View(func(now time.Time, p scheduler.Policy) {
		s, ok := p.(*scheduler.Scheduler)
		if !ok {
			return
		}
		for _, st := range s.Status(now) {
			at, known := e.cfg.Endpoint(st.ID)
			if !known || st.Leaving || st.Breaker != retry.Closed || at.Targets[0] != group[0].Targets[0] || contains(group, st.ID) {
				continue
			}
			out = append(out, evacuation.Target{
				ID:         st.ID,
				DataCenter: at.DataCenter,
				FreeTokens: int(usableShare*float64(st.Capacity)) - int(st.Projected[growth]) - st.Unexplained,
			})
		}
	})
	return out
}

func contains(group []fleet.Endpoint, id string) bool {
	return slices.ContainsFunc(group, func(e fleet.Endpoint) bool { return e.ID == id })
}
