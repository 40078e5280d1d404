// Package contain keeps what an entry knows of requests that crash what runs them, and
// refuses those that are contained. Package quarantine decides; this one serialises it, has
// the clock, and tells of changes.
package contain

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/crashwatch"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// Change tells that what is held against a request has changed.
type Change struct {
	Identity quarantine.Identity
	Before   quarantine.Status
	Now      quarantine.Status
	Ends     int
}

// Guard holds a quarantine.Set for an entry. It is safe for concurrent use.
type Guard struct {
	// idle says that the set is empty, so that requests needn't be hashed before they are sent.
	idle atomic.Bool

	mu       sync.Mutex
	set      *quarantine.Set
	onChange func([]Change)
	onNews   func()
	onApart  func()
}

// New makes a guard that knows nothing.
func New() *Guard {
	g := &Guard{set: quarantine.New(), onChange: func([]Change) {}, onNews: func() {}, onApart: func() {}}
	g.idle.Store(true)
	return g
}

// OnApart sets what is called when the requests that are to be kept apart may have changed.
// It is called before the guard is used.
func (g *Guard) OnApart(changed func()) { g.onApart = changed }

// OnNews sets what is called when facts were news, with the changes that followed, and what
// is called for other entries to be told soon. It is called before the guard is used.
func (g *Guard) OnNews(changed func([]Change), tell func()) { g.onChange, g.onNews = changed, tell }

// Off makes the guard hold nothing against any request, for measurements. It is called
// before the guard is used.
func (g *Guard) Off() { g.set = nil }

func (g *Guard) off() bool { return g.set == nil }

// Add records facts, of this entry or of another one.
func (g *Guard) Add(facts ...quarantine.Fact) {
	if g.off() || len(facts) == 0 {
		return
	}
	changes, news := g.add(facts)
	if len(changes) > 0 {
		g.onChange(changes)
	}
	if news {
		g.onApart()
		g.onNews()
	}
}

func (g *Guard) add(facts []quarantine.Fact) (changes []Change, news bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	// News of one request may show that another is innocent.
	before := g.set.Statuses(now)
	for _, f := range facts {
		before[f.Identity], _ = g.set.Status(now, f.Identity)
	}
	news = len(g.set.Add(now, facts...)) > 0
	g.idle.Store(g.set.Empty())
	for id, was := range before {
		if is, _ := g.set.Status(now, id); is != was {
			changes = append(changes, Change{id, was, is, g.set.Terminations(id)})
		}
	}
	return changes, news
}

// Ended records that a life of an endpoint ended under requests.
func (g *Guard) Ended(e crashwatch.End, under []crashwatch.Run) {
	if g.off() {
		return
	}
	g.Add(crashwatch.Facts(e, g.evidence(under))...)
}

// evidence leaves out the runs that an end says nothing of.
func (g *Guard) evidence(under []crashwatch.Run) (out []crashwatch.Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, run := range under {
		if g.set.IsEvidence(clock.Now(), run.Identity, run.Sent) {
			out = append(out, run)
		}
	}
	return out
}

// EndsOf counts the ends of an endpoint since a listed life that are known; see
// quarantine.Set.
func (g *Guard) EndsOf(listed fleet.Instance, until time.Time) int {
	if g.off() || g.idle.Load() {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.CountTerminations(listed, until)
}

// KeptApart lists the requests that are to be kept apart.
func (g *Guard) KeptApart() []quarantine.IsolatedRequest {
	if g.off() || g.idle.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.IsolatedRequests(clock.Now())
}

// Whole records that a run of a request came whole.
func (g *Guard) Whole(identity func() quarantine.Identity) {
	if g.off() {
		return
	}
	id := identity()
	g.mu.Lock()
	f, clears := g.set.RecordCompletion(clock.Now(), id, rand.Uint64())
	g.mu.Unlock()
	if clears {
		g.Add(f)
	}
}

// Check refuses a request that is contained; nil says that it may be sent.
func (g *Guard) Check(identity func() quarantine.Identity) *outcome.Error {
	if g.off() || g.idle.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return refused(g.set.Check(clock.Now(), identity()))
}

// Begin is Check for a request that is sent at once if it may be. The function that it
// returns says that the try has ended.
func (g *Guard) Begin(identity func() quarantine.Identity) (finish func(), err *outcome.Error) {
	if g.off() || g.idle.Load() {
		return func() {}, nil
	}
	id := identity()
	g.mu.Lock()
	defer g.mu.Unlock()
	alone, refusal := g.set.Begin(clock.Now(), id)
	if refusal != nil || !alone {
		return func() {}, refused(refusal)
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.set.Finish(id)
	}, nil
}

// refused words a refusal: nothing of this try has run, which says nothing of earlier ones.
func refused(r *quarantine.Refusal) *outcome.Error {
	if r == nil {
		return nil
	}
	why := "the request is on trial, one try at a time"
	if r.Status == quarantine.Contained {
		why = "the request is in quarantine"
	}
	return outcome.NotRunf(outcome.CodeQuarantined, "%s: %d endpoints ended while they ran it; this try has not run", why, r.Terminations).WithRetryAfter(r.RetryAfter)
}

// SetPlace tells the place of this entry among all; see quarantine.Set.
func (g *Guard) SetPlace(rank, entries int) {
	if g.off() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.set.SetRank(rank, entries)
}

// Forget drops what is too old.
func (g *Guard) Forget(now time.Time) {
	if g.off() || g.idle.Load() {
		return
	}
	g.mu.Lock()
	g.set.Expire(now)
	g.idle.Store(g.set.Empty())
	g.mu.Unlock()
	// By now others may avoid fewer endpoints.
	g.onApart()
}

// Keys names the facts known.
func (g *Guard) Keys() []quarantine.Key {
	if g.off() || g.idle.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Keys()
}

// Compare returns the facts that a peer with these keys lacks, and the keys of those that
// only it has.
func (g *Guard) Compare(theirs []quarantine.Key) (missing []quarantine.Fact, wanted []quarantine.Key) {
	if g.off() || g.idle.Load() && len(theirs) == 0 {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Compare(theirs)
}

// Facts returns those of the keys that are known.
func (g *Guard) Facts(keys []quarantine.Key) []quarantine.Fact {
	if g.off() || len(keys) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Facts(keys)
}

// Counts tells how many requests are held to each standing but Unknown.
func (g *Guard) Counts() map[quarantine.Status]int {
	if g.off() || g.idle.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Counts(clock.Now())
}
