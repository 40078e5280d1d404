package httpserver

import (
	"net"
	"net/http"
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
	nc, _ := net.Pipe()
	c := &conn{Conn: nc, all: w.connections}
	w.add(c, w.now)
	return c
}

func TestTheConnectionThatIsIdleLongestGivesWay(t *testing.T) {
	g := NewWithT(t)
	w := &connectionsWorld{newConnections(3, nil), time.Now()}
	active, idle, idleLonger := w.connect(), w.connect(), w.connect()
	for _, c := range []*conn{active, idle, idleLonger} {
		g.Expect(w.update(c, http.StateActive, w.now)).To(BeFalse())
	}
	w.update(idleLonger, http.StateIdle, w.now)
	w.now = w.now.Add(time.Millisecond)
	w.update(idle, http.StateIdle, w.now)
	w.now = w.now.Add(time.Millisecond)
	next := w.connect()
	g.Expect(w.closing(idleLonger)).To(Equal(CloseLimit))
	g.Expect(w.closing(idle)).To(BeEmpty())
	w.update(idleLonger, http.StateClosed, w.now)
	another := w.connect()
	g.Expect(w.closing(idle)).To(Equal(CloseLimit))
	last := w.connect()
	g.Expect(w.closing(last)).To(Equal(CloseLimit), "the others are in use")
	w.now = w.now.Add(receiveGrace + time.Millisecond)
	w.connect()
	g.Expect([]CloseReason{w.closing(next), w.closing(another)}).To(ConsistOf(CloseLimit, CloseReason("")), "nothing has arrived on them")
	g.Expect(w.closing(active)).To(BeEmpty())
}

// TestClosingConnectionsAdmitNoRequest guards against a request that was read whole just before its connection was
// chosen for closing.
func TestClosingConnectionsAdmitNoRequest(t *testing.T) {
	g := NewWithT(t)
	w := &connectionsWorld{newConnections(0, nil), time.Now()}
	c := w.connect()
	w.update(c, http.StateActive, w.now)
	w.update(c, http.StateIdle, w.now)
	g.Expect(w.drain(w.now)).To(BeFalse())
	g.Expect(w.update(c, http.StateActive, w.now)).To(BeFalse())
	g.Expect(w.closing(c)).To(Equal(CloseDrain))
	g.Expect(c.state).To(Equal(http.StateIdle))
}

// TestAConnectionIsReceivingUntilItsClientFallsSilent guards against heads that are cut in the middle, and
// against silent clients that hold a place.
func TestAConnectionIsReceivingUntilItsClientFallsSilent(t *testing.T) {
	g := NewWithT(t)
	w := &connectionsWorld{newConnections(0, nil), time.Now()}
	c := w.connect()
	w.update(c, http.StateActive, w.now)
	w.update(c, http.StateIdle, w.now)
	for range 3 {
		w.now = w.now.Add(receiveGrace)
		g.Expect(w.received(c, w.now)).To(BeTrue())
		w.now = w.now.Add(receiveGrace)
		g.Expect(w.drain(w.now)).To(BeTrue())
	}
	g.Expect(w.drain(w.now.Add(time.Millisecond))).To(BeFalse())
	g.Expect(w.received(c, w.now)).To(BeFalse())
}
