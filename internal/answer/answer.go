// Package answer buffers the answer of a run for any number of callers. The run
// appends to a Log, and each follower copies the Log to its sink from the start.
package answer

import (
	"context"
	"runtime"
	"sync"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// MaxBytes is the maximum size of the body of one answer.
const MaxBytes = 4 << 20

// ErrTooLarge is returned when an answer exceeds MaxBytes.
var ErrTooLarge = errors.New("answer: too large")

// Log is an append-only buffer of an answer that may be incomplete. It implements
// job.Sink and is safe for concurrent use.
type Log struct {
	mu          sync.Mutex
	changed     chan struct{}
	started     bool
	status      int
	contentType string
	data        []byte
	closed      bool
	err         *outcome.Error
	memory      *membudget.Reservation
}

// NewLog returns an empty log, whose memory is reserved in a budget until the last follower has left. A nil budget is
// unlimited.
func NewLog(memory *membudget.Budget) *Log {
	l := &Log{changed: make(chan struct{}), memory: memory.Reserve()}
	runtime.AddCleanup(l, (*membudget.Reservation).Release, l.memory)
	return l
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Header implements job.Sink.
func (l *Log) Header(status int, contentType string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = true
	l.status = status
	l.contentType = contentType
	l.notify()
}

// Data implements job.Sink. It returns membudget.ErrExhausted if there is no memory left.
func (l *Log) Data(part []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.data)+len(part) > MaxBytes {
		return ErrTooLarge
	}
	// The buffer grows by doubling.
	if !l.memory.Resize(2 * int64(len(l.data)+len(part))) {
		return membudget.ErrExhausted
	}
	l.data = append(l.data, part...)
	l.notify()
	return nil
}

// Flush implements job.Sink.
func (l *Log) Flush() {}

// Close marks the log as ended with its outcome; nil means complete.
func (l *Log) Close(err *outcome.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.err = err
	l.notify()
}

// Answer returns the status, content type and body written so far; status is 0
// before the header.
func (l *Log) Answer() (status int, contentType string, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status, l.contentType, l.data
}

type snapshot struct {
	started     bool
	status      int
	contentType string
	data        []byte
	closed      bool
	err         *outcome.Error
	changed     <-chan struct{}
}

func (l *Log) snapshot(offset int) snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return snapshot{l.started, l.status, l.contentType, l.data[offset:], l.closed, l.err, l.changed}
}

// Follow copies the log to the sink until the log is closed, ctx is done or the
// sink fails. The run continues when a follower stops.
func (l *Log) Follow(ctx context.Context, sink job.Sink) *outcome.Error {
	offset := 0
	headerSent := false
	for {
		v := l.snapshot(offset)
		if v.started && !headerSent {
			if !v.closed && !shutdown.BeginResponse(ctx) {
				return unfollowed(ctx)
			}
			sink.Header(v.status, v.contentType)
			headerSent = true
		}
		if len(v.data) > 0 {
			if err := sink.Data(v.data); err != nil {
				return unfollowed(ctx)
			}
			sink.Flush()
			offset += len(v.data)
		}
		if v.closed {
			return v.err
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return unfollowed(ctx)
		}
	}
}

// unfollowed is the outcome for a caller that the rest of the answer doesn't reach.
func unfollowed(ctx context.Context) *outcome.Error {
	return outcome.MayHaveRunf(shutdown.Code(ctx), "the answer is no longer passed on; the run goes on")
}
