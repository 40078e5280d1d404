package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
)

// start runs a server whose requests block until release is closed.
func start(t *testing.T) (s *Server, address string, release chan struct{}) {
	release = make(chan struct{})
	l := freeport.Listen(t)
	s = Start(l, Config{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		fmt.Fprint(w, "ok")
	})}})
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String(), release
}

func dial(g *WithT, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

func request(g *WithT, c net.Conn) {
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
}

func expectAnswer(g *WithT, c net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(resp.Close).To(BeTrue())
}

// accepted waits until a server has accepted some connections.
func accepted(g *WithT, s *Server, count int) {
	g.Eventually(func() int {
		s.connections.mu.Lock()
		defer s.connections.mu.Unlock()
		return len(s.connections.open)
	}).Should(Equal(count))
}

// TestRequestsThatArriveDuringADrainAreAnswered guards against requests that are read and dropped.
func TestRequestsThatArriveDuringADrainAreAnswered(t *testing.T) {
	g := NewWithT(t)
	s, address, release := start(t)
	before, during := dial(g, address), dial(g, address)
	defer before.Close()
	defer during.Close()
	request(g, before)
	accepted(g, s, 2)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	g.Eventually(s.connections.isDraining, "5s").Should(BeTrue())
	request(g, during)
	_, err := net.DialTimeout("tcp", address, 5*time.Second)
	g.Expect(err).To(HaveOccurred())
	time.Sleep(2 * drainPoll)
	g.Expect(drained).NotTo(Receive())
	close(release)
	expectAnswer(g, before)
	expectAnswer(g, during)
	g.Eventually(drained, "5s").Should(Receive(BeNil()))
}

// TestADrainEndsWithItsContext guards against a stop that waits for a request without end.
func TestADrainEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	s, address, release := start(t)
	c := dial(g, address)
	defer c.Close()
	defer close(release)
	request(g, c)
	accepted(g, s, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	g.Expect(s.Drain(ctx)).NotTo(Succeed())
}

// TestConnectionsWithoutARequestDoNotHoldUpADrain guards against stops that wait for silent clients.
func TestConnectionsWithoutARequestDoNotHoldUpADrain(t *testing.T) {
	g := NewWithT(t)
	s, address, release := start(t)
	close(release)
	c := dial(g, address)
	defer c.Close()
	accepted(g, s, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 4*receiveGrace)
	defer cancel()
	g.Expect(s.Drain(ctx)).To(Succeed())
}

// startRefusing runs a server that refuses all requests without reading their bodies.
func startRefusing(t *testing.T) (client net.Conn, accepted *pausingConn) {
	l := &pausingListener{Listener: freeport.Listen(t), accepted: make(chan *pausingConn, 1)}
	s := Start(l, Config{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
	})}})
	t.Cleanup(func() { _ = s.Close() })
	client = dial(NewWithT(t), l.Addr().String())
	t.Cleanup(func() { _ = client.Close() })
	_ = client.SetReadDeadline(time.Now().Add(10 * time.Second))
	return client, <-l.accepted
}

// expectRefusal reads a whole refusal, and reports whether its connection is to be closed.
func expectRefusal(g *WithT, c net.Conn) (closes bool) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	return resp.Close
}

// TestARefusalDoesNotWaitForTheBody guards against refusals that are held until their callers have sent the rest, against
// callers that hold a connection by sending slowly, and against a reset by which the refusal may be lost.
func TestARefusalDoesNotWaitForTheBody(t *testing.T) {
	defer func(timeout time.Duration) { lingerTimeout = timeout }(lingerTimeout)
	lingerTimeout = time.Minute
	for name, request := range map[string]string{
		"length":  "Content-Length: 1000\r\n\r\nab",
		"large":   "Content-Length: 1000000\r\n\r\nab",
		"chunks":  "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
		"expects": "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client, conn := startRefusing(t)
			head, _ := fmt.Fprint(client, "POST / HTTP/1.1\r\nHost: h\r\n"+request)
			g.Expect(expectRefusal(g, client)).To(BeTrue())
			rest, err := client.Write(make([]byte, 500_000))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(client.(*net.TCPConn).CloseWrite()).To(Succeed())
			g.Eventually(conn.closed, "10s").Should(BeClosed())
			g.Expect(conn.total.Load()).To(BeEquivalentTo(head + rest))
		})
	}
}

// TestARefusedRequestWhoseBodyHasArrivedKeepsItsConnection guards against new connections of all callers that are refused.
func TestARefusedRequestWhoseBodyHasArrivedKeepsItsConnection(t *testing.T) {
	defer func(timeout time.Duration) { arrivedTimeout = timeout }(arrivedTimeout)
	arrivedTimeout = time.Minute
	g := NewWithT(t)
	client, _ := startRefusing(t)
	for range 2 {
		fmt.Fprint(client, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
		g.Expect(expectRefusal(g, client)).To(BeFalse())
	}
}

// TestARequestWhoseContextHasEndedIsRefused guards against requests that are passed on and broken off at once, since a
// read for the end of the connection has timed out.
func TestARequestWhoseContextHasEndedIsRefused(t *testing.T) {
	g := NewWithT(t)
	handled := 0
	l := freeport.Listen(t)
	s := Start(l, Config{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled++
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
		<-r.Context().Done()
	})}})
	t.Cleanup(func() { _ = s.Close() })
	client := dial(g, l.Addr().String())
	defer client.Close()
	answers := bufio.NewReader(client)
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		request(g, client)
		resp, err := http.ReadResponse(answers, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(status))
		g.Expect(resp.Close).To(Equal(status != http.StatusOK))
	}
	g.Expect(handled).To(Equal(1))
}

// TestConnectionsMayBeOpenedAhead guards against requests on connections that are closed since the first one didn't follow
// at once.
func TestConnectionsMayBeOpenedAhead(t *testing.T) {
	const headerTimeout = 100 * time.Millisecond
	g := NewWithT(t)
	l := freeport.Listen(t)
	s := Start(l, Config{HTTP: &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}})
	t.Cleanup(func() { _ = s.Close() })
	ahead, slow := dial(g, l.Addr().String()), dial(g, l.Addr().String())
	defer ahead.Close()
	defer slow.Close()
	fmt.Fprint(slow, "GET / HTTP/1.1\r\n")
	_, err := slow.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred(), "its head takes longer than it may")
	time.Sleep(headerTimeout)
	request(g, ahead)
	resp, err := http.ReadResponse(bufio.NewReader(ahead), nil)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}
