package controllers_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/published"
)

// stalled is a store that answers lists, and whose watches end without an answer. It notes when
// each call begins and ends.
type stalled struct{ calls []call }

type call struct {
	wait       time.Duration
	begun, end time.Time
}

func (d *stalled) Read(ctx context.Context, wait time.Duration) ([]published.Value, error) {
	c := call{wait: wait, begun: time.Now()}
	time.Sleep(wait)
	c.end = time.Now()
	d.calls = append(d.calls, c)
	if wait > 0 {
		return nil, context.DeadlineExceeded
	}
	return nil, ctx.Err()
}

// TestAWatchThatHearsNothingIsFollowedByAList: an entry handled requests by a configuration
// that was 2.7 s old, of 2 s allowed.
//
// While the store drops its history its watches hear neither news nor the end of their wait.
// Changes came in quick succession meanwhile. Each watcher held on to its watch for two
// seconds beyond its end, and paused for half a second before it asked for all. The
// evidence: three plays of the same day with logs, in which all entries had the newest
// configuration 1.0 to 1.4 s after its last change, and nothing at all for 2.8 s before;
// and that a watcher's waits are spread so that all six were that late once in ten times.
func TestAWatchThatHearsNothingIsFollowedByAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &stalled{}
		follow(t, d, 30*time.Second, func(bool, time.Duration, error) {})
		watches := 0
		for i, c := range d.calls[:len(d.calls)-1] {
			if c.wait == 0 {
				continue
			}
			watches++
			next := d.calls[i+1]
			g.Expect(next.wait).To(BeZero())
			g.Expect(next.begun).To(Equal(c.end))
		}
		g.Expect(watches).To(BeNumerically(">", 3))
	})
}

// TestTheFirstWatcherIsNeverDeafForLong: of the watchers of a data centre the first one asks
// often enough, whatever the jitter, that a change is read in time though all are stalled.
func TestTheFirstWatcherIsNeverDeafForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const longest = 700 * time.Millisecond
		d := &stalled{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		c := config(d, nil)
		c.FirstWait = longest
		c.Run(ctx)
		g.Expect(len(d.calls)).To(BeNumerically(">", 100))
		for _, one := range d.calls {
			g.Expect(one.wait).To(BeNumerically("<=", longest))
			g.Expect(one.wait == 0 || one.wait >= longest/2).To(BeTrue(), "not more often than needed: %v", one.wait)
		}
	})
}
