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

// TestCatchingUp: an entry takes the values of its peers if they tell them soon, and reads
// the platform else; a silent peer holds nobody up.
func TestCatchingUp(t *testing.T) {
	for name, c := range map[string]struct {
		peersTake time.Duration
		peersKnow bool
		took      time.Duration
		reads     int
	}{
		"peers know":         {peersTake: 50 * time.Millisecond, peersKnow: true, took: 50 * time.Millisecond},
		"peers know late":    {peersTake: time.Second, peersKnow: true, took: 150 * time.Millisecond, reads: 1},
		"peers know nothing": {peersTake: 20 * time.Millisecond, took: 20 * time.Millisecond, reads: 1},
		"a peer is silent":   {peersTake: time.Hour, took: 150 * time.Millisecond, reads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var known atomic.Bool
				reads := 0
				up := controllers.CatchUp{
					AskPeers:  func(context.Context) { time.Sleep(c.peersTake); known.CompareAndSwap(false, c.peersKnow) },
					ReadStore: func(context.Context) { reads++; known.Store(true) },
					Ready:     known.Load,
				}
				begun := time.Now()
				up.Run(t.Context())
				g.Expect(time.Since(begun)).To(Equal(c.took))
				g.Expect(reads).To(Equal(c.reads))
				time.Sleep(c.peersTake) // The question to the peers ends by itself.
			})
		})
	}
}
