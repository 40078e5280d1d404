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

// exchangingEntry is an entry that only exchanges state with peers.
type exchangingEntry struct {
	state    *peering.ClusterState
	exchange *controllers.Exchange
	handler  http.Handler
}

func newExchangingEntry(vm, address string, seeds ...string) *exchangingEntry {
	view := membership.New(membership.Config{VM: vm, DataCenter: "dc", PeerAddress: address, Epoch: 1, Incarnation: []byte(vm)})
	state := peering.NewClusterState(view, dispatch.New(scheduler.New(scheduler.Config{})), 1, func(drain.Leave, string) {})
	store := published.New(published.Config{}, func(published.Event) {}, nil)
	traffic := &peering.Traffic{}
	client := peering.NewClient(peering.Config{ClusterState: state, Store: store, HTTP: http.DefaultClient, Scheme: "http", Traffic: traffic})
	return &exchangingEntry{
		state:    state,
		handler:  peering.NewServer(state, store, nil, nil, traffic).Handler(""),
		exchange: &controllers.Exchange{ClusterState: state, Client: client, Interval: 20 * time.Millisecond, SeedPeers: seeds, RoundRequests: make(chan struct{}, 1), OnRound: func(int, int) {}},
	}
}

// serve handles the calls of peers at a listener.
func (e *exchangingEntry) serve(t *testing.T, l net.Listener) {
	server := httptest.NewUnstartedServer(e.handler)
	server.Listener.Close()
	server.Listener = l
	server.Start()
	t.Cleanup(server.Close)
}

func (e *exchangingEntry) members() (count int) {
	e.state.WithView(func(v *membership.View) { count = len(v.Members(time.Now())) })
	return count
}

// TestLateSeedIsFound checks that entries which found each other before a seed listened find the
// seed as well, though it has no seeds itself.
func TestLateSeedIsFound(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lateListener, secondListener, thirdListener := freeport.Listen(t), freeport.Listen(t), freeport.Listen(t)
	address := func(l net.Listener) string { return l.Addr().String() }
	// The address refuses connections until it is listened on again.
	lateListener.Close()
	seed := newExchangingEntry("vm-0", address(lateListener))
	second := newExchangingEntry("vm-1", address(secondListener), address(lateListener))
	third := newExchangingEntry("vm-2", address(thirdListener), address(lateListener), address(secondListener))
	second.serve(t, secondListener)
	third.serve(t, thirdListener)
	for _, e := range []*exchangingEntry{second, third} {
		go e.exchange.Run(ctx)
	}
	for _, e := range []*exchangingEntry{second, third} {
		g.Eventually(e.members, time.Minute).Should(Equal(1))
	}
	go seed.exchange.Run(ctx)
	reopened, err := net.Listen("tcp", address(lateListener))
	g.Expect(err).NotTo(HaveOccurred())
	seed.serve(t, reopened)
	for _, e := range []*exchangingEntry{seed, second, third} {
		g.Eventually(e.members, 10*time.Second).Should(Equal(2))
	}
}
