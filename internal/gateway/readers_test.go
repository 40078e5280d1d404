package gateway

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/readership"
)

// noticeLoss is the share of notices that are lost.
const noticeLoss = 0.01

// announcer delivers the announcements of one life of an entry to the others of its data centre.
func (f *playedFleet) announcer(life context.Context, from *playedEntry) func(state readership.State) {
	return func(state readership.State) {
		for _, to := range f.entries {
			if to == from || to.dc != from.dc || life.Err() != nil {
				continue
			}
			if hear := f.links.notice(from.name, to.name, f.address(to)); hear != nil {
				time.AfterFunc(oneWay, func() { hear(from.name, readerStates[state]) })
			}
		}
	}
}

// notice returns what an entry calls for a notice that reaches it; nil if the notice is lost.
func (l *links) notice(from, to, address string) func(vm string, state peerv1.ReaderState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sides[from] != l.sides[address] || l.noticeRandom.Float64() < noticeLoss {
		return nil
	}
	return l.hear[to]
}

// lastRead is when an entry last called the store.
func (l *links) lastRead(entry string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readAt[entry]
}

// recently is the time within which every reader of the store calls it.
const recently = 6 * time.Second

// readers returns the entries that read the store.
func (f *playedFleet) readers() (readers []*playedEntry) {
	for _, e := range f.entries {
		if time.Since(f.links.lastRead(e.name)) < recently && time.Since(e.startedAt) > recently {
			readers = append(readers, e)
		}
	}
	return readers
}

// readerFaults are injected into readers; each ends after a time.
var readerFaults = map[string]func(f *playedFleet, e *playedEntry, lasts time.Duration){
	"killed": func(f *playedFleet, e *playedEntry, lasts time.Duration) {
		e.stop()
		f.move(e, e.name)
		f.change(lasts, func() {
			f.move(e, "")
			f.start(e, false)
		})
	},
	"paused": func(f *playedFleet, e *playedEntry, lasts time.Duration) {
		f.move(e, e.name)
		f.cutStore(e, true)
		f.change(lasts, func() {
			f.move(e, "")
			f.cutStore(e, false)
		})
	},
	"stopped": func(f *playedFleet, e *playedEntry, lasts time.Duration) {
		e.g.config.Retire()
		f.change(lasts, func() { f.start(e, false) })
	},
}

// playReaderFaults injects a fault into a share of the entries, readers first, several times, and publishes a
// configuration each time.
func (f *playedFleet) playReaderFaults(inject func(f *playedFleet, e *playedEntry, lasts time.Duration), share float64) {
	const (
		calm        = 9 * time.Second
		rounds      = 4
		maxPublish  = 400 * time.Millisecond
		longestDown = 2500 * time.Millisecond
	)
	f.oneByOne = true
	f.steps(calm)
	for range rounds {
		hit := f.readers()
		for _, i := range f.random.Perm(len(f.entries)) {
			if e := f.entries[i]; time.Since(f.links.lastRead(e.name)) >= recently && time.Since(e.startedAt) > recently {
				hit = append(hit, e)
			}
		}
		for _, e := range hit[:min(len(hit), int(share*float64(len(f.entries))))] {
			lasts := 100*time.Millisecond + time.Duration(f.random.Int64N(int64(longestDown)))
			disturb(&e.disturbed, lasts)
			inject(f, e, lasts)
		}
		f.steps(time.Duration(f.random.Int64N(int64(maxPublish))))
		f.publish()
		f.steps(time.Duration(2+f.random.IntN(8)) * time.Second)
	}
	f.steps(calm)
}

// maxOfAllKinds is the size of the largest fleet that all kinds of faults are played in.
const maxOfAllKinds = 9

// TestConfigurationsInForceAfterTheirReadersEnd guards against a store that nobody reads: readers are killed
// and start again soon, so that their new records hide that they don't read yet.
func TestConfigurationsInForceAfterTheirReadersEnd(t *testing.T) {
	more, _ := strconv.Atoi(os.Getenv("FLEET_SEEDS"))
	for _, size := range []struct{ entries, dataCenters, seeds int }{{5, 1, 4}, {9, 3, 4}, {66, 3, 1}} {
		for kind, inject := range readerFaults {
			if size.entries > maxOfAllKinds && kind != "killed" {
				continue
			}
			for seed := range uint64(max(size.seeds, more)) {
				t.Run(fmt.Sprintf("%d entries, %s, seed %d", size.entries, kind, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f := newPlayedFleet(t, seed, size.entries, size.dataCenters)
						f.playReaderFaults(inject, 0.6)
						t.Log(f.propagation.String())
					})
				})
			}
		}
	}
}
