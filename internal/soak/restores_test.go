package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// Times of restores of the store.
const (
	// restoresFor is how much longer runs with restores last.
	restoresFor = 6 * time.Second
	// longestAway is for how long the store is away at most.
	longestAway = 1200 * time.Millisecond
	// copyEvery is how often the store is copied, and copies are kept for oldestCopy.
	copyEvery  = 200 * time.Millisecond
	oldestCopy = 5 * time.Second
	// rewriteWithin is how soon what was lost is written again.
	rewriteWithin = 1500 * time.Millisecond
	// recent is for how long what was written before a restore may not have reached all
	// gateways.
	recent = 2 * time.Second
	// configurationBound is the time in which a configuration has to be in force, and restoreContact
	// that for which the store must have been there for this and other bounds to hold.
	configurationBound = 2 * time.Second
	restoreContact     = 3 * time.Second
)

// planRestores has the store restored, and nothing else that does harm.
const planRestores = "restores"

var restore = step{"store restored", harmless, func(w *world, r *rand.Rand) { w.restore(r) }}

// vanishes is a step of plans with restores: a record may come back with a copy.
var vanishes = step{"engine leaves without a word", harmless, func(w *world, r *rand.Rand) { w.vanish(pick(r, w.engines)) }}

// restorePlans are drawn in turn by seeds of their own, written with an r behind the number.
var restorePlans = []plan{
	{planRestores, append(named("configuration", "configuration", "configuration", "reload", "bad records", "engine leaves"), closes, vanishes, restore)},
	{"all, and restores", append(slices.Clone(steps), closes, vanishes, restore, restore, restore)},
}

// written is what operators and endpoints wrote last, and the copies of the store.
type written struct {
	values map[string][]byte
	copies []standin.Snapshot
	// acked is when the newest configuration was acknowledged; zero while it is lost.
	acked time.Time
	// restored are the times at which the store was back.
	restored []time.Time
}

// calm reports whether the store had been there for long enough at a time.
func (w *world) calm(at time.Time) bool {
	w.writing.Lock()
	defer w.writing.Unlock()
	return !slices.ContainsFunc(w.written.restored, func(r time.Time) bool {
		return at.After(r.Add(-longestAway)) && at.Before(r.Add(restoreContact))
	})
}

// put writes a key; no value deletes it.
func (w *world) put(key string, value []byte) {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.written.values[key] = value
	w.putNow(key, value)
}

func (w *world) putNow(key string, value []byte) {
	if value == nil {
		w.store.Delete(key)
		return
	}
	w.store.Put(key, value)
	if key == platform.ConfigurationKey {
		w.written.acked = time.Now()
	}
}

// copyStore copies the store again and again until stop is called.
func (w *world) copyStore() (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(copyEvery):
			}
			w.writing.Lock()
			kept := append(w.written.copies, w.store.Snapshot())
			w.written.copies = kept[max(0, len(kept)-int(oldestCopy/copyEvery)):]
			w.writing.Unlock()
		}
	}()
	return func() { close(done) }
}

// restore has the store away for a moment and back from a copy, sometimes twice in a row. What
// was lost is written again soon, in any order.
func (w *world) restore(r *rand.Rand) {
	w.restoreOnce(r)
	if r.IntN(3) == 0 {
		time.Sleep(short(r))
		w.restoreOnce(r)
	}
}

func (w *world) restoreOnce(r *rand.Rand) {
	w.writing.Lock()
	if len(w.written.copies) == 0 {
		w.writing.Unlock()
		return
	}
	w.store.SetMode(standin.Mode{Down: true})
	time.Sleep(short(r))
	w.store.Restore(pick(r, w.written.copies))
	w.store.SetMode(standin.Mode{})
	w.written.acked = time.Time{}
	w.written.restored = append(w.written.restored, time.Now())
	keys := make([]string, 0, len(w.written.values))
	for key := range w.written.values {
		keys = append(keys, key)
	}
	w.writing.Unlock()
	slices.Sort(keys)
	restored := time.Now()
	for _, key := range keys {
		w.after(time.Duration(r.Int64N(int64(rewriteWithin))), func() { w.writeAgain(key, restored) })
	}
}

// writeAgain writes what a key held before a restore, unless the store has it.
func (w *world) writeAgain(key string, restored time.Time) {
	w.writing.Lock()
	value := w.written.values[key]
	lost := !bytes.Equal(w.store.Get(key), value)
	if lost {
		w.putNow(key, value)
	}
	if key == platform.ConfigurationKey && w.written.acked.IsZero() {
		w.written.acked = time.Now()
	}
	w.writing.Unlock()
	if lost {
		w.countAnew(key, restored)
	}
}

// countAnew has bounds count from now where what they are of was lost before all gateways could
// have it.
func (w *world) countAnew(key string, restored time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if id, ok := strings.CutPrefix(key, platform.EndpointPrefix); ok {
		for l, at := range w.left {
			if l.endpoint == id && restored.Sub(at) < recent {
				w.left[l] = now
			}
		}
	}
	if n := len(w.closings); n > 0 && key == platform.ClosingPrefix+farDataCenter && restored.Sub(w.closings[n-1].from) < recent {
		w.closings[n-1].from = now
	}
}

// vanish has an engine leave without saying so: its record goes, and it goes on serving.
func (w *world) vanish(e *standin.Endpoint) {
	w.mu.Lock()
	w.serial++
	id := fmt.Sprintf("engine-new-%d", w.serial)
	w.mu.Unlock()
	next := w.endpoint(id)
	w.mu.Lock()
	w.left[life{e.ID, e.Born()}] = time.Now()
	delete(w.again, e.ID)
	w.mu.Unlock()
	w.put(platform.EndpointPrefix+e.ID, nil)
	w.engines[slices.Index(w.engines, e)] = next
}

// sawNone holds that a gateway doesn't refuse a route of the newest configuration long after it
// was acknowledged; the request was sent at some time.
func (w *world) sawNone(g *gateway, version int, sent time.Time) {
	w.mu.Lock()
	newest := w.version
	w.mu.Unlock()
	w.writing.Lock()
	acked := w.written.acked
	w.writing.Unlock()
	late := !acked.IsZero() && sent.Sub(acked) > configurationBound
	if w.plan == planRestores && version == newest && late && w.calm(sent) {
		w.t.Errorf("%s doesn't serve version %d, acknowledged %v before", g.vm.VM, version, sent.Sub(acked))
	}
}
