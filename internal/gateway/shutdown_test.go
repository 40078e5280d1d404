package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/gateway"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/platform"
)

// longWork exceeds every grace period in this file.
const longWork = time.Minute

// callAll sends plain requests at the same time, and returns their answers when all have come.
func (e *entry) callAll(count int) (wait func() map[string]answer) {
	var all sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	for i := range count {
		id := fmt.Sprintf("r%d", i)
		all.Go(func() {
			a := e.call(id, http.MethodPost, "/plain/x", nil)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	return func() map[string]answer {
		all.Wait()
		return answers
	}
}

// expectAnswered checks that each request was answered, and was refused if and only if it did not run.
func (w *world) expectAnswered(answers map[string]answer) {
	refused := 0
	for id, a := range answers {
		w.g.Expect(a.err).NotTo(HaveOccurred(), id)
		if len(w.ledger.Of(id)) == 0 {
			refused++
			w.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable), id)
			w.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty(), id)
		} else {
			w.g.Expect(a.status).To(Equal(http.StatusGatewayTimeout), id)
		}
	}
	w.g.Expect(refused).To(And(BeNumerically(">", 0), BeNumerically("<", len(answers))))
}

// TestRequestsHeldAtAStopAreAnswered guards against connections that a stopping entry closes without an
// answer: of requests that wait for an endpoint, and of plain requests that an endpoint works on.
func TestRequestsHeldAtAStopAreAnswered(t *testing.T) {
	w := newWorld(t)
	desk := w.endpoint("desk-1", "desk")
	desk.Work = longWork
	vm := w.settings("vm-1")
	vm.Bounds.Grace = 2 * time.Second
	e := w.start(vm).waitReady()
	wait := e.callAll(40)
	w.g.Eventually(func() int { return len(w.ledger.Runs()) }, eventually).Should(BeNumerically(">=", 8))
	e.stop()
	w.expectAnswered(wait())
	w.g.Expect(w.logs.with("request failed", "code=stopping", "outcome=not_run")).NotTo(BeEmpty())
	w.g.Expect(w.logs.with("requests cut")).To(BeEmpty())
}

// TestARequestWhoseBodyArrivesAtAStopIsRefused guards against a 400, after which callers don't try again.
func TestARequestWhoseBodyArrivesAtAStopIsRefused(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk")
	vm := w.settings("vm-1")
	vm.Bounds.Grace = 2 * time.Second
	e := w.start(vm).waitReady()
	c, err := net.Dial("tcp", e.vm.Callers)
	w.g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	fmt.Fprintf(c, "POST /plain/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf", platform.HeaderRequestID, platform.HeaderAPIKey, apiKey)
	w.g.Expect(e.call("r2", http.MethodPost, "/plain/x", nil).status).To(Equal(http.StatusOK))
	e.stop()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	w.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	w.g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	w.g.Expect(w.ledger.Of("r1")).To(BeEmpty())
}

// TestDelegatedRequestsHeldAtAStopAreAnswered guards against the same at the entry that has delegated
// them, which alone knows the caller, and at the peer that serves them.
func TestDelegatedRequestsHeldAtAStopAreAnswered(t *testing.T) {
	for _, stops := range []string{"delegating entry", "serving peer"} {
		t.Run(stops, func(t *testing.T) {
			d := newDelegationWorldWithGrace(t, 1, 2*time.Second)
			d.awaitServed()
			d.desk.Work = longWork
			wait := d.cut.callAll(40)
			d.g.Eventually(func() int { return len(d.ledger.Of("r0")) + len(d.ledger.Runs()) }, eventually).Should(BeNumerically(">=", 8))
			stopping := d.cut
			if stops == "serving peer" {
				stopping = d.peers[0]
			}
			stopping.stop()
			d.expectAnswered(wait())
		})
	}
}

// TestResponsesOfAStoppingEntryCloseTheirConnections guards against callers that send their next request
// on a connection that is about to be closed.
func TestResponsesOfAStoppingEntryCloseTheirConnections(t *testing.T) {
	w := newWorld(t)
	desk := w.endpoint("desk-1", "desk")
	desk.Work = 300 * time.Millisecond
	e := w.start(w.settings("vm-1"), "-drain-delay", "5s").waitReady()
	wait := e.callAll(1)
	w.g.Eventually(func() int { return len(w.ledger.Runs()) }, eventually).Should(Equal(1))
	e.stop()
	a := wait()["r0"]
	w.g.Expect(a.status, a.err).To(Equal(http.StatusOK))
	w.g.Expect(a.closes).To(BeTrue())
}

// tappedConn calls tap with what it has read before Read returns it.
type tappedConn struct {
	net.Conn
	tap func(read []byte)
}

func (c *tappedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.tap(p[:n])
	return n, err
}

// TestNoResponseBeginsOfARequestThatHasEnded guards against responses that begin as the stop ends their requests,
// and are cut.
func TestNoResponseBeginsOfARequestThatHasEnded(t *testing.T) {
	// heldBytes is the largest answer that is held until it is complete.
	const heldBytes = 4 << 20
	for path, begins := range map[string]func(body []byte) bool{
		"/stream/x": func(body []byte) bool { return bytes.Contains(body, []byte("-1\n\n")) },
		"/plain/x":  func(body []byte) bool { return len(body) > heldBytes },
	} {
		t.Run(path, func(t *testing.T) {
			w := newWorld(t)
			w.serve("desk-1", "desk", 0, largeAnswer("length", false))
			w.endpoint("engine-1", "engine").Every = longWork
			w.prepare = func(_ *entry, gw *gateway.Gateway) {
				gw.DialEndpoints(func(d upstream.Dialer) upstream.Dialer {
					return func(ctx context.Context, address string) (net.Conn, error) {
						c, err := d(ctx, address)
						var answer []byte
						return &tappedConn{c, func(read []byte) {
							answer = append(answer, read...)
							if _, body, _ := bytes.Cut(answer, []byte("\r\n\r\n")); begins(body) {
								gw.Abort()
							}
						}}, err
					}
				})
			}
			e := w.start(w.settings("vm-1")).waitReady()
			a := e.call("r1", http.MethodPost, path, streamHeaders)
			w.g.Expect(a.status, a.err).To(Equal(http.StatusGatewayTimeout))
		})
	}
}

// TestRequestsWithdrawnAtAStopAreNotDelegatedAgain guards against requests that another peer gets once they have ended.
func TestRequestsWithdrawnAtAStopAreNotDelegatedAgain(t *testing.T) {
	d := newDelegationWorldWithGrace(t, 2, 2*time.Second)
	d.awaitServed()
	d.desk.Work = longWork
	wait := d.cut.callAll(40)
	d.g.Eventually(func() int { return len(d.ledger.Runs()) }, eventually).Should(BeNumerically(">=", 8))
	d.cut.stop()
	d.expectAnswered(wait())
	d.g.Expect(d.logs.with("delegation refused", "vm=vm-cut", "code=stopping")).To(BeEmpty())
}

// TestAStopThatIsHeldUpAnswersItsRequests guards against connections that are closed as soon as their requests end, since the
// process didn't run between Abort and Close.
func TestAStopThatIsHeldUpAnswersItsRequests(t *testing.T) {
	suspend := suspendable(t)
	w := newWorld(t)
	w.endpoint("desk-1", "desk").Work = longWork
	vm := w.settings("vm-1")
	vm.Bounds.Grace = 10 * time.Second
	e := w.start(vm).waitReady()
	wait := e.callAll(40)
	w.g.Eventually(func() int { return len(w.ledger.Runs()) }, eventually).Should(BeNumerically(">=", 8))
	e.stop()
	w.g.Eventually(func() []string { return w.logs.with("msg=stopping") }, eventually).ShouldNot(BeEmpty())
	suspend(vm.Bounds.Grace)
	w.expectAnswered(wait())
}

// TestAStreamThatAStopCutsIsAccountedFor guards against requests of which the log says that their callers had gone.
func TestAStreamThatAStopCutsIsAccountedFor(t *testing.T) {
	w := newWorld(t)
	engine := w.endpoint("engine-1", "engine")
	engine.Every = longWork
	vm := w.settings("vm-1")
	vm.Bounds.Grace = 2 * time.Second
	e := w.start(vm).waitReady()
	got := e.begin("r1")
	w.g.Eventually(func() int { return len(w.ledger.Of("r1")) }, eventually).Should(Equal(1))
	e.stop()
	a := <-got
	w.g.Expect(a.err).To(HaveOccurred())
	w.g.Expect(a.body).To(Equal(events("r1", 1)))
	w.g.Eventually(func() []string { return w.logs.with("msg=stopped", "before_incomplete=1") }, eventually).ShouldNot(BeEmpty())
	w.g.Expect(w.logs.with("request failed", "request=r1", "code=stopping", "arrived=before")).NotTo(BeEmpty())
}

// TestAStopWithoutAGracePeriodServesWhatRuns guards against stops that end all requests at once since the settings hold no
// grace period.
func TestAStopWithoutAGracePeriodServesWhatRuns(t *testing.T) {
	w := newWorld(t)
	w.endpoint("desk-1", "desk").Work = 300 * time.Millisecond
	vm := w.settings("vm-1")
	vm.Bounds.Grace = 0
	e := w.start(vm).waitReady()
	wait := e.callAll(1)
	w.g.Eventually(func() int { return len(w.ledger.Runs()) }, eventually).Should(Equal(1))
	e.stop()
	a := wait()["r0"]
	w.g.Expect(a.status, a.err).To(Equal(http.StatusOK))
}
