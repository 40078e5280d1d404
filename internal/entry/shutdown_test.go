package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
)

// TestRequestsHeldAtTheEndOfAStopAreAnswered guards against connections that are closed without an answer when
// the time of a stop is over: of requests that an engine hasn't answered.
func TestRequestsHeldAtTheEndOfAStopAreAnswered(t *testing.T) {
	g := NewWithT(t)
	arrived := make(chan struct{}, 8)
	inner := fastEngine()
	t.Cleanup(inner.Close)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engineapi.PathCompletions {
			inner.Config.Handler.ServeHTTP(w, r)
			return
		}
		// The server notices that a caller has gone once it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(engine.Close)
	cut := invariant.Count(invariant.DrainCutsNothing)
	address, stop := startEntryWith(t, []string{"-drain-timeout", "2s"}, strings.TrimPrefix(engine.URL, "http://"))
	answers := make(chan int, 3)
	for range cap(answers) {
		go func() {
			status, _ := complete(g, address, "p")
			answers <- status
		}()
	}
	for range cap(answers) {
		g.Eventually(arrived, "10s").Should(Receive())
	}
	stop()
	for range cap(answers) {
		g.Eventually(answers, "10s").Should(Receive(Or(Equal(http.StatusGatewayTimeout), Equal(http.StatusServiceUnavailable))))
	}
	g.Expect(invariant.Count(invariant.DrainCutsNothing)).To(Equal(cut))
}

// TestAResponseToAPeerIsWrittenBeforeTheStopEnds guards against peers whose forwarded requests have run, and that are cut off
// before they have the answer.
func TestAResponseToAPeerIsWrittenBeforeTheStopEnds(t *testing.T) {
	g := NewWithT(t)
	e := newEntry(t, nil)
	servers, err := e.listen(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	_ = servers.peers.Close()
	arrived, respond := make(chan struct{}), make(chan struct{})
	address := freeport.Address(t)
	servers.peers, err = e.serve(t.Context(), address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-respond
		_, _ = io.WriteString(w, "whole")
	}), nil)
	g.Expect(err).NotTo(HaveOccurred())
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + address)
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()
	<-arrived
	stopped := make(chan struct{})
	go func() {
		e.stop(t.Context(), servers)
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(2 * listenerCloseGrace):
	}
	close(respond)
	g.Expect(<-answer).To(Equal("whole"))
	<-stopped
}

// TestLateTicketsAreAnsweredOrRefused guards against answers that are kept for a ticket and not given once the listener is
// closed, and against runs that begin then.
func TestLateTicketsAreAnsweredOrRefused(t *testing.T) {
	g := NewWithT(t)
	engine := fastEngine()
	t.Cleanup(engine.Close)
	e := newEntry(t, nil, strings.TrimPrefix(engine.URL, "http://"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	g.Eventually(e.ready, "10s").Should(BeTrue())
	mint := func() string {
		ticket, ok := e.owner.Mint("w")
		g.Expect(ok).To(BeTrue())
		return ticket
	}
	send := func(ticket string) (int, string) {
		req, _ := http.NewRequest(http.MethodPost, "http://"+e.cfg.Listen+httpapi.PathCompletions, strings.NewReader(`{"model":"m","prompt":"p","max_tokens":1}`))
		req.Header.Set("Authorization", "Bearer key")
		req.Header.Set(httpapi.HeaderKind, "k")
		req.Header.Set(httpapi.HeaderTicket, ticket)
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(body)
	}
	early, late := mint(), mint()
	status, whole := send(early)
	g.Expect(status).To(Equal(http.StatusOK))
	e.closeIntake(time.Now().Add(time.Hour))
	status, again := send(early)
	g.Expect(status).To(Equal(http.StatusOK), again)
	g.Expect(again).To(Equal(whole))
	status, refusal := send(late)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), refusal)
}
