package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// TestAnEntryThatIsCutOffSendsCallersElsewhere: while no endpoint of a target is in reach
// and no other data centre answers, requests for it are refused as not run without a wait,
// and the entry is not ready; what its own data centre serves goes on. One answer from
// another data centre ends that.
func TestAnEntryThatIsCutOffSendsCallersElsewhere(t *testing.T) {
	w := newWorld(t)
	// A service that nobody has announced is no reason to send callers elsewhere.
	w.config.Services = append(w.config.Services, "nowhere")
	w.config.Routes = append(w.config.Routes, route("nowhere", "/nobody/", standin.Safe, "nowhere", 1))
	w.publish()
	w.endpoint("engine-1", "engine")
	for i := range 2 {
		dead := &standin.Endpoint{ID: fmt.Sprintf("far-%d", i), Address: freeportNobodyListensAt(t)}
		w.store.Put(platform.EndpointPrefix+dead.ID, standin.Record(dead, "desk", "far", false))
	}
	e := w.start(w.settings("vm-1")).waitReady()
	sent := 0
	w.g.Eventually(func() bool {
		sent++
		a := e.call(fmt.Sprintf("r%d", sent), http.MethodPost, "/plain/", nil)
		w.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		return e.ready()
	}, eventually).Should(BeFalse())
	w.g.Expect(w.logs.with("readiness", "state=stranded", "unservable=[desk]", "cut_off=true")).NotTo(BeEmpty())
	w.g.Expect(w.logs.with("reach of data centres", "lost=[far]", "cut_off=true")).NotTo(BeEmpty())
	w.g.Eventually(func() []string {
		sent++
		e.call(fmt.Sprintf("r%d", sent), http.MethodPost, "/plain/", nil)
		return w.logs.with("request failed", "code=no_endpoint", "queued_ms=0", "elapsed_ms=0")
	}, eventually).ShouldNot(BeEmpty())
	w.g.Expect(w.ledger.Runs()).To(BeEmpty())
	a := e.stream("still served")
	w.g.Expect(a.body, a.err).To(Equal(events("still served", 5)))
	found := w.endpoint("far-2", "desk")
	w.store.Put(platform.EndpointPrefix+found.ID, standin.Record(found, "desk", "far", false))
	w.g.Eventually(func() int {
		sent++
		return e.call(fmt.Sprintf("r%d", sent), http.MethodPost, "/plain/", nil).status
	}, eventually).Should(Equal(http.StatusOK))
	w.g.Eventually(e.ready, eventually).Should(BeTrue())
	w.g.Expect(w.logs.with("reach of data centres", "lost=[]", "cut_off=false")).NotTo(BeEmpty())
}
