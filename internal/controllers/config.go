package controllers

import (
	"context"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/platform"
	"github.com/bridgehoist/bridgehoist/internal/platformapi"
	"github.com/bridgehoist/bridgehoist/internal/published"
)

// Watchers is how many entries of a data centre watch the platform. The others
// hear from them and only look in at times, so that the reads grow with the
// data centres and not with the fleet.
const Watchers = 2

const watchJob = "watch"

// Config follows the published values.
type Config struct {
	Platform *platform.Client
	Store    *published.Store
	Beliefs  *peering.Beliefs
	// Wait is how long one watch waits.
	Wait time.Duration
	// LookIn is how often one of the entries of a data centre that aren't watchers
	// reads the platform.
	LookIn time.Duration
	// OnError is told of each failed read.
	OnError func(error)
}

// Source names the platform where values come from.
const Source = "platform"

// failurePause is the wait after a failed read.
const failurePause = time.Second

// Run implements Controller.
func (c *Config) Run(ctx context.Context) {
	lookedIn := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		watcher := c.Beliefs.Assigned(now, watchJob, Watchers)
		if !watcher && now.Sub(lookedIn) < c.lookIn(now) && c.Store.Ready() {
			Pause(ctx, failurePause)
			continue
		}
		lookedIn = now
		wait := time.Duration(0)
		if watcher {
			wait = c.Wait
		}
		if !c.Read(ctx, wait) {
			Pause(ctx, failurePause)
		}
	}
}

// lookIn stretches the interval with the size of the data centre, so that its
// entries together look in once in LookIn, however many they are.
func (c *Config) lookIn(now time.Time) time.Duration {
	others := c.Beliefs.LocalSize(now) - Watchers
	return c.LookIn * time.Duration(max(others, 1))
}

// Read asks the platform once; it returns false if that failed.
func (c *Config) Read(ctx context.Context, wait time.Duration) bool {
	values, err := c.Platform.Watch(ctx, c.Store.Seen(), wait)
	if err != nil {
		if ctx.Err() == nil {
			c.OnError(err)
		}
		return false
	}
	now := time.Now()
	for _, v := range inOrder(values) {
		c.Store.Offer(now, v, Source)
	}
	return true
}

// inOrder puts the fleet list first: what it says of peers matters to the rest.
func inOrder(values []platformapi.Value) []platformapi.Value {
	out := make([]platformapi.Value, 0, len(values))
	for _, v := range values {
		if v.Name == platformapi.Fleet {
			out = append([]platformapi.Value{v}, out...)
		} else {
			out = append(out, v)
		}
	}
	return out
}

// Pause waits, and returns false if the context ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
