package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/controllers"
	"github.com/bridgehoist/bridgehoist/internal/pause"
)

const (
	// catchUpTimeout bounds the first exchange with the seeds.
	catchUpTimeout = time.Second
	// catchUpPause is the wait before the store and the seeds are asked again at
	// the start.
	catchUpPause = 200 * time.Millisecond
)

// start asks the store and the seeds until a table and the endpoints are known; only
// then does the gateway become ready.
func (g *Gateway) start(ctx context.Context) {
	for {
		g.catchUp(ctx)
		if g.store.Ready() || !pause.For(ctx, catchUpPause) {
			break
		}
	}
	g.caughtUp.Store(true)
	g.log.Info("caught up", "after", clock.Since(g.started).Round(time.Millisecond))
	var loops sync.WaitGroup
	tell := &controllers.PeriodicTasks{Interval: g.cfg.LoadsEvery, Tasks: []func(){g.announceLoads}}
	reachability := &controllers.PeriodicTasks{Interval: reachabilityInterval, Tasks: []func(){g.checkReachability}}
	for _, c := range []controllers.Controller{g.exchange, g.config, g.load, tell, reachability} {
		loops.Go(func() { c.Run(ctx) })
	}
	loops.Wait()
}

// catchUp learns the values at the start. All entries share the rate of the store and
// each call is priced, so a fleet must not read all of it whenever many entries start:
// 295 that started together made 1,700 of the 2,501 calls of a day of 34 s.
//
// When the whole system starts for the first time nobody knows anything, and nothing was
// taken back that an old answer of the store could bring again: the store is read as it
// was some seconds ago. Later the others know the values. Only when none tells them soon
// is the store read, then as it is: a key that was taken away must not come back with a
// restart.
func (g *Gateway) catchUp(ctx context.Context) {
	if g.vm.FirstStart {
		var both sync.WaitGroup
		both.Go(func() { g.config.ReadWith(ctx, g.reader.ReadStale) })
		both.Go(func() { g.askSeeds(ctx) })
		both.Wait()
		return
	}
	late := controllers.CatchUp{SyncWithPeers: g.askSeeds, ReadStore: func(ctx context.Context) { g.config.Read(ctx, 0) }, Ready: g.store.Ready}
	late.Run(ctx)
}

// askSeeds exchanges with the seeds and with those they tell of.
func (g *Gateway) askSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	g.exchange.InitialSync(ctx, g.vm.DataCenter)
}
