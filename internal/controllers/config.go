package controllers

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
)

// Watchers is how many entries of a data centre watch the platform. The others
// hear from them and only look in at times, so that the reads grow with the
// data centres and not with the fleet. While watchers have lost the platform, or
// aren't heard, up to as many others stand in for them.
const Watchers = 2

// Silence of a watcher, in rounds of the exchange, from which on others stand in for it: what it
// tells reaches its data centre in about as many rounds as its entries can be halved.
const silentRounds = 2

const watchJob = "watch"

// Reader reads the published values.
type Reader interface {
	// Read returns the values that changed since the last call, waiting for one
	// at most so long. With no wait, and at first, it returns all.
	Read(ctx context.Context, wait time.Duration) ([]published.Value, error)
}

// Config follows the published values.
type Config struct {
	Reader  Reader
	Store   *published.Store
	Beliefs *peering.ClusterState
	// Wait is how long one watch waits.
	Wait time.Duration
	// FirstWait, if above zero, is the longest that a watch of the first watcher of a data
	// centre waits. Watches may all be stalled while changes are made, and begin at the same
	// news, so that their waits alone don't keep all of them from ending too late: of five
	// watchers with waits of 1.5 to 4.5 s none ended within 2.8 s in 6 of 100 cases.
	FirstWait time.Duration
	// Spacing is the mean time between news and the next watch. Changes that come in
	// quick succession are then read by one call; those of the first moment are not
	// held up, as the watch is waiting by then, and another watcher's is waiting
	// most of the time.
	Spacing time.Duration
	// SecondSpacing is the same for a watcher that isn't the first of its data centre.
	// It stands in while the first one is stalled, and hears of most news from it.
	SecondSpacing time.Duration
	// Settle is the time after the start in which nothing is watched, as in Load.
	Settle time.Duration
	// LookIn is how often one of the entries of a data centre that aren't watchers
	// reads the platform.
	LookIn time.Duration
	// Round is the interval of the exchange with other entries; without it nobody stands in for
	// watchers.
	Round time.Duration
	// OnError is told of each failed read.
	OnError func(error)
	// OnState, if set, is told when the platform is lost and regained; away is for
	// how long it was.
	OnState func(up bool, away time.Duration, err error)

	lostAt time.Time
}

// Source names the platform where values come from.
const Source = "platform"

// failurePause is the mean wait after a failed read, which is jittered.
const failurePause = 500 * time.Millisecond

// idlePause is how often an entry that doesn't watch looks whether it should.
const idlePause = time.Second

// Run implements Controller.
func (c *Config) Run(ctx context.Context) {
	if !pause.For(ctx, c.Settle) {
		return
	}
	lookedIn := clock.Now()
	for ctx.Err() == nil {
		now := clock.Now()
		watcher, _ := c.role(now)
		if !watcher && now.Sub(lookedIn) < c.lookIn(now) && c.Store.Ready() {
			pause.For(ctx, idlePause)
			continue
		}
		lookedIn = now
		// While the platform is lost it is asked for all it has, which it answers at
		// once: a watch that hangs would find its return late.
		wait := time.Duration(0)
		if watcher && c.lostAt.IsZero() {
			wait = c.wait(now)
		}
		news, err := c.Read(ctx, wait)
		switch {
		case err != nil && wait > 0:
			// A watch that hears nothing says nothing of what it missed. What the store
			// holds is asked for at once; if it is lost, that fails as well.
		case err != nil:
			pause.For(ctx, jittered(failurePause))
		case news:
			pause.For(ctx, jittered(c.spacing(now)))
		}
	}
}

// role tells whether the entry watches, and whether it is the first of its data centre that does.
func (c *Config) role(now time.Time) (watcher, first bool) {
	rounds := silentRounds + bits.Len(uint(c.Beliefs.LocalSize(now)-1))
	above, reading := c.Beliefs.HigherRankedWatchers(now, watchJob, time.Duration(rounds)*c.Round)
	if c.Round == 0 {
		return above < Watchers, above == 0
	}
	standsIn := above < 2*Watchers && reading < Watchers
	return above < Watchers || standsIn, reading == 0
}

// wait is how long the next watch waits. The jitter keeps the watches of all entries from
// ending together: one that has stalled without being cut is then covered by another's.
func (c *Config) wait(now time.Time) time.Duration {
	usual := jittered(c.Wait)
	if _, first := c.role(now); c.FirstWait == 0 || !first {
		return usual
	}
	return min(usual, time.Duration((1+rand.Float64())/2*float64(c.FirstWait)))
}

// spacing is the mean time until the next watch.
func (c *Config) spacing(now time.Time) time.Duration {
	if _, first := c.role(now); first {
		return c.Spacing
	}
	return c.SecondSpacing
}

// jittered spreads a time evenly from half of it to one and a half.
func jittered(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

// lookIn stretches the interval with the size of the data centre, so that its
// entries together look in once in LookIn, however many they are.
func (c *Config) lookIn(now time.Time) time.Duration {
	others := c.Beliefs.LocalSize(now) - Watchers
	return c.LookIn * time.Duration(max(others, 1))
}

// Read asks the platform once and reports whether there was news. A failure has been
// told to OnError and OnState.
func (c *Config) Read(ctx context.Context, wait time.Duration) (news bool, err error) {
	return c.ReadBy(ctx, func(ctx context.Context) ([]published.Value, error) { return c.Reader.Read(ctx, wait) })
}

// ReadBy is Read by another way of asking the platform.
func (c *Config) ReadBy(ctx context.Context, read func(context.Context) ([]published.Value, error)) (news bool, err error) {
	values, err := read(ctx)
	if err != nil {
		if ctx.Err() == nil {
			c.OnError(err)
			c.lost(err)
		}
		return false, err
	}
	c.regained()
	now := clock.Now()
	for _, v := range inOrder(values) {
		c.Store.OfferRead(now, v, Source)
	}
	c.Store.Settle(now)
	return len(values) > 0, nil
}

func (c *Config) lost(err error) {
	if !c.lostAt.IsZero() {
		return
	}
	c.lostAt = clock.Now()
	if c.OnState != nil {
		c.OnState(false, 0, err)
	}
}

func (c *Config) regained() {
	if c.lostAt.IsZero() {
		return
	}
	away := clock.Since(c.lostAt)
	c.lostAt = time.Time{}
	if c.OnState != nil {
		c.OnState(true, away, nil)
	}
}

// inOrder puts the fleet list first: what it says of peers matters to the rest.
func inOrder(values []published.Value) []published.Value {
	out := make([]published.Value, 0, len(values))
	for _, v := range values {
		if v.Name == published.Fleet {
			out = append([]published.Value{v}, out...)
		} else {
			out = append(out, v)
		}
	}
	return out
}
