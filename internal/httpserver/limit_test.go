package httpserver

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTheConnectionThatIsIdleLongestGivesWay(t *testing.T) {
	g := NewWithT(t)
	l := newConnections(3, nil)
	now := time.Now()
	open := func() net.Conn { c, _ := net.Pipe(); return c }
	active, idle, idleLonger, next := open(), open(), open(), open()
	for _, c := range []net.Conn{active, idle, idleLonger} {
		g.Expect(l.update(c, http.StateNew, now)).To(BeNil())
		g.Expect(l.update(c, http.StateActive, now)).To(BeNil())
	}
	g.Expect(l.update(idleLonger, http.StateIdle, now)).To(BeNil())
	now = now.Add(time.Millisecond)
	g.Expect(l.update(idle, http.StateIdle, now)).To(BeNil())
	now = now.Add(time.Millisecond)
	g.Expect(l.update(next, http.StateNew, now)).To(BeIdenticalTo(idleLonger))
	g.Expect(l.update(idleLonger, http.StateClosed, now)).To(BeNil())
	another := open()
	g.Expect(l.update(another, http.StateNew, now)).To(BeIdenticalTo(idle))
	last := open()
	g.Expect(l.update(last, http.StateNew, now)).To(BeIdenticalTo(last), "the others are in use")
	now = now.Add(newConnGrace + time.Millisecond)
	g.Expect(l.update(last, http.StateNew, now)).To(Or(BeIdenticalTo(next), BeIdenticalTo(another)), "nothing has arrived on them")
}
