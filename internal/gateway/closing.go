package gateway

import (
	"time"

	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// closingReads is how often an engine's state is read that closes a connection, and
// closingPause the time between two reads: a report is half a second old, so the
// first one may be from before the notice.
const (
	closingReads = 2
	closingPause = 500 * time.Millisecond
)

// onClosing looks whether an engine is about to end, since it closes a connection.
// Engines that are reclaimed do, and others at times. While the store is away nothing
// else tells of them but the regular reads, which are rare because each is priced.
func (g *Gateway) onClosing(at fleet.Endpoint) {
	if g.beliefs.IsLeaving(at) || g.cfg.Without.has(mechClosingReads) {
		return
	}
	if _, busy := g.checking.LoadOrStore(at.Instance(), true); busy {
		return
	}
	go func() {
		defer g.checking.Delete(at.Instance())
		for range closingReads {
			g.load.PollEndpoint(g.work, at)
			if g.beliefs.IsLeaving(at) || !pause.For(g.work, closingPause) {
				return
			}
		}
	}()
}
