// Package crashwatch detects whether an endpoint terminated while it ran requests.
//
// A broken connection alone doesn't show a termination: links are cut, connections are reset
// and responses are malformed. The first run that breaks off at an instance therefore opens an
// incident, which further runs that break off there join, and the watcher probes the endpoint:
//
//	a run breaks off
//	      |
//	      v      connection refused, or a newer instance is listed
//	   [open] ------------------------------------------------------> [confirmed]: all runs
//	      |  \--process present, or no answer: probed again            are reported, also
//	      |                                                            those that join later
//	      +--incidentRetention--> dropped without a finding
//
// A request whose caller has disconnected may still crash its endpoint shortly afterwards,
// possibly while no other run is there to break off. Such abandoned runs are retained for
// abandonedRunPeriod. They join an incident that opens within that time, and a connection
// refused to another request opens an incident for them.
//
// The list of endpoints lags behind. A run that was sent after the instance's termination was
// confirmed ran in the next instance, which isn't listed yet; if it breaks off, a new incident
// replaces the confirmed one. Terminations reported by peers are counted too
// (Config.CountTerminations). A run that breaks off after the next instance became known ran in
// that one (Config.LatestInstance), since a terminating process closes its connections at once.
//
// An answer without a length ends with its connection, as does a run that breaks off between two events.
// The watcher probes the endpoint shortly after such an end (RecordUnframedEnd): the run either broke off
// or completed.
//
// An announced termination is not caused by a request: runs that break off at endpoints that
// are leaving or no longer listed open no incident.
package crashwatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

const (
	// firstProbeDelay is the time from a broken run to the first probe. A terminating process
	// closes its connections one after the other, and a socket that is still open would count
	// as a sign that the process is running.
	firstProbeDelay = 30 * time.Millisecond
	// probeInterval is the time between two probes, each of which opens at most one
	// connection. maxProbes limits the probes per incident, since connections have a cost; if
	// the process is present, one probe shows it.
	probeInterval = 250 * time.Millisecond
	maxProbes     = 4
	// incidentRetention is how long an incident is kept. By then the next instance of an
	// endpoint that restarted at once is listed (its record takes up to a heartbeat interval,
	// some seconds), and every caller has received the failure of its broken run.
	incidentRetention = 6 * time.Second
	// maxIncidents limits the open incidents, as each one probes an endpoint. If more
	// instances than that break off together, the network has failed, not the requests.
	maxIncidents = 64
	// maxRunsPerIncident exceeds the number of requests that one engine runs at once.
	// maxAbandonedRuns limits the retained runs whose callers have disconnected.
	maxRunsPerIncident = 256
	maxAbandonedRuns   = 1024
	// abandonedRunPeriod is how long an endpoint may continue a request whose caller has
	// disconnected: it must stop within half a second after its connection is closed.
	abandonedRunPeriod = 500 * time.Millisecond
)

// Run is a run of a request that broke off, or whose caller has disconnected.
type Run struct {
	RequestID string
	Identity  quarantine.Identity
	// Parts are the parts of the prompt that other requests may have; empty if the run survived for
	// quarantine.SurvivalPeriod.
	Parts []quarantine.Part
	// SentAt is when the request was sent to the endpoint. InterruptedAt is when the run broke
	// off or its caller disconnected.
	SentAt, InterruptedAt time.Time
	// SentTo is the instance that was listed when the request was sent. Zero is the instance of the
	// endpoint that the run is recorded for.
	SentTo fleet.Instance
}

// Termination is the termination of an instance of an endpoint.
type Termination struct {
	Endpoint fleet.Endpoint
	// UnlistedInstances counts the instances after the listed one that terminated before they
	// were listed. Zero stands for the listed instance itself.
	UnlistedInstances int
}

// Facts returns the quarantine facts that a termination yields for the runs it interrupted.
func Facts(termination Termination, runs []Run) []quarantine.Fact {
	eventID := quarantine.TerminationID(termination.Endpoint.Instance(), termination.UnlistedInstances)
	facts := make([]quarantine.Fact, 0, len(runs))
	for _, run := range runs {
		facts = append(facts, quarantine.Fact{Identity: run.Identity, EventID: eventID, OccurredAt: run.InterruptedAt})
	}
	return facts
}

// PartFacts returns the quarantine facts about the parts of the interrupted runs' prompts, one for each run.
// A quarantine.Set drops those without parts.
func PartFacts(termination Termination, runs []Run) []quarantine.PartFact {
	eventID := quarantine.TerminationID(termination.Endpoint.Instance(), termination.UnlistedInstances)
	facts := make([]quarantine.PartFact, 0, len(runs))
	for _, run := range runs {
		facts = append(facts, quarantine.PartFact{Request: run.Identity, Parts: run.Parts, EventID: eventID, OccurredAt: run.InterruptedAt})
	}
	return facts
}

// Config holds the dependencies of a Watcher.
type Config struct {
	// Probe checks whether a process listens at the endpoint's address.
	Probe func(context.Context, fleet.Endpoint) upstream.Presence
	// TerminationExpected reports whether the endpoint is leaving or no longer listed.
	TerminationExpected func(fleet.Endpoint) bool
	// LatestInstance, if set, returns an endpoint with the latest known incarnation that runs at its
	// address. Requests sent while the list lags behind name the previous incarnation.
	LatestInstance func(fleet.Endpoint) fleet.Endpoint
	// Superseded reports whether the list shows that the instance has terminated: it contains
	// the next instance, or another endpoint at the same address.
	Superseded func(fleet.Endpoint) bool
	// CountTerminations, if set, returns the number of terminations recorded for an endpoint
	// from the listed instance on, up to a given time. They include those reported by peers.
	CountTerminations func(listed fleet.Instance, until time.Time) int
	// OnTermination is called with the runs that a termination interrupted. It may be called
	// several times per termination, each time with other runs.
	OnTermination func(termination Termination, runs []Run)
}

// Watcher holds the open incidents. It is safe for concurrent use.
type Watcher struct {
	cfg Config

	mu        sync.Mutex
	incidents map[fleet.Instance]*incident
	// abandoned holds the runs whose callers have disconnected, in order of InterruptedAt.
	abandoned []abandonedRun
	// unframedEnds holds the runs whose ends are being checked, by endpoint instance.
	unframedEnds map[fleet.Instance][]unframedEnd
}

// unframedEnd is the end of a run whose answer has no length.
type unframedEnd struct {
	run       Run
	completed func()
}

type abandonedRun struct {
	Run
	instance fleet.Instance
}

// incident collects the runs that broke off or were abandoned in one instance of an endpoint.
type incident struct {
	termination Termination
	runs        []Run
	// confirmedAt is when the termination was confirmed, or zero.
	confirmedAt time.Time
}

// New returns a Watcher without incidents.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, incidents: map[fleet.Instance]*incident{}, unframedEnds: map[fleet.Instance][]unframedEnd{}}
}

// latestInstance returns the endpoint with the incarnation in which a run that is interrupted now
// ran. When such runs were dropped as those of an instance known to have ended, a termination was
// recorded only for requests sent after the instance was listed, and an innocent one that was
// alone in this was contained for quarantine.ContainmentPeriod.
func (w *Watcher) latestInstance(endpoint fleet.Endpoint) fleet.Endpoint {
	if w.cfg.LatestInstance == nil {
		return endpoint
	}
	return w.cfg.LatestInstance(endpoint)
}

// RecordBrokenRun records that a run broke off at an endpoint. It doesn't block on probes.
func (w *Watcher) RecordBrokenRun(ctx context.Context, endpoint fleet.Endpoint, run Run) {
	run.SentTo, endpoint = endpoint.Instance(), w.latestInstance(endpoint)
	if w.cfg.TerminationExpected(endpoint) {
		return
	}
	if inc, confirmed := w.addRun(ctx, endpoint, run); confirmed {
		w.cfg.OnTermination(inc.termination, []Run{run})
	}
}

// RecordUnframedEnd records that the answer of a run, which has no length, ended with its connection. If the
// endpoint's process is present shortly after, completed is called. One probe decides on all such ends at an
// instance since the one before.
func (w *Watcher) RecordUnframedEnd(ctx context.Context, endpoint fleet.Endpoint, run Run, completed func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ends, checking := w.unframedEnds[endpoint.Instance()]
	if len(ends) < maxRunsPerIncident {
		w.unframedEnds[endpoint.Instance()] = append(ends, unframedEnd{run, completed})
	}
	if !checking {
		go w.checkUnframedEnds(ctx, endpoint)
	}
}

func (w *Watcher) checkUnframedEnds(ctx context.Context, endpoint fleet.Endpoint) {
	pause.For(ctx, firstProbeDelay)
	w.mu.Lock()
	ends := w.unframedEnds[endpoint.Instance()]
	delete(w.unframedEnds, endpoint.Instance())
	w.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	presence := w.cfg.Probe(ctx, endpoint)
	for _, end := range ends {
		switch {
		case presence == upstream.Ended || w.cfg.Superseded(endpoint):
			w.RecordBrokenRun(ctx, endpoint, end.run)
		case presence == upstream.Listening:
			end.completed()
		}
	}
}

// RecordAbandonedRun records that the caller of a request disconnected while the request ran
// at an endpoint.
func (w *Watcher) RecordAbandonedRun(endpoint fleet.Endpoint, run Run) {
	run.SentTo, endpoint = endpoint.Instance(), w.latestInstance(endpoint)
	w.mu.Lock()
	defer w.mu.Unlock()
	firstRecent := slices.IndexFunc(w.abandoned, func(run abandonedRun) bool { return clock.Since(run.InterruptedAt) < abandonedRunPeriod })
	switch {
	case firstRecent < 0:
		w.abandoned = nil
	case len(w.abandoned)-firstRecent >= maxAbandonedRuns:
		return
	default:
		w.abandoned = w.abandoned[firstRecent:]
	}
	w.abandoned = append(w.abandoned, abandonedRun{run, endpoint.Instance()})
}

// RecordRefusedConnection records that an endpoint refused a connection. It opens an incident
// if there is none and runs were abandoned there recently.
func (w *Watcher) RecordRefusedConnection(ctx context.Context, endpoint fleet.Endpoint) {
	endpoint = w.latestInstance(endpoint)
	if w.cfg.TerminationExpected(endpoint) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incidents[endpoint.Instance()] == nil && len(w.recentlyAbandoned(endpoint.Instance())) > 0 {
		w.openIncident(ctx, Termination{Endpoint: endpoint})
	}
}

// recentlyAbandoned returns the runs abandoned at an instance within abandonedRunPeriod. The
// caller holds the lock.
func (w *Watcher) recentlyAbandoned(instance fleet.Instance) (runs []Run) {
	for _, run := range w.abandoned {
		if run.instance == instance && clock.Since(run.InterruptedAt) < abandonedRunPeriod {
			runs = append(runs, run.Run)
		}
	}
	return runs
}

// openIncident opens an incident and starts probing. It returns nil if maxIncidents are open.
// The caller holds the lock.
func (w *Watcher) openIncident(ctx context.Context, termination Termination) *incident {
	if len(w.incidents) >= maxIncidents {
		return nil
	}
	inc := &incident{termination: termination}
	if termination.UnlistedInstances == 0 {
		inc.runs = w.recentlyAbandoned(termination.Endpoint.Instance())
	}
	w.incidents[termination.Endpoint.Instance()] = inc
	go w.watch(ctx, inc)
	return inc
}

// addRun adds a run to the incident of its instance, opening one if needed, and reports whether
// the termination is confirmed. The incident is nil if maxIncidents are open.
func (w *Watcher) addRun(ctx context.Context, endpoint fleet.Endpoint, run Run) (inc *incident, confirmed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	inc = w.incidents[endpoint.Instance()]
	switch {
	case inc == nil:
		inc = w.openIncident(ctx, Termination{Endpoint: endpoint, UnlistedInstances: w.countTerminations(endpoint, run)})
	case !inc.confirmedAt.IsZero() && run.SentAt.After(inc.confirmedAt):
		next := Termination{Endpoint: endpoint, UnlistedInstances: max(inc.termination.UnlistedInstances+1, w.countTerminations(endpoint, run))}
		delete(w.incidents, endpoint.Instance())
		inc = w.openIncident(ctx, next)
	}
	if inc == nil {
		return nil, false
	}
	if len(inc.runs) < maxRunsPerIncident {
		inc.runs = append(inc.runs, run)
	}
	return inc, !inc.confirmedAt.IsZero()
}

// countTerminations counts the terminations recorded before a run was sent.
func (w *Watcher) countTerminations(endpoint fleet.Endpoint, run Run) int {
	if w.cfg.CountTerminations == nil {
		return 0
	}
	return w.cfg.CountTerminations(endpoint.Instance(), run.SentAt)
}

// watch checks the list and probes the endpoint of an incident, at most maxProbes times, until
// the termination is confirmed. It drops the incident after incidentRetention.
func (w *Watcher) watch(ctx context.Context, inc *incident) {
	openedAt := clock.Now()
	pause.For(ctx, firstProbeDelay)
	for probes := 1; ctx.Err() == nil && clock.Since(openedAt) < incidentRetention; probes++ {
		if !w.isConfirmed(inc) && w.hasTerminated(ctx, inc.termination.Endpoint, probes) {
			w.confirm(inc)
		}
		pause.For(ctx, probeInterval)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incidents[inc.termination.Endpoint.Instance()] == inc {
		delete(w.incidents, inc.termination.Endpoint.Instance())
	}
}

// hasTerminated reports whether the list or a probe shows an unannounced termination.
// TerminationExpected is checked again after the probe, as the announcement may arrive later
// than the termination itself.
func (w *Watcher) hasTerminated(ctx context.Context, endpoint fleet.Endpoint, probes int) bool {
	if w.cfg.Superseded(endpoint) {
		return true
	}
	return probes <= maxProbes && w.cfg.Probe(ctx, endpoint) == upstream.Ended && !w.cfg.TerminationExpected(endpoint)
}

func (w *Watcher) isConfirmed(inc *incident) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !inc.confirmedAt.IsZero()
}

// confirm marks the termination of an incident as confirmed and reports its runs.
func (w *Watcher) confirm(inc *incident) {
	w.mu.Lock()
	inc.confirmedAt = clock.Now()
	runs := append([]Run(nil), inc.runs...)
	w.mu.Unlock()
	w.cfg.OnTermination(inc.termination, runs)
}
