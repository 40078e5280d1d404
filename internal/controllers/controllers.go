// Package controllers contains the periodic loops that keep an entry's state current: the
// exchange with peers, the watch of the published values and the polling of engine loads. Each
// runs until its context ends.
package controllers

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
)

// Controller is a background loop.
type Controller interface {
	// Run blocks until the context ends.
	Run(ctx context.Context)
}

// minRequestedRoundInterval is the delay after a requested round before the next one may start.
const minRequestedRoundInterval = 20 * time.Millisecond

// runPeriodically calls f at an interval with a jitter of ±10%, until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
	for {
		jitter := time.Duration((rand.Float64() - 0.5) * 0.2 * float64(interval))
		if !pause.For(ctx, interval+jitter) {
			return
		}
		f()
	}
}

// Exchange periodically renews the entry's own record and reconciles its state with peers.
type Exchange struct {
	ClusterState *peering.ClusterState
	Client       *peering.Client
	// Inherited lists the incarnations whose tickets this entry took over; nil if it took over
	// none.
	Inherited func() [][]byte
	Interval  time.Duration
	// SeedPeers are addresses to contact in addition to those of the fleet list: in the initial
	// sync, in a round in which no peer answers, and for as long as no member has that address;
	// see contactUnknownSeeds.
	SeedPeers []string
	// OnRound is called after each round with the number of peers that answered and the number
	// that were called.
	OnRound func(answered, attempted int)
	// RoundRequests signals that a round is requested; see RequestRound. It needs a buffer of
	// one.
	RoundRequests chan struct{}
}

// RequestRound starts a round as soon as possible, for changes that must reach peers quickly: a
// new table, or an endpoint that is leaving. It never blocks.
func (c *Exchange) RequestRound() {
	select {
	case c.RoundRequests <- struct{}{}:
	default:
	}
}

// Run implements Controller.
func (c *Exchange) Run(ctx context.Context) {
	go c.runRequestedRounds(ctx)
	go c.contactUnknownSeeds(ctx)
	runPeriodically(ctx, c.Interval, func() { c.round(ctx) })
}

func (c *Exchange) runRequestedRounds(ctx context.Context) {
	for {
		select {
		case <-c.RoundRequests:
			c.round(ctx)
			pause.For(ctx, minRequestedRoundInterval)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Exchange) round(ctx context.Context) {
	c.ClusterState.Heartbeat(clock.Now(), c.inherited())
	answered, attempted := c.Client.Round(ctx)
	c.OnRound(answered, attempted)
	if answered == 0 && len(c.SeedPeers) > 0 {
		c.Client.Reconcile(ctx, c.seeds())
	}
}

const (
	// initialSeedBackoff is the delay until unknown seeds are contacted again for the first time:
	// a process takes some 20 ms from its start until it listens. The backoff doubles up to
	// maxSeedBackoff, since a seed may never return: with 66 entries, such a seed gets seven calls a
	// second.
	initialSeedBackoff = 50 * time.Millisecond
	maxSeedBackoff     = 10 * time.Second
)

// contactUnknownSeeds repeatedly contacts the seeds that are not members. Otherwise entries that
// have discovered each other before a seed listened would never discover it, nor would a seed
// without seeds of its own discover them: three entries that started within 7 ms of each other
// formed two separate views for 1.8 s.
func (c *Exchange) contactUnknownSeeds(ctx context.Context) {
	for backoff := initialSeedBackoff; pause.For(ctx, backoff); backoff = min(2*backoff, maxSeedBackoff) {
		if unknown := c.unknownSeeds(); len(unknown) > 0 {
			c.Client.Reconcile(ctx, unknown)
		}
	}
}

// unknownSeeds returns the seeds that are not members.
func (c *Exchange) unknownSeeds() []membership.Contact {
	memberAddresses := map[string]bool{}
	c.ClusterState.WithView(func(v *membership.View) {
		for _, m := range v.Members(clock.Now()) {
			memberAddresses[m.Address] = true
		}
	})
	return slices.DeleteFunc(c.seeds(), func(s membership.Contact) bool { return memberAddresses[s.Address] })
}

func (c *Exchange) inherited() [][]byte {
	if c.Inherited == nil {
		return nil
	}
	return c.Inherited()
}

func (c *Exchange) seeds() []membership.Contact {
	var contacts []membership.Contact
	for _, address := range c.SeedPeers {
		contacts = append(contacts, membership.Contact{Address: address})
	}
	return contacts
}

// InitialSync reconciles once with the configured seeds, with every peer of the fleet list in the
// same data centre and with up to two in others, and returns when each has answered or failed. It
// runs before the entry becomes ready, because peers may have newer values than the platform
// replica that the entry reads.
func (c *Exchange) InitialSync(ctx context.Context, dataCenter string) {
	c.ClusterState.Heartbeat(clock.Now(), c.inherited())
	c.Client.Reconcile(ctx, c.seeds())
	var local, remote []membership.Contact
	c.ClusterState.WithView(func(v *membership.View) {
		for _, s := range v.Seeds() {
			if s.DataCenter == dataCenter {
				local = append(local, s)
			} else {
				remote = append(remote, s)
			}
		}
	})
	const maxRemoteSeeds = 2
	c.Client.Reconcile(ctx, append(local, remote[:min(len(remote), maxRemoteSeeds)]...))
}

// AnnounceLeft announces to all live members that the entry has left.
func (c *Exchange) AnnounceLeft(ctx context.Context) {
	c.ClusterState.SetNodeState(peerv1.NodeState_NODE_STATE_LEFT)
	c.ClusterState.Heartbeat(clock.Now(), nil)
	var peers []membership.Contact
	c.ClusterState.WithView(func(v *membership.View) {
		for _, m := range v.Members(clock.Now()) {
			if m.Status == membership.Alive {
				peers = append(peers, m.Contact)
			}
		}
	})
	c.Client.Reconcile(ctx, peers)
}

// PeriodicTasks runs tasks at an interval, such as dropping expired state.
type PeriodicTasks struct {
	Interval time.Duration
	Tasks    []func()
}

// Run implements Controller.
func (c *PeriodicTasks) Run(ctx context.Context) {
	runPeriodically(ctx, c.Interval, func() {
		for _, task := range c.Tasks {
			task()
		}
	})
}
