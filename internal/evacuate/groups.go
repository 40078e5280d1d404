package evacuate

import (
	"context"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// gatherFor is how long notices are waited for that come together: those of one
// change of the store come within a millisecond.
const gatherFor = 5 * time.Millisecond

// groupKey tells groups apart. Engines of different data centres move their
// generations to different ones as a rule, and each engine more in a group costs
// its entries a priced read.
type groupKey struct {
	target, dataCenter string
	// alone is the engine of a group of one, if plans for groups are switched off.
	alone string
}

// forget drops engines that have ended long ago.
func (e *Evacuator) forget() {
	for life, since := range e.leaving {
		if clock.Since(since) > leavingFor {
			delete(e.leaving, life)
		}
	}
}

// join puts an engine into the group that is being gathered, unless it is being
// evacuated. The caller holds the lock.
func (e *Evacuator) join(ctx context.Context, source fleet.Endpoint) {
	if e.active[source.Instance()] || !e.movable(source) {
		return
	}
	e.active[source.Instance()] = true
	key := groupKey{target: source.Targets[0], dataCenter: source.DataCenter}
	if e.cfg.Off.GroupPlans {
		key.alone = source.ID
	}
	e.groups[key] = append(e.groups[key], source)
	if len(e.groups[key]) == 1 {
		time.AfterFunc(gatherFor, func() { e.evacuate(ctx, key) })
	}
}

func (e *Evacuator) movable(source fleet.Endpoint) bool {
	service, ok := e.cfg.Service(source.Targets[0])
	return !e.cfg.Off.Moves && ok && service.Engine != nil && service.Engine.CanMove
}

// evacuate takes a gathered group and moves what runs there.
func (e *Evacuator) evacuate(ctx context.Context, key groupKey) {
	e.mu.Lock()
	group := e.groups[key]
	delete(e.groups, key)
	e.mu.Unlock()
	e.run(ctx, group)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, source := range group {
		delete(e.active, source.Instance())
		if len(e.begun(source)) > 0 && ctx.Err() == nil && clock.Since(e.leaving[source.Instance()]) < leavingFor {
			// One began after the last pass had looked.
			e.join(ctx, source)
		}
	}
}
