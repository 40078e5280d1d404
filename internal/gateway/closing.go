package gateway

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
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
	if g.knownToLeave(at) || !g.beginCheck(at.ID) {
		return
	}
	go func() {
		defer g.endCheck(at.ID)
		for range closingReads {
			g.load.ReadNow(g.work, at)
			if g.knownToLeave(at) || !pause.For(g.work, closingPause) {
				return
			}
		}
	}()
}

func (g *Gateway) knownToLeave(e fleet.Endpoint) bool {
	return slices.ContainsFunc(g.beliefs.Leaves(), func(l drain.Leave) bool { return l.Endpoint == e.ID })
}

// beginCheck returns false if the engine is being looked at already.
func (g *Gateway) beginCheck(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.checking[id] {
		return false
	}
	g.checking[id] = true
	return true
}

func (g *Gateway) endCheck(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.checking, id)
}
