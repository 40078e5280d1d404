// Package respond writes outcomes: the one place where an answer, a failure
// before it or a failure within it reaches the caller.
package respond

import (
	"net/http"
	"strconv"
	"time"

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
	// passed says that the answer is an endpoint's, passed on as it came.
	passed bool
	// unread is for how long a caller may leave the answer unread; zero is for ever.
	unread time.Duration
	// allowed is when the caller was last given that time.
	allowed time.Time
}

var _ job.Sink = (*Writer)(nil)

// NewWriter makes a sink.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{w: w, flusher: http.NewResponseController(w)}
}

// CutUnread has the answer cut off when the caller hasn't read on for so long. What an entry and an
// endpoint hold for a caller that doesn't read would else be held until he leaves. The caller's
// connection is closed then.
func (s *Writer) CutUnread(after time.Duration) *Writer {
	s.unread = after
	return s
}

// allowParts is how many times within the time for reading it is renewed: setting it takes a timer.
const allowParts = 4

// allow gives the caller time to read what is written next.
func (s *Writer) allow() {
	now := time.Now()
	if s.unread == 0 || now.Sub(s.allowed) < s.unread/allowParts {
		return
	}
	s.allowed = now
	// Recorders of tests have no connection, so no deadline either.
	_ = s.flusher.SetWriteDeadline(now.Add(s.unread))
}

var _ job.HeaderSink = (*Writer)(nil)

// Start implements job.HeaderSink.
func (s *Writer) Start(status int, h http.Header, length int64) {
	s.started = true
	s.passed = true
	out := s.w.Header()
	for name, values := range h {
		out[name] = values
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.w.WriteHeader(status)
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
	s.allow()
	_, err := s.w.Write(part)
	return err
}

// Flush implements job.Sink.
func (s *Writer) Flush() {
	s.allow()
	_ = s.flusher.Flush()
}

// End writes the outcome of a job whose answer went to this writer.
func (s *Writer) End(j *job.Job, err *outcome.Error) {
	if !invariant.Check(j.Outcome == outcome.Unknown, invariant.OneFinal, "second outcome of %s", j.RequestID) {
		return
	}
	if err == nil {
		j.Outcome = outcome.Complete
		// The end of a body in chunks is written when the handler returns.
		s.allow()
		return
	}
	if j.Ticket != "" && !j.OwnerAnswered {
		err = httpapi.Weaken(err)
	}
	j.Outcome = err.Outcome
	j.Code = err.Code
	j.Reason = err.Message
	if !s.started {
		httpapi.WriteError(s.w, err, j.ExactRetryAfter)
		return
	}
	s.breakOff(err)
}

// breakOff ends an answer that was begun. A stream of the system's own gets an
// error event; anything else is cut, so that the caller can't take it for whole.
func (s *Writer) breakOff(err *outcome.Error) {
	if s.passed || s.contentType != httpapi.ContentEvents {
		panic(http.ErrAbortHandler)
	}
	if s.Data(httpapi.ErrorEvent(err)) == nil {
		s.Flush()
	}
}

// Refuse answers a request that isn't run.
func Refuse(w http.ResponseWriter, r *http.Request, err *outcome.Error) {
	NewWriter(w).End(job.FromRequest(r), err)
}
