// Package crashwatch finds out whether an endpoint ended while requests ran in it.
//
// A broken connection alone doesn't say so: links are cut, connections are reset, answers
// are spoilt. So the first run that breaks off at a life of an endpoint opens a case, which
// all others that break off there join, and the watcher looks whether the process is there:
//
//	a run broke off
//	      |
//	      v            refuses connections, or the list shows it
//	  [open] ------------------------------------------------------> [ended]: told
//	      |  \--still there, or nothing is heard of it: looks again    each run,
//	      |                                                            late ones too
//	      +--keepFor--> dropped; nothing was shown
//
// A request whose caller leaves may crash its endpoint a moment later, which nobody sees who
// runs nothing else there. Such requests are remembered for leftFor: they join a case that
// opens in that time, and one is opened for them if the endpoint then refuses a connection
// that is made for another request.
//
// The list of endpoints lags. A run that was sent after its life was known to have ended ran
// in the next one, which isn't listed yet; when that breaks off, a case of its own is opened.
// What other entries have told of such ends is counted too (Config.EndsOf).
//
// An end that was announced is none that a request brought about: runs at endpoints that
// leave, or that are no longer listed, open no case.
package crashwatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

const (
	// settle is the time before the first look: a process that ends closes its connections
	// one after the other, and one that still looks open would count as a sign of life.
	settle = 30 * time.Millisecond
	// lookEvery is the time between two looks, which at most opens a connection each.
	// maxLooks bounds them for a life, since connections are priced: where a process is
	// there, one look shows it.
	lookEvery = 250 * time.Millisecond
	maxLooks  = 4
	// keepFor is for how long a case is kept: by then the next life of an endpoint that
	// started again at once has been listed (its record takes up to a heartbeat, some
	// seconds), and each caller has been told of its broken run.
	keepFor = 6 * time.Second
	// maxCases bounds the cases that are open at once, as each looks at an endpoint. More
	// lives than that break off together when a network fails, not by requests.
	maxCases = 64
	// maxRuns bounds the runs of a case, above the requests that one engine runs at once, and
	// maxLeft the requests remembered whose callers have left.
	maxRuns = 256
	maxLeft = 1024
	// leftFor is for how long a request may work on at an endpoint whose caller has left. It
	// is told to stop by its closed connection, and half a second is what it is given for
	// that.
	leftFor = 500 * time.Millisecond
)

// Run is one request that broke off.
type Run struct {
	RequestID string
	Identity  quarantine.Identity
	// Sent is when it was sent to the endpoint, and At when it broke off.
	Sent, At time.Time
}

// End is the end of a life of an endpoint.
type End struct {
	At fleet.Endpoint
	// Unlisted counts the lives since the listed one of the endpoint: they ended before the
	// list told of them.
	Unlisted int
}

// Facts tells what an end says of the requests under which it came.
func Facts(e End, under []Run) []quarantine.Fact {
	mark := quarantine.TerminationID(e.At.Instance(), e.Unlisted)
	out := make([]quarantine.Fact, 0, len(under))
	for _, run := range under {
		out = append(out, quarantine.Fact{Identity: run.Identity, EventID: mark, OccurredAt: run.At})
	}
	return out
}

// Config holds the parts that a Watcher asks.
type Config struct {
	// Look tells whether an endpoint's process is there.
	Look func(context.Context, fleet.Endpoint) upstream.Presence
	// Expected reports whether an endpoint's end is no surprise: it was known to leave, or
	// is no longer listed.
	Expected func(fleet.Endpoint) bool
	// Over reports whether the list shows that an endpoint has ended: its next life, or
	// another endpoint at its address.
	Over func(fleet.Endpoint) bool
	// EndsOf, if set, counts the ends that other entries have told of since a listed life, up
	// to a time.
	EndsOf func(listed fleet.Instance, until time.Time) int
	// OnEnded is told of the runs under which a life ended. It may be called more than
	// once for a life, with other runs.
	OnEnded func(e End, under []Run)
}

// Watcher keeps the cases. It is safe for concurrent use.
type Watcher struct {
	cfg Config

	mu    sync.Mutex
	cases map[fleet.Instance]*lifeCase
	// left are the runs whose callers have left, in the order of their times.
	left []leftRun
}

type leftRun struct {
	Run
	life fleet.Instance
}

// lifeCase holds the runs that broke off in one life of an endpoint.
type lifeCase struct {
	end  End
	runs []Run
	// ended is when the life was known to have ended; zero if it isn't.
	ended time.Time
}

// New makes a watcher without cases.
func New(cfg Config) *Watcher { return &Watcher{cfg: cfg, cases: map[fleet.Instance]*lifeCase{}} }

// Broken takes the news that a run broke off at an endpoint. It doesn't block.
func (w *Watcher) Broken(ctx context.Context, at fleet.Endpoint, run Run) {
	if w.cfg.Expected(at) {
		return
	}
	if c, ended := w.join(ctx, at, run); ended {
		w.cfg.OnEnded(c.end, []Run{run})
	}
}

// Left takes the news that the caller of a request left while it ran at an endpoint.
func (w *Watcher) Left(at fleet.Endpoint, run Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	recent := slices.IndexFunc(w.left, func(l leftRun) bool { return clock.Since(l.At) < leftFor })
	switch {
	case recent < 0:
		w.left = nil
	case len(w.left)-recent >= maxLeft:
		return
	default:
		w.left = w.left[recent:]
	}
	w.left = append(w.left, leftRun{run, at.Instance()})
}

// Refused takes the news that an endpoint refused a connection.
func (w *Watcher) Refused(ctx context.Context, at fleet.Endpoint) {
	if w.cfg.Expected(at) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cases[at.Instance()] == nil && len(w.leftAt(at.Instance())) > 0 {
		w.open(ctx, End{At: at})
	}
}

// leftAt lists the runs whose callers left an endpoint lately. The caller holds the lock.
func (w *Watcher) leftAt(life fleet.Instance) (out []Run) {
	for _, l := range w.left {
		if l.life == life && clock.Since(l.At) < leftFor {
			out = append(out, l.Run)
		}
	}
	return out
}

// open opens a case for an endpoint, unless there are too many. The caller holds the lock.
func (w *Watcher) open(ctx context.Context, e End) *lifeCase {
	if len(w.cases) >= maxCases {
		return nil
	}
	c := &lifeCase{end: e}
	if e.Unlisted == 0 {
		c.runs = w.leftAt(e.At.Instance())
	}
	w.cases[e.At.Instance()] = c
	go w.watch(ctx, c)
	return c
}

// join adds a run to its case, which it opens if there is none, and reports whether the
// life is known to have ended. The case is nil if there are too many.
func (w *Watcher) join(ctx context.Context, at fleet.Endpoint, run Run) (c *lifeCase, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c = w.cases[at.Instance()]
	switch {
	case c == nil:
		c = w.open(ctx, End{At: at, Unlisted: w.endsOf(at, run)})
	case !c.ended.IsZero() && run.Sent.After(c.ended):
		next := End{At: at, Unlisted: max(c.end.Unlisted+1, w.endsOf(at, run))}
		delete(w.cases, at.Instance())
		c = w.open(ctx, next)
	}
	if c == nil {
		return nil, false
	}
	if len(c.runs) < maxRuns {
		c.runs = append(c.runs, run)
	}
	return c, !c.ended.IsZero()
}

// endsOf counts the ends that others have told of before a run was sent.
func (w *Watcher) endsOf(at fleet.Endpoint, run Run) int {
	if w.cfg.EndsOf == nil {
		return 0
	}
	return w.cfg.EndsOf(at.Instance(), run.Sent)
}

// watch looks at the endpoint of a case until it is known to have ended, and drops the case
// when nothing more is to be learnt.
func (w *Watcher) watch(ctx context.Context, c *lifeCase) {
	opened := clock.Now()
	pause.For(ctx, settle)
	for looks := 1; ctx.Err() == nil && clock.Since(opened) < keepFor; looks++ {
		if !w.isEnded(c) && w.hasEnded(ctx, c.end.At, looks) {
			w.settle(c)
		}
		pause.For(ctx, lookEvery)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cases[c.end.At.Instance()] == c {
		delete(w.cases, c.end.At.Instance())
	}
}

// hasEnded reports whether the life is known to have ended unannounced, by the list or by a
// look. Once a look has shown an end, the news that it was announced may have come: it can
// be slower than the end.
func (w *Watcher) hasEnded(ctx context.Context, at fleet.Endpoint, looks int) bool {
	if w.cfg.Over(at) {
		return true
	}
	return looks <= maxLooks && w.cfg.Look(ctx, at) == upstream.Ended && !w.cfg.Expected(at)
}

func (w *Watcher) isEnded(c *lifeCase) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !c.ended.IsZero()
}

// settle tells of the runs of a life that has ended.
func (w *Watcher) settle(c *lifeCase) {
	w.mu.Lock()
	c.ended = clock.Now()
	under := append([]Run(nil), c.runs...)
	w.mu.Unlock()
	w.cfg.OnEnded(c.end, under)
}
