package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/httpserver"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
)

// arrival says when a request arrived whose end fell into a stop.
type arrival string

const (
	arrivedServing  arrival = "before"
	arrivedDraining arrival = "drain_delay"
	arrivedClosed   arrival = "after_close"
)

// stopAccounts counts what becomes of the requests that end during a stop. The zero value is that of a gateway that
// isn't stopping. It is safe for concurrent use.
type stopAccounts struct {
	mu sync.Mutex
	// begun is when the stop began, and closed when the listener was closed; zero before.
	begun, closed time.Time
	counts        map[string]int
}

func (a *stopAccounts) begin(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun, a.counts = now, map[string]int{}
}

func (a *stopAccounts) close(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = now
}

// count counts a request that has ended. It returns false outside a stop.
func (a *stopAccounts) count(j *job.Job) (arrival, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.begun.IsZero() {
		return "", false
	}
	at := arrivedServing
	switch {
	case !a.closed.IsZero() && j.ArrivedAt.After(a.closed):
		at = arrivedClosed
	case j.ArrivedAt.After(a.begun):
		at = arrivedDraining
	}
	a.counts[fmt.Sprintf("%s_%s", at, j.Outcome)]++
	return at, true
}

// fields returns the counts for a log.
func (a *stopAccounts) fields() (fields []any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(a.counts)) {
		fields = append(fields, name, a.counts[name])
	}
	return fields
}

// countStopped counts a request that has ended during a stop, and returns what is logged of it if it failed.
func (g *Gateway) countStopped(j *job.Job) (fields []any) {
	at, stopping := g.stopAccounts.count(j)
	if !stopping {
		return nil
	}
	g.metrics.Stopped.WithLabelValues(string(at), j.Outcome.String()).Inc()
	return []any{"arrived", at}
}

// cutTimeout is for the handlers to end whose responses are cut.
const cutTimeout = 100 * time.Millisecond

// cut ends the requests whose responses are under way, so that each is logged with its cause, and its endpoint is told.
func (g *Gateway) cut(ctx context.Context, callers *httpserver.Server) {
	g.endRequests(shutdown.ErrStopping)
	ctx, cancel := context.WithTimeout(ctx, cutTimeout)
	defer cancel()
	_ = callers.Drain(ctx)
}
