package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/httpclient"
	"github.com/bridgehoist/bridgehoist/internal/httpserver"
	"github.com/bridgehoist/bridgehoist/internal/notices"
	"github.com/bridgehoist/bridgehoist/internal/operatorapi"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/internal/waitfor"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/platform"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

const (
	// headerTimeout is for a caller to send its headers.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes is twice what the users' callers send.
	maxHeaderBytes = 32 << 10
	// peerDialTimeout, peerIdle and peerIdleConns keep connections to peers, peerIdleTotal of them at
	// most. In a large fleet each round asks other peers, so that more would hardly be used again.
	peerDialTimeout = 500 * time.Millisecond
	peerIdle        = 30 * time.Second
	peerIdleConns   = 1
	peerIdleTotal   = 32
	// farewellTimeout is for telling the peers.
	farewellTimeout = 300 * time.Millisecond
	// maxOtherConnections bounds those to readiness and to metrics.
	maxOtherConnections = 64
	// listenerCloseGrace is for closing the listener of the peers.
	listenerCloseGrace = 100 * time.Millisecond
)

func peerTransport() http.RoundTripper {
	return httpclient.New(&http.Transport{
		DialContext:         tcpconn.Dialer(peerDialTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: peerIdleConns,
		MaxIdleConns:        peerIdleTotal,
		IdleConnTimeout:     peerIdle,

		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// servers are the listeners; metrics may be nil.
type servers struct {
	callers, readiness, peers *httpserver.Server
	metrics                   *lateServer
}

// close closes those that are open.
func (s *servers) close() {
	for _, server := range []*httpserver.Server{s.callers, s.readiness, s.peers} {
		if server != nil {
			_ = server.Close()
		}
	}
}

// listen listens on all addresses, and waits for those without which the entry can't serve. Readiness comes first, so
// that the balancer is told meanwhile, and callers last. Metrics and notices are served as soon as they can.
func (g *Gateway) listen(ctx context.Context) (*servers, error) {
	exchange := peering.NewServer(g.beliefs, g.store, nil, nil, g.traffic)
	exchange.LimitMemory(g.memory.Peers)
	callers := g.callers()
	if !g.cfg.Without.has(mechDelegation) {
		exchange.ServeDelegated(func(from string, w http.ResponseWriter, r *http.Request) *outcome.Error {
			return g.serveDelegated(callers, from, w, r)
		})
		exchange.AdmitDelegated(g.admitDelegated)
		g.beliefs.AcceptDelegated()
	}
	s := &servers{}
	g.makeNotices()
	for _, l := range []struct {
		server      **httpserver.Server
		address     string
		handler     http.Handler
		connections int
	}{
		{&s.readiness, g.vm.Readiness, g.readiness(), maxOtherConnections},
		{&s.peers, g.vm.Peers, exchange.Handler(""), g.memory.PeerConnections},
		{&s.callers, g.vm.Callers, callers, g.memory.Connections},
	} {
		var err error
		if *l.server, err = g.serve(ctx, l.address, l.handler, l.connections); err != nil {
			s.close()
			if g.notices != nil {
				g.notices.Close()
			}
			return nil, err
		}
	}
	if g.cfg.MetricsPort != 0 {
		s.metrics = g.serveLate(addressOn(g.vm, g.cfg.MetricsPort), g.metricsHandler(), maxOtherConnections)
	}
	g.limited.Store(s)
	return s, nil
}

// makeNotices opens the socket for notices. Nothing depends on them, so an address that can't be one of theirs is logged.
func (g *Gateway) makeNotices() {
	address := noticeAddress(g.vm)
	if address == "" {
		return
	}
	n, err := notices.New(notices.Config{
		Listen: address, OnPromptSent: g.onPromptSent, OnPromptPrefilled: g.onPromptPrefilled, OnSpeed: g.onSpeed, OnLoads: g.onLoads, Now: clock.Now, Log: g.log,
		OnReservations: g.onReservations, OnInvalid: g.onInvalidNotice, OnReader: g.onReader,
	})
	if err != nil {
		g.log.Warn("no notices are sent or received", "address", address, "error", err)
		return
	}
	g.notices = n
}

// lateServer serves on an address once it can be had.
type lateServer struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

func (g *Gateway) serveLate(address string, h http.Handler, connections int) *lateServer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &lateServer{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		server, err := g.serve(ctx, address, h, connections)
		if err != nil {
			return
		}
		<-ctx.Done()
		_ = server.Close()
	}()
	return s
}

// Close ends the server, or its wait.
func (s *lateServer) Close() error {
	s.cancel()
	<-s.ended
	return nil
}

// serve listens on an address for at most so many connections at once, as soon as it can be had.
func (g *Gateway) serve(ctx context.Context, address string, h http.Handler, connections int) (*httpserver.Server, error) {
	l, err := waitfor.Listener(ctx, g.log, address)
	if err != nil {
		return nil, err
	}
	return httpserver.Start(l, httpserver.Config{
		HTTP: &http.Server{
			Handler:           h,
			BaseContext:       func(net.Listener) context.Context { return g.requests },
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       g.cfg.IdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          g.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		},
		MaxConnections:     connections,
		HeadMemory:         g.memory.Heads,
		OnHeadRefused:      g.metrics.HeadsRefused.Inc,
		OnConnectionClosed: g.metrics.ConnectionsLimited.Inc,
		OnLateRequest:      g.onLateRequest,
		OnAcceptError:      g.onAcceptError,
	}), nil
}

// onAcceptError counts an error of a listener. The log gets the first one of a kind. Without descriptors left, there may be
// fewer of them than at the start.
func (g *Gateway) onAcceptError(err error) {
	g.metrics.AcceptErrors.Inc()
	if s := g.limited.Load(); s != nil && errors.Is(err, syscall.EMFILE) {
		plan := planMemory(g.vm.Limits, g.cfg.MaxOpen)
		s.callers.Limit(plan.Connections)
		s.peers.Limit(plan.PeerConnections)
	}
	if last := g.lastAcceptError.Swap(new(err.Error())); last == nil || *last != err.Error() {
		g.log.Warn("no connection accepted", "error", err)
	}
}

// onLateRequest counts and logs a request that was dropped at the end of the process.
func (g *Gateway) onLateRequest(r *http.Request) {
	g.metrics.LateRequests.Inc()
	g.log.Warn("request dropped on a closed connection", "request", r.Header.Get(platform.HeaderRequestID))
}

func (g *Gateway) metricsHandler() http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodGet, operatorapi.PathMetrics, promhttp.HandlerFor(g.metrics.Registry, promhttp.HandlerOpts{}))
	r.Get(operatorapi.PathWaiting, g.listWaiting)
	return r
}

// listWaiting writes the requests that wait at this entry, in order, and why they wait.
func (g *Gateway) listWaiting(w http.ResponseWriter, _ *http.Request) {
	var waiting []operatorapi.WaitingRequest
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		waiting = operatorapi.NewWaiting(s.WaitingRequests(now, operatorapi.MaxWaiting))
	})
	httpapi.WriteJSON(w, waiting)
}

// levelStats returns what became of the requests of each level.
func (g *Gateway) levelStats() (stats []scheduler.LevelStats) {
	g.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { stats = s.LevelStats() })
	return stats
}

// stop ends the gateway: unready at once, serve what the balancer still sends, let open requests end or
// answer them, and tell the peers.
func (g *Gateway) stop(ctx context.Context, s *servers) {
	grace := g.vm.Bounds.Grace
	if grace <= 0 {
		grace = platform.DefaultGrace
	}
	schedule := shutdown.NewSchedule(clock.Now(), grace)
	g.stopping.Store(true)
	g.stopAccounts.begin(clock.Now())
	g.config.Retire()
	g.dispatcher.UpdateScheduler(func(_ time.Time, s *scheduler.Scheduler) { s.SetStopAt(schedule.Abort) })
	abort, cancelAbort := clock.WithDeadline(ctx, schedule.Abort)
	defer cancelAbort()
	open, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(abort, func() {
		g.abort(shutdown.ErrStopping)
		pause.For(ctx, schedule.AnswerTime())
		cancel()
	})
	g.beliefs.SetNodeState(peerv1.NodeState_NODE_STATE_LEAVING)
	g.log.Info("stopping", "drain_delay", g.cfg.DrainDelay, "grace", grace)
	pause.For(abort, g.cfg.DrainDelay)
	g.intake.Close(schedule.Abort)
	g.stopAccounts.close(clock.Now())
	if err := s.callers.Drain(open); err != nil {
		g.log.Warn("requests cut at the end of the grace period", "error", err)
		g.cut(ctx, s.callers)
	}
	_ = s.callers.Close()
	g.awaitDelegated(open)
	farewell, cancelFarewell := context.WithTimeout(ctx, farewellTimeout)
	defer cancelFarewell()
	g.exchange.AnnounceLeft(farewell)
	closing, cancelClosing := context.WithTimeout(ctx, listenerCloseGrace)
	defer cancelClosing()
	// Peers repeat exchanges elsewhere; what they delegate meanwhile is refused.
	_ = s.peers.Drain(closing)
	_ = s.peers.Close()
	_ = s.readiness.Close()
	if s.metrics != nil {
		_ = s.metrics.Close()
	}
}
