package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/operatorapi"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/limits"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

func (e *Entry) operators() http.Handler {
	r := chi.NewRouter()
	r.Get(operatorapi.PathHealth, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	r.Get(operatorapi.PathReady, e.readiness)
	r.Method(http.MethodGet, operatorapi.PathMetrics, promhttp.HandlerFor(e.metrics.Registry, promhttp.HandlerOpts{}))
	r.Get(operatorapi.PathStatus, func(w http.ResponseWriter, _ *http.Request) { httpapi.WriteJSON(w, e.status()) })
	r.Get(operatorapi.PathExplain, e.explain)
	return r
}

func (e *Entry) readiness(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (e *Entry) status() operatorapi.Status {
	now := clock.Now()
	running, records := e.owner.Stats()
	out := operatorapi.Status{
		VM:         e.cfg.VM,
		DataCenter: e.cfg.DataCenter,
		Ready:      e.ready(),
		Stopping:   e.stopping.Load(),
		UptimeMS:   now.Sub(e.started).Milliseconds(),
		Values:     e.values(now),
		Tickets:    operatorapi.Tickets{Running: running, Records: records},
		Violations: violations(),
	}
	if _, err := e.store.TableFindings(); err != nil {
		out.TableErrors = strings.Split(err.Error(), "\n")
	}
	e.beliefs.WithView(func(v *membership.View) {
		for _, m := range v.Members(now) {
			out.Members = append(out.Members, operatorapi.Member{
				VM: m.VM, DataCenter: m.DataCenter, Status: m.Status.String(), AgeMS: m.Age.Milliseconds(),
			})
		}
	})
	for _, l := range e.beliefs.Leaves() {
		out.Leaves = append(out.Leaves, operatorapi.Leave{Endpoint: l.Endpoint, Incarnation: l.Incarnation})
	}
	e.dispatcher.View(func(now time.Time, p scheduler.Policy) {
		s, ok := p.(*scheduler.Scheduler)
		if !ok {
			return
		}
		out.Waiting = s.Waiting()
		for _, st := range s.Status(now) {
			out.Endpoints = append(out.Endpoints, endpointStatus(st))
		}
	})
	return out
}

func (e *Entry) values(now time.Time) []operatorapi.Value {
	seen := e.store.SeenRevisions()
	var out []operatorapi.Value
	if h := e.store.Table(); h != nil {
		out = append(out, valueStatus(published.Table, h.Revision, seen[published.Table], now.Sub(h.AdoptedAt)))
	}
	if h := e.store.Fleet(); h != nil {
		out = append(out, valueStatus(published.Fleet, h.Revision, seen[published.Fleet], now.Sub(h.AdoptedAt)))
	}
	return out
}

func valueStatus(name string, held, seen revision.ID, age time.Duration) operatorapi.Value {
	return operatorapi.Value{
		Name: name, Era: held.Era(), Revision: held.Number(), AgeMS: age.Milliseconds(),
		SeenEra: seen.Era(), SeenRevision: seen.Number(),
	}
}

func violations() map[string]int {
	out := map[string]int{}
	for _, name := range invariant.Names() {
		out[string(name)] = int(invariant.Count(name))
	}
	return out
}

func endpointStatus(st scheduler.EndpointStatus) operatorapi.Endpoint {
	return operatorapi.Endpoint{
		ID:           st.ID,
		Leaving:      st.Leaving,
		Breaker:      st.Breaker.String(),
		Running:      st.Running,
		PeersRunning: st.PeersRunning,
		Projected:    st.Projected.Max(),
		Capacity:     st.CapacityTokens,
		GapMS:        float64(st.InterTokenLatency.Microseconds()) / 1000,
		ReportAgeMS:  st.ReportAge.Milliseconds(),
		Preemptions:  st.Preemptions,
	}
}

func (e *Entry) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	tokens, _ := strconv.Atoi(q.Get(operatorapi.ParamPromptTokens))
	held := e.store.Table()
	if held == nil {
		http.Error(w, "no table has been read yet", http.StatusServiceUnavailable)
		return
	}
	workspace, kind := q.Get(operatorapi.ParamWorkspace), q.Get(operatorapi.ParamKind)
	row, ok := held.Value.Lookup(workspace, kind)
	out := operatorapi.Explanation{Found: ok, Era: held.Revision.Era(), Revision: held.Revision.Number()}
	if ok {
		e.explainRow(&out, row, workspace, kind, tokens)
	}
	httpapi.WriteJSON(w, out)
}

func (e *Entry) explainRow(out *operatorapi.Explanation, row table.Row, workspace, kind string, tokens int) {
	out.Row = fmt.Sprintf("line %d: %+v", row.Line, row)
	out.MaxInFlight = row.MaxInFlight
	out.MaxQueued = row.MaxQueued
	e.dispatcher.View(func(now time.Time, p scheduler.Policy) {
		s, ok := p.(*scheduler.Scheduler)
		if !ok {
			return
		}
		k := limits.Key{Workspace: workspace, Kind: kind}
		out.InFlight = s.InFlight().TotalUsage(k)
		out.Queued = s.Queued().TotalUsage(k)
		x := s.Explain(now, scheduler.Request{Workspace: workspace, Kind: kind, Row: row, PromptTokens: tokens, ArrivedAt: now})
		out.Ahead = x.QueueLength
		out.ExpectedWait = x.ExpectedWait.String()
		out.Projected = x.Projected[:]
		for _, w := range operatorapi.NewWaiting(s.WaitingRequests(now, operatorapi.MaxWaiting)) {
			if w.Target == row.Target {
				out.Waiting = append(out.Waiting, w)
			}
		}
		fillCandidates(out, x)
	})
}

// fillCandidates lists the candidates; the chosen one has the lowest tier, then the highest score,
// among the local ones that were kept, else among the others.
func fillCandidates(out *operatorapi.Explanation, x scheduler.Explanation) {
	best := -1
	for i, c := range x.Candidates {
		reason := x.Evaluations[i]
		out.Candidates = append(out.Candidates, operatorapi.Candidate{
			ID: x.EndpointIDs[i], Local: c.Local, Leaving: c.Leaving, Broken: c.BreakerOpen,
			Fill: c.Utilization, Fits: c.Fits, Slowness: c.Slowness, Kept: reason.Eligible, Score: reason.Score,
			Tier: reason.Tier, StartMS: c.ExpectedStart.Milliseconds(), GapRatio: c.GapRatio,
		})
		if reason.Eligible && (best < 0 || better(out.Candidates[i], out.Candidates[best])) {
			best = i
		}
	}
	if best >= 0 {
		out.Chosen = out.Candidates[best].ID
	}
}

func better(a, b operatorapi.Candidate) bool {
	if a.Local != b.Local {
		return a.Local
	}
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	return a.Score > b.Score
}
