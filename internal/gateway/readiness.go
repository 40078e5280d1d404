package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/bridgehoist/bridgehoist/pkg/readiness"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/platform"
)

// readiness serves the balancer's questions.
func (g *Gateway) readiness() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if state := g.state(); state != readiness.Ready {
			http.Error(w, state.String(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, readiness.Ready)
	})
	return r
}

// state decides whether new connections had better come here, and logs each change.
func (g *Gateway) state() readiness.State {
	b := readiness.Conditions{CaughtUp: g.caughtUp.Load(), ConfigLoaded: g.store.Ready(), Stopping: g.stopping.Load()}
	if b.ConfigLoaded && !g.cfg.Without.has(mechStranded) {
		var reach scheduler.Reachability
		b.UnservableTargets, reach = g.reach()
		b.CutOff = reach.CutOff
		g.logReach(reach)
	}
	now := readiness.Decide(b)
	if before := readiness.State(g.lastState.Swap(int32(now))); before != now {
		g.log.Info("readiness", "state", now, "before", before, "unservable", b.UnservableTargets, "cut_off", b.CutOff, "fleet", g.fleetRevision())
	}
	return now
}

// logReach logs when other data centres are lost or reached again.
func (g *Gateway) logReach(now scheduler.Reachability) {
	lost := strings.Join(now.Unreachable, ",")
	if before := g.lostDataCenters.Swap(&lost); before == nil && lost != "" || before != nil && *before != lost {
		g.log.Warn("reach of data centres", "lost", now.Unreachable, "cut_off", now.CutOff, "fleet", g.fleetRevision())
	}
}

// reach asks the scheduler which targets of the table have endpoints but none in reach, and
// which other data centres can be reached.
func (g *Gateway) reach() (unservable []string, reach scheduler.Reachability) {
	var targets []string
	for _, row := range g.store.Table().Value.Rows() {
		if !slices.Contains(targets, row.Target) {
			targets = append(targets, row.Target)
		}
	}
	g.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) {
		for _, target := range targets {
			if s.TargetUnreachable(target) {
				unservable = append(unservable, target)
			}
		}
		reach = s.Reachability()
	})
	return unservable, reach
}

// sendsAway reports whether callers had better bring their next request on a new
// connection, which the balancer gives to another entry.
func (g *Gateway) sendsAway() bool {
	return g.stopping.Load() || readiness.State(g.lastState.Load()) == readiness.Stranded
}
