// Package quarantined refuses requests that crash what runs them, before they wait for an
// endpoint. The runner asks once more right before each send, as the news may come while a
// request waits.
package quarantined

import (
	"net/http"

	"github.com/bridgehoist/bridgehoist/internal/contain"
	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/job"
)

// New makes the filter. It stands behind the one that reads the body.
func New(next http.Handler, guard *contain.Guard) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := guard.Check(job.FromRequest(r)); err != nil {
			respond.Refuse(w, r, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}
