package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// onAnswer takes what the head of an answer says of its endpoint. It is here, and not where
// answers are passed on, so that it holds whatever was asked and whoever did. One from
// another endpoint that has the address now says nothing of the one that was asked.
func (g *Gateway) onAnswer(from fleet.Endpoint, sent time.Time, status int, a upstream.Answer) {
	if a.Replaced {
		return
	}
	now := clock.Now()
	if a.Leaving {
		// The list may show it as ready for as long as the store is away.
		g.beliefs.RecordLeave(drain.Leave{Endpoint: from.ID, Incarnation: from.Incarnation}, peering.SourceEndpoint)
	}
	if a.Pause > 0 {
		g.pause(from, a.Pause)
	}
	served := a.Signed && status < http.StatusMultipleChoices
	st, holds := backpressure.NewLimitReport(from.Instance(), a.Limit, served, sent, now)
	if holds {
		g.beliefs.ApplyLimitReport(now, st)
	}
}

// pause takes the news that an endpoint wants nothing from this entry for some time.
func (g *Gateway) pause(from fleet.Endpoint, lasts time.Duration) {
	if g.dispatcher.Pause(from.Instance(), lasts) {
		g.metrics.Pauses.Inc()
		g.log.Info("endpoint wants a pause", "endpoint", from.ID, "lasts", lasts, "fleet", g.fleetRevision())
	}
}

// admits reports whether an endpoint takes a request that isn't dispatched, and counts it.
func (g *Gateway) admits(l fleet.Instance) (yes bool) {
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { yes = s.Admit(now, l) })
	return yes
}

// pausedError says that an endpoint wants nothing from this entry for some time.
type pausedError struct {
	endpoint string
	left     time.Duration
}

// Error implements error.
func (e pausedError) Error() string {
	return fmt.Sprintf("%s wants nothing for another %v", e.endpoint, e.left.Round(time.Millisecond))
}

// admit lets whatever goes to endpoints pass: requests, repeats, generations that are moved, and
// calls of engines. To an endpoint that wants a pause nothing goes. What isn't dispatched, and
// so not counted there, is counted against its limit: it comes together at the endpoint with
// all else.
func (g *Gateway) admit(to fleet.Endpoint, s upstream.Sending) (err error) {
	g.dispatcher.ViewScheduler(func(now time.Time, sch *scheduler.Scheduler) {
		asked := sch.Backpressure()
		if left := asked.PauseRemaining(now, to.Instance()); left > 0 {
			err = pausedError{to.ID, left}
		} else if !s.Counted {
			asked.RecordSent(now, to)
		}
	})
	return err
}

// pausedFor is for how much longer an endpoint wants nothing.
func (g *Gateway) pausedFor(l fleet.Instance) (left time.Duration) {
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { left = s.Backpressure().PauseRemaining(now, l) })
	return left
}

// onLimit takes the news of a limit that came, went or became another.
func (g *Gateway) onLimit(c backpressure.Change, source string) {
	g.metrics.Limits.WithLabelValues(c.Current.Kind.String()).Inc()
	g.log.Info("endpoint limit", "endpoint", c.Instance.Endpoint, "start", c.Instance.Incarnation, "per_second", c.Current, "before", c.Previous,
		"held", c.Duration.Round(time.Millisecond), "sent", c.RequestsSent, "source", peering.SourceLabel(source), "fleet", g.fleetRevision())
	if source == peering.SourceEndpoint {
		g.tellSoon()
	}
}
