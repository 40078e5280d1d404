package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
)

// pausingListener accepts connections whose reads can be paused.
type pausingListener struct {
	net.Listener
	accepted chan *pausingConn
}

func (l *pausingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &pausingConn{Conn: nc, paused: make(chan struct{}), resume: make(chan struct{}), closed: make(chan struct{})}
	l.accepted <- c
	return c, nil
}

// pausingConn holds its server back, until resume is closed, when pauseAfter bytes have been taken off the socket:
// before it gets them, or, with handedOn, before it handles them.
type pausingConn struct {
	net.Conn
	pauseAfter             atomic.Int64
	handedOn               atomic.Bool
	total                  atomic.Int64
	pausing                atomic.Bool
	reads, closes          atomic.Int64
	paused, resume, closed chan struct{}
	closing                sync.Once
}

func (c *pausingConn) Read(p []byte) (int, error) {
	c.reads.Add(1)
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	if !c.handedOn.Load() {
		c.pause()
	}
	return n, err
}

// SetReadDeadline is called by http.Server after it has got bytes, and before it handles a request.
func (c *pausingConn) SetReadDeadline(t time.Time) error {
	c.pause()
	return c.Conn.SetReadDeadline(t)
}

func (c *pausingConn) pause() {
	if at := c.pauseAfter.Load(); at == 0 || c.total.Load() < at {
		return
	}
	if c.pausing.CompareAndSwap(false, true) {
		close(c.paused)
		<-c.resume
	}
}

func (c *pausingConn) Close() error {
	c.closes.Add(1)
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// closingWorld is a server with one connection.
type closingWorld struct {
	t        *testing.T
	g        *WithT
	listener *pausingListener
	server   *Server
	address  string
	client   net.Conn
	answers  *bufio.Reader
	conn     *pausingConn
	// passedOn counts the requests that were read whole.
	passedOn atomic.Int64
	sent     int64
}

func newClosingWorld(t *testing.T, maxConnections int) *closingWorld {
	w := &closingWorld{t: t, g: NewWithT(t), listener: &pausingListener{Listener: freeport.Listen(t), accepted: make(chan *pausingConn, 8)}}
	w.address = w.listener.Addr().String()
	w.server = Start(w.listener, Config{MaxConnections: maxConnections, HTTP: &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.passedOn.Add(1)
		fmt.Fprint(rw, "ok")
	})}})
	t.Cleanup(func() { _ = w.server.Close() })
	w.client = dial(w.g, w.address)
	t.Cleanup(func() { _ = w.client.Close() })
	w.answers = bufio.NewReader(w.client)
	w.conn = <-w.listener.accepted
	return w
}

func (w *closingWorld) send(piece string) {
	n, _ := io.WriteString(w.client, piece)
	w.sent += int64(n)
}

// answered reads an answer, and reports whether it was whole.
func (w *closingWorld) answered() bool {
	_ = w.client.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(w.answers, nil)
	if err != nil {
		w.g.Expect(os.IsTimeout(err)).To(BeFalse(), "neither answered nor closed")
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == "ok"
}

// use has the connection carry a request.
func (w *closingWorld) use() {
	w.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	w.g.Expect(w.answered()).To(BeTrue())
	w.passedOn.Store(0)
}

// endGrace ends the time in which the connection isn't idle since its client may go on.
func (w *closingWorld) endGrace() {
	accepted(w.g, w.server, 1)
	c := w.only()
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.since = c.since.Add(-2 * receiveGrace)
}

// only returns the one connection of the server.
func (w *closingWorld) only() *conn {
	all := w.server.connections
	all.mu.Lock()
	defer all.mu.Unlock()
	w.g.Expect(all.open).To(HaveLen(1))
	return slices.Collect(maps.Keys(all.open))[0]
}

// closers are the ways in which a server closes a connection that its goroutine may be reading from.
var closers = map[string]func(w *closingWorld){
	"drain": func(w *closingWorld) { _ = w.server.Drain(w.t.Context()) },
	"drain and close": func(w *closingWorld) {
		_ = w.server.Drain(w.t.Context())
		_ = w.server.Close()
	},
	"close": func(w *closingWorld) { _ = w.server.Close() },
	"limit": func(w *closingWorld) {
		other := dial(w.g, w.address)
		w.t.Cleanup(func() { _ = other.Close() })
		select {
		case <-w.conn.closed:
		case <-(<-w.listener.accepted).closed:
		}
	},
}

// run runs a closer until it has ended or waits for the connection.
func (w *closingWorld) run(closer func(*closingWorld)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		closer(w)
	}()
	select {
	case <-done:
	case <-time.After(5 * drainPoll):
	}
}

// TestRequestsReadWhileTheirConnectionIsClosedAreAnsweredOrDropped guards against requests that are passed on
// although their connection is being closed. Only the end of the server drops them.
func TestRequestsReadWhileTheirConnectionIsClosedAreAnsweredOrDropped(t *testing.T) {
	// head is the index of the piece that completes the head.
	requests := map[string]struct {
		head   int
		pieces []string
	}{
		"at once":     {0, []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}},
		"pieces":      {1, []string{"POST / HTT", "P/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "ab", "cd"}},
		"with body":   {0, []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd"}},
		"in chunks":   {0, []string{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nab", "cd\r\n0\r\n\r\n"}},
		"by its ends": {2, []string{"G", "ET / HTTP/1.1\r\nHost: h\r\n\r", "\n"}},
	}
	connections := map[string]func(w *closingWorld){
		"new":    func(*closingWorld) {},
		"silent": func(w *closingWorld) { w.endGrace() },
		"used":   func(w *closingWorld) { w.use() },
	}
	for way, closer := range closers {
		for name, request := range requests {
			for connection, prepare := range connections {
				for held := range request.pieces {
					test := fmt.Sprintf("%s/%s/%s/piece %d", way, name, connection, held)
					t.Run(test, func(t *testing.T) {
						t.Parallel()
						w := newClosingWorld(t, 1)
						prepare(w)
						answered := w.closeDuring(request.pieces, held, closer)
						w.g.Expect(answered || way == "close").To(BeTrue(), "dropped")
					})
					if held != request.head {
						continue
					}
					t.Run(test+" handed on", func(t *testing.T) {
						t.Parallel()
						w := newClosingWorld(t, 1)
						prepare(w)
						w.conn.handedOn.Store(true)
						answered := w.closeDuring(request.pieces, held, closer)
						w.g.Expect(answered || way == "close").To(BeTrue(), "dropped")
					})
				}
			}
		}
	}
}

// closeDuring sends a request in pieces, and runs a closer while the server is held at one of them. Then either the
// request is answered, or the handler didn't get the whole of it.
func (w *closingWorld) closeDuring(pieces []string, held int, closer func(*closingWorld)) (answered bool) {
	for _, piece := range pieces[:held] {
		reads := w.conn.reads.Load()
		w.send(piece)
		w.g.Eventually(w.conn.reads.Load).Should(BeNumerically(">", reads))
	}
	w.conn.pauseAfter.Store(w.sent + int64(len(pieces[held])))
	w.send(pieces[held])
	<-w.conn.paused
	if w.conn.handedOn.Load() {
		w.endGrace()
	}
	w.run(closer)
	closes := w.conn.closes.Load()
	close(w.conn.resume)
	for _, piece := range pieces[held+1:] {
		w.send(piece)
	}
	if w.answered() {
		w.g.Expect(w.passedOn.Load()).To(BeEquivalentTo(1))
		return true
	}
	// The server's goroutine closes the connection at its end.
	w.g.Eventually(w.conn.closes.Load, "5s").Should(BeNumerically(">", closes))
	w.g.Expect(w.passedOn.Load()).To(BeZero(), "passed on without an answer")
	return false
}

// TestARequestOfWhichPartHasArrivedIsServedDuringADrain guards against connections that are closed in the middle
// of a request's head.
func TestARequestOfWhichPartHasArrivedIsServedDuringADrain(t *testing.T) {
	w := newClosingWorld(t, 0)
	w.use()
	reads := w.conn.reads.Load()
	w.send("GET / HTTP/1.1\r\nHo")
	w.g.Eventually(w.conn.reads.Load).Should(BeNumerically(">", reads))
	w.run(closers["drain"])
	w.send("st: h\r\n\r\n")
	w.g.Expect(w.answered()).To(BeTrue())
	w.g.Eventually(w.conn.closed, "5s").Should(BeClosed())
}

// halfClosingListener tells when the sending side of a connection is closed.
type halfClosingListener struct {
	net.Listener
	closed chan struct{}
}

func (l halfClosingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &halfClosingConn{TCPConn: nc.(*net.TCPConn), closed: sync.OnceFunc(func() { close(l.closed) })}, nil
}

type halfClosingConn struct {
	*net.TCPConn
	closed func()
}

func (c *halfClosingConn) CloseWrite() error {
	defer c.closed()
	return c.TCPConn.CloseWrite()
}

func (c *halfClosingConn) Close() error {
	defer c.closed()
	return c.TCPConn.Close()
}

// TestAPipelinedRequestDoesNotCutTheResponseBeforeIt guards against responses whose end is lost, as their connection
// is closed with unread bytes during a drain.
func TestAPipelinedRequestDoesNotCutTheResponseBeforeIt(t *testing.T) {
	const size = 1 << 20
	for name, tc := range map[string]struct {
		begunBefore bool
		// part of the next request comes with the first.
		part      string
		responses int
	}{
		"begun in the drain":        {false, "", 1},
		"begun before":              {true, "", 2},
		"begun before, in one read": {true, "GET / HT", 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := halfClosingListener{freeport.Listen(t), make(chan struct{})}
			entered, release := make(chan struct{}, 2), make(chan struct{})
			s := Start(l, Config{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tc.begunBefore {
					_ = http.NewResponseController(w).Flush()
				}
				entered <- struct{}{}
				<-release
				_, _ = w.Write(make([]byte, size))
			})}})
			t.Cleanup(func() { _ = s.Close() })
			c := dial(g, l.Addr().String())
			defer c.Close()
			fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+tc.part)
			<-entered
			if tc.part == "" {
				request(g, c)
			}
			go func() { _ = s.Drain(t.Context()) }()
			g.Eventually(s.connections.isDraining).Should(BeTrue())
			close(release)
			if !tc.begunBefore {
				<-l.closed
			}
			answers := bufio.NewReader(c)
			for range tc.responses {
				resp, err := http.ReadResponse(answers, nil)
				g.Expect(err).NotTo(HaveOccurred())
				n, err := io.Copy(io.Discard, resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(n).To(BeEquivalentTo(size))
			}
			rest, _ := io.ReadAll(answers)
			g.Expect(string(rest)).To(BeEmpty())
		})
	}
}

// TestACutResponseOfHTTP10DoesNotAppearComplete guards against clients that take the end of the connection for that of
// the response.
func TestACutResponseOfHTTP10DoesNotAppearComplete(t *testing.T) {
	for name, end := range map[string]struct{ aborts, closes bool }{"whole": {}, "aborted": {aborts: true}, "end of the server": {closes: true}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := freeport.Listen(t)
			release := make(chan struct{})
			s := Start(l, Config{HTTP: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-release
				if end.aborts {
					panic(http.ErrAbortHandler)
				}
			})}})
			t.Cleanup(func() { _ = s.Close() })
			c := dial(g, l.Addr().String())
			defer c.Close()
			fmt.Fprint(c, "GET / HTTP/1.0\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(resp.Body, make([]byte, 4))
			g.Expect(err).NotTo(HaveOccurred())
			if end.closes {
				_ = s.Close()
			}
			close(release)
			_, err = io.ReadAll(resp.Body)
			g.Expect(err != nil).To(Equal(end.aborts || end.closes), "%v", err)
		})
	}
}

// TestAHeadThatIsCutIsNotAnswered guards against a 400 for a sound request: http.Server takes the part of a line before
// an interrupted read for the whole of it.
func TestAHeadThatIsCutIsNotAnswered(t *testing.T) {
	for way, closer := range map[string]func(w *closingWorld){
		"drain":          closers["drain"],
		"limit":          closers["limit"],
		"header timeout": func(w *closingWorld) { _ = w.only().SetReadDeadline(time.Unix(1, 0)) },
	} {
		for _, part := range []string{"GET / HT", "GET / HTTP/1.1\r\nHo"} {
			t.Run(fmt.Sprintf("%s/%q", way, part), func(t *testing.T) {
				w := newClosingWorld(t, 1)
				w.send(part)
				accepted(w.g, w.server, 1)
				c := w.only()
				w.g.Eventually(func() bool {
					c.all.mu.Lock()
					defer c.all.mu.Unlock()
					return c.receiving
				}).Should(BeTrue())
				w.endGrace()
				w.run(closer)
				_ = w.client.SetReadDeadline(time.Now().Add(10 * time.Second))
				got, err := io.ReadAll(w.client)
				w.g.Expect(os.IsTimeout(err)).To(BeFalse(), "stays open")
				w.g.Expect(string(got)).To(BeEmpty())
			})
		}
	}
}
