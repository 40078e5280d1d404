// Package bound limits the requests that an entry holds open at once, so that a
// flood of callers can't take its memory: each holds a body of bounded size.
package bound

import (
	"net/http"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// retryAfter is when a caller may come back.
const retryAfter = time.Second

// New makes the filter for at most so many requests at once. It stands before
// the body is read.
func New(next http.Handler, most int) http.Handler {
	places := make(chan struct{}, most)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
			next.ServeHTTP(w, r)
		default:
			respond.Refuse(w, r, outcome.NotRunf(outcome.CodeEntryBusy, "the entry holds %d requests already", most).WithRetryAfter(retryAfter))
		}
	})
}
