package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

func TestRequestsAreRelayedAsTheyCame(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk")
	w.endpoint("engine-1", "engine")
	e := w.start(w.settings("vm-1")).waitReady()
	a := e.call("r1", http.MethodPost, "/plain/a%2Fb?q=1&q=2", nil)
	w.g.Expect(a.err).NotTo(HaveOccurred())
	w.g.Expect(a.status).To(Equal(http.StatusOK))
	w.g.Expect(a.body).To(Equal("POST /plain/a%2Fb?q=1&q=2 body"))
	w.g.Expect(a.header.Get(platform.HeaderSignature)).To(Equal("desk-1"))
	a = e.stream("r2")
	w.g.Expect(a.body, a.err).To(Equal(events("r2", 5)))
	runs := w.ledger.Of("r2")
	w.g.Expect(runs).To(HaveLen(1))
	w.g.Expect(runs[0].Endpoint).To(Equal("engine-1"))
	w.g.Expect(runs[0].Workspace).To(Equal("w"))
	w.g.Expect(runs[0].From).To(Equal(1))
}

func TestRefusals(t *testing.T) {
	w := newWorld(t)
	desk := w.endpoint("desk-1", "desk")
	e := w.start(w.settings("vm-1")).waitReady()
	w.g.Expect(e.call("r1", http.MethodPost, "/nowhere/", nil).status).To(Equal(http.StatusNotFound))
	w.g.Expect(e.call("r2", http.MethodPost, "/plain/", map[string]string{platform.HeaderAPIKey: "forged"}).status).To(Equal(http.StatusUnauthorized))
	w.g.Expect(e.stream("r3").status).To(Equal(http.StatusServiceUnavailable), "no engine is there")
	desk.SetRefusing(true)
	a := e.call("r4", http.MethodPost, "/plain/", nil)
	w.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	w.g.Expect(a.header.Get(platform.HeaderSignature)).To(BeEmpty())
	w.g.Expect(w.ledger.Runs()).To(BeEmpty())
	w.g.Expect(w.logs.with("request failed", "request=r4", "outcome=not_run", "code=endpoint_refused")).To(HaveLen(1))
	w.g.Expect(w.logs.with("attempt failed", "request=r4", "endpoint=desk-1")).To(HaveLen(1))
}

// TestAttemptsKeepToTheRoute: a refused request goes to as many endpoints as its
// route allows, never more.
func TestAttemptsKeepToTheRoute(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		w.endpoint(fmt.Sprintf("desk-%d", i), "desk").SetRefusing(true)
	}
	e := w.start(w.settings("vm-1")).waitReady()
	w.g.Expect(e.call("once", http.MethodPost, "/plain/", nil).status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(w.logs.with("attempt failed", "request=once")).To(HaveLen(1))
	w.g.Expect(e.call("twice", http.MethodGet, "/safe/", nil).status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(w.logs.with("attempt failed", "request=twice")).To(HaveLen(2))
}

// TestAStreamThatBreaksOffIsCut: no half event reaches the caller, and the answer
// can't be taken for whole.
func TestAStreamThatBreaksOffIsCut(t *testing.T) {
	w := newWorld(t)
	w.endpoint("engine-1", "engine").CutAfter(2)
	e := w.start(w.settings("vm-1")).waitReady()
	a := e.stream("r1")
	w.g.Expect(a.err).To(HaveOccurred())
	w.g.Expect(a.body).To(Equal(events("r1", 2)))
	w.g.Expect(w.ledger.Of("r1")).To(HaveLen(1), "it isn't run again")
}

// TestAStreamThatEndsBeforeItsFirstEventIsNotWhole guards against an engine that ended behind its head, and whose
// stream, which has neither a length nor chunks, is passed on as a whole one without events.
func TestAStreamThatEndsBeforeItsFirstEventIsNotWhole(t *testing.T) {
	for name, tc := range map[string]struct{ path, last string }{
		"once": {"/stream/x", ""}, "resumable": {"/resumable/x", ""}, "resumed": {"/resumable/x", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.wrapped("engine-1", unframed(func(next http.Handler) http.Handler { return next })).Events = 0
			a := w.start(w.settings("vm-1")).waitReady().streamAfter("r1", tc.path, tc.last)
			w.g.Expect(a.status, a.err).To(Equal(http.StatusGatewayTimeout))
			if tc.path == "/stream/x" {
				w.g.Expect(w.ledger.Of("r1")).To(HaveLen(1), "it isn't run again")
			}
		})
	}
}

// TestGenerationsLeaveWithTheirEngine: a stream whose engine announces its leaving
// goes on elsewhere, each event once and in order.
func TestGenerationsLeaveWithTheirEngine(t *testing.T) {
	for _, announced := range []bool{true, false} {
		t.Run(fmt.Sprintf("announced=%v", announced), func(t *testing.T) {
			w := newWorld(t)
			first := w.endpoint("engine-1", "engine")
			first.Events, first.Every = 200, 10*time.Millisecond
			e := w.start(w.settings("vm-1")).waitReady()
			got := e.begin("r1")
			w.g.Eventually(first.Running, eventually).Should(Equal(1))
			second := w.endpoint("engine-2", "engine")
			second.Events, second.Every = 200, time.Millisecond
			w.g.Eventually(func() []string { return w.logs.with("value in force", "name=fleet") }, eventually).Should(HaveLen(2))
			if announced {
				w.announce(first, "engine", true)
			} else {
				first.SetLeaving(2 * time.Second)
			}
			var a answer
			w.g.Eventually(got, eventually).Should(Receive(&a))
			w.g.Expect(a.err).NotTo(HaveOccurred())
			w.g.Expect(a.body).To(Equal(events("r1", 200)))
			runs := w.ledger.Of("r1")
			w.g.Expect(runs).To(HaveLen(2))
			w.g.Expect(runs[1].Endpoint).To(Equal("engine-2"))
			w.g.Expect(first.Running()).To(BeZero(), "the source has stopped")
			w.g.Expect(w.logs.with("handed over", "request=r1", "from=engine-1", "to=engine-2")).To(HaveLen(1))
		})
	}
}

// TestGenerationsThatBeginAtALeavingEngineAreMoved: a request whose prompt is being
// read when the notice comes is moved once it runs.
func TestGenerationsThatBeginAtALeavingEngineAreMoved(t *testing.T) {
	w := newWorld(t)
	first := w.endpoint("engine-1", "engine")
	first.Events, first.Every, first.Prefill = 200, 10*time.Millisecond, time.Second
	e := w.start(w.settings("vm-1")).waitReady()
	got := e.begin("r1")
	w.g.Eventually(first.Reading, eventually).Should(Equal(1))
	second := w.endpoint("engine-2", "engine")
	second.Events, second.Every = 200, time.Millisecond
	w.announce(first, "engine", true)
	w.g.Eventually(func() []string { return w.logs.with("endpoint leaving", "endpoint=engine-1") }, eventually).Should(HaveLen(1))
	w.g.Expect(first.Running()).To(BeZero(), "the prompt is still being read")
	var a answer
	w.g.Eventually(got, eventually).Should(Receive(&a))
	w.g.Expect(a.err).NotTo(HaveOccurred())
	w.g.Expect(a.body).To(Equal(events("r1", 200)))
	runs := w.ledger.Of("r1")
	w.g.Expect(runs).To(HaveLen(2))
	w.g.Expect(runs[1].Endpoint).To(Equal("engine-2"))
}

// TestAGenerationIsStoppedWhenTheLinkIsFree: while copies of others go over the link,
// what is new is copied as it runs, since a stopped one would make its caller wait.
func TestAGenerationIsStoppedWhenTheLinkIsFree(t *testing.T) {
	w := newWorld(t)
	first := w.endpoint("engine-1", "engine")
	first.Events, first.Every = 400, 10*time.Millisecond
	queued := 60 * time.Millisecond
	first.CopyTakes = []time.Duration{queued, queued, queued}
	e := w.start(w.settings("vm-1")).waitReady()
	got := e.begin("r1")
	w.g.Eventually(first.Running, eventually).Should(Equal(1))
	second := w.endpoint("engine-2", "engine")
	second.Events, second.Every = 400, time.Millisecond
	w.g.Eventually(func() []string { return w.logs.with("value in force", "name=fleet") }, eventually).Should(HaveLen(2))
	w.announce(first, "engine", true)
	var a answer
	w.g.Eventually(got, eventually).Should(Receive(&a))
	w.g.Expect(a.body).To(Equal(events("r1", 400)))
	copies := first.Copied()
	w.g.Expect(len(copies)).To(BeNumerically(">", len(first.CopyTakes)))
	w.g.Expect(copies[:len(copies)-1]).To(HaveEach(false))
	w.g.Expect(copies[len(copies)-1]).To(BeTrue())
}

// TestAnEngineThatClosesAConnectionIsLookedAt: engines that end without an announcement
// are found by their answers, without regular reads.
func TestAnEngineThatClosesAConnectionIsLookedAt(t *testing.T) {
	w := newWorld(t)
	first := w.endpoint("engine-1", "engine")
	w.endpoint("engine-2", "engine")
	e := w.start(w.settings("vm-1"), "-poll-every", "1m").waitReady()
	first.SetLeaving(2 * time.Second)
	sent := 0
	w.g.Eventually(func() []string {
		sent++
		w.g.Expect(e.stream(fmt.Sprintf("r%d", sent)).err).NotTo(HaveOccurred())
		return w.logs.with("endpoint leaving", "endpoint=engine-1", "source=endpoint")
	}, eventually).Should(HaveLen(1))
}

func TestLeavingEndpointsGetNothingNew(t *testing.T) {
	w := newWorld(t)
	one := w.endpoint("desk-1", "desk")
	w.endpoint("desk-2", "desk")
	e := w.start(w.settings("vm-1")).waitReady()
	w.announce(one, "desk", true)
	w.g.Eventually(func() []string { return w.logs.with("endpoint leaving", "endpoint=desk-1") }, eventually).Should(HaveLen(1))
	for i := range 20 {
		id := fmt.Sprintf("r%d", i)
		w.g.Expect(e.call(id, http.MethodPost, "/plain/", nil).status).To(Equal(http.StatusOK))
		w.g.Expect(w.ledger.Of(id)[0].Endpoint).To(Equal("desk-2"))
	}
}

// TestAnAddressOfAnotherIsNotUsed: an endpoint that answers as another one ran
// nothing, and gets nothing more.
func TestAnAddressOfAnotherIsNotUsed(t *testing.T) {
	w := newWorld(t)
	e := w.endpoint("desk-1", "desk")
	w.store.Put(platform.EndpointPrefix+"desk-old", standin.Record(e, "desk", "dc", false))
	w.store.Delete(platform.EndpointPrefix + "desk-1")
	gw := w.start(w.settings("vm-1")).waitReady()
	w.g.Expect(gw.call("r1", http.MethodPost, "/plain/", nil).status).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(w.ledger.Runs()).To(BeEmpty())
	w.g.Expect(w.logs.with("endpoint leaving", "endpoint=desk-old", "source=endpoint")).To(HaveLen(1))
}

// TestChangesOfTheConfiguration: new routes and keys are in force, old ones gone,
// and a bad configuration changes nothing.
func TestChangesOfTheConfiguration(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk")
	e := w.start(w.settings("vm-1")).waitReady()
	w.config.Routes = []standin.Route{route("new", "/new/", standin.Unsafe, "desk", 1)}
	w.config.Workspaces = map[string][]string{"v": {"key-2"}}
	w.publish()
	key := map[string]string{platform.HeaderAPIKey: "key-2"}
	w.g.Eventually(func() int { return e.call("r1", http.MethodPost, "/new/", key).status }, eventually).Should(Equal(http.StatusOK))
	w.g.Expect(e.call("r2", http.MethodPost, "/plain/", key).status).To(Equal(http.StatusNotFound))
	w.g.Expect(e.call("r3", http.MethodPost, "/new/", nil).status).To(Equal(http.StatusUnauthorized))
	w.store.Put(platform.ConfigurationKey, standin.Configuration{Routes: []standin.Route{{Name: "bad"}}}.Encode())
	w.g.Eventually(func() []string { return w.logs.with("value refused", "verdict=rejected") }, eventually).Should(HaveLen(1))
	w.g.Expect(e.call("r4", http.MethodPost, "/new/", key).status).To(Equal(http.StatusOK))
}

// TestEntriesTellEachOther: an entry that the store turns away learns of
// everything from its peers, also at its start.
func TestEntriesTellEachOther(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk")
	one := w.start(w.settings("vm-1")).waitReady()
	cut := w.settings("vm-2", one.vm.Peers)
	cut.Store = freeportNobodyListensAt(t)
	two := w.start(cut).waitReady()
	w.g.Expect(w.logs.with("store lost", "vm=vm-2")).NotTo(BeEmpty())
	w.g.Expect(two.call("r1", http.MethodPost, "/plain/", nil).status).To(Equal(http.StatusOK))
	w.config.Routes = []standin.Route{route("new", "/new/", standin.Unsafe, "desk", 1)}
	w.publish()
	w.g.Eventually(func() int { return two.call("r2", http.MethodPost, "/new/", nil).status }, eventually).Should(Equal(http.StatusOK))
	w.g.Expect(two.call("r3", http.MethodPost, "/plain/", nil).status).To(Equal(http.StatusNotFound), "it never goes back")
}

// TestEntriesTellOfPrompts: what one entry sends to an engine, the other hears of at
// once.
func TestEntriesTellOfPrompts(t *testing.T) {
	w := newWorld(t)
	w.endpoint("engine-1", "engine")
	one, metricsPort := w.neighbours()
	sent := 0
	w.g.Eventually(func() string {
		sent++
		w.g.Expect(one.stream(fmt.Sprintf("r%d", sent)).err).NotTo(HaveOccurred())
		return scrape(metricsPort)
	}, eventually).Should(MatchRegexp(`(?m)^bridgehoist_prompt_notices_total\{way="heard"\} [1-9]`))
}

// TestAnEntryWithoutATableIsNotReady refuses with a promise until it knows one.
func TestAnEntryWithoutATableIsNotReady(t *testing.T) {
	w := newWorld(t)
	w.store.SetMode(standin.Mode{Down: true})
	e := w.start(w.settings("vm-1"))
	w.g.Eventually(func() int { return e.call("r1", http.MethodPost, "/plain/", nil).status }, eventually).Should(Equal(http.StatusServiceUnavailable))
	w.g.Expect(e.ready()).To(BeFalse())
	// It answers before it has read the store for the first time.
	w.g.Eventually(func() []string { return w.logs.with("store lost") }, eventually).ShouldNot(BeEmpty())
	w.endpoint("desk-1", "desk")
	w.store.SetMode(standin.Mode{})
	e.waitReady()
	w.g.Expect(w.logs.with("store regained")).NotTo(BeEmpty())
}

// TestAPlannedStopCutsNothing: what is open ends, what still comes is served, and
// callers are told to take another connection.
func TestAPlannedStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	engine := w.endpoint("engine-1", "engine")
	engine.Events, engine.Every = 30, 10*time.Millisecond
	w.endpoint("desk-1", "desk")
	e := w.start(w.settings("vm-1")).waitReady()
	var all sync.WaitGroup
	answers := make([]answer, 4)
	for i := range answers {
		all.Go(func() { answers[i] = e.stream(fmt.Sprintf("r%d", i)) })
	}
	w.g.Eventually(engine.Running, eventually).Should(Equal(len(answers)))
	e.stop()
	w.g.Eventually(e.ready, eventually).Should(BeFalse())
	all.Wait()
	for i, a := range answers {
		w.g.Expect(a.err).NotTo(HaveOccurred())
		w.g.Expect(a.body).To(Equal(events(fmt.Sprintf("r%d", i), 30)))
	}
	w.g.Eventually(func() []string { return w.logs.with("msg=stopped") }, eventually).Should(HaveLen(1))
	w.g.Expect(w.logs.with("requests cut")).To(BeEmpty())
}

// TestACallerThatLeavesEndsItsRun frees the engine.
func TestACallerThatLeavesEndsItsRun(t *testing.T) {
	w := newWorld(t)
	engine := w.endpoint("engine-1", "engine")
	engine.Events, engine.Every = 100_000, time.Millisecond
	e := w.start(w.settings("vm-1")).waitReady()
	client := &http.Client{Transport: &http.Transport{}}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.vm.Callers+"/stream/x", nil)
	w.g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, "r1")
	req.Header.Set(platform.HeaderAPIKey, apiKey)
	req.Header.Set(platform.HeaderTokens, "10,10")
	resp, err := client.Do(req)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Eventually(engine.Running, eventually).Should(Equal(1))
	resp.Body.Close()
	w.g.Eventually(engine.Running, eventually).Should(BeZero())
}
