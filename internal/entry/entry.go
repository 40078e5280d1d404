// Package entry assembles the data path of an entry VM: the filters for
// requests, the controllers for state, and three listeners, for callers, for
// other entries and for operators.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/controllers"
	"github.com/bridgehoist/bridgehoist/internal/crashwatch"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/engineclient"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/metrics"
	"github.com/bridgehoist/bridgehoist/internal/native"
	"github.com/bridgehoist/bridgehoist/internal/owner"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/runner"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/tlsconfig"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/platform"
)

const (
	headerTimeout      = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	housekeepingEvery  = 5 * time.Second
	catchupTimeout     = 3 * time.Second
	catchupPause       = 500 * time.Millisecond
	secretBytes        = 32
	maxHeaderBytes     = 32 << 10
	farewellTimeout    = 2 * time.Second
	listenerCloseGrace = 2 * time.Second
)

// Entry is one entry process.
type Entry struct {
	cfg      Config
	log      *log.Logger
	started  time.Time
	caughtUp atomic.Bool
	stopping atomic.Bool
	intake   shutdown.Intake
	// limited are the servers whose connections are bounded.
	limited atomic.Pointer[servers]

	metrics    *metrics.Metrics
	memory     membudget.Plan
	dispatcher *dispatch.Dispatcher
	client     *engineclient.Client
	store      *published.Store
	beliefs    *peering.ClusterState
	peers      *peering.Client
	traffic    *peering.Traffic
	owner      *owner.Owner
	runner     *runner.Runner
	// crashes finds out which requests endpoints ended under.
	crashes  *crashwatch.Watcher
	exchange *controllers.Exchange
	config   *controllers.ValueWatcher
	peerTLS  *tls.Config
	// open ends when the requests must end that the entry still holds; abort ends it.
	open  context.Context
	abort context.CancelCauseFunc
	// forwarded ends when the requests must end that peers have forwarded; endForwarded ends it.
	forwarded    context.Context
	endForwarded context.CancelCauseFunc
}

// New makes an entry from checked settings.
func New(cfg Config, logger *log.Logger) (*Entry, error) {
	e := &Entry{
		cfg:     cfg,
		log:     logger,
		started: clock.Now(),
		metrics: metrics.New(),
		traffic: &peering.Traffic{},
	}
	e.open, e.abort = context.WithCancelCause(context.Background())
	e.forwarded, e.endForwarded = context.WithCancelCause(context.Background())
	e.memory = membudget.NewPlan(e.memoryBytes(), 0, cfg.MaxOpen)
	e.memory.Bodies = membudget.New(e.memoryBytes() / bodyPart)
	e.metrics.Memory(e.memory)
	e.client = engineclient.New(e.onSaid)
	e.client.Limit(e.memory.Answers, e.memory.HeadBytes)
	var err error
	if e.peerTLS, err = cfg.PeerTLS.Load(); err != nil {
		return nil, err
	}
	incarnation, secret := identity()
	e.dispatcher = dispatch.New(newPolicy(&cfg))
	e.beliefs = peering.NewClusterState(membership.New(membership.Config{
		VM:          cfg.VM,
		DataCenter:  cfg.DataCenter,
		PeerAddress: cfg.Peer,
		Epoch:       uint64(e.started.UnixMilli()),
		Incarnation: incarnation[:],
	}), e.dispatcher, peering.DefaultHomeEntries, e.onLeave)
	e.store = published.New(published.NativeConfig(), e.onValue, func(list *fleet.List, _ time.Time) { e.beliefs.ApplyFleet(list) })
	e.makeRunner()
	e.makePeers(incarnation, secret)
	e.makeControllers()
	e.registerGauges()
	invariant.SetHook(e.onViolation)
	return e, nil
}

// bodyPart is the part of the memory for callers' bodies, as a divisor. It is smaller than that of a gateway, since the
// prompt in a body, and the engine's request with it, are copies.
const bodyPart = 12

// memoryBytes is what the process may use.
func (e *Entry) memoryBytes() int64 { return int64(e.cfg.MemoryMB) * 1e6 }

func identity() (claims.Incarnation, []byte) {
	var i claims.Incarnation
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(i[:])
	_, _ = rand.Read(secret)
	return i, secret
}

func newPolicy(cfg *Config) scheduler.Policy {
	switch cfg.Policy {
	case PolicyRoundRobin:
		return scheduler.NewRoundRobin()
	case PolicyLeastInFlight:
		return scheduler.NewLeastInFlight()
	default:
		c := scheduler.Version(scheduler.CurrentVersion)
		c.DataCenter = cfg.DataCenter
		return scheduler.New(c)
	}
}

func (e *Entry) makeRunner() {
	e.makeGuard()
	e.runner = runner.New(runner.Config{
		Dispatcher: e.dispatcher,
		Performer: native.New(native.Config{
			Dispatcher:   e.dispatcher,
			Client:       e.client,
			StallTimeout: e.cfg.StallTimeout,
			Memory:       e.memory.Answers,
			OnFailure:    e.metrics.ObserveFailure,
			OnStep:       e.metrics.ObserveStep,
			OnBroken:     e.onBroken,
			OnWhole:      func(j *job.Job) { e.beliefs.Guard().RecordCompletion(j) },
		}),
		BeginAttempt: func(j *job.Job) (func(), *outcome.Error) { return e.beliefs.Guard().Begin(j) },
		OnDraining: func(id string, incarnation uint64) {
			e.beliefs.RecordLeave(drain.Leave{Endpoint: id, Incarnation: incarnation}, peering.SourceEndpoint)
		},
		OnFailure: e.metrics.ObserveFailure,
		OnStep:    e.metrics.ObserveStep,
	})
}

func (e *Entry) makePeers(incarnation claims.Incarnation, secret []byte) {
	client := tlsconfig.Client(e.peerTLS)
	client.Transport = peering.LimitResponses(client.Transport, e.memory.Peers)
	e.peers = peering.NewClient(peering.Config{
		ClusterState: e.beliefs,
		Store:        e.store,
		HTTP:         client,
		Memory:       e.memory.Peers,
		Scheme:       tlsconfig.Scheme(e.peerTLS),
		Token:        e.cfg.PeerToken,
		Networks:     e.cfg.networks,
		Traffic:      e.traffic,
		OnTimeout:    func(_ membership.Contact, reused bool) { e.metrics.ObservePeerTimeout(reused) },
	})
	ledger := claims.New(e.started, claims.Config{
		VM:             e.cfg.VM,
		PeerAddress:    e.cfg.Peer,
		Incarnation:    incarnation,
		Secret:         secret,
		Validity:       e.cfg.TicketValidity,
		MaxTickets:     e.cfg.MaxTickets,
		MaxAnswerBytes: e.cfg.MaxAnswerBytes,
	})
	e.owner = owner.New(ledger, e.runner.Run, e.peers, e.metrics.ObserveRun)
	e.owner.LimitMemory(e.memory.Answers)
}

func (e *Entry) makeControllers() {
	e.exchange = &controllers.Exchange{
		ClusterState:  e.beliefs,
		Client:        e.peers,
		Inherited:     e.owner.Inherited,
		Interval:      e.cfg.ExchangeEvery,
		SeedPeers:     e.cfg.seeds,
		RoundRequests: make(chan struct{}, 1),
		OnRound: func(answered, asked int) {
			e.metrics.PeersAsked.Add(float64(asked))
			e.metrics.PeersAnswered.Add(float64(answered))
		},
	}
	e.config = &controllers.ValueWatcher{
		Reader:                 platform.NewValues(platform.NewStore(e.cfg.Platform, e.metrics.PlatformCalls.Inc)),
		Store:                  e.store,
		ClusterState:           e.beliefs,
		WatchWait:              e.cfg.WatchWait,
		NonWatcherReadInterval: e.cfg.LookIn,
		ExchangeInterval:       e.cfg.ExchangeEvery,
		OnError:                func(error) { e.metrics.PlatformErrors.Inc() },
		OnStoreState:           e.onStoreState,
	}
}

func (e *Entry) newRequestID() string { return uuid.NewString() }

// onStoreState declares that the platform was lost or regained.
func (e *Entry) onStoreState(up bool, _ time.Duration, _ error) {
	e.beliefs.SetStoreLost(!up)
	e.kick()
}

// onLeave, onValue and onViolation log changes of state.
func (e *Entry) onLeave(l drain.Leave, source string) {
	e.kick()
	e.metrics.Leaves.WithLabelValues(peering.SourceLabel(source)).Inc()
	e.log.Info("endpoint leaving", "endpoint", l.Endpoint, "incarnation", l.Incarnation, "source", source)
}

// kick passes news on soon. Values may come before there is an exchange.
func (e *Entry) kick() {
	if e.caughtUp.Load() {
		e.exchange.RequestRound()
	}
}

func (e *Entry) onValue(ev published.Event) {
	e.metrics.Values.WithLabelValues(ev.Name, ev.Verdict.String()).Inc()
	if ev.Verdict == register.Adopted {
		e.kick()
		e.log.Info("value in force", "name", ev.Name, "revision", ev.Revision, "source", ev.Source)
		return
	}
	e.log.Warn("value refused", "name", ev.Name, "revision", ev.Revision, "source", ev.Source,
		"verdict", ev.Verdict, "findings", ev.Findings)
}

func (e *Entry) onViolation(name invariant.Name, detail string) {
	e.log.Error("invariant violated", "invariant", name, "detail", detail)
}

func (e *Entry) ready() bool {
	return e.caughtUp.Load() && e.store.Ready() && !e.stopping.Load()
}
