package gateway

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// registerPlacements registers the counters of requests that were placed by the objective between
// events.
func (g *Gateway) registerPlacements() {
	for _, c := range []struct {
		name, help string
		count      func(scheduler.Placements) uint64
	}{
		{"placements_long_preferred_total", "Long answers sent to an engine that meets their objective between events.", func(p scheduler.Placements) uint64 { return p.LongPreferred }},
		{"placements_long_other_total", "Long answers sent to another engine.", func(p scheduler.Placements) uint64 { return p.LongOther }},
		{"placements_short_preferred_total", "Short answers that left such engines to long ones.", func(p scheduler.Placements) uint64 { return p.ShortPreferred }},
		{"placements_short_other_total", "Short answers sent to such an engine, or late elsewhere.", func(p scheduler.Placements) uint64 { return p.ShortOther }},
		{"placements_disturbing_total", "Prompts sent where they were expected to delay the events of streams.", func(p scheduler.Placements) uint64 { return p.Disturbing }},
	} {
		g.metrics.Total(c.name, c.help, func() (total float64) {
			g.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { total = float64(c.count(s.Placements())) })
			return total
		})
	}
}
