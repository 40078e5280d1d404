package peering

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1/peerv1connect"
	"github.com/bridgehoist/bridgehoist/internal/filters/respond"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// peerBudget is the budget of the entries in this file.
const peerBudget = 1 << 20

func writeLarge(w http.ResponseWriter, size int) {
	for range size >> 16 {
		_, _ = w.Write(make([]byte, 1<<16))
		w.(http.Flusher).Flush()
	}
}

// TestALargeDelegatedResponseArrivesWhole guards against a bound on the length of sound responses, and
// against responses that take more memory than there is.
func TestALargeDelegatedResponseArrivesWhole(t *testing.T) {
	g := NewWithT(t)
	const size = 32 << 20
	server := serveDelegated(t, func(_ string, w http.ResponseWriter, _ *http.Request) *outcome.Error {
		w.Header().Set("Signed-By", "s")
		writeLarge(w, size)
		return nil
	})
	memory := membudget.New(peerBudget)
	d := NewDelegator("a", tcpconn.Dialer(time.Second), memory)
	received := 0
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		j := &job.Job{Method: http.MethodGet, Path: "/", Host: "h"}
		g.Expect(d.Delegate(t.Context(), membership.Contact{Address: server.Listener.Addr().String()}, j, nil, respond.NewWriter(w))).To(BeNil())
	}))
	t.Cleanup(front.Close)
	resp, err := http.Get(front.URL)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	buf := make([]byte, 1<<16)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buf)
		received += n
		g.Expect(memory.Used()).To(BeNumerically("<=", peerBudget))
	}
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(received).To(Equal(size))
	g.Expect(resp.Header.Get("Signed-By")).To(Equal("s"))
	g.Eventually(memory.Used).Should(BeZero())
}

// TestAPeerThatSendsWithoutEndFailsAlone guards against peers whose bytes take up the memory of the entry.
func TestAPeerThatSendsWithoutEndFailsAlone(t *testing.T) {
	var bomb bytes.Buffer
	z := gzip.NewWriter(&bomb)
	_, _ = z.Write(make([]byte, 6<<20))
	_ = z.Close()
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for name, c := range map[string]struct{ begin, rest string }{
		"head":            {"HTTP/1.1 200 OK\r\nField: ", strings.Repeat("x", 1<<16)},
		"fields":          {"HTTP/1.1 200 OK\r\n", strings.Repeat("Field: x\r\n", 1<<12)},
		"body":            {head + "\r\n", strings.Repeat("x", 1<<16)},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n"},
		"failure":         {"HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\n\r\n", strings.Repeat("x", 1<<16)},
		"compressed body": {head + "Content-Encoding: gzip\r\nContent-Length: " + fmt.Sprint(bomb.Len()) + "\r\n\r\n" + bomb.String(), "x"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := freeport.Listen(t)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go floodConn(conn, c.begin, c.rest)
				}
			}()
			p := newPeer(t, "a")
			memory := membudget.New(peerBudget)
			client := NewClient(Config{ClusterState: p.state, Store: p.store, Scheme: "http", Traffic: &Traffic{}, Memory: memory, Timeout: 20 * time.Second,
				HTTP: &http.Client{Transport: LimitResponses(&http.Transport{MaxResponseHeaderBytes: maxResponseHeaderBytes}, memory)}})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			g.Expect(client.Reconcile(context.Background(), []membership.Contact{{VM: "b", Address: l.Addr().String()}})).To(BeZero())
			runtime.ReadMemStats(&after)
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 8*peerBudget))
			g.Eventually(memory.Used).Should(BeZero())
		})
	}
}

func floodConn(c net.Conn, begin, rest string) {
	defer c.Close()
	// Nothing is allocated for what is sent.
	block := []byte(rest)
	_, err := io.WriteString(c, begin)
	for sent := 0; err == nil && sent < 64<<20; sent += len(block) {
		_, err = c.Write(block)
	}
}

// TestCallsWithoutEndAreEnded guards against the same by callers of the peer service.
func TestCallsWithoutEndAreEnded(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, "a")
	memory := membudget.New(peerBudget)
	s := NewServer(p.state, p.store, nil, nil, &Traffic{})
	s.LimitMemory(memory)
	server := httptest.NewServer(s.Handler(""))
	t.Cleanup(server.Close)
	var bomb bytes.Buffer
	z := gzip.NewWriter(&bomb)
	_, _ = z.Write(make([]byte, 6<<20))
	_ = z.Close()
	for name, body := range map[string]struct {
		io.Reader
		encoding string
	}{
		"body":            {io.LimitReader(endless{}, 64<<20), ""},
		"compressed body": {&bomb, "gzip"},
	} {
		req, err := http.NewRequest(http.MethodPost, server.URL+"/bridgehoist.peer.v1.PeerService/Exchange", body)
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Content-Type", "application/proto")
		if body.encoding != "" {
			req.Header.Set("Content-Encoding", body.encoding)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			g.Expect(resp.StatusCode).NotTo(Equal(http.StatusOK), name)
			resp.Body.Close()
		}
		runtime.ReadMemStats(&after)
		g.Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", 8*peerBudget), name)
		g.Eventually(memory.Used).Should(BeZero(), name)
	}
}

// TestADelegatedRequestWithoutRoomIsNotRun guards against a failure in place of a refusal, by which the
// caller could try again: the peer has no memory for the body.
func TestADelegatedRequestWithoutRoomIsNotRun(t *testing.T) {
	g := NewWithT(t)
	served := 0
	p := newPeer(t, "b")
	s := NewServer(p.state, p.store, nil, nil, &Traffic{})
	s.LimitMemory(membudget.New(peerBudget))
	s.ServeDelegated(func(string, http.ResponseWriter, *http.Request) *outcome.Error { served++; return nil })
	server := httptest.NewServer(s.Handler(""))
	t.Cleanup(server.Close)
	d := NewDelegator("a", tcpconn.Dialer(time.Second), nil)
	for _, size := range []int{1 << 10, 4 << 20} {
		j := &job.Job{Method: http.MethodPost, Path: "/", Host: "h", Body: make([]byte, size)}
		err := d.Delegate(t.Context(), membership.Contact{Address: server.Listener.Addr().String()}, j, nil, respond.NewWriter(httptest.NewRecorder()))
		if size > peerBudget {
			g.Expect(err).NotTo(BeNil())
			g.Expect(err.Outcome).To(Equal(outcome.NotRun))
		} else {
			g.Expect(err).To(BeNil())
		}
	}
	g.Expect(served).To(Equal(1))
}

type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestACallWithoutRoomThatStallsIsRefused guards against memory that is held for as long as a peer sends nothing.
func TestACallWithoutRoomThatStallsIsRefused(t *testing.T) {
	g := NewWithT(t)
	p := newPeer(t, "b")
	s := NewServer(p.state, p.store, nil, nil, &Traffic{})
	memory := membudget.New(peerBudget)
	s.LimitMemory(memory)
	s.ServeDelegated(func(string, http.ResponseWriter, *http.Request) *outcome.Error { return nil })
	server := httptest.NewServer(s.Handler(""))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	const size = 4 * peerBudget
	message := binary.BigEndian.AppendUint32([]byte{0}, size)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/connect+proto\r\nContent-Length: %d\r\n\r\n%s%s",
		peerv1connect.PeerServiceDelegateProcedure, len(message)+size, message, make([]byte, 2*peerBudget))
	g.Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Eventually(memory.Used).Should(BeZero())
}
