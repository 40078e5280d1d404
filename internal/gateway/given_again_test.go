package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// An endpoint that came after a restore of the store wasn't used, where its record had a revision
// that was known from before and entries didn't know of the restore by its era. Each revision of
// the new history meets the newest one of the old.
func TestAnEndpointIsUsedWhoseRevisionIsGivenOutAgain(t *testing.T) {
	restores := map[string]func(*standin.Store, standin.Snapshot){
		"told": (*standin.Store).Restore, "not told": (*standin.Store).Rewind,
	}
	for name, restore := range restores {
		for later := range 10 {
			t.Run(fmt.Sprintf("%s, %d writes later", name, later), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playGivenAgain(t, restore, later) })
			})
		}
	}
}

// steps goes on for a time in which nothing is drawn.
func (f *playedFleet) steps(lasts time.Duration) {
	for begin := time.Now(); time.Since(begin) < lasts; {
		f.step(false)
	}
}

// writeOther writes keys that nobody reads.
func (f *playedFleet) writeOther(count int) {
	for range count {
		f.store.Put("other/key", []byte("x"))
	}
}

// playGivenAgain restores the store and announces a new endpoint as the only one, so many writes
// after the others have written again.
func playGivenAgain(t *testing.T, restore func(*standin.Store, standin.Snapshot), later int) {
	f := newPlayedFleet(t, uint64(later), 3, 1)
	f.steps(6 * time.Second)
	copied := f.store.Snapshot()
	f.writeOther(7)
	f.publish()
	f.putEndpoint("e-001")
	f.steps(2 * time.Second)
	f.writeOther(2)
	f.steps(2 * time.Second)

	f.links.change(func() { f.links.down = true })
	f.steps(time.Second)
	restore(f.store, copied)
	f.links.change(func() { f.links.down = false })
	f.putConfiguration()
	for id := range f.states {
		f.putEndpoint(id)
	}
	f.steps(time.Second)
	f.writeOther(later)
	f.publish()
	f.addEndpoint()
	f.steps(time.Second)
	newest := fmt.Sprintf("e-%03d", f.serial)
	for id := range f.states {
		if id != newest {
			f.states[id] = stateGone
			f.putEndpoint(id)
		}
	}
	f.steps(4 * time.Second)
	f.expectAgreed()
}
