// Package drain ends the requests of a process that is about to end.
package drain

import (
	"context"
	"net/http"

	"github.com/bridgehoist/bridgehoist/internal/shutdown"
)

// New returns the filter. When open ends, so do the contexts of the requests whose response has not
// begun, with the same cause. Responses that begin while closing returns true ask callers to close
// their connections.
func New(next http.Handler, open context.Context, closing func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, release := shutdown.Abortable(r.Context(), open)
		defer release()
		begin := func() { shutdown.BeginResponse(ctx) }
		next.ServeHTTP(&responseWriter{ResponseWriter: w, begin: begin, closing: closing}, r.WithContext(ctx))
	})
}

// responseWriter detaches the request from the end of the process when its response begins.
type responseWriter struct {
	http.ResponseWriter
	begin   func()
	closing func() bool
	begun   bool
}

// Unwrap serves http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.beginResponse()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.beginResponse()
	return w.ResponseWriter.Write(b)
}

func (w *responseWriter) beginResponse() {
	if w.begun {
		return
	}
	w.begun = true
	w.begin()
	if w.closing() {
		w.Header().Set("Connection", "close")
	}
}
