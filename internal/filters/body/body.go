// Package body reads the whole body of a request, within bounds of size and
// time. A request is read whole before anything is decided, so that a caller
// that fails while sending has certainly not run.
package body

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// retryAfterBusy is when a caller may come back whose body found no room.
const retryAfterBusy = time.Second

// New makes the filter for bodies of at most limit bytes that arrive within the timeout. They are held in
// memory, which may be nil, until their requests have ended.
func New(next http.Handler, limit int64, timeout time.Duration, memory *membudget.Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := memory.Reserve()
		defer held.Release()
		data, err := read(w, r, held, limit, timeout)
		if err != nil {
			held.Release()
			respond.Refuse(w, r, refusal(r.Context(), err, limit))
			return
		}
		j := job.FromRequest(r)
		j.Body = data
		j.ContentType = r.Header.Get("Content-Type")
		next.ServeHTTP(w, r)
	})
}

// read reads the body until the timeout or the end of the request's context.
func read(w http.ResponseWriter, r *http.Request, held *membudget.Reservation, limit int64, timeout time.Duration) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	interrupted := make(chan struct{})
	stop := context.AfterFunc(r.Context(), func() {
		defer close(interrupted)
		_ = control.SetReadDeadline(time.Now())
	})
	data, err := held.ReadAll(r.Body, limit)
	if !stop() {
		// It must not interrupt what is read after the body.
		<-interrupted
	} else if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return data, err
}

func refusal(ctx context.Context, err error, limit int64) *outcome.Error {
	if errors.Is(err, membudget.ErrExhausted) {
		return outcome.NotRunf(outcome.CodeEntryBusy, "the entry holds too many large bodies already").WithRetryAfter(retryAfterBusy)
	}
	if errors.Is(err, membudget.ErrTooLarge) {
		return outcome.NotRunf(outcome.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	}
	if context.Cause(ctx) == shutdown.ErrStopping {
		return outcome.Stopping()
	}
	return outcome.NotRunf(outcome.CodeBadRequest, "the body could not be read")
}
