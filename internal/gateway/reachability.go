package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

const (
	// reachabilityInterval is how often the targets that this entry can't reach are published in its
	// record, and their endpoints probed.
	reachabilityInterval = 500 * time.Millisecond
	// probesPerTarget is how many endpoints of an unreachable target are probed each time. The first
	// connection that comes up makes the target reachable, and requests probe the rest.
	probesPerTarget = 2
)

// checkReachability publishes which targets this entry can't reach, and probes them: an entry that
// delegates its requests or gets none would not find out that its links are back.
func (g *Gateway) checkReachability() {
	if !g.store.Ready() {
		return
	}
	unreachable, _ := g.reach()
	if g.beliefs.SetUnreachableTargets(unreachable) {
		g.log.Info("reach of targets", "unreachable", unreachable, "fleet", g.fleetRevision())
		g.exchange.RequestRound()
	}
	var probes sync.WaitGroup
	for _, target := range unreachable {
		for _, e := range g.probeCandidates(target) {
			probes.Go(func() { g.probe(e) })
		}
	}
	probes.Wait()
}

// probeCandidates returns endpoints of an unreachable target, chosen at random.
func (g *Gateway) probeCandidates(target string) (endpoints []fleet.Endpoint) {
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { endpoints = s.ProbeCandidates(now, target) })
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	return endpoints[:min(len(endpoints), probesPerTarget)]
}

func (g *Gateway) probe(e fleet.Endpoint) {
	connected := g.pool.Connect(g.work, e)
	g.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { s.RecordProbe(now, e.Instance(), connected) })
}
