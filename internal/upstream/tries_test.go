package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// refusal is the answer to a request that isn't run.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nOf: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// TestALateAnswerIsNotTakenForThatToTheNextTry guards against an endpoint whose refusal of a first try comes
// once more, late: the second try has the same ID, and runs.
func TestALateAnswerIsNotTakenForThatToTheNextTry(t *testing.T) {
	for name, between := range map[string][]string{"at once": nil, "after other requests": {"b", "c"}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := listen(t, func(c net.Conn, next func() string) {
				seen := map[string]bool{}
				for id := next(); id != ""; id = next() {
					switch {
					case id == "a" && !seen[id]:
						_, _ = io.WriteString(c, refusal(id))
					case id == "a":
						_, _ = io.WriteString(c, refusal(id)+answer(id, "own"))
					default:
						_, _ = io.WriteString(c, answer(id, "own"))
					}
					seen[id] = true
				}
			})
			pool := newPool()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			resp, f := pool.Do(ctx, p.endpoint, request("a"), upstream.Sending{})
			g.Expect(f).To(BeNil())
			g.Expect(resp.NotRun).To(BeTrue())
			resp.Discard()
			for _, id := range between {
				g.Expect(do(pool, p.endpoint, id)).To(Equal("own"))
			}
			resp, f = pool.Do(ctx, p.endpoint, request("a"), upstream.Sending{})
			g.Expect(f).To(BeNil())
			defer resp.Close()
			_, conns := p.seen()
			g.Expect(conns).To(Equal(2), "the second try has a connection of its own")
			g.Expect(resp.Status).To(Equal(http.StatusServiceUnavailable), "of that connection's first answer")
		})
	}
}

// TestALateAnswerToACallIsNotTakenForTheNext guards against reports and copies of another call: calls have no
// ID, so that nothing tells their answers apart.
func TestALateAnswerToACallIsNotTakenForTheNext(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	l := freeport.Listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerCallsTwice(c, &calls)
		}
	}()
	e := fleet.Endpoint{ID: "e", Address: l.Addr().String()}
	pool := newPool()
	for i, want := range []string{"call 1", "call 2", "call 3"} {
		g.Expect(do(pool, e, "")).To(Equal(want))
		id := string(rune('a' + i))
		g.Expect(do(pool, e, id)).To(Equal("own"), "requests use the connections of calls")
	}
}

// answerCallsTwice answers requests with an ID once. The answer to a call comes once more, in the place of the
// answer to the next call on the same connection.
func answerCallsTwice(c net.Conn, calls *atomic.Int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	late := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		text := answer(req.Header.Get("Id"), "own")
		if req.Header.Get("Id") == "" {
			own := answer("", fmt.Sprintf("call %d", calls.Add(1)))
			text, late = late+own, own
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// TestAnAnswerWithoutAnIDIsNotThatToARequest guards against bytes of nobody that are taken for an answer, or
// for a proof that nothing ran.
func TestAnAnswerWithoutAnIDIsNotThatToARequest(t *testing.T) {
	for name, text := range map[string]string{
		"failure": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"success": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := listen(t, func(c net.Conn, next func() string) {
				next()
				_, _ = io.WriteString(c, text)
				next()
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, f := newPool().Do(ctx, p.endpoint, request("a"), upstream.Sending{})
			g.Expect(f).NotTo(BeNil())
			g.Expect(f.Kind).To(Equal(retry.ProtocolError))
		})
	}
}

// TestAHeadCutAtAnyByteIsALostLink guards against an endpoint that ended within its head and counts as one whose
// answer is malformed.
func TestAHeadCutAtAnyByteIsALostLink(t *testing.T) {
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for name, head := range map[string]string{
		"plain":               "HTTP/1.1 200 OK\r\nOf: a\r\nFolded: x\r\n y\r\nContent-Length: 12\r\n\r\n",
		"bare LF":             "HTTP/1.1 200 OK\nOf: a\nContent-Length: 12\n\n",
		"after informational": informational + "HTTP/1.1 200 OK\r\nOf: a\r\nContent-Length: 12\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				g := NewWithT(t)
				var end atomic.Int64
				p := listen(t, func(c net.Conn, next func() string) {
					next()
					_, _ = io.WriteString(c, head[:end.Load()])
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
				for at := range len(head) {
					end.Store(int64(at))
					ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
					_, f := newPool().Do(ctx, p.endpoint, request("a"), upstream.Sending{})
					cancel()
					g.Expect(f).NotTo(BeNil(), "%q", head[:at])
					g.Expect(f.Kind).To(Equal(retry.LinkLost), "%q: %v", head[:at], f.Err)
				}
			})
		}
	}
}

// TestAnHTTP10AnswerInChunksIsNotRead guards against the sizes of chunks in a body that callers take for whole.
func TestAnHTTP10AnswerInChunksIsNotRead(t *testing.T) {
	const chunks = "4\r\nbody\r\n0\r\n\r\n"
	for name, tc := range map[string]struct {
		parts []string
		want  string
	}{
		"in chunks":         {[]string{"HTTP/1.0 200 OK\r\nOf: a\r\ntransfer-encoding: chunked\r\n\r\n" + chunks}, ""},
		"byte by byte":      {strings.Split("HTTP/1.0 200 OK\nOf: a\nTransfer-Encoding : chunked\n\n"+chunks, ""), ""},
		"after another":     {[]string{"HTTP/1.1 200 OK\r\nOf: b\r\nContent-Length: 0\r\n\r\nHTTP/1.0 200 OK\r\nOf: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks}, ""},
		"a head of 8 KB":    {[]string{"HTTP/1.0 200 OK\r\nOf: a\r\nX: " + strings.Repeat("x", 8<<10) + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks}, ""},
		"with a length":     {[]string{"HTTP/1.0 200 OK\r\nOf: a\r\nContent-Length: 4\r\n\r\nbody"}, "body"},
		"without a length":  {[]string{"HTTP/1.0 200 OK\r\nOf: a\r\n\r\nbody\nTransfer-Encoding: chunked\n"}, "body\nTransfer-Encoding: chunked\n"},
		"HTTP/1.1 in parts": {[]string{"HTTP/1.", "1 200 OK\r\nOf: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks}, "body"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := listen(t, func(c net.Conn, next func() string) {
				next()
				for _, part := range tc.parts {
					_, _ = io.WriteString(c, part)
				}
			})
			got, err := do(newPool(), p.endpoint, "a")
			if tc.want != "" {
				g.Expect(got, err).To(Equal(tc.want))
				return
			}
			var f *attempt.Failure
			g.Expect(errors.As(err, &f)).To(BeTrue(), "%q, %v", got, err)
			g.Expect(f.Kind).To(Equal(retry.ProtocolError))
		})
	}
}

// TestConnectionsCarryABoundedNumberOfRequests guards against the memory of the IDs that they have carried.
func TestConnectionsCarryABoundedNumberOfRequests(t *testing.T) {
	g := NewWithT(t)
	p := listen(t, func(c net.Conn, next func() string) {
		for id := next(); id != ""; id = next() {
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	pool := newPool()
	for i := range 600 {
		g.Expect(do(pool, p.endpoint, "r"+time.Duration(i).String())).To(Equal("ok"))
	}
	_, conns := p.seen()
	g.Expect(conns).To(Equal(3))
}

// TestALookDoesNotRenewAConnection guards against requests on connections that their endpoints close as idle.
func TestALookDoesNotRenewAConnection(t *testing.T) {
	g := NewWithT(t)
	var suspended atomic.Int64
	t.Cleanup(clock.SetSource(func() (time.Duration, error) { return time.Duration(suspended.Load()), nil }))
	g.Expect(clock.Sample()).To(Succeed())
	wait := func(d time.Duration) {
		suspended.Add(int64(d))
		g.Expect(clock.Sample()).To(Succeed())
	}
	peer := listen(t, func(c net.Conn, next func() string) {
		for id := next(); id != ""; id = next() {
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	pool := newPool()
	_, err := do(pool, peer.endpoint, "1")
	g.Expect(err).NotTo(HaveOccurred())
	wait(5 * time.Second)
	g.Expect(pool.Look(t.Context(), peer.endpoint)).To(Equal(upstream.Listening))
	wait(5 * time.Second)
	_, err = do(pool, peer.endpoint, "2")
	g.Expect(err).NotTo(HaveOccurred())
	_, conns := peer.seen()
	g.Expect(conns).To(Equal(2))
}
