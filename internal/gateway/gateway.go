// Package gateway assembles an entry that runs on the users' platform.
//
// One process a VM does everything: it takes callers' requests, reads the
// configuration and the endpoints from the platform's store, exchanges what it
// knows with the other entries, and serves its readiness and metrics. It uses the
// same scheduler, retry, drain and exchange packages as package entry, but passes
// requests and answers through as they are; chain.go shows the filters in their
// order. Names and formats of the platform are known to package platform only.
//
//	[starting] --table and endpoints known--> [ready] --SIGTERM--> [draining]
//	                                                                    |
//	        no request is open, or the grace period is nearly over      v
//	                                                                 [stopped]
//
// Package shutdown explains what becomes of the requests of a draining gateway.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/controllers"
	"github.com/bridgehoist/bridgehoist/internal/crashwatch"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/engines"
	"github.com/bridgehoist/bridgehoist/internal/evacuate"
	"github.com/bridgehoist/bridgehoist/internal/heap"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/metrics"
	"github.com/bridgehoist/bridgehoist/internal/notices"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/internal/runner"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/readership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/platform"
)

const (
	// readersPerEngine is how many entries of a data centre read the state of an
	// engine; the others hear from them. Each read is priced.
	readersPerEngine = 1
	// smallView is up to how many entries all tell each other all; see package
	// membership.
	smallView = 24
	// How many endpoints of the own and of other data centres a decision compares, up
	// to smallView entries and beyond. A large fleet is told of the prompts in its own
	// data centre only.
	localOfFew   = 4
	remoteOfFew  = 3
	localOfMany  = 6
	remoteOfMany = 1
	// settleRounds is after how many rounds of the exchange an entry knows the others
	// well enough to take its share of the work on the store and the engines.
	settleRounds = 4
	// earlierLifeHold is for how long a record of an earlier life isn't believed. An endpoint
	// writes its record about once a heartbeat (PROTOCOL, service discovery), which is some
	// seconds at most; a late word of the earlier life is overwritten by then.
	earlierLifeHold = 5 * time.Second
	// minCopyHold and copyHoldHeartbeats are for how long what was known goes before a restored
	// store's copy. Records that nobody renews lapse after three heartbeats, but not while the
	// store is away once more.
	minCopyHold        = 10 * time.Second
	copyHoldHeartbeats = 8
	// closedHold is the same of closed data centres, which operators write again within moments.
	closedHold = 5 * time.Second
)

// Gateway is one entry process.
type Gateway struct {
	cfg      Config
	vm       platform.Settings
	log      *log.Logger
	started  time.Time
	caughtUp atomic.Bool
	// small says that the fleet is so small that all tell each other all.
	small    atomic.Bool
	stopping atomic.Bool
	intake   shutdown.Intake
	// stopAccounts tells what became of the requests that a stop met.
	stopAccounts stopAccounts
	// doubtful says that the VM was suspended and nobody has told since what is in force.
	doubtful atomic.Bool
	// lostDataCenters are those that the log said last were out of reach.
	lostDataCenters atomic.Pointer[string]
	// lastAcceptError is the one of a listener that was logged last.
	lastAcceptError atomic.Pointer[string]
	// reread reads the settings again; nil if they don't change.
	reread func() (platform.Settings, error)
	// limited are the servers whose connections are bounded.
	limited atomic.Pointer[servers]
	// lastState is the readiness.State that the balancer was told last.
	lastState atomic.Int32

	protocol   platform.Protocol
	metrics    *metrics.Metrics
	dispatcher *dispatch.Dispatcher
	store      *published.Store
	reader     *reader
	beliefs    *peering.ClusterState
	peers      *peering.Client
	peersHTTP  *http.Client
	delegator  *peering.Delegator
	// delegated holds a token for each request that a peer has delegated to this entry, until its response is written.
	delegated chan struct{}
	refusals  delegationRefusals
	traffic   *peering.Traffic
	pool      *upstream.Pool
	forwarder *relay.Forwarder
	engines   engines.Client
	evacuator *evacuate.Evacuator
	// crashes finds out which requests endpoints ended under.
	crashes *crashwatch.Watcher
	runner  *runner.Runner
	memory  membudget.Plan
	// inForce are the endpoints in force.
	inForce atomic.Pointer[fleet.List]
	work    context.Context
	// open ends when the requests must end that the gateway still holds; abort ends it.
	open  context.Context
	abort context.CancelCauseFunc
	// requests is the parent of the contexts of all requests; endRequests ends them at the end of the grace period.
	requests    context.Context
	endRequests context.CancelCauseFunc
	exchange    *controllers.Exchange
	load        *controllers.LoadPoller
	// checking holds the lives of the engines whose state is being read out of turn.
	checking sync.Map
	// notices is nil if the platform leaves no port for them.
	notices *notices.Notifier
	config  *controllers.ValueWatcher
	// readers are those of the store in the own data centre; nil if they aren't announced.
	readers *readership.Set

	// grace, lives, restored and their timer, and what follows, are guarded by mu.
	mu       sync.Mutex
	grace    fleet.EndpointRetention
	lives    fleet.StaleRecordFilter
	restored fleet.RestoreReconciler
	// bridged is what the log said last of that.
	bridged fleet.ReconciledList
	unnamed platform.Unnamed
	// noticed is since when the newest list of endpoints is known to any entry.
	noticed time.Time
	// closed are the data centres that operators have closed, by name.
	closed []string
	// again applies the endpoints once more when a hold of grace or lives ends.
	again *time.Timer
}

// New makes a gateway from checked settings and those of the platform.
func New(cfg Config, vm platform.Settings, logger *log.Logger) *Gateway {
	g := &Gateway{
		cfg:     cfg,
		vm:      vm,
		log:     logger,
		started: clock.Now(),
		metrics: metrics.New(),
		traffic: &peering.Traffic{},
		grace:   fleet.EndpointRetention{GracePeriod: cfg.lapseHold()},
		lives:   fleet.StaleRecordFilter{SuppressionPeriod: earlierLifeHold},

		restored: fleet.RestoreReconciler{EndpointGracePeriod: max(minCopyHold, copyHoldHeartbeats*vm.Heartbeat), ClosedGracePeriod: closedHold},
	}
	g.open, g.abort = context.WithCancelCause(context.Background())
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	g.memory = planMemory(vm.Limits, cfg.MaxOpen)
	g.metrics.Memory(g.memory)
	policy := scheduler.Version(scheduler.ForwardingVersion).Disable(cfg.Without...)
	policy.DataCenter = vm.DataCenter
	g.dispatcher = dispatch.New(scheduler.New(policy))
	g.registerPlacements()
	g.metrics.Levels(g.levelStats)
	g.pool = upstream.NewPool(g.protocol, upstream.Hooks{Dialed: g.metrics.Connections.Inc, Admit: g.admit, Answered: g.onResponseHead})
	g.pool.MaxHeadBytes, g.pool.Memory = g.memory.HeadBytes, g.memory.Answers
	g.store = published.New(g.parsers(), g.onValue, g.onFleet)
	g.store.OnDeferred(g.onDeferred)
	g.makeExchange()
	g.makeRunner()
	invariant.SetHook(g.onViolation)
	return g
}

// Run serves until the context ends, then stops without cutting any request.
func (g *Gateway) Run(ctx context.Context, reload <-chan platform.Settings) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.work = work
	if g.vm.Limits.MemoryBytes > 0 {
		heap.LimitProcessors(g.vm.Limits.MemoryBytes)
	}
	waiting, stopWaiting := context.WithCancelCause(ctx)
	go g.watchAddresses(waiting, stopWaiting)
	servers, err := g.listen(waiting)
	if err != nil && waiting.Err() != nil {
		err = context.Cause(waiting)
	}
	stopWaiting(nil)
	if err != nil {
		return g.notStarted(ctx, err)
	}
	var loops sync.WaitGroup
	if g.notices != nil {
		loops.Go(func() { g.notices.Run(work) })
	}
	loops.Go(func() { g.watchClock(work) })
	loops.Go(func() { g.dispatcher.Run(work) })
	loops.Go(func() { g.pool.Run(work) })
	loops.Go(func() { g.start(work) })
	g.log.Info("started", "data_center", g.vm.DataCenter, "callers", g.vm.Callers, "peers", g.vm.Peers,
		"store", g.vm.Store, "seeds", len(g.vm.Seeds), "first_start", g.vm.FirstStart)
	g.awaitStop(ctx, reload)
	g.stop(work, servers)
	cancel()
	loops.Wait()
	g.log.Info("stopped", append([]any{"uptime", clock.Since(g.started).Round(time.Millisecond)}, g.stopAccounts.fields()...)...)
	return nil
}

// ErrAddressesChanged is returned by Run if the settings name other addresses while it waits for those that it was given.
var ErrAddressesChanged = errors.New("the settings name other addresses")

// rereadInterval is how often the settings are read again while the gateway waits for its addresses.
const rereadInterval = time.Second

// RereadWhileWaiting has Run read the settings again while it waits for its addresses.
func (g *Gateway) RereadWhileWaiting(read func() (platform.Settings, error)) { g.reread = read }

// watchAddresses ends the wait for the addresses if other ones are in force.
func (g *Gateway) watchAddresses(ctx context.Context, stop context.CancelCauseFunc) {
	for g.reread != nil && pause.For(ctx, rereadInterval) {
		if s, err := g.reread(); err == nil && !s.SameAddresses(g.vm) {
			stop(ErrAddressesChanged)
		}
	}
}

// notStarted ends a gateway that didn't get its addresses, which is well if it was told to stop meanwhile.
func (g *Gateway) notStarted(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	g.log.Info("stopped before all addresses were free", "uptime", clock.Since(g.started).Round(time.Millisecond))
	return nil
}

func (g *Gateway) awaitStop(ctx context.Context, reload <-chan platform.Settings) {
	for {
		select {
		case s := <-reload:
			g.log.Info("reloaded", "seeds", len(s.Seeds), "store", s.Store)
		case <-ctx.Done():
			return
		}
	}
}
