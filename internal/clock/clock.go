// Package clock provides the time for decisions. It includes the time for which the VM was
// suspended, which the runtime's monotonic clock leaves out. By the monotonic clock every age,
// lease and deadline would be too short by the suspension: an entry would serve callers whose
// deadlines have passed, and would use a table that is long out of date.
//
//	monotonic clock  ----------|            |---------->   stops during a suspension
//	boot clock       --------------------------------->   continues
//	Now              ----------|............|---------->   monotonic clock plus suspensions
//
// A sampler (Run) compares the two clocks. When the boot clock has moved ahead, Now jumps by
// the difference and the listeners are notified: contexts of WithDeadline whose deadline has
// passed end, and Wait returns if its time is up. Now equals the monotonic clock until the
// first suspension is detected, and always if there is no boot clock. The wall clock isn't
// used, as it may step.
//
// Timeouts of single calls between processes, a few seconds at most, stay on the monotonic
// clock: they expire that much later after the VM resumes.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// SuspensionSource returns the total time for which the VM has been suspended, or an error if
// it can't be determined.
type SuspensionSource func() (suspended time.Duration, err error)

const (
	// SampleInterval is the time between two samples of Run, and so the longest time until a
	// suspension is detected. A sample takes three system calls.
	SampleInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that counts. It exceeds the error of a sample.
	minSuspension = 50 * time.Millisecond
)

// state is global, since a suspension affects the whole process. baseline is the source's value
// up to which suspensions are counted, and is set by the first sample.
var state = struct {
	sync.Mutex
	source    SuspensionSource
	baseline  time.Duration
	sampled   bool
	listeners map[*listener]bool
}{source: kernelSource, listeners: map[*listener]bool{}}

// totalSuspended is the sum of all detected suspensions, in nanoseconds.
var totalSuspended atomic.Int64

// listener is notified of each suspension.
type listener struct{ notify func(suspended time.Duration) }

// Now returns the current time, including suspensions. Compare it only with times of this
// package.
func Now() time.Time { return time.Now().Add(TotalSuspended()) }

// Since returns the time elapsed since t, a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// TotalSuspended returns the sum of all suspensions since the first sample.
func TotalSuspended() time.Duration { return time.Duration(totalSuspended.Load()) }

// OnSuspended registers notify, which is called after each suspension with its length until
// stop is called.
func OnSuspended(notify func(suspended time.Duration)) (stop func()) {
	l := &listener{notify}
	state.Lock()
	defer state.Unlock()
	state.listeners[l] = true
	return func() {
		state.Lock()
		defer state.Unlock()
		delete(state.listeners, l)
	}
}

// Sample checks once for a suspension and notifies the listeners. It returns an error if
// suspensions can't be determined.
func Sample() error {
	suspension, listeners, err := sample()
	for _, l := range listeners {
		l.notify(suspension)
	}
	return err
}

// sample adds a new suspension to totalSuspended, and returns it and the listeners to notify.
func sample() (suspension time.Duration, listeners []*listener, err error) {
	state.Lock()
	defer state.Unlock()
	suspended, err := state.source()
	if errors.Is(err, errInterrupted) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	if !state.sampled {
		state.baseline, state.sampled = suspended, true
		return 0, nil, nil
	}
	suspension = suspended - state.baseline
	if suspension < minSuspension {
		return 0, nil, nil
	}
	state.baseline = suspended
	totalSuspended.Add(int64(suspension))
	for l := range state.listeners {
		listeners = append(listeners, l)
	}
	return suspension, listeners, nil
}

// SetSource replaces the source of suspensions until restore is called, for tests.
func SetSource(s SuspensionSource) (restore func()) {
	state.Lock()
	defer state.Unlock()
	previous := state.source
	state.source, state.sampled = s, false
	return func() {
		state.Lock()
		defer state.Unlock()
		state.source, state.sampled = previous, false
	}
}

// Run samples until the context ends. It returns an error if suspensions can't be determined.
func Run(ctx context.Context) error {
	ticker := time.NewTicker(SampleInterval)
	defer ticker.Stop()
	for {
		if err := Sample(); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Wait waits for d, including suspensions, and returns true, or returns false if the context
// ends first.
func Wait(ctx context.Context, d time.Duration) bool {
	deadline := Now().Add(d)
	resumed := make(chan struct{}, 1)
	stop := OnSuspended(func(time.Duration) {
		select {
		case resumed <- struct{}{}:
		default:
		}
	})
	defer stop()
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-resumed:
			timer.Reset(max(Until(deadline), 0))
		case <-ctx.Done():
			return false
		}
	}
}

// WithDeadline is context.WithDeadline for a time of this clock. If the deadline passes during
// a suspension, the context is cancelled as soon as the suspension is detected; if it is still
// ahead, the remaining time is shortened. The cause is then context.DeadlineExceeded (see
// Expired).
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(parent)
	ctx, cancel := context.WithTimeout(ctx, Until(deadline))
	expire := func() { cancelCause(context.DeadlineExceeded) }
	stop := OnSuspended(func(time.Duration) {
		if remaining := Until(deadline); remaining > 0 {
			timer := time.AfterFunc(remaining, expire)
			context.AfterFunc(ctx, func() { timer.Stop() })
			return
		}
		expire()
	})
	return ctx, func() {
		stop()
		cancel()
		cancelCause(context.Canceled)
	}
}

// Expired reports whether the context has ended because its deadline passed.
func Expired(ctx context.Context) bool {
	return context.Cause(ctx) == context.DeadlineExceeded
}
