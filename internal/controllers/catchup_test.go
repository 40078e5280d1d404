package controllers_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/controllers"
)

// TestCatchUp checks that an entry takes the values from its peers if they send them soon and
// otherwise reads the platform, and that a peer that doesn't answer delays it no longer than
// that.
func TestCatchUp(t *testing.T) {
	for name, c := range map[string]struct {
		peerDelay       time.Duration
		peersHaveValues bool
		wantDuration    time.Duration
		wantReads       int
	}{
		"peers have the values": {peerDelay: 50 * time.Millisecond, peersHaveValues: true, wantDuration: 50 * time.Millisecond},
		"peers answer late":     {peerDelay: time.Second, peersHaveValues: true, wantDuration: 150 * time.Millisecond, wantReads: 1},
		"peers have no values":  {peerDelay: 20 * time.Millisecond, wantDuration: 20 * time.Millisecond, wantReads: 1},
		"a peer doesn't answer": {peerDelay: time.Hour, wantDuration: 150 * time.Millisecond, wantReads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var haveValues atomic.Bool
				reads := 0
				catchUp := controllers.CatchUp{
					SyncWithPeers: func(context.Context) { time.Sleep(c.peerDelay); haveValues.CompareAndSwap(false, c.peersHaveValues) },
					ReadStore:     func(context.Context) { reads++; haveValues.Store(true) },
					Ready:         haveValues.Load,
				}
				startedAt := time.Now()
				catchUp.Run(t.Context())
				g.Expect(time.Since(startedAt)).To(Equal(c.wantDuration))
				g.Expect(reads).To(Equal(c.wantReads))
				time.Sleep(c.peerDelay) // The sync with the peers ends by itself.
			})
		})
	}
}
