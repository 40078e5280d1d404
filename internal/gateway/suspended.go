package gateway

import (
	"context"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

const (
	// doubtFrom is the shortest suspension after which the table isn't relied on until a peer
	// has told what is in force. A shorter one is as news that is slow to come.
	doubtFrom = time.Second
	// doubtFor bounds that: an entry that is cut off goes on by what it has. A watch of the
	// store that was under way has been answered by then, if the store can be reached.
	doubtFor = time.Second
)

// watchClock notices when the VM was suspended.
func (g *Gateway) watchClock(ctx context.Context) {
	stop := clock.OnSuspended(func(missed time.Duration) { g.onSuspended(ctx, missed) })
	defer stop()
	if err := clock.Run(ctx); err != nil {
		g.log.Warn("suspensions of the VM can't be noticed", "error", err)
	}
}

// onSuspended makes up for the time in which the VM stood still. Ages and deadlines count it
// by themselves (see package clock). What is left: its peers weren't silent, holds of records
// may be over, connections may have died, and others know what came into force meanwhile.
func (g *Gateway) onSuspended(ctx context.Context, missed time.Duration) {
	g.log.Warn("suspended", "for", missed.Round(time.Millisecond), "fleet", g.fleetRevision())
	g.beliefs.WithView(func(v *membership.View) { v.ExcludeSuspension(missed) })
	if missed >= doubtFrom {
		g.doubtful.Store(true)
		go func() {
			pause.For(ctx, doubtFor)
			g.doubtful.Store(false)
		}()
	}
	g.peersHTTP.CloseIdleConnections()
	go g.applyEndpoints()
	if g.caughtUp.Load() {
		g.exchange.RequestRound()
	}
}

// tableInForce is the table by which requests are decided; nil while it is in doubt, so that
// callers are sent elsewhere for a moment: a key that was taken away must not open anything.
func (g *Gateway) tableInForce() *register.Version[*table.Table] {
	if g.doubtful.Load() {
		return nil
	}
	return g.store.Table()
}
