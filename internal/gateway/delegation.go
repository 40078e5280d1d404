package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/runner"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/platform"
)

const (
	// maxDelegates is how many peers are asked to serve one request. A peer may have lost its links
	// too, and not have announced it yet.
	maxDelegates = 3
	// retryAfterDelegated is for a request that a peer refused because it has too many.
	retryAfterDelegated = time.Second
)

// makeDelegation creates the client for delegated requests and the bound of those of peers.
func (g *Gateway) makeDelegation() {
	g.delegated = make(chan struct{}, g.cfg.MaxDelegated)
	g.delegator = peering.NewDelegator(g.vm.VM, tcpconn.Dialer(peerDialTimeout), g.memory.Peers)
}

// run runs a request at an endpoint, or at a peer if this entry can't reach any endpoint of its target.
func (g *Gateway) run(r *http.Request, j *job.Job, sink *respond.Writer) *outcome.Error {
	if delegationOf(r.Context()) != nil || g.cfg.Without.has(mechDelegation) {
		return g.runner.Run(r.Context(), j, sink)
	}
	disconnected := g.targetDisconnected(j.Row.Target)
	if disconnected {
		if served, err := g.delegate(r, j, sink); served {
			return err
		}
	}
	err := g.runner.Run(r.Context(), j, sink)
	if err == nil || err.Outcome != outcome.NotRun || disconnected || !endpointsUnreachable[err.Code] {
		return err
	}
	if served, final := g.delegate(r, j, sink); served {
		return final
	}
	return err
}

// endpointsUnreachable are the codes of requests that did not run because no endpoint could be
// connected to.
var endpointsUnreachable = map[outcome.Code]bool{outcome.CodeNoEndpoint: true, outcome.CodeEndpointLost: true}

func (g *Gateway) targetDisconnected(target string) (disconnected bool) {
	g.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { disconnected = s.TargetDisconnected(target) })
	return disconnected
}

// ownRefusals are the codes with which a peer refuses a request that another entry may serve: it
// reaches no endpoint either, has no room for delegated requests, stops, or has another table.
var ownRefusals = map[outcome.Code]bool{
	outcome.CodeNoEndpoint: true, outcome.CodeEndpointLost: true, outcome.CodeDelegateLost: true, outcome.CodeEntryBusy: true,
	outcome.CodeStopping: true, outcome.CodeNoTable: true, outcome.CodeUnknownKind: true, outcome.CodeUnauthenticated: true,
}

// delegate has a peer serve a request. served is false if no peer could; the request has not run then.
func (g *Gateway) delegate(r *http.Request, j *job.Job, sink *respond.Writer) (served bool, err *outcome.Error) {
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { err = s.EndsAfterStop(now, runner.Request(j, "")) })
	if err != nil {
		return true, err
	}
	ctx, cancel := clock.WithDeadline(r.Context(), j.Deadline())
	defer cancel()
	now := clock.Now()
	target := j.Row.Target
	skip := func(vm string) bool { return g.refusals.refused(now, vm, target) }
	for _, peer := range g.beliefs.Delegates(target, maxDelegates, skip) {
		left := j.TimeRemaining(ctx)
		if left <= 0 {
			break
		}
		err := g.delegator.Delegate(ctx, peer, j, platform.DelegatedHeader(r.Header, left), &delegatedSink{Writer: sink, job: j})
		if err != nil && err.Code == outcome.CodeDelegateLost && ctx.Err() != nil {
			// The call was given up here; that says nothing about the peer.
			j.Delegate = peer.VM
			err.Code = shutdown.Code(ctx)
		}
		g.countDelegated("out", err)
		if err == nil || err.Outcome != outcome.NotRun || !ownRefusals[err.Code] || ctx.Err() != nil {
			j.Delegate = peer.VM
			return true, err
		}
		g.refusals.record(clock.Now(), peer.VM, target)
		g.log.Warn("delegation refused", "request", j.RequestID, "peer", peer.VM, "target", target, "code", err.Code, "reason", err.Message)
	}
	return false, nil
}

// refusalMemory is how long a peer is left out that refused a request for a target. By then its
// record tells whether it reaches the target.
const refusalMemory = time.Second

// delegationRefusals remembers which peers refused delegated requests. The zero value is empty. It is
// safe for concurrent use.
type delegationRefusals struct {
	mu sync.Mutex
	at map[refusalKey]time.Time
}

type refusalKey struct{ vm, target string }

func (d *delegationRefusals) refused(now time.Time, vm, target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.at[refusalKey{vm, target}]
	return ok && now.Sub(at) < refusalMemory
}

func (d *delegationRefusals) record(now time.Time, vm, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.at, func(_ refusalKey, at time.Time) bool { return now.Sub(at) >= refusalMemory })
	if d.at == nil {
		d.at = map[refusalKey]time.Time{}
	}
	d.at[refusalKey{vm, target}] = now
}

func (g *Gateway) countDelegated(direction string, err *outcome.Error) {
	result := outcome.Complete
	if err != nil {
		result = err.Outcome
	}
	g.metrics.Delegated.WithLabelValues(direction, result.String()).Inc()
}

// delegatedSink records the progress of a delegated request.
type delegatedSink struct {
	*respond.Writer
	job  *job.Job
	last time.Time
}

// Data implements job.Sink.
func (s *delegatedSink) Data(part []byte) error {
	s.last = s.job.Timings.RecordProgress(s.job.ArrivedAt, s.last)
	return s.Writer.Data(part)
}

// delegation is the context of a request that a peer has delegated to this entry.
type delegation struct {
	from string
	job  *job.Job
}

type delegationKey struct{}

func delegationOf(ctx context.Context) *delegation {
	d, _ := ctx.Value(delegationKey{}).(*delegation)
	return d
}

// admitDelegated decides whether a request of a peer is served.
func (g *Gateway) admitDelegated() (release func(), refusal *outcome.Error) {
	defer func() {
		if refusal != nil {
			g.countDelegated("in", refusal)
		}
	}()
	if g.stopping.Load() {
		return nil, outcome.NotRunf(outcome.CodeStopping, "the entry is stopping")
	}
	select {
	case g.delegated <- struct{}{}:
		return func() { <-g.delegated }, nil
	default:
		return nil, outcome.NotRunf(outcome.CodeEntryBusy, "the entry serves %d requests of peers already", cap(g.delegated)).WithRetryAfter(retryAfterDelegated)
	}
}

// serveDelegated serves a request of a peer like one of a caller.
func (g *Gateway) serveDelegated(callers http.Handler, from string, w http.ResponseWriter, r *http.Request) (err *outcome.Error) {
	defer func() { g.countDelegated("in", err) }()
	d := &delegation{from: from}
	serveAbortable(callers, w, r.WithContext(context.WithValue(r.Context(), delegationKey{}, d)))
	if d.job.Outcome == outcome.Complete {
		return nil
	}
	return outcome.New(d.job.Outcome, d.job.Code, "%s", d.job.Reason).WithRetryAfter(httpapi.ReadRetryAfter(w.Header()))
}

// serveAbortable calls a handler that may abort its response with http.ErrAbortHandler.
func serveAbortable(h http.Handler, w http.ResponseWriter, r *http.Request) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	h.ServeHTTP(w, r)
}

// awaitDelegated waits until the responses to the requests that peers have delegated are written, or ctx ends.
func (g *Gateway) awaitDelegated(ctx context.Context) {
	for range cap(g.delegated) {
		select {
		case g.delegated <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}
