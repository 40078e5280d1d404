package controllers_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/published"
)

// stalledPlatform is a platform that answers reads without a wait and whose watches end without
// an answer. It records when each call starts and ends.
type stalledPlatform struct{ calls []readCall }

type readCall struct {
	wait               time.Duration
	startedAt, endedAt time.Time
}

func (p *stalledPlatform) Read(ctx context.Context, wait time.Duration) ([]published.Value, error) {
	c := readCall{wait: wait, startedAt: time.Now()}
	time.Sleep(wait)
	c.endedAt = time.Now()
	p.calls = append(p.calls, c)
	if wait > 0 {
		return nil, context.DeadlineExceeded
	}
	return nil, ctx.Err()
}

// TestFailedWatchIsFollowedByFullRead guards against a delay between a failed watch and the full
// read that follows. While the store drops its history, watches receive neither changes nor the end
// of their wait, and time out two seconds after it. With another half a second of delay, entries
// received no table for 2.8 s although changes came in quick succession, and then the newest one 1.0
// to 1.4 s after its last change: they handled requests by a table 2.7 s old, where 2 s are allowed.
// The jitter of the waits leaves all six watchers that late in one of ten cases.
func TestFailedWatchIsFollowedByFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &stalledPlatform{}
		runWatcher(t, p, 30*time.Second, func(bool, time.Duration, error) {})
		watches := 0
		for i, c := range p.calls[:len(p.calls)-1] {
			if c.wait == 0 {
				continue
			}
			watches++
			next := p.calls[i+1]
			g.Expect(next.wait).To(BeZero())
			g.Expect(next.startedAt).To(Equal(c.endedAt))
		}
		g.Expect(watches).To(BeNumerically(">", 3))
	})
}

// TestFirstWatcherWaitIsBounded checks that the first watcher of a data centre reads often
// enough, whatever the jitter, that a change is read in time though all watches are stalled.
func TestFirstWatcherWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const maxWait = 700 * time.Millisecond
		p := &stalledPlatform{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		watcher := newPeerlessWatcher(p, nil)
		watcher.MaxFirstWatcherWait = maxWait
		watcher.Run(ctx)
		g.Expect(len(p.calls)).To(BeNumerically(">", 100))
		for _, call := range p.calls {
			g.Expect(call.wait).To(BeNumerically("<=", maxWait))
			g.Expect(call.wait == 0 || call.wait >= maxWait/2).To(BeTrue(), "watch wait below half the limit: %v", call.wait)
		}
	})
}
