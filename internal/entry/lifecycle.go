package entry

import (
	"context"
	"crypto/tls"
	"net/http"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/controllers"
	"github.com/bridgehoist/bridgehoist/internal/heap"
	"github.com/bridgehoist/bridgehoist/internal/httpserver"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/waitfor"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// memoryShare is the share of the memory from which on the garbage collector works harder.
const memoryShare = 0.7

// Run serves until the context ends, then stops without cutting any request.
func (e *Entry) Run(ctx context.Context) error {
	servers, err := e.listen(ctx)
	if err != nil && ctx.Err() != nil {
		e.log.Info("stopped before all addresses were free")
		return nil
	}
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	heap.LimitProcessors(e.memoryBytes())
	debug.SetMemoryLimit(int64(memoryShare * float64(e.memoryBytes())))
	var loops sync.WaitGroup
	loops.Go(func() { heap.Bound(work) })
	loops.Go(func() { e.watchClock(work) })
	loops.Go(func() { e.dispatcher.Run(work) })
	loops.Go(func() { e.start(work) })
	e.log.Info("started", "data_center", e.cfg.DataCenter, "listen", e.cfg.Listen, "peer", e.cfg.Peer)
	<-ctx.Done()
	e.stop(work, servers)
	cancel()
	loops.Wait()
	e.log.Info("stopped")
	return nil
}

// watchClock notices when the VM was suspended. Ages and deadlines count that by themselves;
// peers weren't silent meanwhile, and are asked what came into force.
func (e *Entry) watchClock(ctx context.Context) {
	stop := clock.OnSuspended(func(missed time.Duration) {
		e.log.Warn("suspended", "for", missed.Round(time.Millisecond))
		e.beliefs.WithView(func(v *membership.View) { v.ExcludeSuspension(missed) })
		e.kick()
	})
	defer stop()
	if err := clock.Run(ctx); err != nil {
		e.log.Warn("suspensions of the VM can't be noticed", "error", err)
	}
}

// start reads the platform, catches up with the peers, and only then lets the
// entry become ready. As long as no fleet list is there, nobody can be asked, so
// it begins again: a replica of the platform that comes late may be behind.
func (e *Entry) start(ctx context.Context) {
	e.catchUp(ctx)
	for e.store.Fleet() == nil && pause.For(ctx, catchupPause) {
		e.catchUp(ctx)
	}
	e.caughtUp.Store(true)
	var loops sync.WaitGroup
	for _, c := range e.controllers() {
		loops.Go(func() { c.Run(ctx) })
	}
	loops.Wait()
}

func (e *Entry) catchUp(ctx context.Context) {
	e.config.Read(ctx, 0)
	ctx, cancel := context.WithTimeout(ctx, catchupTimeout)
	defer cancel()
	e.exchange.InitialSync(ctx, e.cfg.DataCenter)
}

func (e *Entry) controllers() []controllers.Controller {
	return []controllers.Controller{
		e.exchange,
		e.config,
		&controllers.LoadPoller{ClusterState: e.beliefs, FetchLoad: controllers.NativeLoadFetcher(e.client), Interval: e.cfg.PollEvery},
		&controllers.PeriodicTasks{Interval: housekeepingEvery, Tasks: []func(){e.owner.Expire}},
	}
}

// servers are the three listeners.
type servers struct {
	callers, peers, operators *httpserver.Server
}

// listen listens on all addresses, as soon as they can be had. Operators come first, so that they see a state
// meanwhile, and callers last.
func (e *Entry) listen(ctx context.Context) (*servers, error) {
	opTLS, err := e.cfg.OperatorTLS.Load()
	if err != nil {
		return nil, err
	}
	peerService := peering.NewServer(e.beliefs, e.store, e.owner, e.peerJob, e.traffic)
	peerService.EndForwarded(e.forwarded)
	peerService.LimitMemory(e.memory.Peers)
	s := &servers{}
	for _, l := range []struct {
		server  **httpserver.Server
		address string
		handler http.Handler
		tls     *tls.Config
	}{
		{&s.operators, e.cfg.Operator, e.operators(), opTLS},
		{&s.peers, e.cfg.Peer, peerService.Handler(e.cfg.PeerToken), e.peerTLS},
		{&s.callers, e.cfg.Listen, e.callers(), nil},
	} {
		if *l.server, err = e.serve(ctx, l.address, l.handler, l.tls); err != nil {
			s.close()
			return nil, err
		}
	}
	e.limited.Store(s)
	return s, nil
}

// close closes those that are open.
func (s *servers) close() {
	for _, server := range []*httpserver.Server{s.callers, s.peers, s.operators} {
		if server != nil {
			_ = server.Close()
		}
	}
}

func (e *Entry) serve(ctx context.Context, address string, h http.Handler, t *tls.Config) (*httpserver.Server, error) {
	l, err := waitfor.Listener(ctx, e.log, address)
	if err != nil {
		return nil, err
	}
	return httpserver.Start(l, httpserver.Config{
		HTTP: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          e.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		},
		TLS:                t,
		MaxConnections:     e.memory.Connections,
		HeadMemory:         e.memory.Heads,
		OnHeadRefused:      e.metrics.HeadsRefused.Inc,
		OnConnectionClosed: e.metrics.ConnectionsLimited.Inc,
		OnLateRequest:      e.onLateRequest,
		OnAcceptError:      e.onAcceptError,
	}), nil
}

// onAcceptError counts an error of a listener. Without descriptors left, there may be fewer of them than at the start.
func (e *Entry) onAcceptError(err error) {
	e.metrics.AcceptErrors.Inc()
	if s := e.limited.Load(); s != nil && errors.Is(err, syscall.EMFILE) {
		plan := membudget.NewPlan(e.memoryBytes(), 0, e.cfg.MaxOpen)
		s.callers.Limit(plan.Connections)
		s.peers.Limit(plan.PeerConnections)
	}
}

// onLateRequest logs a request that was dropped at the end of the process.
func (e *Entry) onLateRequest(r *http.Request) {
	e.log.Warn("request dropped on a closed connection", "path", r.URL.Path)
}

// stop ends the entry: unready, serve what the balancer still sends, let all
// requests end, hand the tickets over, and tell the others.
func (e *Entry) stop(ctx context.Context, s *servers) {
	schedule := shutdown.NewSchedule(clock.Now(), e.cfg.DrainTimeout)
	e.stopping.Store(true)
	e.dispatcher.UpdateScheduler(func(_ time.Time, s *scheduler.Scheduler) { s.SetStopAt(schedule.Abort) })
	abort, cancelAbort := clock.WithDeadline(ctx, schedule.Abort)
	defer cancelAbort()
	context.AfterFunc(abort, func() {
		e.owner.Stop()
		e.abort(shutdown.ErrStopping)
	})
	e.beliefs.SetNodeState(peerv1.NodeState_NODE_STATE_LEAVING)
	e.log.Info("stopping", "drain_delay", e.cfg.DrainDelay)
	pause.For(abort, e.cfg.DrainDelay)
	e.closeIntake(schedule.Abort)
	drain, cancel := context.WithTimeout(ctx, e.cfg.DrainTimeout)
	defer cancel()
	err := s.callers.Drain(drain)
	invariant.Check(err == nil, invariant.DrainCutsNothing, "requests were open after %v", e.cfg.DrainTimeout)
	if err == nil {
		_ = s.callers.Close()
	}
	e.handOver(drain)
	farewell, cancelFarewell := context.WithTimeout(ctx, farewellTimeout)
	defer cancelFarewell()
	e.exchange.AnnounceLeft(farewell)
	time.Sleep(e.cfg.HandoverLinger)
	if s.peers.Drain(drain) != nil {
		e.endForwarded(shutdown.ErrStopping)
		grace, cancelGrace := context.WithTimeout(ctx, listenerCloseGrace)
		defer cancelGrace()
		_ = s.peers.Drain(grace)
	}
	_ = s.peers.Close()
	_ = s.operators.Close()
}

// closeIntake takes only requests from now on that end before abort.
func (e *Entry) closeIntake(abort time.Time) {
	e.intake.Close(abort)
	e.owner.StopLate(abort)
}

func (e *Entry) handOver(ctx context.Context) {
	if !e.owner.Freeze(ctx) {
		invariant.Check(false, invariant.DrainCutsNothing, "runs of tickets were open at the end of the stop")
		return
	}
	if err := e.peers.HandOver(ctx, e.owner.Export); err != nil {
		e.log.Warn("tickets not handed over", "error", err)
		return
	}
	e.log.Info("tickets handed over")
}
