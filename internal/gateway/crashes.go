package gateway

import (
	"github.com/bridgehoist/bridgehoist/internal/crashwatch"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// endExpected reports whether the end of an endpoint is no surprise: it is known to leave,
// or it isn't listed any more, as some that leave don't announce it.
func (g *Gateway) endExpected(e fleet.Endpoint) bool {
	_, listed := g.endpoint(e.ID)
	return !listed || g.beliefs.Leaving(e)
}

// onBroken takes the news that a request broke off at an endpoint.
func (g *Gateway) onBroken(j *job.Job, at fleet.Endpoint) {
	g.crashes.Broken(g.work, at, crashwatch.Run{RequestID: j.RequestID, Identity: j.Identity()})
}

// onEnded logs that an endpoint ended unannounced while requests ran there.
func (g *Gateway) onEnded(at fleet.Endpoint, under []crashwatch.Run) {
	g.metrics.EndedUnder.Add(float64(len(under)))
	for _, run := range under {
		g.log.Warn("endpoint ended under a request", "request", run.RequestID, "identity", run.Identity, "endpoint", at.ID,
			"start", at.Incarnation, "address", at.Address, "beside", len(under)-1, "fleet", g.fleetRevision())
	}
}
