package gateway

import (
	"net/http"

	"github.com/bridgehoist/bridgehoist/internal/filters/account"
	"github.com/bridgehoist/bridgehoist/internal/filters/body"
	"github.com/bridgehoist/bridgehoist/internal/filters/bound"
	"github.com/bridgehoist/bridgehoist/internal/filters/drain"
	"github.com/bridgehoist/bridgehoist/internal/filters/quarantined"
	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/filters/route"
	"github.com/bridgehoist/bridgehoist/internal/job"
)

// callers builds the chain of filters. This is the one place that shows their
// order.
func (g *Gateway) callers() http.Handler {
	var run http.Handler = http.HandlerFunc(g.relay)
	run = drain.RefuseLate(run, &g.intake)
	run = quarantined.New(run, g.beliefs.Guard())
	run = body.New(run, int64(g.cfg.MaxBodyBytes), g.cfg.BodyTimeout, g.memory.Bodies)
	run = route.New(run, g.tableInForce)
	run = bound.New(run, g.cfg.MaxOpen)
	run = account.New(run, g.fill, g.onRequest)
	run = drain.New(run, g.open, g.sendsAway)
	return run
}

func (g *Gateway) fill(_ http.ResponseWriter, r *http.Request, j *job.Job) {
	g.protocol.ReadCaller(j, r.Header)
	j.ExactRetryAfter = true
	if d := delegationOf(r.Context()); d != nil {
		j.DelegatedBy, d.job = d.from, j
	}
}

func (g *Gateway) relay(w http.ResponseWriter, r *http.Request) {
	j := job.FromRequest(r)
	sink := respond.NewWriter(w).CutUnread(g.cfg.UnreadTimeout)
	sink.End(j, g.run(r, j, sink))
}
