package entry

import (
	"context"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/contain"
	"github.com/bridgehoist/bridgehoist/internal/crashwatch"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// makeGuard makes what keeps requests that crash what runs them from endpoints.
func (e *Entry) makeGuard() {
	e.beliefs.Guard().OnNewFacts(func(c []contain.Change) { contain.LogChanges(e.log, c) }, e.kick)
	e.crashes = crashwatch.New(crashwatch.Config{
		Probe:               upstream.LookAt,
		TerminationExpected: e.endExpected,
		LatestInstance:      e.latestInstance,
		Superseded:          e.superseded,
		CountTerminations:   e.beliefs.Guard().CountTerminations,
		OnTermination:       e.onEnded,
	})
}

// listed finds an endpoint on the list in force.
func (e *Entry) listed(id string) (fleet.Endpoint, bool) {
	held := e.store.Fleet()
	if held == nil {
		return fleet.Endpoint{}, false
	}
	return held.Value.Endpoint(id)
}

// endExpected reports whether the end of an endpoint is no surprise: it is known to leave, or
// isn't listed any more.
func (e *Entry) endExpected(at fleet.Endpoint) bool {
	_, listed := e.listed(at.ID)
	return !listed || e.beliefs.IsLeaving(at)
}

// latestInstance returns an endpoint with the latest incarnation known to run at its address.
func (e *Entry) latestInstance(at fleet.Endpoint) fleet.Endpoint {
	if listed, ok := e.listed(at.ID); !ok || listed.Address != at.Address {
		return at
	}
	return e.beliefs.LatestInstance(at)
}

// superseded reports whether the list in force shows that a life of an endpoint has ended.
func (e *Entry) superseded(at fleet.Endpoint) bool {
	held := e.store.Fleet()
	return held != nil && held.Value.Supersedes(at)
}

// onBroken takes the news that a request broke off at an endpoint.
func (e *Entry) onBroken(j *job.Job, at fleet.Endpoint, sent time.Time) {
	e.crashes.RecordBrokenRun(context.Background(), at, crashwatch.Run{RequestID: j.RequestID, Identity: j.Identity(), Parts: j.SharedParts(), SentAt: sent, InterruptedAt: clock.Now()})
}

// onEnded holds it against requests that an endpoint ended unannounced while they ran there.
func (e *Entry) onEnded(end crashwatch.Termination, under []crashwatch.Run) {
	e.metrics.EndedUnder.Add(float64(len(under)))
	e.log.Warn("endpoint ended under requests", "endpoint", end.Endpoint.ID, "incarnation", end.Endpoint.Incarnation, "requests", len(under))
	e.beliefs.Guard().RecordTermination(end, under)
}
