package httpserver

import "net/http"

// BeforeResponse returns a writer that calls begin once, just before the response begins.
func BeforeResponse(w http.ResponseWriter, begin func()) http.ResponseWriter {
	return &responseWriter{ResponseWriter: w, begin: begin}
}

// CloseAfter asks the client to close its connection after the response if closes is true. It must be called before
// the response begins.
func CloseAfter(w http.ResponseWriter, closes bool) {
	if closes {
		w.Header().Set("Connection", "close")
	}
}

type responseWriter struct {
	http.ResponseWriter
	begin func()
	begun bool
}

// Unwrap serves http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beginOnce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.beginOnce()
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() { _ = w.FlushError() }

// FlushError serves http.ResponseController.
func (w *responseWriter) FlushError() error {
	w.beginOnce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *responseWriter) beginOnce() {
	if !w.begun {
		w.begun = true
		w.begin()
	}
}
