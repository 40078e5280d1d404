// Package account is the first filter: it makes the job, gives it an id, and
// accounts for it when it has ended.
package account

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
)

// New makes the filter; observe is told of each job that has ended.
func New(next http.Handler, observe func(*job.Job)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		j := &job.Job{
			RequestID: uuid.NewString(),
			Arrived:   time.Now(),
			Method:    r.Method,
			Path:      r.URL.RequestURI(),
			Ticket:    ticketOf(r),
		}
		w.Header().Set(httpapi.HeaderRequestID, j.RequestID)
		defer observe(j)
		next.ServeHTTP(w, job.With(r, j))
	})
}

// ticketOf finds the ticket of a request. Keys that callers made up are no
// tickets and are left out.
func ticketOf(r *http.Request) string {
	for _, name := range []string{httpapi.HeaderTicket, httpapi.HeaderIdempotencyKey} {
		if t := r.Header.Get(name); claims.LooksLikeTicket(t) {
			return t
		}
	}
	return ""
}
