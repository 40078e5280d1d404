// Package controllers holds the loops that keep an entry's state: each has one
// job and runs until its context ends.
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

// Controller is one loop.
type Controller interface {
	// Run works until the context ends.
	Run(ctx context.Context)
}

// minKick is the shortest time between rounds that news has triggered.
const minKick = 20 * time.Millisecond

// every calls f at an interval with a jitter of a tenth, until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	for {
		jitter := time.Duration((rand.Float64() - 0.5) * 0.2 * float64(interval))
		if !pause.For(ctx, interval+jitter) {
			return
		}
		f()
	}
}

// Exchange renews the entry's record and reconciles with its peers.
type Exchange struct {
	Beliefs *peering.ClusterState
	Client  *peering.Client
	// Inherited lists the incarnations whose tickets the entry took over; nil if
	// it gives none.
	Inherited func() [][]byte
	Interval  time.Duration
	// SeedPeers are asked at the start, besides those of the fleet list, whenever no peer
	// answers, and for as long as they are unknown; see findSeeds.
	SeedPeers []string
	// OnRound is told how many peers answered of how many.
	OnRound func(answered, asked int)
	// Kicked asks for a round at once; see Kick.
	Kicked chan struct{}
}

// Kick makes the next round happen soon, because there is news that shouldn't
// wait: a new table, or an endpoint that leaves. It never blocks.
func (c *Exchange) Kick() {
	select {
	case c.Kicked <- struct{}{}:
	default:
	}
}

// Run implements Controller.
func (c *Exchange) Run(ctx context.Context) {
	go c.runKicked(ctx)
	go c.findSeeds(ctx)
	every(ctx, c.Interval, func() { c.round(ctx) })
}

func (c *Exchange) runKicked(ctx context.Context) {
	for {
		select {
		case <-c.Kicked:
			c.round(ctx)
			pause.For(ctx, minKick)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Exchange) round(ctx context.Context) {
	c.Beliefs.Heartbeat(clock.Now(), c.inherited())
	answered, asked := c.Client.Round(ctx)
	c.OnRound(answered, asked)
	if answered == 0 && len(c.SeedPeers) > 0 {
		c.Client.Reconcile(ctx, c.seeds())
	}
}

const (
	// firstSeedPause is when unknown seeds are asked again for the first time: a process takes
	// some 20 ms from its start until it listens. It doubles up to maxSeedPause, since a seed
	// may be gone for good: with 66 entries one that is gets seven calls a second.
	firstSeedPause = 50 * time.Millisecond
	maxSeedPause   = 10 * time.Second
)

// findSeeds asks the seeds that are no members. Entries that started before a seed listened
// and know each other would go on without it, and it without them if it has no seeds itself:
// three entries that started within 7 ms were two views for 1.8 s.
func (c *Exchange) findSeeds(ctx context.Context) {
	for wait := firstSeedPause; pause.For(ctx, wait); wait = min(2*wait, maxSeedPause) {
		if unknown := c.unknownSeeds(); len(unknown) > 0 {
			c.Client.Reconcile(ctx, unknown)
		}
	}
}

// unknownSeeds lists the seeds that are no members.
func (c *Exchange) unknownSeeds() []membership.Contact {
	known := map[string]bool{}
	c.Beliefs.WithView(func(v *membership.View) {
		for _, m := range v.Members(clock.Now()) {
			known[m.Address] = true
		}
	})
	return slices.DeleteFunc(c.seeds(), func(s membership.Contact) bool { return known[s.Address] })
}

func (c *Exchange) inherited() [][]byte {
	if c.Inherited == nil {
		return nil
	}
	return c.Inherited()
}

func (c *Exchange) seeds() []membership.Contact {
	var out []membership.Contact
	for _, address := range c.SeedPeers {
		out = append(out, membership.Contact{Address: address})
	}
	return out
}

// Catchup reconciles once with every peer of the list that is near enough to
// matter, and returns when each has answered or failed. An entry isn't ready
// before: its peers may know newer values than the platform replica that it
// reads.
func (c *Exchange) Catchup(ctx context.Context, dataCenter string) {
	c.Beliefs.Heartbeat(clock.Now(), c.inherited())
	c.Client.Reconcile(ctx, c.seeds())
	var near, far []membership.Contact
	c.Beliefs.WithView(func(v *membership.View) {
		for _, s := range v.Seeds() {
			if s.DataCenter == dataCenter {
				near = append(near, s)
			} else {
				far = append(far, s)
			}
		}
	})
	const fewRemote = 2
	c.Client.Reconcile(ctx, append(near, far[:min(len(far), fewRemote)]...))
}

// Farewell tells all members that the entry has left.
func (c *Exchange) Farewell(ctx context.Context) {
	c.Beliefs.SetState(peerv1.NodeState_NODE_STATE_LEFT)
	c.Beliefs.Heartbeat(clock.Now(), nil)
	var peers []membership.Contact
	c.Beliefs.WithView(func(v *membership.View) {
		for _, m := range v.Members(clock.Now()) {
			if m.Status == membership.Alive {
				peers = append(peers, m.Contact)
			}
		}
	})
	c.Client.Reconcile(ctx, peers)
}

// Housekeeping forgets what is no longer needed.
type Housekeeping struct {
	Interval time.Duration
	Tasks    []func()
}

// Run implements Controller.
func (c *Housekeeping) Run(ctx context.Context) {
	every(ctx, c.Interval, func() {
		for _, task := range c.Tasks {
			task()
		}
	})
}
