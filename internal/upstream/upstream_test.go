package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// protocol is a protocol of its own, as another platform might have it.
type protocol struct{}

func (protocol) WriteRequest(h http.Header, s upstream.Sending) { h.Set("For", s.Endpoint) }

func (protocol) ReadAnswer(status int, h http.Header) upstream.Answer {
	return upstream.Answer{RequestID: h.Get("Of"), Signed: true, NotRun: status == http.StatusServiceUnavailable, Header: h}
}

// peer is an endpoint that answers each connection by a script.
type peer struct {
	endpoint fleet.Endpoint
	mu       sync.Mutex
	requests []string
	conns    int
}

// listen starts a peer. The script gets each connection, with a function that
// reads one request and returns its id.
func listen(t *testing.T, script func(c net.Conn, next func() string)) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &peer{endpoint: fleet.Endpoint{ID: "e", Address: l.Addr().String()}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns++
			p.mu.Unlock()
			go p.serve(c, script)
		}
	}()
	return p
}

func (p *peer) serve(c net.Conn, script func(net.Conn, func() string)) {
	defer c.Close()
	r := bufio.NewReader(c)
	script(c, func() string {
		req, err := http.ReadRequest(r)
		if err != nil {
			return ""
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return ""
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		id := req.Header.Get("Id")
		p.requests = append(p.requests, id)
		return id
	})
}

func (p *peer) seen() (requests []string, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.requests...), p.conns
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nOf: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func request(id string) *upstream.Request {
	return &upstream.Request{ID: id, Method: http.MethodPost, URI: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body")}
}

func newPool() *upstream.Pool { return upstream.NewPool(protocol{}, upstream.Hooks{}) }

// do sends a request and returns the whole body, or the failure.
func do(p *upstream.Pool, e fleet.Endpoint, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, f := p.Do(ctx, e, request(id), upstream.Sending{Endpoint: e.ID, Left: time.Second})
	if f != nil {
		return "", f
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func TestConnectionsAreKept(t *testing.T) {
	g := NewWithT(t)
	p := listen(t, func(c net.Conn, next func() string) {
		for id := next(); id != ""; id = next() {
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	pool := newPool()
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(do(pool, p.endpoint, id)).To(Equal("ok"))
	}
	requests, conns := p.seen()
	g.Expect(requests).To(Equal([]string{"a", "b", "c"}))
	g.Expect(conns).To(Equal(1))
}

// TestAKeepAliveThatOverflowsKeepsTheConnection: 18446744074 s in nanoseconds are a third of a second more than 2^64.
func TestAKeepAliveThatOverflowsKeepsTheConnection(t *testing.T) {
	for _, timeout := range []string{"18446744074", "9223372036854775807", "-1", "1e400", strings.Repeat("9", 1000), "NaN", ""} {
		p := listen(t, func(c net.Conn, next func() string) {
			for id := next(); id != ""; id = next() {
				_, _ = io.WriteString(c, strings.Replace(answer(id, "a"), "Of:", "Keep-Alive: timeout="+timeout+"\r\nOf:", 1))
			}
		})
		pool := newPool()
		g := NewWithT(t)
		for _, id := range []string{"1", "2"} {
			body, err := do(pool, p.endpoint, id)
			g.Expect(err).NotTo(HaveOccurred(), timeout)
			g.Expect(body).To(Equal("a"), timeout)
		}
		_, conns := p.seen()
		g.Expect(conns).To(Equal(1), timeout)
	}
}

func TestASurplusAnswerIsNotTakenForTheNext(t *testing.T) {
	g := NewWithT(t)
	p := listen(t, func(c net.Conn, next func() string) {
		id := next()
		_, _ = io.WriteString(c, answer(id, "one"))
		next()
		_, _ = io.WriteString(c, answer("a", "two")+answer("b", "own"))
		next()
	})
	pool := newPool()
	g.Expect(do(pool, p.endpoint, "a")).To(Equal("one"))
	g.Expect(do(pool, p.endpoint, "b")).To(Equal("own"))
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	g := NewWithT(t)
	p := listen(t, func(c net.Conn, next func() string) {
		id := next()
		_, _ = io.WriteString(c, answer(id, "ok")+"stray bytes")
		next()
	})
	pool := newPool()
	g.Expect(do(pool, p.endpoint, "a")).To(Equal("ok"))
	g.Expect(do(pool, p.endpoint, "b")).To(Equal("ok"))
	_, conns := p.seen()
	g.Expect(conns).To(Equal(2))
}

// TestAClosedConnectionIsNotUsed: an idle connection that the endpoint has closed
// is noticed before anything is written, and no request is sent twice.
func TestAClosedConnectionIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{}, 8)
	p := listen(t, func(c net.Conn, next func() string) {
		_, _ = io.WriteString(c, answer(next(), "ok"))
		c.Close()
		closed <- struct{}{}
	})
	pool := newPool()
	g.Expect(do(pool, p.endpoint, "a")).To(Equal("ok"))
	<-closed
	g.Eventually(func() error { _, err := do(pool, p.endpoint, "b"); return err }).Should(Succeed())
	requests, _ := p.seen()
	g.Expect(requests[0]).To(Equal("a"))
	g.Expect(requests[len(requests)-1]).To(Equal("b"))
}

// TestALostAnswerIsNeverSentAgain: once a request has been written, a broken
// connection is a failure, also for methods that other clients repeat.
func TestALostAnswerIsNeverSentAgain(t *testing.T) {
	g := NewWithT(t)
	first := true
	p := listen(t, func(c net.Conn, next func() string) {
		if first {
			first = false
			_, _ = io.WriteString(c, answer(next(), "ok"))
		}
		next()
	})
	pool := newPool()
	g.Expect(do(pool, p.endpoint, "a")).To(Equal("ok"))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r := request("b")
	r.Method, r.Body = http.MethodGet, nil
	_, f := pool.Do(ctx, p.endpoint, r, upstream.Sending{})
	g.Expect(f).NotTo(BeNil())
	g.Expect(f.Kind).To(Equal(retry.LinkLost))
	requests, _ := p.seen()
	g.Expect(requests).To(Equal([]string{"a", "b"}))
}

func TestFailuresSayHowFarTheRequestCame(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	nobody := fleet.Endpoint{ID: "e", Address: l.Addr().String()}
	l.Close()
	ctx := context.Background()
	_, f := newPool().Do(ctx, nobody, request("a"), upstream.Sending{})
	g.Expect(f.Kind).To(Equal(retry.NotSent))

	p := listen(t, func(c net.Conn, next func() string) {
		next()
		_, _ = io.WriteString(c, "no answer at all\r\n\r\n")
	})
	_, f = newPool().Do(ctx, p.endpoint, request("a"), upstream.Sending{})
	g.Expect(f.Kind).To(Equal(retry.ProtocolError))
}

func TestAnswersThatBreakOffAreNotWhole(t *testing.T) {
	g := NewWithT(t)
	for name, text := range map[string]string{
		"short":   "HTTP/1.1 200 OK\r\nOf: a\r\nContent-Length: 9\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nOf: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		p := listen(t, func(c net.Conn, next func() string) {
			next()
			_, _ = io.WriteString(c, text)
		})
		_, err := do(newPool(), p.endpoint, "a")
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), name)
	}
	whole := listen(t, func(c net.Conn, next func() string) {
		next()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nOf: a\r\n\r\nall of it")
	})
	g.Expect(do(newPool(), whole.endpoint, "a")).To(Equal("all of it"), "without a length it ends with the connection")
}

// TestAnAnswerBeforeTheBodyIsIn: an endpoint may answer a long body before it has
// read it; the connection then carries nothing else.
func TestAnAnswerBeforeTheBodyIsIn(t *testing.T) {
	g := NewWithT(t)
	done := make(chan struct{})
	p := listen(t, func(c net.Conn, _ func() string) {
		_, _ = io.ReadFull(c, make([]byte, 200))
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nOf: a\r\nContent-Length: 0\r\n\r\n")
		<-done
	})
	defer close(done)
	r := request("a")
	r.Body = make([]byte, 8<<20)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, f := newPool().Do(ctx, p.endpoint, r, upstream.Sending{})
	g.Expect(f).To(BeNil())
	g.Expect(resp.NotRun).To(BeTrue())
	resp.Close()
}

func TestTheEndOfTheContextClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	got, gone := make(chan struct{}), make(chan struct{})
	p := listen(t, func(c net.Conn, next func() string) {
		next()
		close(got)
		_, _ = io.Copy(io.Discard, c)
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan retry.Failure, 1)
	go func() {
		_, f := newPool().Do(ctx, p.endpoint, request("a"), upstream.Sending{})
		failed <- f.Kind
	}()
	<-got
	cancel()
	g.Eventually(gone, "10s").Should(BeClosed())
	g.Eventually(failed, "10s").Should(Receive(Equal(retry.LinkLost)))
}

func TestConnectionsOfGoneEndpointsAreClosed(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	p := listen(t, func(c net.Conn, next func() string) {
		_, _ = io.WriteString(c, answer(next(), "ok"))
		next()
		close(gone)
	})
	pool := newPool()
	g.Expect(do(pool, p.endpoint, "a")).To(Equal("ok"))
	pool.Keep(func(fleet.Instance) bool { return true })
	pool.Keep(func(fleet.Instance) bool { return false })
	g.Eventually(gone, "10s").Should(BeClosed())
}

// TestConnectionsAreOfOneLife: an endpoint that starts again gets no request over a
// connection to its earlier life, whose end may have been lost on the way, whether that
// rested when the new start became known or was in use.
func TestConnectionsAreOfOneLife(t *testing.T) {
	g := NewWithT(t)
	p := listen(t, func(c net.Conn, next func() string) {
		for id := next(); id != ""; id = next() {
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	pool := newPool()
	earlier, later := p.endpoint, p.endpoint
	earlier.Incarnation, later.Incarnation = 1000, 2000
	inUse, f := pool.Do(context.Background(), earlier, request("a"), upstream.Sending{})
	g.Expect(f).To(BeNil())
	g.Expect(do(pool, earlier, "b")).To(Equal("ok"))
	g.Expect(do(pool, later, "b2")).To(Equal("ok"))
	_, conns := p.seen()
	g.Expect(conns).To(Equal(3), "one is in use, and one rests that is of the earlier life")
	pool.Keep(func(l fleet.Instance) bool { return l == later.Instance() })
	g.Expect(io.ReadAll(inUse)).To(BeEquivalentTo("ok"), "what it has answered is its answer")
	inUse.Close()
	g.Expect(do(pool, later, "c")).To(Equal("ok"))
	_, conns = p.seen()
	g.Expect(conns).To(Equal(3))
	g.Expect(do(pool, earlier, "d")).To(Equal("ok"))
	_, conns = p.seen()
	g.Expect(conns).To(Equal(4), "none of the earlier life was kept")
}
