// Package metrics counts what an entry does, for Prometheus.
package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

const namespace = "bridgehoist"

// maxLabels bounds the workspaces that get series of their own.
const maxLabels = 300

// OtherWorkspace is the label of all workspaces beyond maxLabels.
const OtherWorkspace = "other"

// Metrics holds an entry's metrics.
type Metrics struct {
	Registry *prometheus.Registry

	outcomes    *prometheus.CounterVec
	stall       *prometheus.HistogramVec
	firstToken  *prometheus.HistogramVec
	gaps        *prometheus.HistogramVec
	queueWait   *prometheus.HistogramVec
	preemptions *prometheus.CounterVec
	// latencyRatio is the actual latency of plain services divided by the predicted one.
	latencyRatio *prometheus.HistogramVec

	// Failures counts failed attempts by cause.
	Failures *prometheus.CounterVec
	// Steps counts what followed them.
	Steps *prometheus.CounterVec
	// PlatformCalls counts reads and watches of the platform.
	PlatformCalls prometheus.Counter
	// PlatformErrors counts those that failed.
	PlatformErrors prometheus.Counter
	// Restores counts the restores of the platform's store that were noticed.
	Restores prometheus.Counter
	// Values counts offered values by name and verdict.
	Values *prometheus.CounterVec
	// Leaves counts news of leaving endpoints by source.
	Leaves *prometheus.CounterVec
	// Limits counts changes of what endpoints say of how much they take.
	Limits *prometheus.CounterVec
	// Pauses counts the times that an endpoint wanted nothing from the entry for a while.
	Pauses prometheus.Counter
	// EndedUnder counts the runs that broke off because their endpoint ended
	// unannounced.
	EndedUnder prometheus.Counter
	// Connections counts new connections to endpoints.
	Connections prometheus.Counter
	// AcceptErrors counts errors of listeners.
	AcceptErrors prometheus.Counter
	// HeadsRefused counts heads of requests to this process that exceeded their bounds.
	HeadsRefused prometheus.Counter
	// ConnectionsLimited counts connections to this process that were closed since there were too many.
	ConnectionsLimited prometheus.Counter
	// LateRequests counts requests that were dropped since they were read at the end of the process.
	LateRequests prometheus.Counter
	// Stopped counts requests that ended during a planned stop, by when they arrived and by outcome.
	Stopped *prometheus.CounterVec
	// Moves counts generations that were to be moved to another engine, by result.
	Moves *prometheus.CounterVec
	// RefusedMoves counts the first copies of generations that were not made, by cause.
	RefusedMoves *prometheus.CounterVec
	// ReservationNotices counts the notices about room that is reserved for generations.
	ReservationNotices *prometheus.CounterVec
	// HandoffPause is for how long callers got nothing while a generation moved.
	HandoffPause prometheus.Histogram
	// Notices counts the datagrams about prompts: told, heard, or left out to keep to
	// the bound.
	Notices                     *prometheus.CounterVec
	predictedFirst, actualFirst prometheus.Histogram
	predictedGap, actualGap     prometheus.Histogram
	// Rejected counts bad input by code.
	Rejected *prometheus.CounterVec
	// PeersAsked and PeersAnswered count exchanges begun and ended well.
	PeersAsked    prometheus.Counter
	PeersAnswered prometheus.Counter
	// Delegated counts requests that were delegated to peers, and by them, by outcome.
	Delegated *prometheus.CounterVec
	// PeerTimeouts counts exchanges that timed out, on new and on reused connections.
	PeerTimeouts *prometheus.CounterVec

	mu     sync.Mutex
	labels map[string]bool
}

// Bucket bounds in seconds.
var (
	waitBuckets = []float64{.01, .03, .1, .2, .4, .57, 1, 2, 4, 8, 16, 32, 64, 128, 256}
	gapBuckets  = []float64{.005, .01, .015, .02, .026, .035, .05, .1, .2, .5, 1, 2, 5, 10, 30}
)

// latencyRatioBuckets are bounds of actual divided by predicted latency. Transient slowdowns take 2.5
// times as long; ratios beyond that show queues and endpoints that hang.
var latencyRatioBuckets = []float64{.1, .25, .5, .7, .85, 1, 1.2, 1.5, 2, 3, 5, 10, 30}

// New makes the metrics with a registry of their own.
func New() *Metrics {
	byRequest := []string{"workspace", "kind"}
	m := &Metrics{Registry: prometheus.NewRegistry(), labels: map[string]bool{}}
	m.outcomes = counters("requests_total", "Requests by final outcome.", append(byRequest, "outcome", "code")...)
	m.stall = histograms("stall_seconds", "Time that a request waited without progress.", waitBuckets, byRequest...)
	m.firstToken = histograms("first_token_seconds", "Time to the first token, or to the reply.", waitBuckets, byRequest...)
	m.gaps = histograms("token_gap_seconds", "Time between tokens.", gapBuckets, byRequest...)
	m.queueWait = histograms("queue_seconds", "Time in the entry's queue.", waitBuckets, byRequest...)
	m.preemptions = counters("preemptions_total", "Times that engines pushed requests aside.", byRequest...)
	m.latencyRatio = histograms("service_latency_ratio", "Actual divided by predicted latency of answers of plain services.", latencyRatioBuckets, "kind")
	m.Failures = counters("attempt_failures_total", "Failed attempts by cause.", "failure")
	m.Steps = counters("attempt_steps_total", "What followed failed attempts.", "step")
	m.PlatformCalls = counter("platform_calls_total", "Reads and watches of the platform.")
	m.PlatformErrors = counter("platform_errors_total", "Reads and watches of the platform that failed.")
	m.Restores = counter("platform_restores_total", "Restores of the platform's store that were noticed.")
	m.Values = counters("values_total", "Published values offered, by verdict.", "name", "verdict")
	m.Leaves = counters("leaves_total", "News of leaving endpoints, by source.", "source")
	m.Limits = counters("endpoint_limit_changes_total", "Changes of the limits that endpoints name, by what they name now.", "now")
	m.Pauses = counter("endpoint_pauses_total", "Times that an endpoint wanted nothing from the entry for a while.")
	m.Rejected = counters("rejected_input_total", "Bad input, by code.", "code")
	m.EndedUnder = counter("runs_ended_with_endpoint_total", "Runs that broke off because their endpoint ended unannounced.")
	m.Connections = counter("endpoint_connections_total", "New connections to endpoints.")
	m.AcceptErrors = counter("accept_errors_total", "Errors of this process's listeners, which go on.")
	m.HeadsRefused = counter("heads_refused_total", "Heads of requests to this process that exceeded their bounds.")
	m.ConnectionsLimited = counter("connections_limited_total", "Connections to this process that were closed since there were too many.")
	m.LateRequests = counter("late_requests_total", "Requests that were dropped since they were read at the end of the process.")
	m.Stopped = counters("stop_requests_total", "Requests that ended during a planned stop, by arrival and outcome.", "arrived", "outcome")
	m.Notices = counters("prompt_notices_total", "Datagrams about prompts that were sent to engines.", "way")
	m.Moves = counters("moves_total", "Generations to be moved to another engine, by result.", "result")
	m.RefusedMoves = counters("move_refusals_total", "Copies of generations that were refused, by cause.", "cause")
	m.ReservationNotices = counters("reservation_notices_total", "Notices about room reserved for generations.", "way")
	m.HandoffPause = histogram("handoff_pause_seconds", "Time without an event while a generation moved.", waitBuckets)
	m.predictedFirst = histogram("predicted_first_token_seconds", "Expected time from sending a prompt to its first token.", waitBuckets)
	m.actualFirst = histogram("predicted_first_token_actual_seconds", "The actual times of predicted_first_token_seconds.", waitBuckets)
	m.predictedGap = histogram("predicted_longest_gap_seconds", "Expected longest time between two events of an answer.", gapBuckets)
	m.actualGap = histogram("predicted_longest_gap_actual_seconds", "The actual times of predicted_longest_gap_seconds.", gapBuckets)
	m.PeersAsked = counter("peers_asked_total", "Exchanges begun with peers.")
	m.PeersAnswered = counter("peers_answered_total", "Exchanges with peers that ended well.")
	m.PeerTimeouts = counters("peer_timeouts_total", "Exchanges with peers that timed out, on new and on reused connections.", "connection")
	m.Delegated = counters("delegated_requests_total", "Requests delegated to peers (out) or by them (in), by outcome.", "direction", "outcome")
	m.Registry.MustRegister(m.outcomes, m.stall, m.firstToken, m.gaps, m.queueWait, m.preemptions, m.latencyRatio,
		m.Failures, m.Steps, m.PlatformCalls, m.PlatformErrors, m.Restores, m.Values, m.Leaves, m.Limits, m.Pauses, m.Rejected, m.EndedUnder,
		m.PeersAsked, m.PeersAnswered, m.PeerTimeouts, m.Delegated, m.Connections, m.AcceptErrors, m.HeadsRefused, m.ConnectionsLimited, m.LateRequests, m.Stopped, m.Moves, m.RefusedMoves, m.ReservationNotices, m.Notices, m.HandoffPause,
		m.predictedFirst, m.actualFirst, m.predictedGap, m.actualGap,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerInvariants()
	return m
}

// ObservePeerTimeout counts an exchange that timed out.
func (m *Metrics) ObservePeerTimeout(reused bool) {
	connection := "new"
	if reused {
		connection = "reused"
	}
	m.PeerTimeouts.WithLabelValues(connection).Inc()
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
}

func histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

func (m *Metrics) registerInvariants() {
	for _, name := range invariant.Names() {
		m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace:   namespace,
			Name:        "invariant_violations_total",
			Help:        "Violations of what must always hold.",
			ConstLabels: prometheus.Labels{"invariant": string(name)},
		}, func() float64 { return float64(invariant.Count(name)) }))
	}
}

// Gauge registers a value that is read when it is asked for.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Memory adds gauges of the memory that is reserved for what others send.
func (m *Metrics) Memory(p membudget.Plan) {
	for name, budget := range map[string]*membudget.Budget{"bodies": p.Bodies, "answers": p.Answers, "peers": p.Peers, "heads": p.Heads} {
		m.Gauge("memory_reserved_"+name+"_bytes", "Memory reserved for "+name+".", func() float64 { return float64(budget.Used()) })
	}
}

// Total registers a counter that is read when it is asked for.
func (m *Metrics) Total(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}

func (m *Metrics) workspace(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.labels[name] {
		return name
	}
	if len(m.labels) >= maxLabels {
		return OtherWorkspace
	}
	m.labels[name] = true
	return name
}

// Observe accounts for a request that has ended. Kind and workspace are empty
// if the request was refused before they were known.
func (m *Metrics) Observe(j *job.Job) {
	if j.Kind == "" || j.Workspace == "" {
		m.Rejected.WithLabelValues(string(j.Code)).Inc()
		return
	}
	ws := m.workspace(j.Workspace)
	m.outcomes.WithLabelValues(ws, j.Kind, j.Outcome.String(), string(j.Code)).Inc()
	m.observeTimings(ws, j.Kind, &j.Timings)
}

// ObserveFailure counts a failed attempt.
func (m *Metrics) ObserveFailure(f retry.Failure) { m.Failures.WithLabelValues(f.String()).Inc() }

// ObserveStep counts what followed a failed attempt.
func (m *Metrics) ObserveStep(s retry.Step) { m.Steps.WithLabelValues(s.String()).Inc() }

// ObserveRun accounts for the timings of a run whose callers are accounted for
// on their own.
func (m *Metrics) ObserveRun(j *job.Job) {
	m.observeTimings(m.workspace(j.Workspace), j.Kind, &j.Timings)
}

func (m *Metrics) observeTimings(ws, kind string, t *job.Timings) {
	if t.TimeToFirstToken == 0 {
		return
	}
	m.stall.WithLabelValues(ws, kind).Observe(t.Stalled.Seconds())
	m.firstToken.WithLabelValues(ws, kind).Observe(t.TimeToFirstToken.Seconds())
	m.queueWait.WithLabelValues(ws, kind).Observe(t.QueueTime.Seconds())
	m.preemptions.WithLabelValues(ws, kind).Add(float64(t.Preemptions))
	if t.ExpectedLatency > 0 {
		m.latencyRatio.WithLabelValues(kind).Observe(t.AttemptLatency.Seconds() / t.ExpectedLatency.Seconds())
	}
	gaps := m.gaps.WithLabelValues(ws, kind)
	for _, g := range t.InterTokenLatencies {
		gaps.Observe(g.Seconds())
	}
}

// ObservePrediction compares a complete answer with what was expected of it. Answers that went on at
// another engine aren't compared.
func (m *Metrics) ObservePrediction(j *job.Job) {
	p := &j.Predicted
	if p.Endpoint == "" || p.Endpoint != j.Endpoint {
		return
	}
	// It is negative if the answer had begun in an earlier attempt.
	first := j.Timings.TimeToFirstToken - p.SentAt.Sub(j.ArrivedAt)
	if p.TimeToFirstToken > 0 && first > 0 {
		m.predictedFirst.Observe(p.TimeToFirstToken.Seconds())
		m.actualFirst.Observe(first.Seconds())
	}
	if p.LongestGap > 0 && first > 0 && j.Timings.MaxInterTokenLatency > 0 {
		m.predictedGap.Observe(p.LongestGap.Seconds())
		m.actualGap.Observe(j.Timings.MaxInterTokenLatency.Seconds())
	}
}

// Age gives the seconds since a time, or -1 if there is none.
func Age(t time.Time) float64 {
	if t.IsZero() {
		return -1
	}
	return clock.Since(t).Seconds()
}
