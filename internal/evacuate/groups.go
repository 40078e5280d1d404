package evacuate

import (
	"context"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// groupingDelay is how long to wait for further notices of the same group. Notices from one
// change of the store arrive within a millisecond.
const groupingDelay = 5 * time.Millisecond

// groupKey identifies a group. Engines in different data centres usually move their generations
// to different targets, and for each additional engine in a group every entry that plans for
// the group fetches one more report, at a cost.
type groupKey struct {
	target, dataCenter string
	// singleEngine is the engine's ID if group plans are disabled, so that each group has one
	// engine. Otherwise it is empty.
	singleEngine string
}

// expireLeaving drops the engines whose notices are older than maxLeavingTime. The caller holds
// the lock.
func (e *Evacuator) expireLeaving() {
	for instance, noticedAt := range e.leaving {
		if clock.Since(noticedAt) > maxLeavingTime {
			delete(e.leaving, instance)
		}
	}
}

// addToGroup adds an engine to the open group of its key, unless it is being evacuated or its
// generations can't be moved. The caller holds the lock.
func (e *Evacuator) addToGroup(ctx context.Context, source fleet.Endpoint) {
	if e.active[source.Instance()] || !e.movable(source) {
		return
	}
	e.active[source.Instance()] = true
	key := groupKey{target: source.Targets[0], dataCenter: source.DataCenter}
	if e.cfg.Disabled.GroupPlans {
		key.singleEngine = source.ID
	}
	e.groups[key] = append(e.groups[key], source)
	if len(e.groups[key]) == 1 {
		time.AfterFunc(groupingDelay, func() { e.evacuateGroup(ctx, key) })
	}
}

func (e *Evacuator) movable(source fleet.Endpoint) bool {
	service, ok := e.cfg.Service(source.Targets[0])
	return !e.cfg.Disabled.Moves && ok && service.Engine != nil && service.Engine.CanMove
}

// evacuateGroup closes a group and moves the generations that run there.
func (e *Evacuator) evacuateGroup(ctx context.Context, key groupKey) {
	e.mu.Lock()
	group := e.groups[key]
	delete(e.groups, key)
	e.mu.Unlock()
	e.runPasses(ctx, group)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, source := range group {
		delete(e.active, source.Instance())
		if len(e.startedSessions(source)) > 0 && ctx.Err() == nil && clock.Since(e.leaving[source.Instance()]) < maxLeavingTime {
			// A generation started after the last pass.
			e.addToGroup(ctx, source)
		}
	}
}
