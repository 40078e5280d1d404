package httpserver

import (
	"net"
	"net/http"
	"os"
	"syscall"
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

// failingListener returns errors before each connection.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// TestAListenerOutlivesItsErrors guards against processes that live on without a listener.
func TestAListenerOutlivesItsErrors(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.EINVAL, syscall.ECONNABORTED} {
		t.Run(err.Error(), func(t *testing.T) {
			g := NewWithT(t)
			var seen []error
			l := &failingListener{freeport.Listen(t), []error{err, err, err}}
			s := Start(l, Config{OnAcceptError: func(err error) { seen = append(seen, err) }, HTTP: &http.Server{Handler: http.NotFoundHandler()}})
			t.Cleanup(func() { _ = s.Close() })
			resp, failure := http.Get("http://" + l.Addr().String())
			g.Expect(failure).NotTo(HaveOccurred())
			g.Expect(resp.Body.Close()).To(Succeed())
			g.Expect(seen).To(HaveLen(3))
			g.Expect(seen).To(HaveEach(MatchError(err)))
		})
	}
}
