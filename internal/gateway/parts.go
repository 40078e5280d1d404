package gateway

import (
	"crypto/rand"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/contain"
	"github.com/bridgehoist/bridgehoist/internal/controllers"
	"github.com/bridgehoist/bridgehoist/internal/crashwatch"
	"github.com/bridgehoist/bridgehoist/internal/evacuate"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/relay"
	"github.com/bridgehoist/bridgehoist/internal/runner"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/readership"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
	"github.com/bridgehoist/bridgehoist/platform"
)

func (g *Gateway) makeExchange() {
	incarnation := make([]byte, 16)
	// rand.Read never fails.
	_, _ = rand.Read(incarnation)
	view := membership.New(membership.Config{
		VM:             g.vm.VM,
		DataCenter:     g.vm.DataCenter,
		PeerAddress:    g.vm.Peers,
		NoticeAddress:  noticeAddress(g.vm),
		Epoch:          uint64(g.started.UnixMilli()),
		Incarnation:    incarnation,
		SmallFleetSize: smallView,
	})
	g.beliefs = peering.NewClusterState(view, g.dispatcher, g.cfg.readers(), g.onLeave)
	g.beliefs.SetPayloadInterval(g.cfg.ExchangeEvery)
	g.beliefs.SetIdlePollInterval(g.cfg.PollIdle)
	g.beliefs.Guard().OnNewFacts(func(c []contain.Change) { contain.LogChanges(g.log, c) }, g.tellSoon)
	g.beliefs.OnLimitChange(g.onLimit)
	contain.Gauges(g.metrics, g.beliefs.Guard())
	g.countReservations()
	g.registerSpeedMetrics()
	if g.cfg.Without.has(mechQuarantine) {
		g.beliefs.Guard().Disable()
	}
	g.peersHTTP = &http.Client{Transport: peering.LimitResponses(peerTransport(), g.memory.Peers)}
	g.peers = peering.NewClient(peering.Config{
		ClusterState: g.beliefs,
		Store:        g.store,
		HTTP:         g.peersHTTP,
		Scheme:       "http",
		Traffic:      g.traffic,
		Memory:       g.memory.Peers,
		OnTimeout:    g.onPeerTimeout,
	})
	g.makeDelegation()
	g.exchange = &controllers.Exchange{
		ClusterState:  g.beliefs,
		Client:        g.peers,
		Interval:      g.cfg.ExchangeEvery,
		SeedPeers:     g.seeds(),
		RoundRequests: make(chan struct{}, 1),
		OnRound:       g.onRound,
	}
	source := platform.NewPublished(platform.NewStore(g.vm.Store, g.metrics.PlatformCalls.Inc))
	g.reader = newReader(source, func() (published.Value, bool) { return g.store.Get(published.Fleet) })
	g.reader.onEra = g.onEra
	g.config = &controllers.ValueWatcher{
		Reader:       g.reader,
		Store:        g.store,
		ClusterState: g.beliefs,
		WatchWait:    g.cfg.WatchWait,
		WatchSpacing: g.cfg.WatchSpacing,

		MaxFirstWatcherWait:   firstWait(g.vm.Bounds.ConfigApply),
		SecondaryWatchSpacing: g.cfg.WatchSecondSpacing,

		StartDelay:             g.cfg.settle(),
		NonWatcherReadInterval: g.cfg.LookIn,
		ExchangeInterval:       g.cfg.ExchangeEvery,
		OnError:                func(error) { g.metrics.PlatformErrors.Inc() },
		OnStoreState:           g.onStoreState,
	}
	g.watchReaders()
	g.load = &controllers.LoadPoller{
		ClusterState: g.beliefs,
		FetchLoad:    g.readLoad,
		Interval:     g.cfg.PollEvery,
		StartDelay:   g.cfg.settle(),

		Saturated:         g.pressed,
		SaturatedInterval: g.cfg.PollPressed,
	}
}

// pressed reports whether requests have waited or been refused lately, because engines
// were full.
func (g *Gateway) pressed() (yes bool) {
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { yes = s.Saturated(now) })
	return yes
}

// noticeAddress is the IP and UDP port for notices, the first of the free ports; empty
// if there is none.
func noticeAddress(vm platform.Settings) string {
	if vm.PortLow == 0 || vm.Peers == "" {
		return ""
	}
	return addressOn(vm, vm.PortLow)
}

// addressOn joins the VM's own IP and a port.
func addressOn(vm platform.Settings, port int) string {
	host, _, _ := net.SplitHostPort(vm.Peers)
	return net.JoinHostPort(host, strconv.Itoa(port))
}

func (g *Gateway) seeds() []string {
	var out []string
	for _, s := range g.vm.Seeds {
		if s != g.vm.Peers {
			out = append(out, s)
		}
	}
	return out
}

func (g *Gateway) makeRunner() {
	g.crashes = crashwatch.New(crashwatch.Config{
		Probe:               g.pool.Look,
		TerminationExpected: g.endExpected,
		LatestInstance:      g.latestInstance,
		Superseded:          g.superseded,
		CountTerminations:   g.beliefs.Guard().CountTerminations,
		OnTermination:       g.onEnded,
	})
	g.forwarder = relay.New(relay.Config{
		Dispatcher:     g.dispatcher,
		Pool:           g.pool,
		TokensPerEvent: g.tokensPerEvent,
		Over:           g.over,
		OnSend:         g.announcePrompt,
		OnAttempt:      g.predict,
		OnEvents:       g.onEvents,
		OnBegin:        func(at fleet.Endpoint) { g.evacuator.GenerationStarted(g.work, at) },
		OnClosing:      g.onClosing,
		OnBroken:       g.onBroken,
		OnLeft:         g.onLeft,
		OnUnframedEnd:  g.onUnframedEnd,
		OnSurvived:     func(j *job.Job) { g.beliefs.Guard().RecordSurvival(j) },
		OnWhole:        func(j *job.Job) { g.beliefs.Guard().RecordCompletion(j) },
		PausedFor:      g.pauseRemaining,
		Check:          g.checkHandoff,
		OnHandoff:      g.onHandoff,
	})
	g.engines = platform.NewEngines(g.pool)
	g.evacuator = evacuate.New(evacuate.Config{
		Forwarder:      g.forwarder,
		Engines:        g.engines,
		Dispatcher:     g.dispatcher,
		Service:        g.service,
		Endpoint:       g.endpoint,
		InstanceEnded:  g.over,
		Admit:          g.admits,
		PauseRemaining: g.pauseRemaining,
		Log:            g.log,
		Disabled: evacuate.DisabledFeatures{
			Moves:        g.cfg.Without.has(mechMoves),
			CopyRefresh:  g.cfg.Without.has(mechCopyRefresh),
			CopySlack:    g.cfg.Without.has(mechCopySlack),
			GroupPlans:   g.cfg.Without.has(mechGroupPlans),
			Reservations: g.cfg.Without.has(mechMoveReservations),
			Retargeting:  g.cfg.Without.has(mechMoveRetargeting),
		},
		OnMove:       func(result string) { g.metrics.Moves.WithLabelValues(result).Inc() },
		OnRefused:    func(cause string) { g.metrics.RefusedMoves.WithLabelValues(cause).Inc() },
		Announce:     g.announceReservations,
		InstanceHash: peering.InstanceHash,
	})
	g.runner = runner.New(runner.Config{
		Dispatcher:   g.dispatcher,
		Performer:    g.forwarder,
		TargetBudget: g.retryBudget(),
		BeginAttempt: func(j *job.Job) (func(), *outcome.Error) { return g.beliefs.Guard().Begin(j) },
		OnDraining: func(id string, incarnation uint64) {
			g.beliefs.RecordLeave(drain.Leave{Endpoint: id, Incarnation: incarnation}, peering.SourceEndpoint)
		},
		OnFailure: g.metrics.ObserveFailure,
		OnStep:    g.metrics.ObserveStep,
		OnAttempt: g.onAttempt,
	})
}

// presumedEntries is among how many entries the slack of the retry budget is
// split while their number isn't known.
const presumedEntries = 24

// retryBudget is this entry's part of the budget of a target. All entries share
// it without talking: each has half of the ratio, since requests are counted by
// window, and a small part of the slack.
func (g *Gateway) retryBudget() retry.Budget {
	if g.cfg.Without.has(mechRetryBudget) {
		return retry.Budget{}
	}
	const half = 0.5
	return retry.Budget{
		Ratio: g.vm.Bounds.RetryRatio * half,
		Burst: max(g.vm.Bounds.RetrySlack*half/presumedEntries, 1),
	}
}

func (g *Gateway) tokensPerEvent(target string) int {
	if s, ok := g.service(target); ok && s.Engine != nil {
		return s.Engine.TokensPerEvent
	}
	return 1
}

func (g *Gateway) service(target string) (table.Service, bool) {
	held := g.store.Table()
	if held == nil {
		return table.Service{}, false
	}
	return held.Value.Service(target)
}

// endpoint finds an endpoint in force.
func (g *Gateway) endpoint(id string) (fleet.Endpoint, bool) {
	list := g.inForce.Load()
	if list == nil {
		return fleet.Endpoint{}, false
	}
	return list.Endpoint(id)
}

const (
	// stalledShare is the share of the time until a configuration must be in force that a
	// watch which hears nothing may take. The rest is for the spacing before it, for the
	// list that follows it and for telling the others.
	stalledShare = 0.6
	// minFirstWait bounds the calls of a first watcher to about three a second.
	minFirstWait = 300 * time.Millisecond
)

const (
	// readerPart is the part of the time until a configuration must be in force, as a divisor, after which a
	// reader of the store that isn't heard is replaced.
	readerPart = 4
	// announcementsPerTimeout is how often a reader announces itself in that time.
	announcementsPerTimeout = 3
	// readerStagger is how much later an entry replaces a reader for each entry of higher rank.
	readerStagger = 25 * time.Millisecond
)

// watchReaders has the readers of the store replaced as soon as they aren't heard. Where the platform
// leaves no port for notices, the records of peers tell of readers, later.
func (g *Gateway) watchReaders() {
	if noticeAddress(g.vm) == "" || g.vm.Bounds.ConfigApply == 0 || g.cfg.Without.has(mechReaderNotices) {
		return
	}
	timeout := g.vm.Bounds.ConfigApply / readerPart
	g.readers = readership.New(readership.Config{
		Readers: controllers.WatchersPerDataCenter, Timeout: timeout, Stagger: readerStagger,
		Above: func(vm string) bool { return controllers.RanksAbove(vm, g.vm.VM) },
	})
	g.config.Readers, g.config.AnnounceInterval = g.readers, timeout/announcementsPerTimeout
	g.config.Announce = g.announceReader
}

// firstWait is for how long a watch of a first watcher waits, so that one that hears nothing
// is given up in time for a configuration that must be in force within bound. Without a
// bound there is none.
func firstWait(bound time.Duration) time.Duration {
	if bound == 0 {
		return 0
	}
	return max(time.Duration(stalledShare*float64(bound))-platform.WatchOverrun, minFirstWait)
}
