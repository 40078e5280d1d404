package gateway

import (
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// onAnswer takes what the head of an answer says of its endpoint. One from another endpoint
// that has the address now says nothing of the one that was asked.
func (g *Gateway) onAnswer(from fleet.Endpoint, sent time.Time, a upstream.Answer) {
	if a.Replaced {
		return
	}
	g.hearLimit(from, sent, a)
}

// hearLimit takes what an answer says of a limit.
func (g *Gateway) hearLimit(from fleet.Endpoint, sent time.Time, a upstream.Answer) {
	st, holds := backpressure.Told(from.Life(), a.Limit, a.Signed || a.NotRun, sent, clock.Now())
	if !holds {
		return
	}
	var change backpressure.Change
	changed := false
	g.viewScheduler(func(now time.Time, s *scheduler.Scheduler) { change, changed = s.Backpressure().Hear(now, st) })
	if changed {
		g.logLimit(change)
	}
}

// logLimit logs a limit that came, went or became another.
func (g *Gateway) logLimit(c backpressure.Change) {
	g.metrics.Limits.WithLabelValues(c.Now.Kind.String()).Inc()
	g.log.Info("endpoint limit", "endpoint", c.Life.Endpoint, "start", c.Life.Incarnation, "per_second", c.Now, "before", c.Before,
		"held", c.For.Round(time.Millisecond), "sent", c.Sent, "fleet", g.fleetRevision())
}
