package controllers

import (
	"context"
	"time"
)

const (
	// peerSyncTimeout is how long peers have to send the values before the platform is read.
	// Peers that have the values answer within 100 ms. After a failure of all entries, no peer has
	// them or some do not answer, and a longer timeout would delay the start.
	peerSyncTimeout = 150 * time.Millisecond
	// readyCheckInterval is how often Ready is checked during the sync with peers.
	readyCheckInterval = 10 * time.Millisecond
)

// CatchUp obtains the published values for an entry that starts in a running system: from its
// peers, or from the platform if the peers don't send them in time.
type CatchUp struct {
	SyncWithPeers func(context.Context)
	ReadStore     func(context.Context)
	// Ready reports whether all values are in force.
	Ready func() bool
}

// Run makes one attempt. It returns as soon as the values are in force, or after reading the
// platform.
func (c *CatchUp) Run(ctx context.Context) {
	peersDone := make(chan struct{})
	go func() {
		defer close(peersDone)
		c.SyncWithPeers(ctx)
	}()
	c.waitForPeers(ctx, peersDone)
	if !c.Ready() {
		c.ReadStore(ctx)
	}
}

// waitForPeers waits until the values are in force, the sync with peers has ended, or
// peerSyncTimeout has passed.
func (c *CatchUp) waitForPeers(ctx context.Context, peersDone <-chan struct{}) {
	timeout := time.After(peerSyncTimeout)
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for !c.Ready() {
		select {
		case <-ticker.C:
		case <-peersDone:
			return
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}
