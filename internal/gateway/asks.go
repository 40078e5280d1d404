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

// onResponseHead applies what the head of a response states about its endpoint: that it is leaving, a
// pause, or a rate limit. It is called for all requests, also calls of engines. A response of another
// endpoint that uses the address now is ignored.
func (g *Gateway) onResponseHead(from fleet.Endpoint, sent time.Time, status int, a upstream.Answer) {
	if a.Replaced {
		return
	}
	now := clock.Now()
	if a.Leaving {
		// While the store is unavailable the fleet list may still show it as ready.
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

// pause records that an endpoint accepts nothing from this entry for some time.
func (g *Gateway) pause(from fleet.Endpoint, lasts time.Duration) {
	if g.dispatcher.Pause(from.Instance(), lasts) {
		g.metrics.Pauses.Inc()
		g.log.Info("endpoint wants a pause", "endpoint", from.ID, "lasts", lasts, "fleet", g.fleetRevision())
	}
}

// admits reports whether an endpoint accepts a request that the scheduler doesn't dispatch, and counts
// it against the endpoint's limit.
func (g *Gateway) admits(l fleet.Instance) (yes bool) {
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { yes = s.Admit(now, l) })
	return yes
}

// pausedError means that an endpoint accepts nothing from this entry for some time.
type pausedError struct {
	endpoint string
	left     time.Duration
}

// Error implements error.
func (e pausedError) Error() string {
	return fmt.Sprintf("%s wants nothing for another %v", e.endpoint, e.left.Round(time.Millisecond))
}

// admit is called before anything is sent to an endpoint: requests, retries, moved generations and calls
// of engines. It returns an error while the endpoint has requested a pause. Requests that the scheduler
// doesn't dispatch are counted here, since the endpoint's limit applies to all requests together.
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

// pauseRemaining returns for how much longer an endpoint accepts nothing from this entry.
func (g *Gateway) pauseRemaining(l fleet.Instance) (left time.Duration) {
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { left = s.Backpressure().PauseRemaining(now, l) })
	return left
}

// onLimit logs and counts a change of an endpoint's limit, and has it passed on to peers at once if the
// endpoint itself has reported it.
func (g *Gateway) onLimit(c backpressure.Change, source string) {
	g.metrics.Limits.WithLabelValues(c.Current.Kind.String()).Inc()
	g.log.Info("endpoint limit", "endpoint", c.Instance.Endpoint, "start", c.Instance.Incarnation, "per_second", c.Current, "before", c.Previous,
		"held", c.Duration.Round(time.Millisecond), "sent", c.RequestsSent, "source", peering.SourceLabel(source), "fleet", g.fleetRevision())
	if source == peering.SourceEndpoint {
		g.tellSoon()
	}
}
