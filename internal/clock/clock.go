// Package clock gives the time that decisions use. It counts the time for which a VM was
// suspended, as the steady clock of the runtime does not: after a suspension each age, lease
// and deadline that was reckoned by the steady clock is too young by its length, so that an
// entry would serve callers whose time is over and rely on a table that is long out of date.
//
//	steady clock   ----------|            |---------->   stands still while suspended
//	boot clock     --------------------------------->   goes on
//	Now            ----------|............|---------->   steady clock and what was missed
//
// A sampler (Run) compares the two clocks. When the boot clock has got ahead, Now jumps by
// the difference, and what waits is told: WithDeadline ends what is over, Waits that are due
// return. Until the first sample Now is the steady clock, and it stays so where there is no
// boot clock. Time of day isn't used: it may step.
//
// Timeouts of single calls between processes, a few seconds at most, stay on the steady
// clock: they end that much after the VM has come back.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Source tells for how long in all the VM has been suspended, or that it can't.
type Source func() (suspended time.Duration, err error)

const (
	// SampleEvery is how often Run samples: a suspension is noticed within it. A sample is
	// three system calls.
	SampleEvery = 100 * time.Millisecond
	// minGap is the shortest suspension that counts, above what a sample may be wrong by.
	minGap = 50 * time.Millisecond
)

// state is of the process: a VM is suspended with all that runs on it.
var state = struct {
	sync.Mutex
	source   Source
	base     time.Duration
	sampled  bool
	watchers map[*watcher]bool
}{source: kernel, watchers: map[*watcher]bool{}}

// missed is for how long in all the VM was suspended, in nanoseconds.
var missed atomic.Int64

// watcher is told of each suspension.
type watcher struct{ told func(missed time.Duration) }

// Now is the time for decisions. Compare it with times of this package only.
func Now() time.Time { return time.Now().Add(Missed()) }

// Since is the time since a moment of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time until a moment of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Missed is for how long in all the VM was suspended since the first sample.
func Missed() time.Duration { return time.Duration(missed.Load()) }

// OnSuspended has told called after each suspension, until stop is called.
func OnSuspended(told func(missed time.Duration)) (stop func()) {
	w := &watcher{told}
	state.Lock()
	defer state.Unlock()
	state.watchers[w] = true
	return func() {
		state.Lock()
		defer state.Unlock()
		delete(state.watchers, w)
	}
}

// Sample looks once whether the VM was suspended. An error says that this can't be told.
func Sample() error {
	gap, told, err := sample()
	for _, w := range told {
		w.told(gap)
	}
	return err
}

// sample takes what was missed and returns whom to tell.
func sample() (gap time.Duration, told []*watcher, err error) {
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
		state.base, state.sampled = suspended, true
		return 0, nil, nil
	}
	gap = suspended - state.base
	if gap < minGap {
		return 0, nil, nil
	}
	state.base = suspended
	missed.Add(int64(gap))
	for w := range state.watchers {
		told = append(told, w)
	}
	return gap, told, nil
}

// SetSource replaces the kernel as the source, for tests, until restore is called.
func SetSource(s Source) (restore func()) {
	state.Lock()
	defer state.Unlock()
	before := state.source
	state.source, state.sampled = s, false
	return func() {
		state.Lock()
		defer state.Unlock()
		state.source, state.sampled = before, false
	}
}

// Run samples until the context ends, or until it turns out that suspensions can't be told,
// which is returned.
func Run(ctx context.Context) error {
	ticker := time.NewTicker(SampleEvery)
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

// Wait waits for a time, suspensions included, and returns false if the context ended first.
func Wait(ctx context.Context, d time.Duration) bool {
	end := Now().Add(d)
	again := make(chan struct{}, 1)
	stop := OnSuspended(func(time.Duration) {
		select {
		case again <- struct{}{}:
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
		case <-again:
			timer.Reset(max(Until(end), 0))
		case <-ctx.Done():
			return false
		}
	}
}

// WithDeadline is context.WithDeadline for a moment of this clock. After a suspension that
// reached the deadline the context is cancelled at once, and one that came near it ends in
// time; its cause is context.DeadlineExceeded then (see Expired).
func WithDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(parent)
	ctx, cancel := context.WithTimeout(ctx, Until(deadline))
	over := func() { cancelCause(context.DeadlineExceeded) }
	stop := OnSuspended(func(time.Duration) {
		if left := Until(deadline); left > 0 {
			timer := time.AfterFunc(left, over)
			context.AfterFunc(ctx, func() { timer.Stop() })
			return
		}
		over()
	})
	return ctx, func() {
		stop()
		cancel()
		cancelCause(context.Canceled)
	}
}

// Expired reports whether a context has ended because its time was up.
func Expired(ctx context.Context) bool {
	return context.Cause(ctx) == context.DeadlineExceeded
}
