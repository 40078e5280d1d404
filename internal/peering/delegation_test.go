package peering

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// delegateTo delegates a request to an address and returns what its caller would get.
func delegateTo(address string) (*httptest.ResponseRecorder, *outcome.Error) {
	d := NewDelegator("a", tcpconn.Dialer(time.Second), nil)
	w := httptest.NewRecorder()
	j := &job.Job{RequestID: "r1", Method: http.MethodPost, Path: "/x?q=1", Host: "h", Body: []byte("body")}
	header := http.Header{"Caller-Key": {"k1"}, "Many": {"1", "2"}}
	return w, d.Delegate(context.Background(), membership.Contact{VM: "b", Address: address}, j, header, respond.NewWriter(w))
}

// serveDelegated starts a peer that serves delegated requests by h.
func serveDelegated(t *testing.T, h DelegateHandler) *httptest.Server {
	p := newPeer(t, "b")
	s := NewServer(p.state, p.store, nil, nil, &Traffic{})
	if h != nil {
		s.ServeDelegated(h)
	}
	server := httptest.NewServer(s.Handler(""))
	t.Cleanup(server.Close)
	return server
}

func TestDelegatedRequestAndResponseArriveUnchanged(t *testing.T) {
	g := NewWithT(t)
	server := serveDelegated(t, func(from string, w http.ResponseWriter, r *http.Request) *outcome.Error {
		g.Expect(from).To(Equal("a"))
		g.Expect(r.Method + " " + r.RequestURI + " " + r.Host).To(Equal("POST /x?q=1 h"))
		g.Expect(r.Header).To(Equal(http.Header{"Caller-Key": {"k1"}, "Many": {"1", "2"}}))
		w.Header().Set("Signed-By", "s")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusTeapot)
		_, err := w.Write([]byte("reply"))
		g.Expect(err).NotTo(HaveOccurred())
		return nil
	})
	w, err := delegateTo(server.Listener.Addr().String())
	g.Expect(err).To(BeNil())
	g.Expect(w.Code).To(Equal(http.StatusTeapot))
	g.Expect(w.Body.String()).To(Equal("reply"))
	g.Expect(w.Header()).To(Equal(http.Header{"Signed-By": {"s"}, "Content-Length": {"5"}}))
}

func TestOutcomesOfDelegatedRequests(t *testing.T) {
	stream := func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\n\n"))
		w.(http.Flusher).Flush()
	}
	for name, test := range map[string]struct {
		handler DelegateHandler
		want    outcome.Outcome
		code    outcome.Code
	}{
		"an entry of an earlier version": {nil, outcome.NotRun, outcome.CodeDelegateLost},
		"a large plain response that broke off": {func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
			writeLarge(w, 10<<20)
			return outcome.New(outcome.Incomplete, outcome.CodeStalled, "stalled")
		}, outcome.Incomplete, outcome.CodeStalled},
		"a plain response that broke off": {func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
			writeLarge(w, 1<<20)
			return outcome.MayHaveRunf(outcome.CodeStalled, "stalled")
		}, outcome.MayHaveRun, outcome.CodeStalled},
		"a refusal whose text is no UTF-8": {func(string, http.ResponseWriter, *http.Request) *outcome.Error {
			return outcome.NotRunf(outcome.CodeQueueFull, "\xff")
		}, outcome.NotRun, outcome.CodeQueueFull},
		"a refusal": {func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
			http.Error(w, "the text of the peer", http.StatusServiceUnavailable)
			return outcome.NotRunf(outcome.CodeQueueFull, "full")
		}, outcome.NotRun, outcome.CodeQueueFull},
		"an uncertain failure": {func(string, http.ResponseWriter, *http.Request) *outcome.Error {
			return outcome.MayHaveRunf(outcome.CodeStalled, "stalled")
		}, outcome.MayHaveRun, outcome.CodeStalled},
		"a connection lost before the response": {func(string, http.ResponseWriter, *http.Request) *outcome.Error {
			panic(http.ErrAbortHandler)
		}, outcome.MayHaveRun, outcome.CodeDelegateLost},
		"a connection lost within a stream": {func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
			stream(w)
			panic(http.ErrAbortHandler)
		}, outcome.Incomplete, outcome.CodeDelegateLost},
		"a stream that broke off": {func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
			stream(w)
			return outcome.New(outcome.Incomplete, outcome.CodeStalled, "stalled")
		}, outcome.Incomplete, outcome.CodeStalled},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w, err := delegateTo(serveDelegated(t, test.handler).Listener.Addr().String())
			g.Expect(err).NotTo(BeNil())
			g.Expect(err.Outcome).To(Equal(test.want))
			g.Expect(err.Code).To(Equal(test.code))
			if test.want != outcome.Incomplete {
				g.Expect(w.Body.String()).To(BeEmpty())
			}
		})
	}
}

func TestARequestIsNotRunIfThePeerCannotBeConnectedTo(t *testing.T) {
	g := NewWithT(t)
	_, err := delegateTo(freeport.Address(t))
	g.Expect(err.Outcome).To(Equal(outcome.NotRun))
}

func TestARequestIsNotRunAtAPeerWithoutTheCall(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	_, err := delegateTo(server.Listener.Addr().String())
	g.Expect(err.Outcome).To(Equal(outcome.NotRun))
}

func TestDelegatedRequestsMayHoldAnyBytes(t *testing.T) {
	g := NewWithT(t)
	const uri, value = "//x/\xe4?q=\xff", "\xe4\xff"
	server := serveDelegated(t, func(_ string, w http.ResponseWriter, r *http.Request) *outcome.Error {
		g.Expect(r.RequestURI).To(Equal(uri))
		g.Expect(r.Header.Get("Latin")).To(Equal(value))
		w.Header().Set("Latin", value)
		return nil
	})
	d := NewDelegator("a", tcpconn.Dialer(time.Second), nil)
	w := httptest.NewRecorder()
	j := &job.Job{Method: http.MethodPost, Path: uri, Host: "h"}
	err := d.Delegate(t.Context(), membership.Contact{Address: server.Listener.Addr().String()}, j, http.Header{"Latin": {value}}, respond.NewWriter(w))
	g.Expect(err).To(BeNil())
	g.Expect(w.Header().Get("Latin")).To(Equal(value))
}

// gatedWriter writes nothing until its gate is open.
type gatedWriter struct {
	http.ResponseWriter
	http.Flusher
	writing chan<- struct{}
	gate    <-chan struct{}
}

func (w gatedWriter) Write(p []byte) (int, error) {
	w.writing <- struct{}{}
	<-w.gate
	return w.ResponseWriter.Write(p)
}

// TestAnInvalidStatusOfAPeerIsNotPassedOn guards against answers of endpoints that a peer of an earlier version passes on.
func TestAnInvalidStatusOfAPeerIsNotPassedOn(t *testing.T) {
	for _, status := range []int{-1, 99, 101, 600, 999, 1000} {
		g := NewWithT(t)
		server := serveDelegated(t, func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
			w.WriteHeader(status)
			return nil
		})
		_, err := delegateTo(server.Listener.Addr().String())
		g.Expect(err).NotTo(BeNil(), "%d", status)
		g.Expect(err.Outcome).To(Equal(outcome.MayHaveRun), "%d", status)
	}
}

// TestADelegatedRequestIsReleasedOnceItsResponseIsWritten guards against stops that cut a response that is being written.
func TestADelegatedRequestIsReleasedOnceItsResponseIsWritten(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, "b")
	s := NewServer(p.state, p.store, nil, nil, &Traffic{})
	s.ServeDelegated(func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
		_, _ = w.Write([]byte("reply"))
		return nil
	})
	released := make(chan struct{})
	s.AdmitDelegated(func() (func(), *outcome.Error) { return func() { close(released) }, nil })
	writing, gate := make(chan struct{}, 100), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Handler("").ServeHTTP(gatedWriter{w, w.(http.Flusher), writing, gate}, r)
	}))
	t.Cleanup(server.Close)
	open := sync.OnceFunc(func() { close(gate) })
	t.Cleanup(open)
	done := make(chan *outcome.Error, 1)
	go func() {
		_, err := delegateTo(server.Listener.Addr().String())
		done <- err
	}()
	<-writing
	g.Expect(released).NotTo(BeClosed())
	open()
	g.Expect(<-done).To(BeNil())
	g.Eventually(released, "5s").Should(BeClosed())
}
