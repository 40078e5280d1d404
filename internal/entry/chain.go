package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/filters/account"
	"github.com/bridgehoist/bridgehoist/internal/filters/body"
	"github.com/bridgehoist/bridgehoist/internal/filters/bound"
	"github.com/bridgehoist/bridgehoist/internal/filters/claim"
	"github.com/bridgehoist/bridgehoist/internal/filters/classify"
	"github.com/bridgehoist/bridgehoist/internal/filters/drain"
	"github.com/bridgehoist/bridgehoist/internal/filters/identify"
	"github.com/bridgehoist/bridgehoist/internal/filters/quarantined"
	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// callers builds the chain of filters. This is the one place that shows their
// order.
func (e *Entry) callers() http.Handler {
	var run http.Handler = http.HandlerFunc(e.relay)
	run = claim.New(run, e.owner, e.cfg.UnreadTimeout)
	run = drain.RefuseLate(run, &e.intake)
	run = quarantined.New(run, e.beliefs.Guard())
	run = classify.New(run, e.store.Table)
	run = identify.New(run, e.lookupKey)
	run = body.New(run, int64(e.cfg.MaxBodyBytes), e.cfg.BodyTimeout, e.memory.Bodies)
	run = bound.New(run, e.cfg.MaxOpen)
	run = account.New(run, account.Own, e.metrics.Observe)
	run = drain.New(run, e.open, e.stopping.Load)

	var tickets http.Handler = http.HandlerFunc(e.tickets)
	tickets = identify.New(tickets, e.lookupKey)
	tickets = account.New(tickets, account.Own, func(*job.Job) {})

	r := chi.NewRouter()
	r.Handle(httpapi.PathCompletions, run)
	r.Handle(httpapi.PathServices+"{kind}", run)
	r.Handle(httpapi.PathServices+"{kind}/*", run)
	r.Method(http.MethodPost, httpapi.PathTickets, tickets)
	return r
}

// relay runs a request whose kind may be repeated.
func (e *Entry) relay(w http.ResponseWriter, r *http.Request) {
	j := job.FromRequest(r)
	sink := respond.NewWriter(w).CutUnread(e.cfg.UnreadTimeout)
	sink.End(j, e.runner.Run(r.Context(), j, sink))
}

// lookupKey finds the workspace of an API key in the fleet list.
func (e *Entry) lookupKey(key string) (string, bool) {
	held := e.store.Fleet()
	if held == nil || key == "" {
		return "", false
	}
	return held.Value.WorkspaceByKey(key)
}

const (
	// paramCount asks for several tickets at once.
	paramCount = "count"
	maxCount   = 100
)

// tickets gives a caller tickets ahead of its requests.
func (e *Entry) tickets(w http.ResponseWriter, r *http.Request) {
	j := job.FromRequest(r)
	count := 1
	if text := r.URL.Query().Get(paramCount); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxCount {
			respond.Refuse(w, r, outcome.NotRunf(outcome.CodeBadRequest, "count is not within 1 to %d", maxCount))
			return
		}
		count = n
	}
	out := httpapi.Tickets{ValidMS: e.cfg.TicketValidity.Milliseconds()}
	for range count {
		t, ok := e.owner.Mint(j.Workspace)
		if !ok {
			break
		}
		out.Tickets = append(out.Tickets, t)
	}
	if len(out.Tickets) == 0 {
		respond.Refuse(w, r, claim.NoTicket())
		return
	}
	w.Header().Set("Content-Type", httpapi.ContentJSON)
	_ = json.NewEncoder(w).Encode(out)
}

// peerJob makes a job from a request that another entry passed on.
func (e *Entry) peerJob(msg *peerv1.RunRequest) (*job.Job, *outcome.Error) {
	j := &job.Job{
		RequestID:   e.newRequestID(),
		ArrivedAt:   clock.Now(),
		Method:      msg.GetMethod(),
		Path:        msg.GetPath(),
		ContentType: msg.GetContentType(),
		Body:        msg.GetBody(),
		Workspace:   msg.GetWorkspace(),
		Ticket:      msg.GetTicket(),
	}
	if err := classify.Fill(j, msg.GetKind(), e.store.Table()); err != nil {
		return nil, httpapi.Weaken(err)
	}
	return j, nil
}
