// Package shutdown plans how a process ends and tells the requests that it still holds.
//
//	[serving] --signal--> [draining] --Abort--> [answering] --Close--> [closed]
//
// A draining process serves the requests that it has and those that still arrive, unless they may not
// end before Abort. Once its listener is closed, after the drain delay, it takes only those whose deadline is
// before Abort. At Abort every request whose response has not begun gets its final
// answer: a refusal if it has not run, and a failure otherwise. Connections that are still open at
// Close are closed. Streams that have begun may use the time until then.
package shutdown

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

const (
	// maxCloseMargin is the time between Close and the end of the grace period: the process informs its
	// peers and exits.
	maxCloseMargin = 700 * time.Millisecond
	// maxAnswerTime is the time between Abort and Close: final answers are written and delivered.
	maxAnswerTime = 500 * time.Millisecond
	// maxMarginShare bounds either margin as a fraction of a short grace period.
	maxMarginShare = 4
)

// ErrStopping is the cause of contexts that end because the process is about to end.
var ErrStopping = errors.New("the entry is stopping")

// Schedule holds the times of a shutdown, on package clock's clock.
type Schedule struct {
	Abort, Close time.Time
}

// NewSchedule returns the schedule of a process that got its signal at begun and may be killed after
// the grace period.
func NewSchedule(begun time.Time, grace time.Duration) Schedule {
	closing := begun.Add(grace - min(maxCloseMargin, grace/maxMarginShare))
	return Schedule{Abort: closing.Add(-min(maxAnswerTime, grace/maxMarginShare)), Close: closing}
}

// AnswerTime returns the time for final answers, between Abort and Close. It counts from when the requests have ended: a
// process that is held up may run again only after the time of Close.
func (s Schedule) AnswerTime() time.Duration { return s.Close.Sub(s.Abort) }

// Intake decides which requests a process still takes that have arrived whole. The zero value takes all. It is safe for
// concurrent use.
type Intake struct{ abort atomic.Pointer[time.Time] }

// Close takes only requests from now on whose deadline is at most abort.
func (i *Intake) Close(abort time.Time) { i.abort.Store(&abort) }

// Takes reports whether a request with a deadline is taken.
func (i *Intake) Takes(deadline time.Time) bool {
	abort := i.abort.Load()
	return abort == nil || !deadline.After(*abort)
}

type beginKey struct{}

// Abortable returns a context that ends with open, and with its cause, unless BeginResponse was called on it
// before. release must be called when the request has ended.
func Abortable(ctx, open context.Context) (abortable context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	abort := func() { cancel(context.Cause(open)) }
	detach := context.AfterFunc(open, abort)
	if open.Err() != nil {
		// AfterFunc calls abort in another goroutine.
		abort()
	}
	begin := sync.OnceValue(func() bool {
		if detach() {
			return true
		}
		abort()
		return false
	})
	return context.WithValue(ctx, beginKey{}, begin), func() {
		detach()
		cancel(nil)
	}
}

// BeginResponse reports whether the response to a request may begin. If so, the end of the process doesn't end the
// request from now on. If not, it has ended the request, and a response that isn't complete yet would be cut.
func BeginResponse(ctx context.Context) bool {
	begin, ok := ctx.Value(beginKey{}).(func() bool)
	return !ok || begin()
}

// Code returns the code of a request whose context has ended.
func Code(ctx context.Context) outcome.Code {
	switch {
	case clock.Expired(ctx):
		return outcome.CodeDeadlineUnreachable
	case context.Cause(ctx) == ErrStopping:
		return outcome.CodeStopping
	default:
		return outcome.CodeCallerGone
	}
}

// NotRun returns the outcome of a request whose context ended before it was sent.
func NotRun(ctx context.Context) *outcome.Error {
	switch code := Code(ctx); code {
	case outcome.CodeStopping:
		return outcome.Stopping()
	case outcome.CodeDeadlineUnreachable:
		return outcome.NotRunf(code, "the time is up")
	default:
		return outcome.NotRunf(code, "the caller has gone")
	}
}
