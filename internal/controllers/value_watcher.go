package controllers

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/readership"
)

// WatchersPerDataCenter is how many entries of a data centre watch the platform. The others
// receive the values from them and read the platform only rarely, so that the number of reads
// grows with the data centres and not with the entries. While watchers cannot reach the platform,
// or their records are stale, up to as many other entries replace them.
const WatchersPerDataCenter = 2

// staleAfterRounds is the age, in rounds of the exchange, from which a watcher's record is stale
// and other entries replace the watcher. To it is added the number of rounds that an update takes
// to reach the whole data centre, which is the binary logarithm of the number of its entries.
const staleAfterRounds = 2

// watchJob is the key by which the entries of a data centre are ranked as watchers.
const watchJob = "watch"

// ValueReader reads the published values from the platform.
type ValueReader interface {
	// Read returns the values that changed since the last call, waiting up to the given time for
	// a change. The first call, and a call with a wait of zero, returns all values.
	Read(ctx context.Context, wait time.Duration) ([]published.Value, error)
}

// ValueWatcher keeps the published values in a Store up to date: it watches the platform if the
// entry is one of the watchers of its data centre, and otherwise reads it at long intervals.
type ValueWatcher struct {
	Reader       ValueReader
	Store        *published.Store
	ClusterState *peering.ClusterState
	// WatchWait is the mean wait of one watch.
	WatchWait time.Duration
	// MaxFirstWatcherWait, if above zero, bounds the wait of each watch by the first watcher of a
	// data centre. All watches may be stalled while changes are made, and they start at the same
	// change, so the jitter of their waits alone doesn't ensure that one of them ends in time: of
	// five watchers with waits of 1.5 to 4.5 s, none ended within 2.8 s in 6 of 100 cases.
	MaxFirstWatcherWait time.Duration
	// WatchSpacing is the mean delay between a change and the next watch, so that changes in
	// quick succession are read by one call. The first of them isn't delayed, as the watch is
	// waiting then, and most of the time so is that of another watcher.
	WatchSpacing time.Duration
	// SecondaryWatchSpacing is the same delay for watchers other than the first of their data
	// centre. They cover for the first one while it is stalled, and otherwise receive most
	// changes from it.
	SecondaryWatchSpacing time.Duration
	// StartDelay is the time after the start in which the platform isn't read, for the same
	// reason as in LoadPoller.
	StartDelay time.Duration
	// NonWatcherReadInterval is how often one of the non-watchers of a data centre reads the
	// platform.
	NonWatcherReadInterval time.Duration
	// ExchangeInterval is the interval of the exchange with peers. If it is zero, no entry
	// replaces a failed watcher.
	ExchangeInterval time.Duration
	// OnError is called for each failed read.
	OnError func(error)
	// OnStoreState, if set, is called when reads of the platform begin to fail, with the error,
	// and when one succeeds again, with the downtime.
	OnStoreState func(reachable bool, downtime time.Duration, err error)

	// Readers, if set, decides which entries watch instead of the records of peers, and Announce is called
	// every AnnounceInterval while this entry does, and at once when its state changes.
	Readers          *readership.Set
	Announce         func(readership.State)
	AnnounceInterval time.Duration

	// lostAt is when reads of the platform began to fail; zero if the last one succeeded.
	lostAt time.Time
	// watching says that the entry has watched the platform since its last decision to.
	watching bool
	// announced is the state that was announced last, and answeredUntil until when a watcher counts as one
	// that the platform answers; zero before its first answer.
	announceMu    sync.Mutex
	announced     readership.State
	answeredUntil time.Time
	retired       bool
}

// PlatformSource is the source reported for values read from the platform.
const PlatformSource = "platform"

// failureDelay is the mean delay after a failed read, before jitter.
const failureDelay = 500 * time.Millisecond

// roleCheckInterval is how often a non-watcher checks whether it should watch or read the
// platform.
const roleCheckInterval = time.Second

// Run implements Controller.
func (c *ValueWatcher) Run(ctx context.Context) {
	if !pause.For(ctx, c.StartDelay) {
		return
	}
	if c.Readers != nil {
		go c.announceReading(ctx)
	}
	lastRead := clock.Now()
	for ctx.Err() == nil {
		now := clock.Now()
		role := c.role(now)
		c.setWatching(role.Reads)
		if !role.Reads && now.Sub(lastRead) < c.nonWatcherReadInterval(now) && c.Store.Ready() {
			c.awaitRoleCheck(ctx, role)
			continue
		}
		lastRead = now
		// While reads of the platform fail, they don't wait for a change, so that the platform
		// answers them at once: a watch that hangs would delay the detection of its recovery.
		wait := time.Duration(0)
		if role.Reads && c.lostAt.IsZero() {
			wait = c.watchWait(now)
		}
		c.extendAnswer(wait + answerSlack)
		changed, err := c.Read(ctx, wait)
		spacing := time.Duration(0)
		if err == nil && changed {
			spacing = jittered(c.watchSpacing(now))
		}
		if role.Reads {
			c.recordAnswer(err == nil, spacing+answerSlack)
		}
		switch {
		case err != nil && wait > 0:
			// It is unknown which changes a failed watch has missed. The next read requests all
			// values, as the platform now counts as unreachable, and follows without a delay; a delay
			// follows only if that read fails too.
		case err != nil:
			pause.For(ctx, jittered(failureDelay))
		case changed:
			pause.For(ctx, spacing)
		}
	}
}

// awaitRoleCheck waits until the role of a non-watcher may change.
func (c *ValueWatcher) awaitRoleCheck(ctx context.Context, role readership.Role) {
	if c.Readers == nil {
		pause.For(ctx, roleCheckInterval)
		return
	}
	ctx, cancel := clock.WithDeadline(ctx, clock.Now().Add(min(max(role.Recheck, minRoleCheckInterval), roleCheckInterval)))
	defer cancel()
	select {
	case <-c.Readers.Changed():
	case <-ctx.Done():
	}
}

// minRoleCheckInterval bounds how often the role is decided.
const minRoleCheckInterval = 5 * time.Millisecond

// role decides whether the entry watches the platform, and whether it is the first watcher of its
// data centre.
func (c *ValueWatcher) role(now time.Time) readership.Role {
	rounds := staleAfterRounds + bits.Len(uint(c.ClusterState.LocalSize(now)-1))
	higherRanked, higherActive := c.ClusterState.HigherRankedWatchers(now, watchJob, time.Duration(rounds)*c.ExchangeInterval)
	if c.Readers != nil {
		return c.Readers.Decide(now, c.watching, higherRanked)
	}
	if c.ExchangeInterval == 0 {
		return readership.Role{Reads: higherRanked < WatchersPerDataCenter, First: higherRanked == 0}
	}
	standby := higherRanked < 2*WatchersPerDataCenter && higherActive < WatchersPerDataCenter
	return readership.Role{Reads: higherRanked < WatchersPerDataCenter || standby, First: higherActive == 0}
}

// RanksAbove reports whether a VM ranks above another as a watcher.
func RanksAbove(vm, other string) bool {
	return membership.RendezvousScore(watchJob, vm) > membership.RendezvousScore(watchJob, other)
}

// watchWait returns the wait of the next watch. The jitter keeps the watches of different entries
// from ending together, so that one that stalls without a connection error is covered by another.
func (c *ValueWatcher) watchWait(now time.Time) time.Duration {
	wait := jittered(c.WatchWait)
	if c.MaxFirstWatcherWait == 0 || !c.role(now).First {
		return wait
	}
	return min(wait, time.Duration((1+rand.Float64())/2*float64(c.MaxFirstWatcherWait)))
}

// watchSpacing returns the mean delay until the next watch.
func (c *ValueWatcher) watchSpacing(now time.Time) time.Duration {
	if c.role(now).First {
		return c.WatchSpacing
	}
	return c.SecondaryWatchSpacing
}

// jittered returns a time drawn evenly from half the mean to one and a half times the mean.
func jittered(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

// nonWatcherReadInterval returns the interval between reads of this entry as a non-watcher. It
// grows with the size of the data centre, so that the non-watchers together read the platform
// once per NonWatcherReadInterval.
func (c *ValueWatcher) nonWatcherReadInterval(now time.Time) time.Duration {
	nonWatchers := c.ClusterState.LocalSize(now) - WatchersPerDataCenter
	return c.NonWatcherReadInterval * time.Duration(max(nonWatchers, 1))
}

// Read reads the platform once and reports whether any value changed. Unless the context
// has ended, an error is also passed to OnError and, if the read before succeeded, to OnStoreState.
func (c *ValueWatcher) Read(ctx context.Context, wait time.Duration) (changed bool, err error) {
	return c.ReadWith(ctx, func(ctx context.Context) ([]published.Value, error) { return c.Reader.Read(ctx, wait) })
}

// ReadWith is Read with another function for reading the platform.
func (c *ValueWatcher) ReadWith(ctx context.Context, read func(context.Context) ([]published.Value, error)) (changed bool, err error) {
	values, err := read(ctx)
	if err != nil {
		if ctx.Err() == nil {
			c.OnError(err)
			c.recordLoss(err)
		}
		return false, err
	}
	c.recordRecovery()
	now := clock.Now()
	for _, v := range fleetFirst(values) {
		c.Store.OfferFromStore(now, v, PlatformSource)
	}
	c.Store.Settle(now)
	return len(values) > 0, nil
}

func (c *ValueWatcher) recordLoss(err error) {
	if !c.lostAt.IsZero() {
		return
	}
	c.lostAt = clock.Now()
	if c.OnStoreState != nil {
		c.OnStoreState(false, 0, err)
	}
}

func (c *ValueWatcher) recordRecovery() {
	if c.lostAt.IsZero() {
		return
	}
	downtime := clock.Since(c.lostAt)
	c.lostAt = time.Time{}
	if c.OnStoreState != nil {
		c.OnStoreState(true, downtime, nil)
	}
}

// fleetFirst returns the values with the fleet list first, as its data on peers affects how the
// other values are handled.
func fleetFirst(values []published.Value) []published.Value {
	sorted := make([]published.Value, 0, len(values))
	for _, v := range values {
		if v.Name == published.Fleet {
			sorted = append([]published.Value{v}, sorted...)
		} else {
			sorted = append(sorted, v)
		}
	}
	return sorted
}
