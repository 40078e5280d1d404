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
	maxConcurrentPolls = 8
	pollTimeout        = time.Second
)

// LoadFetcher fetches the load report of an engine and whether the engine is leaving, that is,
// accepts no new work.
type LoadFetcher func(ctx context.Context, e fleet.Endpoint) (r scheduler.Report, leaving bool, err error)

// LoadPoller polls the load of the engines that this entry is a home entry of. Other entries
// receive the reports in the exchange.
type LoadPoller struct {
	ClusterState *peering.ClusterState
	FetchLoad    LoadFetcher
	Interval     time.Duration
	// StartDelay is the time after the start in which no engine is polled. The view of an entry
	// that has just started contains few peers, so that it counts as a home entry of every engine;
	// after a failure of many entries, all of them would poll every engine.
	StartDelay time.Duration
	// Saturated, if set, reports whether requests wait or are refused because engines are full.
	// Engines are then polled every SaturatedInterval.
	Saturated         func() bool
	SaturatedInterval time.Duration
}

// Run implements Controller.
func (c *LoadPoller) Run(ctx context.Context) {
	if !pause.For(ctx, c.StartDelay) {
		return
	}
	if c.Saturated == nil {
		runPeriodically(ctx, c.Interval, func() { c.poll(ctx) })
		return
	}
	lastPoll := clock.Now()
	runPeriodically(ctx, c.SaturatedInterval, func() {
		if clock.Since(lastPoll) < c.Interval && !c.Saturated() {
			return
		}
		lastPoll = clock.Now()
		c.poll(ctx)
	})
}

func (c *LoadPoller) poll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, e := range c.ClusterState.EndpointsToPoll(clock.Now()) {
		g.Go(func() error {
			c.PollEndpoint(ctx, e)
			return nil
		})
	}
	_ = g.Wait()
}

// PollEndpoint polls the load of one endpoint.
func (c *LoadPoller) PollEndpoint(ctx context.Context, e fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	// A failed poll needs no handling: the age of the last report shows it.
	if report, leaving, err := c.FetchLoad(ctx, e); err == nil {
		c.ClusterState.RecordPoll(report, leaving)
	}
}

// NativeLoadFetcher returns a LoadFetcher for engines with the system's own interface.
func NativeLoadFetcher(client *engineclient.Client) LoadFetcher {
	return func(ctx context.Context, e fleet.Endpoint) (scheduler.Report, bool, error) {
		requestedAt := clock.Now()
		load, err := client.Load(ctx, e)
		if err != nil {
			return scheduler.Report{}, false, err
		}
		return scheduler.Report{
			Endpoint:       e.ID,
			Incarnation:    load.Incarnation,
			ReportedAt:     requestedAt,
			UsedTokens:     load.UsedTokens,
			CapacityTokens: load.CapacityTokens,
			Running:        load.Running,
			Waiting:        load.Waiting,
			Preemptions:    load.Preemptions,
		}, load.Draining, nil
	}
}
