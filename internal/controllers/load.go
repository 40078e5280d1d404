package controllers

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/engineclient"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

const (
	maxPollsAtOnce = 8
	pollTimeout    = time.Second
)

// LoadReader reads the load of an engine, and whether it takes no new work.
type LoadReader func(ctx context.Context, e fleet.Endpoint) (r scheduler.Report, leaving bool, err error)

// Load reads the load of the engines that this entry is a home entry of; the
// others hear of it in the exchange.
type Load struct {
	Beliefs  *peering.ClusterState
	Read     LoadReader
	Interval time.Duration
	// Settle is the time after the start in which nothing is read. An entry that has
	// just started knows few others yet, and takes itself for a home entry of
	// everything; after a failure of many, all of them would read everything.
	Settle time.Duration
	// Pressed, if set, reports whether the engines are so full that requests wait or are
	// refused. They are then read every PressedInterval.
	Pressed         func() bool
	PressedInterval time.Duration
}

// Run implements Controller.
func (c *Load) Run(ctx context.Context) {
	if !pause.For(ctx, c.Settle) {
		return
	}
	if c.Pressed == nil {
		every(ctx, c.Interval, func() { c.poll(ctx) })
		return
	}
	read := clock.Now()
	every(ctx, c.PressedInterval, func() {
		if clock.Since(read) < c.Interval && !c.Pressed() {
			return
		}
		read = clock.Now()
		c.poll(ctx)
	})
}

func (c *Load) poll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxPollsAtOnce)
	for _, e := range c.Beliefs.EndpointsToPoll(clock.Now()) {
		g.Go(func() error {
			c.ReadOne(ctx, e)
			return nil
		})
	}
	_ = g.Wait()
}

// ReadOne reads the load of one engine, now.
func (c *Load) ReadOne(ctx context.Context, e fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	// A report that can't be had is missed by its age.
	if report, leaving, err := c.Read(ctx, e); err == nil {
		c.Beliefs.RecordPoll(report, leaving)
	}
}

// NativeLoad reads the load of engines that speak the system's own interface.
func NativeLoad(client *engineclient.Client) LoadReader {
	return func(ctx context.Context, e fleet.Endpoint) (scheduler.Report, bool, error) {
		asked := clock.Now()
		load, err := client.Load(ctx, e)
		if err != nil {
			return scheduler.Report{}, false, err
		}
		return scheduler.Report{
			Endpoint:       e.ID,
			Incarnation:    load.Incarnation,
			At:             asked,
			UsedTokens:     load.UsedTokens,
			CapacityTokens: load.CapacityTokens,
			Running:        load.Running,
			Waiting:        load.Waiting,
			Preemptions:    load.Preemptions,
		}, load.Draining, nil
	}
}
