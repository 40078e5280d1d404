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

// usedBy sends requests and tells which endpoints ran them.
func (e *entry) usedBy(name, path string, count int) map[string]bool {
	used := map[string]bool{}
	for i := range count {
		id := fmt.Sprintf("%s-%d", name, i)
		e.w.g.Expect(e.call(id, http.MethodPost, path, nil).status).To(Equal(http.StatusOK))
		for _, run := range e.w.ledger.Of(id) {
			used[run.Endpoint] = true
		}
	}
	return used
}

// waitFleet waits until a list of endpoints is in force.
func (w *world) waitFleet(revision int) {
	w.g.Eventually(func() []string {
		return w.logs.with("value in force", "name=fleet", fmt.Sprintf("revision=%d ", revision))
	}, eventually).ShouldNot(BeEmpty())
}

// TestARecordThatTurnsBadIsUsedNoMore: endpoints whose records turn bad get nothing new,
// also if they are most of their target; what runs there ends well; and they are used as
// soon as their records are good again.
func TestARecordThatTurnsBadIsUsedNoMore(t *testing.T) {
	w := newWorld(t)
	first := w.endpoint("desk-1", "desk")
	first.Work = 500 * time.Millisecond
	e := w.start(w.settings("vm-1")).waitReady()
	running := make(chan answer, 1)
	go func() { running <- e.call("long", http.MethodPost, "/plain/", nil) }()
	w.g.Eventually(func() []standin.Run { return w.ledger.Of("long") }, eventually).Should(HaveLen(1))
	second := w.endpoint("desk-2", "desk")
	w.endpoint("desk-3", "desk")
	w.waitFleet(4)

	w.store.Put(platform.EndpointPrefix+"desk-1", []byte(`{"Service":"desk"`))
	w.store.Put(platform.EndpointPrefix+"desk-2", []byte(`{"Service":"desk","State":7}`))
	left := func(id string) func() []string {
		return func() []string { return w.logs.with("endpoint records left out", platform.EndpointPrefix+id+":") }
	}
	w.g.Eventually(left("desk-1"), eventually).Should(HaveLen(1))
	w.g.Eventually(left("desk-2"), eventually).Should(HaveLen(1))
	w.waitFleet(6)
	w.g.Expect(e.usedBy("bad", "/plain/", 20)).To(Equal(map[string]bool{"desk-3": true}))
	w.g.Expect((<-running).status).To(Equal(http.StatusOK), "what ran there")

	w.announce(second, "desk", false)
	w.waitFleet(7)
	w.g.Expect(e.usedBy("good", "/plain/", 40)).To(Equal(map[string]bool{"desk-2": true, "desk-3": true}))
	w.g.Expect(left("desk-1")()).To(HaveLen(1), "told once")

	// Without a good record there is no server: the last good one isn't used.
	w.store.Put(platform.EndpointPrefix+"desk-2", []byte("null"))
	w.store.Put(platform.EndpointPrefix+"desk-3", []byte("null"))
	w.waitFleet(9)
	w.g.Expect(e.call("none", http.MethodPost, "/plain/", map[string]string{platform.HeaderWait: "500"}).status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(w.ledger.Of("none")).To(BeEmpty())
	w.announce(second, "desk", false)
	w.waitFleet(10)
	w.g.Expect(e.usedBy("again", "/plain/", 1)).To(Equal(map[string]bool{"desk-2": true}))
}

// TestAServiceThatIsNamedLater: an endpoint of a service that the configuration doesn't
// name is told of once, gets nothing, and is used at once when a configuration names it.
func TestAServiceThatIsNamedLater(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk")
	w.endpoint("nook-1", "nook")
	e := w.start(w.settings("vm-1")).waitReady()
	told := func() []string { return w.logs.with("endpoint records of unnamed services", "nook-1") }
	w.g.Eventually(told, eventually).Should(HaveLen(1))
	w.endpoint("desk-2", "desk")
	w.waitFleet(4)
	w.g.Expect(e.usedBy("desk", "/plain/", 20)).NotTo(HaveKey("nook-1"))

	w.config.Routes = append(w.config.Routes, route("nook", "/nook/", standin.Unsafe, "nook", 1))
	w.config.Services = append(w.config.Services, "nook")
	w.publish()
	w.g.Eventually(func() []string { return w.logs.with("value in force", "name=table") }, eventually).Should(HaveLen(2))
	w.g.Expect(e.usedBy("nook", "/nook/", 1)).To(Equal(map[string]bool{"nook-1": true}))
	w.g.Expect(told()).To(HaveLen(1), "told once")
}
