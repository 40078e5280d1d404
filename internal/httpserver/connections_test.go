package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// connectionsWorld holds connections without a server.
type connectionsWorld struct {
	*connections
	now time.Time
}

func (w *connectionsWorld) connect() *conn {
	nc, client := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	c := &conn{Conn: nc, all: w.connections}
	w.add(c, w.now)
	return c
}

func (w *connectionsWorld) idle() *conn {
	c := w.connect()
	w.update(c, http.StateActive, w.now)
	w.update(c, http.StateIdle, w.now)
	return c
}

func TestTheConnectionThatIsIdleLongestGivesWay(t *testing.T) {
	g := NewWithT(t)
	limited := 0
	w := &connectionsWorld{newConnections(3, func() { limited++ }), time.Now()}
	active := w.connect()
	w.update(active, http.StateActive, w.now)
	idleLonger := w.idle()
	w.now = w.now.Add(time.Millisecond)
	idle := w.idle()
	w.now = w.now.Add(time.Millisecond)
	next := w.connect()
	g.Expect(w.phase(idleLonger)).To(Equal(ending))
	g.Expect(w.phase(idle)).To(Equal(serving))
	w.update(idleLonger, http.StateClosed, w.now)
	another := w.connect()
	g.Expect(w.phase(idle)).To(Equal(ending))
	last := w.connect()
	g.Expect(w.phase(last)).To(Equal(ending), "the others are in use")
	w.now = w.now.Add(receiveGrace + time.Millisecond)
	w.connect()
	g.Expect([]phase{w.phase(next), w.phase(another)}).To(ConsistOf(serving, ending), "nothing has arrived on them")
	g.Expect(w.phase(active)).To(Equal(serving))
	g.Expect(limited).To(Equal(4))
}

// TestAConnectionIsReceivingUntilItsClientFallsSilent guards against heads that are cut in the middle, and
// against silent clients that hold a place.
func TestAConnectionIsReceivingUntilItsClientFallsSilent(t *testing.T) {
	g := NewWithT(t)
	w := &connectionsWorld{newConnections(0, nil), time.Now()}
	c := w.idle()
	for range 3 {
		w.now = w.now.Add(receiveGrace)
		g.Expect(w.received(c, w.now)).To(BeTrue())
		w.now = w.now.Add(receiveGrace)
		w.drain(w.now)
		g.Expect(w.phase(c)).To(Equal(serving))
	}
	w.drain(w.now.Add(time.Millisecond))
	g.Expect(w.phase(c)).To(Equal(ending))
}

// TestAByteThatComesBeforeTheEndOfAResponseIsReported guards against a drain that cuts the next request.
func TestAByteThatComesBeforeTheEndOfAResponseIsReported(t *testing.T) {
	for received, want := range map[bool]phase{true: serving, false: ending} {
		g := NewWithT(t)
		w := &connectionsWorld{newConnections(0, nil), time.Now()}
		c := w.connect()
		w.update(c, http.StateActive, w.now)
		g.Expect(w.received(c, w.now)).To(BeTrue())
		_, _ = c.Write(nil)
		if received {
			g.Expect(w.received(c, w.now)).To(BeTrue())
		}
		w.drain(w.now)
		w.update(c, http.StateIdle, w.now)
		g.Expect(w.phase(c)).To(Equal(want))
	}
}

// TestAnEndingConnectionServesWhatHadBeenRead guards against requests that are dropped, and against drains and limits
// that lose count of connections.
func TestAnEndingConnectionServesWhatHadBeenRead(t *testing.T) {
	for name, read := range map[string]func(*connectionsWorld, *conn){
		"bytes":  func(w *connectionsWorld, c *conn) { w.received(c, w.now) },
		"a head": func(w *connectionsWorld, c *conn) { w.update(c, http.StateActive, w.now) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := &connectionsWorld{newConnections(1, nil), time.Now()}
			c := w.idle()
			g.Expect(w.drain(w.now)).To(BeTrue())
			g.Expect(w.phase(c)).To(Equal(ending))
			read(w, c)
			g.Expect(w.phase(c)).To(Equal(serving))
			w.update(c, http.StateActive, w.now)
			g.Expect(w.drain(w.now)).To(BeTrue())
			w.update(c, http.StateIdle, w.now)
			g.Expect(w.phase(c)).To(Equal(ending))
			w.update(c, http.StateClosed, w.now)
			g.Expect(w.drain(w.now)).To(BeFalse())
			g.Expect(w.ending).To(BeZero())
		})
	}
}

// TestAClosedConnectionStaysClosed guards against a request that was read whole just before its server was closed.
func TestAClosedConnectionStaysClosed(t *testing.T) {
	g := NewWithT(t)
	w := &connectionsWorld{newConnections(0, nil), time.Now()}
	c := w.idle()
	w.close()
	g.Expect(w.received(c, w.now)).To(BeFalse())
	w.update(c, http.StateActive, w.now)
	w.update(c, http.StateIdle, w.now)
	g.Expect(w.phase(c)).To(Equal(closed))
}

// TestARequestOfAClosedConnectionIsNotHandled guards against the same after http.Server has looked for its own end.
func TestARequestOfAClosedConnectionIsNotHandled(t *testing.T) {
	g := NewWithT(t)
	w := &connectionsWorld{newConnections(0, nil), time.Now()}
	var late []string
	s := &Server{connections: w.connections, cfg: Config{OnLateRequest: func(r *http.Request) { late = append(late, r.URL.Path) }}}
	h := s.admit(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("handled") }))
	r := httptest.NewRequestWithContext(context.WithValue(t.Context(), connKey{}, w.idle()), http.MethodGet, "/late", nil)
	w.close()
	g.Expect(func() { h.ServeHTTP(httptest.NewRecorder(), r) }).To(PanicWith(http.ErrAbortHandler))
	g.Expect(late).To(Equal([]string{"/late"}))
}

// TestAnEndingConnectionReadsNoMore guards against connections that outlive a drain, as http.Server sets another
// deadline while they end.
func TestAnEndingConnectionReadsNoMore(t *testing.T) {
	g := NewWithT(t)
	w := &connectionsWorld{newConnections(0, nil), time.Now()}
	c := w.idle()
	w.drain(w.now)
	g.Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	g.Eventually(read).Should(Receive(MatchError(os.ErrDeadlineExceeded)))
}
