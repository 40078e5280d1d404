package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// startThree starts three gateways that know each other, and waits until they are ready.
func (w *world) startThree() []*entry {
	one := w.start(w.settings("vm-1"))
	entries := []*entry{one, w.start(w.settings("vm-2", one.vm.Peers)), w.start(w.settings("vm-3", one.vm.Peers))}
	for _, e := range entries {
		e.waitReady()
	}
	return entries
}

// addRoute publishes a configuration with one more route, and returns a path on it.
func (w *world) addRoute() string {
	name := fmt.Sprintf("route-%d", w.config.Version+1)
	w.config.Routes = append(w.config.Routes, route(name, "/"+name+"/", standin.Safe, "desk", 1))
	w.publish()
	return "/" + name + "/x"
}

// expectServed waits until every gateway serves a path.
func (w *world) expectServed(entries []*entry, path string) {
	for _, e := range entries {
		n := 0
		status := func() int {
			n++
			return e.call(fmt.Sprint(e.vm.VM, path, n), http.MethodPost, path, nil).status
		}
		w.g.Eventually(status, eventually).Should(Equal(http.StatusOK), "%s at %s", path, e.vm.VM)
	}
}

// awaitLogged waits until every gateway has logged a line with some words.
func (w *world) awaitLogged(entries []*entry, words ...string) {
	for _, e := range entries {
		own := append([]string{"vm=" + e.vm.VM + " "}, words...)
		w.g.Eventually(func() []string { return w.logs.with(own...) }, eventually).ShouldNot(BeEmpty(), e.vm.VM)
	}
}

// restore has the store away for a moment and brings it back from a copy.
func (w *world) restore(from standin.Snapshot) {
	w.store.SetMode(standin.Mode{Down: true})
	time.Sleep(200 * time.Millisecond)
	w.store.Restore(from)
	w.store.SetMode(standin.Mode{})
}

// Routes of configurations that were acknowledged after the store's restore weren't served.
func TestConfigurationsWrittenAfterARestoreComeIntoForce(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk")
	entries := w.startThree()
	copied := w.store.Snapshot()
	var newest string
	for range 5 {
		newest = w.addRoute()
	}
	w.expectServed(entries, newest)
	w.restore(copied)
	w.store.Put(platform.ConfigurationKey, w.config.Encode())
	for range 3 {
		w.expectServed(entries, w.addRoute())
	}
	w.expectServed(entries, newest)
}

// An endpoint whose leave was acknowledged after the store's restore got requests.
func TestLeavesWrittenAfterARestoreHold(t *testing.T) {
	w := newWorld(t)
	leaving, staying := w.endpointBorn("desk-leaving", "desk", 1000), w.endpointBorn("desk-staying", "desk", 1000)
	entries := w.startThree()
	copied := w.store.Snapshot()
	for n := range 5 {
		w.endpointBorn(fmt.Sprint("engine-", n), "engine", 1000)
	}
	w.awaitAnnounced()
	w.restore(copied)
	w.announce(leaving, "desk", true)
	w.awaitLogged(entries, "endpoint leaving", "desk-leaving")
	since := time.Now()
	for _, a := range send(entries, "after-", 60, pace) {
		w.g.Expect(a.status).To(Equal(http.StatusOK))
	}
	w.g.Expect(arrivedSince(leaving, since)).To(BeZero())
	w.g.Expect(arrivedSince(staying, since)).To(Equal(60))
}

// awaitList waits until every gateway has a list of endpoints of some era in force.
func (w *world) awaitList(entries []*entry, era int) {
	w.awaitLogged(entries, "value in force", "name=fleet", fmt.Sprintf("revision=%d.", era))
}

// An endpoint that had left before the store's restore got requests again: the copy listed it.
func TestAnEndpointGoneBeforeARestoreStaysOut(t *testing.T) {
	w := newWorld(t)
	gone := w.endpointBorn("desk-gone", "desk", 1000)
	one := w.endpointBorn("desk-one", "desk", 1000)
	w.endpointBorn("desk-two", "desk", 1000)
	entries := w.startThree()
	copied := w.store.Snapshot()
	w.store.Delete(platform.EndpointPrefix + gone.ID)
	w.awaitLogged(entries, "value in force", "name=fleet", fmt.Sprintf("revision=%d ", w.announced+1))
	w.restore(copied)
	w.awaitList(entries, 1)
	since := time.Now()
	for _, a := range send(entries, "after-", 60, pace) {
		w.g.Expect(a.status).To(Equal(http.StatusOK))
	}
	w.g.Expect(arrivedSince(gone, since)).To(BeZero())
	n := 0
	used := func() int {
		n++
		w.announce(one, "desk", false)
		send(entries, fmt.Sprint("later-", n, "-"), 6, pace)
		return arrivedSince(gone, since)
	}
	w.g.Eventually(used, eventually).Should(BeNumerically(">", 0), "its record stands, so it lives")
}

// Generations at endpoints that had come since the store's copy were moved away or cut.
func TestEndpointsThatACopyLacksStayInUse(t *testing.T) {
	w := newWorld(t)
	w.endpointBorn("engine-early", "engine", 1000)
	entries := w.startThree()
	copied := w.store.Snapshot()
	late := w.endpointBorn("engine-late", "engine", 1000)
	late.Events, late.Every = 150, 20*time.Millisecond
	w.awaitAnnounced()
	streams := map[string]<-chan answer{}
	for n := 0; late.Running() < 2; n++ {
		w.g.Expect(n).To(BeNumerically("<", 200), "it gets streams")
		id := fmt.Sprint("s", n)
		streams[id] = entries[n%len(entries)].begin(id)
		time.Sleep(pace)
	}
	w.restore(copied)
	w.awaitList(entries, 1)
	time.Sleep(500 * time.Millisecond)
	w.announce(late, "engine", false)
	for id, got := range streams {
		a := <-got
		w.g.Expect(a.err).NotTo(HaveOccurred(), id)
		runs := w.ledger.Of(id)
		w.g.Expect(runs).To(HaveLen(1), id)
		if runs[0].Endpoint == late.ID {
			w.g.Expect(a.body).To(Equal(events(id, late.Events)), id)
		}
	}
	w.g.Expect(w.logs.with("msg=evacuation")).To(BeEmpty())
}

// A data centre that operators had closed got requests again after the store's restore.
func TestAClosedDataCenterStaysClosedOverARestore(t *testing.T) {
	w := newWorld(t)
	here, there := w.endpoint("desk-here", "desk"), w.endpoint("desk-there", "desk")
	w.announceIn(there, "desk", "other", false)
	entries := w.startThree()
	copied := w.store.Snapshot()
	w.store.Put(platform.ClosingPrefix+"dc", []byte(`{}`))
	w.awaitLogged(entries, "closed data centres", "closed=[dc]")
	w.restore(copied)
	w.awaitList(entries, 1)
	since := time.Now()
	for _, a := range send(entries, "after-", 60, pace) {
		w.g.Expect(a.status).To(Equal(http.StatusOK))
	}
	w.g.Expect(arrivedSince(here, since)).To(BeZero())
	w.store.Put(platform.ClosingPrefix+"dc", []byte(`{}`))
	w.store.Delete(platform.ClosingPrefix + "dc")
	n := 0
	used := func() int {
		n++
		send(entries, fmt.Sprint("opened-", n, "-"), 6, pace)
		return arrivedSince(here, since)
	}
	w.g.Eventually(used, eventually).Should(BeNumerically(">", 0))
}
