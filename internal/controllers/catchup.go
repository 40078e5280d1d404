package controllers

import (
	"context"
	"time"
)

const (
	// peersFirst is the time that peers have to tell the values before the platform is
	// read. They answer within 100 ms if they are there; after a failure of all entries they
	// know nothing, or one is silent, and each moment counts.
	peersFirst = 150 * time.Millisecond
	// readyEvery is how often it is looked whether the values are known meanwhile.
	readyEvery = 10 * time.Millisecond
)

// CatchUp learns the values of an entry that is started in a running system: from its
// peers, and from the platform if they don't tell soon.
type CatchUp struct {
	AskPeers  func(context.Context)
	ReadStore func(context.Context)
	// Ready reports whether the values are known.
	Ready func() bool
}

// Run tries once. It returns as soon as the values are known, or when both were asked.
func (c *CatchUp) Run(ctx context.Context) {
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		c.AskPeers(ctx)
	}()
	c.await(ctx, asked)
	if !c.Ready() {
		c.ReadStore(ctx)
	}
}

// await waits until the values are known, all peers have been asked, or their time is
// over.
func (c *CatchUp) await(ctx context.Context, asked <-chan struct{}) {
	over := time.After(peersFirst)
	look := time.NewTicker(readyEvery)
	defer look.Stop()
	for !c.Ready() {
		select {
		case <-look.C:
		case <-asked:
			return
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}
