// Package body reads the whole body of a request, within bounds of size and
// time. A request is read whole before anything is decided, so that a caller
// that fails while sending has certainly not run.
package body

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// New makes the filter for bodies of at most limit bytes that arrive within
// the timeout.
func New(next http.Handler, limit int64, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(timeout))
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		if err != nil {
			respond.Refuse(w, r, refusal(err, limit))
			return
		}
		_ = control.SetReadDeadline(time.Time{})
		j := job.FromRequest(r)
		j.Body = data
		j.ContentType = r.Header.Get("Content-Type")
		next.ServeHTTP(w, r)
	})
}

func refusal(err error, limit int64) *outcome.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome.NotRunf(outcome.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	}
	return outcome.NotRunf(outcome.CodeBadRequest, "the body could not be read")
}
