package controllers

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bridgehoist/bridgehoist/internal/engineclient"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

const (
	maxPollsAtOnce = 8
	pollTimeout    = time.Second
)

// Load reads the load of the engines that this entry is a home entry of; the
// others hear of it in the exchange.
type Load struct {
	Beliefs  *peering.Beliefs
	Client   *engineclient.Client
	Interval time.Duration
}

// Run implements Controller.
func (c *Load) Run(ctx context.Context) {
	every(ctx, c.Interval, func() { c.poll(ctx) })
}

func (c *Load) poll(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxPollsAtOnce)
	for _, e := range c.Beliefs.ToPoll(time.Now()) {
		g.Go(func() error {
			c.read(ctx, e)
			return nil
		})
	}
	_ = g.Wait()
}

func (c *Load) read(ctx context.Context, e fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := time.Now()
	load, err := c.Client.Load(ctx, e)
	if err != nil {
		return
	}
	c.Beliefs.Polled(scheduler.Report{
		Endpoint:       e.ID,
		Incarnation:    load.Incarnation,
		At:             asked,
		UsedTokens:     load.UsedTokens,
		CapacityTokens: load.CapacityTokens,
		Running:        load.Running,
		Waiting:        load.Waiting,
		Preemptions:    load.Preemptions,
	}, load.Draining)
}
