// Package drain ends the requests of a process that is about to end.
package drain

import (
	"context"
	"net/http"
)

// New returns the filter. When open ends, so do the contexts of the requests whose response has not
// begun, with the same cause. Responses that begin while closing returns true ask callers to close
// their connections.
func New(next http.Handler, open context.Context, closing func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		detach := context.AfterFunc(open, func() { cancel(context.Cause(open)) })
		defer detach()
		if open.Err() != nil {
			// AfterFunc cancels in another goroutine.
			cancel(context.Cause(open))
		}
		next.ServeHTTP(&responseWriter{ResponseWriter: w, detach: detach, closing: closing}, r.WithContext(ctx))
	})
}

// responseWriter detaches the request from the end of the process when its response begins.
type responseWriter struct {
	http.ResponseWriter
	detach  func() bool
	closing func() bool
	begun   bool
}

// Unwrap serves http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

func (w *responseWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	w.detach()
	if w.closing() {
		w.Header().Set("Connection", "close")
	}
}
