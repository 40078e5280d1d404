package gateway_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
)

// restarted are the settings of an entry that is started again in a running system.
func (w *world) restarted(name string, seeds ...string) platform.Settings {
	vm := w.settings(name, seeds...)
	vm.FirstStart = false
	return vm
}

// TestAnEntryThatIsStartedAgainAsksTheOthers: they know the values, so that the store is
// not read by all entries of a fleet whenever many are started.
func TestAnEntryThatIsStartedAgainAsksTheOthers(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk")
	a := w.start(w.settings("a")).waitReady()
	fresh, stale := w.store.Lists()
	b := w.start(w.restarted("b", a.vm.Peers)).waitReady()
	w.g.Expect(b.call("r", "POST", "/plain/x", nil).status).To(Equal(200))
	freshAfter, staleAfter := w.store.Lists()
	w.g.Expect([]int{freshAfter, staleAfter}).To(Equal([]int{fresh, stale}))
}

// TestAnEntryThatIsStartedAgainAloneReadsWhatTheStoreHolds: an old copy might bring a key
// again that was taken away.
func TestAnEntryThatIsStartedAgainAloneReadsWhatTheStoreHolds(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk")
	w.store.KeepCopy()
	w.config.Workspaces = map[string][]string{"w": {"key-2"}}
	w.publish()
	e := w.start(w.restarted("a", freeportNobodyListensAt(t))).waitReady()
	w.g.Expect(e.call("r", "POST", "/plain/x", nil).status).To(Equal(401))
	_, stale := w.store.Lists()
	w.g.Expect(stale).To(BeZero())
}

// TestTheFirstStartReadsAnOldCopyOfTheStore: it costs a tenth. What changed since the copy
// was made is told by the watch, also if the store says that the copy is of now.
func TestTheFirstStartReadsAnOldCopyOfTheStore(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk")
	w.store.KeepCopy()
	w.config.Workspaces = map[string][]string{"w": {"key-2"}}
	w.publish()
	e := w.start(w.settings("a")).waitReady()
	status := func() int { return e.call("r", "POST", "/plain/x", nil).status }
	w.g.Eventually(status, eventually).Should(Equal(401))
	_, stale := w.store.Lists()
	w.g.Expect(stale).NotTo(BeZero())
}
