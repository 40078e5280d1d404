// Package drain ends the requests of a process that is about to end.
package drain

import (
	"context"
	"net/http"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/httpserver"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// New returns the filter. When open ends, so do the contexts of the requests whose response has not
// begun, with the same cause. Responses that begin while closing returns true ask callers to close
// their connections.
func New(next http.Handler, open context.Context, closing func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, release := shutdown.Abortable(r.Context(), open)
		defer release()
		begin := func() {
			shutdown.BeginResponse(ctx)
			httpserver.CloseAfter(w, closing())
		}
		next.ServeHTTP(httpserver.BeforeResponse(w, begin), r.WithContext(ctx))
	})
}

// RefuseLate returns the filter that refuses requests which intake doesn't take. It stands behind the one that reads the
// body.
func RefuseLate(next http.Handler, intake *shutdown.Intake) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !intake.Takes(job.FromRequest(r).Deadline()) {
			respond.Refuse(w, r, outcome.Stopping())
			return
		}
		next.ServeHTTP(w, r)
	})
}
