// Package account is the first filter: it makes the job, gives it an id, and
// accounts for it when it has ended.
package account

import (
	"net/http"

	"github.com/google/uuid"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
)

// Fill completes a new job with what the headers of its request say.
type Fill func(w http.ResponseWriter, r *http.Request, j *job.Job)

// New makes the filter; observe is told of each job that has ended.
func New(next http.Handler, fill Fill, observe func(*job.Job)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j := &job.Job{
			ArrivedAt: clock.Now(),
			Method:    r.Method,
			Path:      r.RequestURI,
			Host:      r.Host,
		}
		fill(w, r, j)
		defer observe(j)
		next.ServeHTTP(w, job.WithJob(r, j))
	})
}

// Own fills jobs of the system's own interface: it gives them an id, and finds
// their tickets.
func Own(w http.ResponseWriter, r *http.Request, j *job.Job) {
	j.RequestID = uuid.NewString()
	// No route depends on it, and peers that pass a request on don't tell it.
	j.Host = ""
	j.Path = r.URL.RequestURI()
	j.Ticket = ticketOf(r)
	w.Header().Set(httpapi.HeaderRequestID, j.RequestID)
}

// ticketOf finds the ticket of a request. Keys that callers made up are no
// tickets and are left out.
func ticketOf(r *http.Request) string {
	for _, name := range []string{httpapi.HeaderTicket, httpapi.HeaderIdempotencyKey} {
		if t := r.Header.Get(name); claims.HasTicketPrefix(t) {
			return t
		}
	}
	return ""
}
