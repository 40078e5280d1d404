package gateway

import (
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/crashwatch"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// endExpected reports whether the end of an endpoint is no surprise: it is known to leave,
// or it isn't listed any more, as some that leave don't announce it.
func (g *Gateway) endExpected(e fleet.Endpoint) bool {
	_, listed := g.endpoint(e.ID)
	return !listed || g.beliefs.IsLeaving(e)
}

// latestInstance returns an endpoint with the latest incarnation known to run at its address.
func (g *Gateway) latestInstance(e fleet.Endpoint) fleet.Endpoint {
	if listed, ok := g.endpoint(e.ID); !ok || listed.Address != e.Address {
		return e
	}
	return g.beliefs.LatestInstance(e)
}

// superseded reports whether the list in force shows that a life of an endpoint has ended.
func (g *Gateway) superseded(e fleet.Endpoint) bool {
	list := g.inForce.Load()
	return list != nil && list.Supersedes(e)
}

// interruptedRun describes a run that ends now without its whole answer.
func interruptedRun(j *job.Job, sent time.Time) crashwatch.Run {
	run := crashwatch.Run{RequestID: j.RequestID, Identity: j.Identity(), Parts: j.SharedParts(), SentAt: sent, InterruptedAt: clock.Now()}
	if j.Survived() {
		run.Parts = nil
	}
	return run
}

// onBroken takes the news that a request broke off at an endpoint.
func (g *Gateway) onBroken(j *job.Job, at fleet.Endpoint, sent time.Time) {
	g.crashes.RecordBrokenRun(g.work, at, interruptedRun(j, sent))
}

// onUnframedEnd takes the news that an answer without a length ended with its connection.
func (g *Gateway) onUnframedEnd(j *job.Job, at fleet.Endpoint, sent time.Time) {
	g.crashes.RecordUnframedEnd(g.work, at, interruptedRun(j, sent), func() { g.beliefs.Guard().RecordCompletion(j) })
}

// onLeft takes the news that a caller left while its request ran at an endpoint.
func (g *Gateway) onLeft(j *job.Job, at fleet.Endpoint, sent time.Time) {
	g.crashes.RecordAbandonedRun(at, interruptedRun(j, sent))
}

// onEnded holds it against requests that an endpoint ended unannounced while they ran there.
func (g *Gateway) onEnded(end crashwatch.Termination, under []crashwatch.Run) {
	g.metrics.EndedUnder.Add(float64(len(under)))
	for _, run := range under {
		g.log.Warn("endpoint ended under a request", "request", run.RequestID, "identity", run.Identity, "parts", quarantine.JoinParts(run.Parts), "endpoint", end.Endpoint.ID,
			"start", end.Endpoint.Incarnation, "unlisted", end.UnlistedInstances, "address", end.Endpoint.Address, "beside", len(under)-1, "fleet", g.fleetRevision())
	}
	g.beliefs.Guard().RecordTermination(end, under)
}

// tellSoon has the other entries told without waiting for the next round.
func (g *Gateway) tellSoon() {
	if g.caughtUp.Load() {
		g.exchange.RequestRound()
	}
}

// checkHandoff refuses to take a request in quarantine to another engine.
func (g *Gateway) checkHandoff(j *job.Job) error {
	if err := g.beliefs.Guard().Check(j); err != nil {
		return err
	}
	// Not the nil of another type, which isn't a nil error.
	return nil
}
