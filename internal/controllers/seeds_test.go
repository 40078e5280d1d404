package controllers_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/controllers"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// meeting is an entry that does nothing but exchange.
type meeting struct {
	beliefs  *peering.ClusterState
	exchange *controllers.Exchange
	handler  http.Handler
}

func newMeeting(vm, address string, seeds ...string) *meeting {
	view := membership.New(membership.Config{VM: vm, DataCenter: "dc", PeerAddress: address, Epoch: 1, Incarnation: []byte(vm)})
	beliefs := peering.NewClusterState(view, dispatch.New(scheduler.New(scheduler.Config{})), 1, func(drain.Leave, string) {})
	store := published.New(published.Parsers{}, func(published.Event) {}, nil)
	traffic := &peering.Traffic{}
	client := peering.NewClient(peering.Config{State: beliefs, Store: store, HTTP: http.DefaultClient, Scheme: "http", Traffic: traffic})
	return &meeting{
		beliefs:  beliefs,
		handler:  peering.NewServer(beliefs, store, nil, nil, traffic).Handler(""),
		exchange: &controllers.Exchange{Beliefs: beliefs, Client: client, Interval: 20 * time.Millisecond, SeedPeers: seeds, Kicked: make(chan struct{}, 1), OnRound: func(int, int) {}},
	}
}

// serve answers the others at a listener.
func (m *meeting) serve(t *testing.T, l net.Listener) {
	server := httptest.NewUnstartedServer(m.handler)
	server.Listener.Close()
	server.Listener = l
	server.Start()
	t.Cleanup(server.Close)
}

func (m *meeting) members() (count int) {
	m.beliefs.WithView(func(v *membership.View) { count = len(v.Members(time.Now())) })
	return count
}

// TestASeedThatListensLate is found by entries that have found each other without it, though
// it has no seeds itself.
func TestASeedThatListensLate(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	late, second, third := freeport.Listen(t), freeport.Listen(t), freeport.Listen(t)
	at := func(l net.Listener) string { return l.Addr().String() }
	// It refuses connections until it listens.
	late.Close()
	seed := newMeeting("vm-0", at(late))
	two := newMeeting("vm-1", at(second), at(late))
	three := newMeeting("vm-2", at(third), at(late), at(second))
	two.serve(t, second)
	three.serve(t, third)
	for _, m := range []*meeting{two, three} {
		go m.exchange.Run(ctx)
	}
	for _, m := range []*meeting{two, three} {
		g.Eventually(m.members, time.Minute).Should(Equal(1))
	}
	go seed.exchange.Run(ctx)
	again, err := net.Listen("tcp", at(late))
	g.Expect(err).NotTo(HaveOccurred())
	seed.serve(t, again)
	for _, m := range []*meeting{seed, two, three} {
		g.Eventually(m.members, 10*time.Second).Should(Equal(2))
	}
}
