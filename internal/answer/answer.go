// Package answer holds the answer of a run that any number of callers follow,
// each from its start: the run writes a Log, followers copy it to their sinks.
package answer

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// MaxBytes bounds one answer.
const MaxBytes = 4 << 20

// ErrTooLarge says that an answer exceeds MaxBytes.
var ErrTooLarge = errors.New("answer: too large")

// Log is an answer under way. It implements job.Sink.
type Log struct {
	mu          sync.Mutex
	changed     chan struct{}
	started     bool
	status      int
	contentType string
	data        []byte
	closed      bool
	err         *outcome.Error
}

// NewLog makes an empty log.
func NewLog() *Log { return &Log{changed: make(chan struct{})} }

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

// Data implements job.Sink.
func (l *Log) Data(part []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.data)+len(part) > MaxBytes {
		return ErrTooLarge
	}
	l.data = append(l.data, part...)
	l.notify()
	return nil
}

// Flush implements job.Sink.
func (l *Log) Flush() {}

// Close ends the log with its outcome; nil stands for complete.
func (l *Log) Close(err *outcome.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.err = err
	l.notify()
}

// Answer returns what was written so far.
func (l *Log) Answer() (status int, contentType string, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status, l.contentType, l.data
}

type view struct {
	started     bool
	status      int
	contentType string
	data        []byte
	closed      bool
	err         *outcome.Error
	changed     <-chan struct{}
}

func (l *Log) view(from int) view {
	l.mu.Lock()
	defer l.mu.Unlock()
	return view{l.started, l.status, l.contentType, l.data[from:], l.closed, l.err, l.changed}
}

// Follow copies the log to a sink until its end or until the context's. The
// run goes on without its followers.
func (l *Log) Follow(ctx context.Context, sink job.Sink) *outcome.Error {
	from := 0
	header := false
	for {
		v := l.view(from)
		if v.started && !header {
			sink.Header(v.status, v.contentType)
			header = true
		}
		if len(v.data) > 0 {
			if err := sink.Data(v.data); err != nil {
				return callerGone()
			}
			sink.Flush()
			from += len(v.data)
		}
		if v.closed {
			return v.err
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return callerGone()
		}
	}
}

func callerGone() *outcome.Error {
	return outcome.MayHaveRunf(outcome.CodeCallerGone, "the caller has gone; the run goes on")
}
