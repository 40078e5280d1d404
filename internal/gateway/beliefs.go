package gateway

import (
	"context"
	"math"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/enginespeed"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
	"github.com/bridgehoist/bridgehoist/platform"
)

func (g *Gateway) parsers() published.Config {
	endpoints := platform.NewEndpointParser(func(f fleet.Findings) {
		g.metrics.Values.WithLabelValues(published.Fleet, register.Rejected.String()).Inc()
		g.log.Warn("endpoint records left out", "findings", f.Error())
	})
	return published.Config{ParseTable: platform.ParseConfiguration, ParseFleet: endpoints.Parse, ApplyIntervalPerEndpoint: listPace, MaxApplyInterval: g.maxListPace()}
}

const (
	// listPace, for each endpoint, is many times what putting a list into force takes.
	listPace = 150 * time.Microsecond
	// drainParts is the part of the time until an endpoint that leaves must get no requests which
	// a list may wait at most.
	drainParts = 4
)

func (g *Gateway) maxListPace() time.Duration {
	if g.vm.Bounds.Drain == 0 {
		return time.Second
	}
	return g.vm.Bounds.Drain / drainParts
}

// onDeferred passes a list of endpoints on that has to wait until it comes into force here: else the
// waits of all entries that it goes through would add up.
func (g *Gateway) onDeferred(until time.Time) {
	if g.caughtUp.Load() {
		g.exchange.RequestRound()
	}
	g.applyLater(until)
}

// applyLater puts a list of endpoints into force that has to wait.
func (g *Gateway) applyLater(at time.Time) {
	time.AfterFunc(max(clock.Until(at), time.Millisecond), func() {
		g.store.ApplyDeferred(clock.Now())
		if again, ok := g.store.DeferredUntil(); ok {
			g.applyLater(again)
		}
	})
}

// onValue logs news of a published value.
func (g *Gateway) onValue(ev published.Event) {
	g.metrics.Values.WithLabelValues(ev.Name, ev.Verdict.String()).Inc()
	if ev.Verdict != register.Adopted {
		g.log.Warn("value refused", "name", ev.Name, "revision", ev.Revision, "source", ev.Source,
			"verdict", ev.Verdict, "findings", ev.Findings)
		return
	}
	g.log.Info("value in force", "name", ev.Name, "revision", ev.Revision, "source", ev.Source)
	if g.caughtUp.Load() {
		g.exchange.RequestRound()
	}
	if ev.Name == published.Table {
		// What the operators say of engines is part of the table.
		go g.applyEndpoints()
	}
}

// onFleet takes a new list of endpoints; since is when the first entry had it.
func (g *Gateway) onFleet(_ *fleet.List, since time.Time) {
	g.mu.Lock()
	g.noticed = since
	g.mu.Unlock()
	g.applyEndpoints()
}

// applyEndpoints makes the endpoints in force of the published ones and of what
// the table says of their targets.
func (g *Gateway) applyEndpoints() {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.store.Fleet()
	if held == nil {
		return
	}
	now := clock.Now()
	g.grace.Remove(held.Value.BadRecords())
	bridged := g.restored.Apply(now, g.noticed, held.Revision.Epoch(), held.Value.Endpoints, held.Value.ClosedDataCenters())
	g.logBridged(bridged, held.Revision)
	use, lapsed := g.grace.Apply(now, bridged.Endpoints, bridged.FirstAfterRestore)
	if !lapsed.IsZero() {
		g.log.Warn("endpoints vanished together are kept for now", "revision", held.Revision,
			"kept", len(use)-len(bridged.Endpoints), "until", lapsed.Format(time.RFC3339Nano))
	}
	use, earlier := g.lives.Apply(now, use)
	if !earlier.IsZero() {
		g.log.Warn("records of earlier lives are held back", "revision", held.Revision, "until", earlier.Format(time.RFC3339Nano))
	}
	g.restored.SetActive(now, use)
	g.applyAgain(lapsed, earlier, bridged.ReapplyAt)
	use = slices.Clone(use)
	if t := g.store.Table(); t != nil {
		withTable(use, t.Value)
		if f := g.unnamed.Findings(use, t.Value.HasTarget); len(f) > 0 {
			g.log.Warn("endpoint records of unnamed services", "table", t.Revision, "findings", f.Error())
		}
	}
	listed := held.Value.WithClosed(bridged.ClosedDataCenters)
	g.place(use, listed)
	list := listed.WithEndpoints(use)
	g.logClosed(list, held.Revision)
	before := g.inForce.Swap(list)
	g.beliefs.ApplyFleet(list)
	g.evacuateVanished(before, list)
	g.logNextLives(before, list)
	g.pool.Keep(func(l fleet.Instance) bool {
		e, ok := list.Endpoint(l.Endpoint)
		return ok && e.Instance() == l
	})
}

// applyAgain applies the endpoints once more when the first of some holds ends; those that
// are zero don't count. The caller holds the lock.
func (g *Gateway) applyAgain(ends ...time.Time) {
	if g.again != nil {
		g.again.Stop()
	}
	var first time.Time
	for _, end := range ends {
		if first.IsZero() || !end.IsZero() && end.Before(first) {
			first = end
		}
	}
	if !first.IsZero() {
		g.again = time.AfterFunc(clock.Until(first), g.applyEndpoints)
	}
}

// logBridged logs what is held back after a restore of the store, when that changes.
func (g *Gateway) logBridged(b fleet.ReconciledList, at revision.ID) {
	before := g.bridged
	g.bridged = b
	if slices.Equal(b.Excluded, before.Excluded) && slices.Equal(b.RetainedClosed, before.RetainedClosed) {
		return
	}
	g.log.Warn("what the store's copy shows is held back", "revision", at, "endpoints", b.Excluded,
		"closed", b.RetainedClosed, "until", b.ReapplyAt.Format(time.RFC3339Nano))
}

// logClosed logs which data centres operators have closed and opened again.
func (g *Gateway) logClosed(list *fleet.List, at revision.ID) {
	closed := list.ClosedDataCenters()
	if slices.Equal(closed, g.closed) {
		return
	}
	g.log.Info("closed data centres", "closed", closed, "before", g.closed, "fleet", at)
	g.closed = closed
}

// logNextLives logs which endpoints have started again under their ids.
func (g *Gateway) logNextLives(before, now *fleet.List) {
	if before == nil {
		return
	}
	for _, e := range now.Endpoints {
		if b, listed := before.Endpoint(e.ID); listed && b.Instance() != e.Instance() {
			g.log.Info("endpoint started again", "endpoint", e.ID, "start", e.Incarnation, "before", b.Incarnation, "fleet", g.fleetRevision())
		}
	}
}

// over reports whether the list shows another life of an endpoint by now. One that isn't
// listed any more may still be the same.
func (g *Gateway) over(l fleet.Instance) bool {
	e, listed := g.endpoint(l.Endpoint)
	return listed && e.Instance() != l
}

// evacuateVanished moves generations off endpoints whose records were deleted:
// some leave without announcing it, and live a little longer.
func (g *Gateway) evacuateVanished(before, now *fleet.List) {
	if before == nil {
		return
	}
	for _, e := range before.Endpoints {
		if _, listed := now.Endpoint(e.ID); !listed {
			g.evacuator.EngineLeaving(g.work, e, g.noticed)
		}
	}
}

// place completes endpoints by what is known of their data centres.
func (g *Gateway) place(endpoints []fleet.Endpoint, list *fleet.List) {
	for i := range endpoints {
		e := &endpoints[i]
		e.Closed = list.Closed(e.DataCenter)
		e.Region = g.vm.Regions[e.DataCenter]
	}
}

// withTable completes endpoints by what the table says of engines.
func withTable(endpoints []fleet.Endpoint, t *table.Table) {
	for i := range endpoints {
		e := &endpoints[i]
		s, ok := t.Service(e.Targets[0])
		if !ok {
			continue
		}
		if s.Engine != nil {
			e.Type = fleet.Engine
			e.CapacityTokens = s.Engine.CapacityTokens
			e.MaxRunning = s.Engine.Slots
			e.TokensPerEvent = s.Engine.TokensPerEvent
		}
		e.ColdLimit = fleet.ColdLimit{Duration: s.ColdPeriod, RequestsPerSecond: s.ColdRequestsPerSecond}
	}
}

func (g *Gateway) onLeave(l drain.Leave, source string) {
	source = peering.SourceLabel(source)
	g.metrics.Leaves.WithLabelValues(source).Inc()
	g.log.Info("endpoint leaving", "endpoint", l.Endpoint, "start", l.Incarnation, "source", source, "fleet", g.fleetRevision())
	noticed := clock.Now()
	if source == peering.SourceFleet {
		// It comes from applyEndpoints, which holds the lock.
		noticed = g.noticed
	}
	// A leave of a life that isn't listed yet takes nothing off the one that is.
	if e, ok := g.endpoint(l.Endpoint); ok && e.Instance() == fleet.Instance(l) {
		g.evacuator.EngineLeaving(g.work, e, noticed)
	}
	if g.caughtUp.Load() {
		g.exchange.RequestRound()
	}
}

// readLoad reads the state of an engine.
func (g *Gateway) readLoad(ctx context.Context, e fleet.Endpoint) (scheduler.Report, bool, error) {
	asked := clock.Now()
	r, err := g.engines.Report(ctx, e)
	if err != nil {
		return scheduler.Report{}, false, err
	}
	return scheduler.Report{
		Endpoint:       e.ID,
		Incarnation:    r.EffectiveIncarnation(e),
		ReportedAt:     asked,
		UsedTokens:     r.UsedTokens,
		CapacityTokens: r.CapacityTokens,
		Running:        r.Running,
		Waiting:        r.Queued,
	}, r.Leaving, nil
}

// onHandoff logs where a generation went on.
func (g *Gateway) onHandoff(e relay.HandoffEvent) {
	g.evacuator.HandedOver(e.Job.RequestID)
	g.metrics.HandoffPause.Observe(e.Pause.Seconds())
	if e.Err != nil {
		g.log.Warn("handoff failed", "request", e.Job.RequestID, "from", e.From, "to", e.To, "events", e.Events,
			"pause_ms", e.Pause.Milliseconds(), "stopped", e.Stopped, "error", e.Err)
		return
	}
	g.log.Info("handed over", "request", e.Job.RequestID, "from", e.From, "to", e.To, "events", e.Events,
		"pause_ms", e.Pause.Milliseconds(), "stopped", e.Stopped)
}

func (g *Gateway) onRound(answered, asked int) {
	if answered > 0 {
		g.doubtful.Store(false)
	}
	g.metrics.PeersAsked.Add(float64(asked))
	g.metrics.PeersAnswered.Add(float64(answered))
	g.adaptToSize()
}

// onPeerTimeout records an exchange that timed out. On a new connection, the peer can't be reached;
// on a reused one, the connection may have died without a reset.
func (g *Gateway) onPeerTimeout(p membership.Contact, reused bool) {
	if reused {
		g.log.Warn("peer connection timed out", "peer", p.VM, "address", p.Address)
	}
	g.metrics.ObservePeerTimeout(reused)
}

func (g *Gateway) onStoreState(up bool, since time.Duration, err error) {
	g.beliefs.SetStoreLost(!up)
	if g.caughtUp.Load() {
		g.exchange.RequestRound()
	}
	if up {
		g.log.Info("store regained", "away", since.Round(time.Millisecond))
		return
	}
	g.log.Warn("store lost", "error", err)
}

// onEra logs that the store was restored from a copy: it lost what it had acknowledged after
// that, and gives those revisions out again.
func (g *Gateway) onEra(before, now revision.ID) {
	g.metrics.Restores.Inc()
	g.log.Warn("store restored", "era", now.Era(), "rewinds", now.Rewinds(), "before", before, "revision", now, "fleet", g.fleetRevision())
}

func (g *Gateway) onViolation(name invariant.Name, detail string) {
	g.log.Error("invariant violated", "invariant", name, "detail", detail)
}

// onAttempt logs an attempt that failed and what followed.
func (g *Gateway) onAttempt(j *job.Job, grant dispatch.Grant, f *attempt.Failure, step retry.Step) {
	if f.Kind == retry.NotSent && errors.Is(f.Err, syscall.ECONNREFUSED) {
		g.crashes.RecordRefusedConnection(g.work, grant.Endpoint)
	}
	g.log.Warn("attempt failed", "request", j.RequestID, "workspace", j.Workspace, "kind", j.Kind, "identity", j.Identity(), "parts", quarantine.JoinParts(j.SharedParts()), "endpoint", grant.Endpoint.ID, "address", grant.Endpoint.Address,
		"failure", f.Kind, "error", f.Err, "step", step, "elapsed_ms", clock.Since(j.ArrivedAt).Milliseconds(),
		"table", j.Revision, "fleet", g.fleetRevision())
}

func (g *Gateway) fleetRevision() revision.ID {
	if held := g.store.Fleet(); held != nil {
		return held.Revision
	}
	return 0
}

// onRequest accounts for a request that has ended, and logs it unless all went
// well.
func (g *Gateway) onRequest(j *job.Job) {
	g.metrics.Observe(j)
	stopped := g.countStopped(j)
	if j.Outcome == outcome.Complete {
		g.metrics.ObservePrediction(j)
		g.logLate(j)
		return
	}
	fields := []any{"request", j.RequestID, "workspace", j.Workspace, "kind", j.Kind, "target", j.Row.Target, "identity", j.ComputedIdentity(),
		"outcome", j.Outcome, "code", j.Code, "reason", j.Reason, "queued_ms", j.Timings.QueueTime.Milliseconds(),
		"elapsed_ms", clock.Since(j.ArrivedAt).Milliseconds(), "timeout_ms", j.Row.Timeout.Milliseconds(),
		"delegate", j.Delegate, "delegated_by", j.DelegatedBy, "table", j.Revision, "fleet", g.fleetRevision()}
	g.log.Warn("request failed", append(fields, stopped...)...)
}

// logLate logs a complete answer that came later than its objectives.
func (g *Gateway) logLate(j *job.Job) {
	row := &j.Row
	t := &j.Timings
	if t.TimeToFirstToken <= row.Objective && (row.MaxGap == 0 || t.MaxInterTokenLatency <= row.MaxGap) {
		return
	}
	g.log.Info("request late", lateFields(j)...)
}

// lateFields returns what is logged of a request whose answer came later than its objectives.
func lateFields(j *job.Job) []any {
	row := &j.Row
	t := &j.Timings
	fields := []any{"request", j.RequestID, "workspace", j.Workspace, "kind", j.Kind, "endpoint", j.Endpoint, "delegate", j.Delegate,
		"first_ms", t.TimeToFirstToken.Milliseconds(), "objective_ms", row.Objective.Milliseconds(),
		"queued_ms", t.QueueTime.Milliseconds(), "gap_ms", t.MaxInterTokenLatency.Milliseconds(), "max_gap_ms", row.MaxGap.Milliseconds(),
		"tokens_in", j.PromptTokens, "elapsed_ms", clock.Since(j.ArrivedAt).Milliseconds(), "table", j.Revision}
	if t.ExpectedLatency > 0 {
		fields = append(fields, "attempt_ms", t.AttemptLatency.Milliseconds(), "predicted_ms", t.ExpectedLatency.Milliseconds())
	}
	if p := &j.Predicted; p.Endpoint != "" {
		fields = append(fields, "predicted_at", p.Endpoint, "predicted_first_ms", p.TimeToFirstToken.Milliseconds(), "predicted_gap_ms", p.LongestGap.Milliseconds(),
			"token_us", p.Speed.TokenTime.Microseconds(), "prefill_token_us", p.Speed.PrefillTokenTime.Microseconds(), "prefill_rate", int(p.Speed.PrefillRate),
			"slowdown", roundFactor(p.Speed.Slowdown), "peak_slowdown", roundFactor(p.Speed.PeakSlowdown), "speed_known", p.Speed.Known)
	}
	return fields
}

// roundFactor rounds to two decimals.
func roundFactor(f float64) float64 { return math.Round(f*100) / 100 }

// predict notes what is expected of an attempt that is about to be sent to an engine.
func (g *Gateway) predict(j *job.Job, grant dispatch.Grant) {
	j.Predicted = job.Prediction{}
	if grant.Endpoint.Type != fleet.Engine {
		return
	}
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		p, ok := s.Predict(now, grant.ID)
		if !ok {
			return
		}
		j.Predicted = job.Prediction{
			Endpoint:         grant.Endpoint.ID,
			SentAt:           now,
			TimeToFirstToken: p.TimeToFirstToken,
			LongestGap:       p.Speed.LongestGap(g.tokensPerEvent(j.Row.Target)),
			Speed:            p.Speed,
		}
	})
}

// registerSpeedMetrics registers what is known of the speed of engines, and counters of the
// observations that were ignored.
func (g *Gateway) registerSpeedMetrics() {
	counts := func() (known, slowed int) {
		g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { known, slowed = s.CountEngineSpeeds(now) })
		return known, slowed
	}
	g.metrics.Gauge("engine_speeds_known", "Engines whose speed is known.", func() float64 { known, _ := counts(); return float64(known) })
	g.metrics.Gauge("engines_slowed_down", "Engines in a transient slowdown.", func() float64 { _, slowed := counts(); return float64(slowed) })
	for name, count := range map[string]func(enginespeed.Ignored) uint64{
		"absurd":  func(i enginespeed.Ignored) uint64 { return i.Absurd },
		"old":     func(i enginespeed.Ignored) uint64 { return i.Old },
		"unknown": func(i enginespeed.Ignored) uint64 { return i.Unknown },
	} {
		g.metrics.Total("engine_speeds_ignored_"+name+"_total", "Observations of the speed of engines that were ignored.", func() (n float64) {
			g.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { n = float64(count(s.IgnoredEngineSpeeds())) })
			return n
		})
	}
}
