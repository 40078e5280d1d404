// Package respond writes outcomes: the one place where an answer, a failure
// before it or a failure within it reaches the caller.
package respond

import (
	"net/http"

	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Writer is a job.Sink on a caller's connection.
type Writer struct {
	w           http.ResponseWriter
	flusher     *http.ResponseController
	started     bool
	contentType string
}

var _ job.Sink = (*Writer)(nil)

// NewWriter makes a sink.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{w: w, flusher: http.NewResponseController(w)}
}

// Header implements job.Sink.
func (s *Writer) Header(status int, contentType string) {
	s.started = true
	s.contentType = contentType
	if contentType != "" {
		s.w.Header().Set("Content-Type", contentType)
	}
	if contentType != httpapi.ContentEvents {
		s.w.Header().Set(httpapi.HeaderOutcome, outcome.Complete.String())
	}
	s.w.WriteHeader(status)
}

// Data implements job.Sink.
func (s *Writer) Data(part []byte) error {
	_, err := s.w.Write(part)
	return err
}

// Flush implements job.Sink.
func (s *Writer) Flush() { _ = s.flusher.Flush() }

// End writes the outcome of a job whose answer went to this writer.
func (s *Writer) End(j *job.Job, err *outcome.Error) {
	if !invariant.Check(j.Outcome == outcome.Unknown, invariant.OneFinal, "second outcome of %s", j.RequestID) {
		return
	}
	if err == nil {
		j.Outcome = outcome.Complete
		return
	}
	if j.Ticket != "" && !j.OwnerAnswered {
		err = httpapi.Weaken(err)
	}
	j.Outcome = err.Outcome
	j.Code = err.Code
	if !s.started {
		httpapi.WriteError(s.w, err)
		return
	}
	s.breakOff(err)
}

// breakOff ends an answer that was begun. A stream gets an error event; any
// other body is cut, so that the caller can't take it for whole.
func (s *Writer) breakOff(err *outcome.Error) {
	if s.contentType != httpapi.ContentEvents {
		panic(http.ErrAbortHandler)
	}
	if s.Data(httpapi.ErrorEvent(err)) == nil {
		s.Flush()
	}
}

// Refuse answers a request that isn't run.
func Refuse(w http.ResponseWriter, r *http.Request, err *outcome.Error) {
	NewWriter(w).End(job.From(r), err)
}
