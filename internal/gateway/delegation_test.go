package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// delegationWorld is a partitioned entry and its peers, with one endpoint of each service.
type delegationWorld struct {
	*world
	cut          *entry
	peers        []*entry
	links        map[*entry]*endpointLinks
	engine, desk *standin.Endpoint
}

// newDelegationWorld starts a partitioned entry and peers with the given flags.
func newDelegationWorld(t *testing.T, peers int, flags ...string) *delegationWorld {
	return newDelegationWorldWithGrace(t, peers, defaultGrace, flags...)
}

// newDelegationWorldWithGrace is newDelegationWorld with the grace period of all entries.
func newDelegationWorldWithGrace(t *testing.T, peers int, grace time.Duration, flags ...string) *delegationWorld {
	d := &delegationWorld{world: newWorld(t)}
	d.grace = grace
	d.links = d.controlLinks()
	d.engine, d.desk = d.endpoint("engine-1", "engine"), d.endpoint("desk-1", "desk")
	d.cut = d.start(d.settings("vm-cut"))
	for i := range peers {
		d.peers = append(d.peers, d.start(d.settings(fmt.Sprintf("vm-peer-%d", i), d.cut.vm.Peers), flags...))
	}
	for _, e := range d.entries {
		e.waitReady()
	}
	d.partition(d.cut)
	for _, peer := range d.peers {
		d.awaitRecord(d.cut, peer)
	}
	return d
}

func (d *delegationWorld) partition(e *entry) { d.links[e].set(resetPartition) }

// awaitRecord waits until an entry has the record of another.
func (d *delegationWorld) awaitRecord(e, of *entry) {
	d.g.Eventually(e.gw.Members, eventually).Should(ContainElement(of.vm.VM))
}

// awaitServed sends plain requests until one is served.
func (d *delegationWorld) awaitServed() {
	n := 0
	d.g.Eventually(func() int {
		n++
		return d.cut.call(fmt.Sprintf("await-%d", n), http.MethodPost, "/plain/x", nil).status
	}, eventually).Should(Equal(http.StatusOK))
}

func TestADelegatedRequestIsServedAsItCame(t *testing.T) {
	d := newDelegationWorld(t, 1)
	a := d.cut.call("r1", http.MethodPost, "/plain/a%2Fb?q=1&q=2", nil)
	d.g.Expect(a.status, a.err).To(Equal(http.StatusOK))
	d.g.Expect(a.body).To(Equal("POST /plain/a%2Fb?q=1&q=2 body"))
	d.g.Expect(a.header.Get(platform.HeaderSignature)).To(Equal("desk-1"))
	a = d.cut.stream("r2")
	d.g.Expect(a.body, a.err).To(Equal(events("r2", 5)))
	a = d.cut.streamAfter("r3", "/resumable/x", "2")
	d.g.Expect(a.body, a.err).To(Equal(eventsAfter("r3", 2, 5)))
	for _, id := range []string{"r1", "r2", "r3"} {
		d.g.Expect(d.ledger.Of(id)).To(HaveLen(1), id)
		d.g.Expect(d.ledger.Of(id)[0].Workspace).To(Equal("w"), id)
	}
}

func TestARefusalOfADelegatedRequestIsOne(t *testing.T) {
	d := newDelegationWorld(t, 1)
	d.awaitServed()
	d.desk.SetRefusing(true)
	a := d.cut.call("r1", http.MethodPost, "/plain/x", nil)
	d.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	d.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	d.g.Expect(d.ledger.Of("r1")).To(BeEmpty())
}

func TestABrokenDelegatedStreamIsCut(t *testing.T) {
	d := newDelegationWorld(t, 1)
	d.awaitServed()
	d.engine.CutAfter(2)
	a := d.cut.stream("r1")
	d.g.Expect(a.err).To(HaveOccurred())
	d.g.Expect(a.body).To(Equal(events("r1", 2)))
	d.g.Expect(d.ledger.Of("r1")).To(HaveLen(1))
}

func TestADelegatedRequestIsNotDelegatedAgain(t *testing.T) {
	d := newDelegationWorld(t, 2)
	for _, peer := range d.peers {
		d.partition(peer)
	}
	for n := range 20 {
		a := d.cut.call(fmt.Sprintf("r%d", n), http.MethodPost, "/plain/x", nil)
		d.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	}
	d.g.Expect(d.logs.with("delegation refused", "vm=vm-peer")).To(BeEmpty())
	d.g.Expect(d.ledger.Runs()).To(BeEmpty())
}

func TestAnotherPeerServesWhenOneIsPartitionedToo(t *testing.T) {
	d := newDelegationWorld(t, 2)
	d.partition(d.peers[0])
	for n := range 20 {
		a := d.cut.call(fmt.Sprintf("r%d", n), http.MethodPost, "/plain/x", nil)
		d.g.Expect(a.status, a.err).To(Equal(http.StatusOK))
	}
}

func TestPeersOfEarlierVersionsGetNoDelegatedRequests(t *testing.T) {
	d := newDelegationWorld(t, 1, "-without", "delegation")
	for n := range 5 {
		a := d.cut.call(fmt.Sprintf("r%d", n), http.MethodPost, "/plain/x", nil)
		d.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	}
	d.g.Expect(d.logs.with("delegation refused")).To(BeEmpty())
	d.g.Expect(d.ledger.Runs()).To(BeEmpty())
}

func TestAPeerBoundsTheRequestsDelegatedToIt(t *testing.T) {
	d := newDelegationWorld(t, 1, "-max-delegated", "1")
	d.awaitServed()
	d.engine.Events, d.engine.Every = 200, 10*time.Millisecond
	long := d.cut.begin("long")
	d.g.Eventually(d.engine.Running, eventually).Should(Equal(1))
	a := d.cut.call("r1", http.MethodPost, "/plain/x", nil)
	d.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	d.g.Expect(d.ledger.Of("r1")).To(BeEmpty())
	d.g.Expect(d.logs.with("delegation refused", "code=entry_busy")).NotTo(BeEmpty())
	d.g.Expect(d.peers[0].call("r2", http.MethodPost, "/plain/x", nil).status).To(Equal(http.StatusOK), "callers of the peer itself")
	d.g.Expect((<-long).body).To(Equal(events("long", 200)))
}

func TestWorkEndsWhenTheCallerOfADelegatedRequestLeaves(t *testing.T) {
	d := newDelegationWorld(t, 1)
	d.awaitServed()
	d.engine.Events, d.engine.Every = 100_000, 5*time.Millisecond
	leave, gone := d.cut.leave("r1", "/stream/x", streamHeaders)
	d.g.Eventually(d.engine.Running, eventually).Should(Equal(1))
	leave()
	<-gone
	d.g.Eventually(d.engine.Running, eventually).Should(BeZero())
}

func TestAPlannedStopCutsNoDelegatedRequest(t *testing.T) {
	d := newDelegationWorld(t, 1)
	d.awaitServed()
	d.engine.Events, d.engine.Every = 60, 10*time.Millisecond
	var all sync.WaitGroup
	answers := make([]answer, 4)
	for i := range answers {
		all.Go(func() { answers[i] = d.cut.stream(fmt.Sprintf("r%d", i)) })
	}
	d.g.Eventually(d.engine.Running, eventually).Should(Equal(len(answers)))
	d.peers[0].stop()
	for stopped := false; d.engine.Running() > 0; stopped = len(d.peers[0].stopped) > 0 {
		d.g.Expect(stopped).To(BeFalse(), "the peer stopped before its delegated requests had ended")
		time.Sleep(time.Millisecond)
	}
	all.Wait()
	for i, a := range answers {
		d.g.Expect(a.body, a.err).To(Equal(events(fmt.Sprintf("r%d", i), 60)))
	}
	a := d.cut.call("after", http.MethodPost, "/plain/x", nil)
	d.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
}

func TestADelegatedRequestOfAnUnnamedEntryIsNotDelegatedAgain(t *testing.T) {
	d := newDelegationWorld(t, 1)
	d.awaitServed()
	j := &job.Job{RequestID: "r1", Method: http.MethodPost, Path: "/plain/x", Host: "h.example", Body: []byte("body")}
	req, err := d.cut.request(t.Context(), j.RequestID, j.Method, j.Path, nil)
	d.g.Expect(err).NotTo(HaveOccurred())
	unnamed := peering.NewDelegator("", tcpconn.Dialer(time.Second), nil)
	failure := unnamed.Delegate(t.Context(), membership.Contact{Address: d.cut.vm.Peers}, j, req.Header, respond.NewWriter(httptest.NewRecorder()))
	d.g.Expect(failure).NotTo(BeNil())
	d.g.Expect(failure.Outcome).To(Equal(outcome.NotRun))
	d.g.Expect(d.ledger.Of("r1")).To(BeEmpty())
}

func TestADelegatedRequestWhoseTimeEndsIsNotTakenForALostPeer(t *testing.T) {
	d := newDelegationWorld(t, 1)
	d.awaitServed()
	d.desk.Work = time.Second
	a := d.cut.call("r1", http.MethodPost, "/plain/x", map[string]string{platform.HeaderWait: "300"})
	d.g.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
	d.g.Eventually(func() []string {
		return d.logs.with("request failed", "vm=vm-cut", "request=r1 ", "code=deadline_unreachable")
	}, eventually).Should(HaveLen(1))
}

func TestAPeerIsAskedAgainAfterACallerHasLeft(t *testing.T) {
	d := newDelegationWorld(t, 1)
	d.awaitServed()
	d.desk.Work = 500 * time.Millisecond
	leave, gone := d.cut.leave("r1", "/plain/x", nil)
	d.g.Eventually(func() int { return len(d.ledger.Of("r1")) }, eventually).Should(Equal(1))
	leave()
	<-gone
	d.g.Eventually(func() []string { return d.logs.with("request failed", "vm=vm-cut", "request=r1 ", "code=caller_gone") }, eventually).Should(HaveLen(1))
	d.g.Expect(d.cut.call("r2", http.MethodPost, "/plain/x", nil).status).To(Equal(http.StatusOK))
	d.g.Expect(d.logs.with("delegation refused")).To(BeEmpty())
}
