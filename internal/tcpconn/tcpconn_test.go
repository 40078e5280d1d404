package tcpconn_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
)

// option reads an option of a connection back from the kernel.
func option(g *WithT, c net.Conn, level, name int) (value int) {
	raw, err := c.(syscall.Conn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	var failed error
	g.Expect(raw.Control(func(fd uintptr) { value, failed = unix.GetsockoptInt(int(fd), level, name) })).To(Succeed())
	g.Expect(failed).NotTo(HaveOccurred())
	return value
}

func TestConnectionsEndAfterTheirPeerStopsAcknowledging(t *testing.T) {
	g := NewWithT(t)
	l := freeport.Listen(t)
	c, err := tcpconn.Dialer(time.Second)(context.Background(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Expect(option(g, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)).To(Equal(int(tcpconn.UnackedTimeout.Milliseconds())))
	g.Expect(option(g, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE)).To(Equal(1))
	idle := option(g, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
	interval := option(g, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	g.Expect(idle).To(Equal(1))
	g.Expect(interval).To(Equal(1))
	// A probe is unanswered when the time is over, so that an idle connection ends then too.
	g.Expect(time.Duration(idle+interval) * time.Second).To(BeNumerically("<=", tcpconn.UnackedTimeout))
}
