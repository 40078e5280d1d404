// Package claim makes requests of kinds that may not be repeated run at most
// once: they need a ticket, and the owner of the ticket runs them.
package claim

import (
	"net/http"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/owner"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// retryAfterFull is when a caller may come back for a ticket.
const retryAfterFull = 2 * time.Second

// New makes the filter. Requests without a ticket whose kind may be repeated go on to next. An answer is cut off if its
// caller doesn't read on for the time unread.
func New(next http.Handler, o *owner.Owner, unread time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j := job.FromRequest(r)
		t, ok := claims.ParseTicket(j.Ticket)
		switch {
		case ok:
			serve(w, r, o, t, j, unread)
		case j.Ticket != "":
			// Damaged on its way: what it stood for may have run.
			respond.Refuse(w, r, outcome.MayHaveRunf(outcome.CodeTicketInvalid, "the ticket can't be read"))
		case j.Row.Idempotent:
			next.ServeHTTP(w, r)
		default:
			askForTicket(w, r, o, j)
		}
	})
}

// askForTicket refuses a request and gives the caller the ticket to send it
// with. A key that the caller made up can't tell a first attempt from a repeat.
func askForTicket(w http.ResponseWriter, r *http.Request, o *owner.Owner, j *job.Job) {
	if !giveTicket(w, o, j) {
		respond.Refuse(w, r, NoTicket())
		return
	}
	respond.Refuse(w, r, outcome.NotRunf(outcome.CodeTicketRequired,
		"kind %q may not be repeated: send the request with the %s given here", j.Kind, httpapi.HeaderTicket))
}

// NoTicket refuses a caller that needs a ticket while none can be given.
func NoTicket() *outcome.Error {
	return outcome.NotRunf(outcome.CodeStopping, "no ticket can be given now").WithRetryAfter(retryAfterFull)
}

func giveTicket(w http.ResponseWriter, o *owner.Owner, j *job.Job) bool {
	ticket, ok := o.Mint(j.Workspace)
	if ok {
		w.Header().Set(httpapi.HeaderTicket, ticket)
	}
	return ok
}

// serve answers through the owner. A refusal burns the ticket, so it comes with
// a new one.
func serve(w http.ResponseWriter, r *http.Request, o *owner.Owner, t claims.Ticket, j *job.Job, unread time.Duration) {
	sink := respond.NewWriter(w).CutUnread(unread)
	err := o.Serve(r.Context(), t, j, sink)
	if err != nil && err.Outcome == outcome.NotRun {
		giveTicket(w, o, j)
	}
	sink.End(j, err)
}
