package httpserver

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
)

// holdingListener returns the connections that it has accepted when resume is closed.
type holdingListener struct {
	net.Listener
	accepted, resume chan struct{}
}

func (l *holdingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.resume
	}
	return nc, err
}

// TestAConnectionThatIsAcceptedWhileADrainEndsPassesOnNoRequest guards against requests on connections that a drain
// hasn't seen, which the end of the server cuts.
func TestAConnectionThatIsAcceptedWhileADrainEndsPassesOnNoRequest(t *testing.T) {
	g := NewWithT(t)
	l := &holdingListener{Listener: freeport.Listen(t), accepted: make(chan struct{}), resume: make(chan struct{})}
	passedOn := make(chan struct{}, 1)
	s := Start(l, Config{HTTP: &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		passedOn <- struct{}{}
		<-r.Context().Done()
	})}})
	t.Cleanup(func() { _ = s.Close() })
	c := dial(g, l.Addr().String())
	defer c.Close()
	request(g, c)
	<-l.accepted
	g.Expect(s.Drain(t.Context())).To(Succeed())
	close(l.resume)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := c.Read(make([]byte, 1))
	g.Expect(os.IsTimeout(err)).To(BeFalse(), "the connection stays open")
	g.Expect(passedOn).NotTo(Receive())
}
