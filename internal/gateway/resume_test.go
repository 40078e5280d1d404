package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
)

// TestACallerResumesItsStream: a caller that has some events gets those that follow,
// each once; other rows ignore what it says of events.
func TestACallerResumesItsStream(t *testing.T) {
	w := newWorld(t)
	w.endpoint("engine-1", "engine")
	e := w.start(w.settings("vm-1")).waitReady()
	a := e.streamAfter("r1", "/resumable/x", "2")
	w.g.Expect(a.body, a.err).To(Equal(eventsAfter("r1", 2, 5)))
	w.g.Expect(w.ledger.Of("r1")[0].From).To(Equal(3))
	a = e.streamAfter("r2", "/resumable/x", "0")
	w.g.Expect(a.body, a.err).To(Equal(events("r2", 5)))
	a = e.streamAfter("r3", "/stream/x", "2")
	w.g.Expect(a.body, a.err).To(Equal(events("r3", 5)))
}

// TestResumptionsThatMakeNoSense: what is no id of an event is refused before anything
// runs; one beyond the end gets a complete answer without events.
func TestResumptionsThatMakeNoSense(t *testing.T) {
	w := newWorld(t)
	w.endpoint("engine-1", "engine")
	e := w.start(w.settings("vm-1")).waitReady()
	for _, last := range []string{"x", "-1", "1.5", "99999999999999999999"} {
		w.g.Expect(e.streamAfter("bad"+last, "/resumable/x", last).status).To(Equal(http.StatusBadRequest), last)
	}
	w.g.Expect(w.ledger.Runs()).To(BeEmpty())
	a := e.streamAfter("r1", "/resumable/x", "7")
	w.g.Expect(a.status, a.err).To(Equal(http.StatusOK))
	w.g.Expect(a.body).To(BeEmpty())
}

// TestAResumableStreamGoesOnElsewhere: an engine that breaks off, in the middle of an
// event, is replaced within the same answer, which keeps its head.
func TestAResumableStreamGoesOnElsewhere(t *testing.T) {
	w := newWorld(t)
	first := w.endpoint("engine-1", "engine")
	first.CutAfter(2)
	vm := w.settings("vm-1")
	// The budget of repeats isn't what is tested.
	vm.Bounds.RetrySlack = 10_000
	e := w.start(vm).waitReady()
	w.g.Expect(e.streamAfter("alone", "/resumable/x", "").body).To(Equal(events("alone", 2)), "there is no other engine")
	w.endpoint("engine-2", "engine")
	w.g.Eventually(func() []string { return w.logs.with("value in force", "name=fleet") }, eventually).Should(HaveLen(2))
	// The first engine is chosen sooner or later.
	var a answer
	w.g.Eventually(func() []string {
		a = e.streamAfter("r", "/resumable/x", "1")
		w.g.Expect(a.body, a.err).To(Equal(eventsAfter("r", 1, 5)))
		return lastRuns(w, "r")
	}, eventually).Should(Equal([]string{"engine-1", "engine-2"}))
	w.g.Expect(a.header.Get(platform.HeaderSignature)).To(Equal("engine-1"))
}

// lastRuns names the engines of the last answer to a request.
func lastRuns(w *world, id string) []string {
	var out []string
	for _, r := range w.ledger.Of(id) {
		if r.From == 2 {
			out = nil
		}
		out = append(out, r.Endpoint)
	}
	return out
}
