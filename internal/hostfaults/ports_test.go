package hostfaults

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/platform/standin"
)

func TestHeldPortsKeepNoDaemonFromStarting(t *testing.T) {
	for name, make := range daemons {
		t.Run(name, func(t *testing.T) {
			shape := make(t)
			for i := range append(shape.essential, shape.optional...) {
				t.Run(strconv.Itoa(i), func(t *testing.T) {
					t.Parallel()
					play(make(t), func(p *process) phases {
						held := hold(t, append(p.essential, p.optional...)[i])
						return phases{lift: func() { held.Close() }}
					})
				})
			}
		})
	}
}

// TestATakenPortThatIsNotEssentialKeepsNoDaemonFromServing also stops the daemon while it waits for the port.
func TestATakenPortThatIsNotEssentialKeepsNoDaemonFromServing(t *testing.T) {
	p := daemons["gateway"](t)
	hold(t, p.optional[0])
	conn, err := net.ListenPacket("udp4", p.udp)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	p.start()
	p.awaitServing(p.optional...)
	p.signal(syscall.SIGTERM)
	p.awaitEnd()
}

func TestADaemonThatWaitsForAPortStops(t *testing.T) {
	for name, make := range daemons {
		for i := range make(t).essential {
			t.Run(name+"/"+strconv.Itoa(i), func(t *testing.T) {
				t.Parallel()
				p := make(t)
				hold(t, p.essential[i])
				p.start()
				p.await("it logs that it waits", func() bool { return strings.Contains(p.buffer.String(), p.essential[i]) })
				p.signal(syscall.SIGTERM)
				p.awaitEnd()
			})
		}
	}
}

// TestAnAddressThatTheMachineDoesntHaveYetIsWaitedFor also stops the daemon meanwhile.
func TestAnAddressThatTheMachineDoesntHaveYetIsWaitedFor(t *testing.T) {
	const elsewhere = "192.0.2.1:8740" // RFC 5737
	p := daemons["gateway"](t)
	p.vm.Callers = elsewhere
	p.write(standin.SettingsFile(p.vm))
	p.start()
	p.await("it logs that it waits", func() bool { return strings.Contains(p.buffer.String(), "waiting for address") })
	p.await("readiness answers", func() bool { return listens(p.vm.Readiness) })
	p.signal(syscall.SIGTERM)
	p.awaitEnd()
}

// TestOtherAddressesInTheSettingsEndTheWait guards against gateways that wait for ever for an address that the settings no
// longer name.
func TestOtherAddressesInTheSettingsEndTheWait(t *testing.T) {
	play(daemons["gateway"](t), func(p *process) phases {
		wrong := p.vm
		wrong.Callers = "192.0.2.1:8740" // RFC 5737
		p.write(standin.SettingsFile(wrong))
		return phases{lift: func() {
			p.await("it logs that it waits", func() bool { return strings.Contains(p.buffer.String(), wrong.Callers) })
			p.valid()
		}}
	})
}

// TestAnAddressForPeersWithoutAnIPEndsNoGateway guards against gateways that end since notices need an IP.
func TestAnAddressForPeersWithoutAnIPEndsNoGateway(t *testing.T) {
	play(daemons["gateway"](t), func(p *process) phases {
		p.vm.Peers = strings.Replace(p.vm.Peers, "127.0.0.1", "localhost", 1)
		p.optional, p.essential[2] = nil, p.vm.Peers
		p.write(standin.SettingsFile(p.vm))
		return phases{}
	})
}

// hold takes a port. A process that is being started may hold a copy of a socket that was just closed, for a moment.
func hold(t *testing.T, address string) net.Listener {
	l, err := net.Listen("tcp", address)
	for end := time.Now().Add(patience); err != nil && time.Now().Before(end); l, err = net.Listen("tcp", address) {
		time.Sleep(poll)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}
