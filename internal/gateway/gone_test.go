package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// leave sends a request whose caller closes its connection when it is told to; gone is
// closed when the caller has left.
func (e *entry) leave(id, path string, header map[string]string) (leave func(), gone <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	e.w.t.Cleanup(cancel)
	req, err := e.request(ctx, id, http.MethodPost, path, header)
	e.w.g.Expect(err).NotTo(HaveOccurred())
	left := make(chan struct{})
	go func() {
		defer close(left)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		<-ctx.Done()
	}()
	return cancel, left
}

var streamHeaders = map[string]string{platform.HeaderTokens: "100,50", "Model": "m"}

// TestWorkEndsWhenItsCallerLeaves: an engine stops a stream whose caller has closed its
// connection, and a resumable one isn't run again for it.
func TestWorkEndsWhenItsCallerLeaves(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			w := newWorld(t)
			first := w.endpoint("engine-1", "engine")
			first.Events, first.Every = 100_000, 5*time.Millisecond
			e := w.start(w.settings("vm-1")).waitReady()
			leave, gone := e.leave("r1", path, streamHeaders)
			w.g.Eventually(first.Running, eventually).Should(Equal(1))
			leave()
			<-gone
			w.g.Eventually(first.Running, eventually).Should(BeZero())
			w.g.Eventually(func() []string { return w.logs.with("request failed", "request=r1", "code=caller_gone") }, eventually).Should(HaveLen(1))
			w.g.Expect(w.ledger.Of("r1")).To(HaveLen(1))
		})
	}
}

// TestNothingIsSentForACallerThatLeftTheQueue: a request that waits for an endpoint is
// forgotten with its caller.
func TestNothingIsSentForACallerThatLeftTheQueue(t *testing.T) {
	w := newWorld(t)
	dead := &standin.Endpoint{ID: "desk-1", Address: freeportNobodyListensAt(t)}
	w.announce(dead, "desk", false)
	e := w.start(w.settings("vm-1")).waitReady()
	leave, gone := e.leave("r1", "/plain/x", nil)
	w.g.Eventually(func() []string { return w.logs.with("attempt failed", "request=r1", "failure=not_sent") }, eventually).ShouldNot(BeEmpty())
	leave()
	<-gone
	w.g.Eventually(func() []string { return w.logs.with("request failed", "request=r1") }, eventually).Should(HaveLen(1))
	w.endpoint("desk-2", "desk")
	w.g.Eventually(func() int { return e.call("r2", http.MethodPost, "/plain/x", nil).status }, eventually).Should(Equal(http.StatusOK))
	w.g.Expect(w.ledger.Of("r1")).To(BeEmpty())
}

// TestAnAnswerThatNobodyReadsIsCut: a caller that leaves its answer unread, with its connection
// open, holds no engine; other requests are served meanwhile, and its connection is closed.
func TestAnAnswerThatNobodyReadsIsCut(t *testing.T) {
	w := newWorld(t)
	engine := w.endpoint("engine-1", "engine")
	engine.Events, engine.Every = 100_000_000, 100*time.Microsecond
	w.endpoint("desk-1", "desk")
	e := w.start(w.settings("vm-1"), "-unread-timeout", "300ms").waitReady()
	conn, err := net.Dial("tcp", e.vm.Callers)
	w.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	w.g.Expect(conn.(*net.TCPConn).SetReadBuffer(4096)).To(Succeed())
	// Each event holds the id.
	id := strings.Repeat("r", 8000)
	req, err := e.request(t.Context(), id, http.MethodPost, "/stream/x", streamHeaders)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(req.Write(conn)).To(Succeed())
	w.g.Eventually(engine.Running, eventually).Should(Equal(1))
	w.g.Expect(e.call("r2", http.MethodGet, "/plain/x", nil).status).To(Equal(http.StatusOK))
	w.g.Eventually(engine.Running, eventually).Should(BeZero())
	w.g.Eventually(func() []string { return w.logs.with("request failed", "request=rrr") }, eventually).Should(HaveLen(1))
	_, err = io.Copy(io.Discard, conn)
	w.g.Expect(err).To(Or(BeNil(), MatchError(syscall.ECONNRESET)), "closed, not timed out")
	w.g.Expect(w.ledger.Of(id)).To(HaveLen(1))
}
