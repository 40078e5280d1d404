package peering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// homeEntrySetter is a policy that divides the capacity of endpoints among their home entries.
type homeEntrySetter interface {
	SetHomeEntries(endpoint string, homeEntries int)
}

// DefaultHomeEntries is the default maximum number of home entries of an engine: the entries of
// its data centre that poll it and divide its memory among them.
const DefaultHomeEntries = 3

// homeRefreshInterval is the minimum time between two assignments of home entries.
const homeRefreshInterval = 2 * time.Second

// RecordPoll applies a load report that this entry has polled. From a report of an instance that
// is not listed only the leave is used: either the report is stale, or the list is, in which
// case the next poll after the list update gives the load.
func (cs *ClusterState) RecordPoll(r scheduler.Report, draining bool) {
	cs.mu.Lock()
	if cs.homeEndpoints[r.Endpoint] && cs.isListed(r.Instance()) {
		cs.reports[r.Endpoint] = r
		cs.polledAt[r.Endpoint] = clock.Now()
		cs.reportsChanged = true
	}
	cs.mu.Unlock()
	cs.dispatcher.Update(func(now time.Time, p scheduler.Policy) { p.Report(now, r) })
	if draining {
		cs.RecordLeave(drain.Leave{Endpoint: r.Endpoint, Incarnation: r.Incarnation}, SourceEndpoint)
	}
}

// isListed reports whether an instance is on the fleet list. The caller holds the lock.
func (cs *ClusterState) isListed(instance fleet.Instance) bool {
	if cs.list == nil {
		return false
	}
	e, listed := cs.list.Endpoint(instance.Endpoint)
	return listed && e.Instance() == instance
}

// maxSpilloverPolls bounds the endpoints of other data centres that are polled for one target
// while requests wait for it.
const maxSpilloverPolls = 4

// EndpointsToPoll returns the endpoints whose load this entry polls now: the engines that it is
// a home entry of, except those that are still idle, and, for targets with waiting requests, a
// few engines of other data centres that may take the requests instead.
func (cs *ClusterState) EndpointsToPoll(now time.Time) []fleet.Endpoint {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.list == nil {
		return nil
	}
	cs.refreshHomes(now)
	var due []fleet.Endpoint
	for _, e := range cs.list.Endpoints {
		switch {
		case e.Type != fleet.Engine || !cs.homeEndpoints[e.ID]:
			cs.dropReport(e.ID)
		case !cs.confirmIdle(now, e.Instance()):
			due = append(due, e)
		}
	}
	for _, target := range cs.waitingTargets() {
		due = append(due, cs.spilloverEndpoints(target)...)
	}
	return due
}

// DefaultIdlePollInterval is the default interval at which an engine is polled that is assumed
// to be idle. Such engines have to be polled because prompt notices can be lost.
const DefaultIdlePollInterval = 10 * time.Second

// SetIdlePollInterval overrides DefaultIdlePollInterval.
func (cs *ClusterState) SetIdlePollInterval(d time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.idlePollInterval = d
}

// confirmIdle reports whether an engine need not be polled because it was idle when this entry
// last polled it and no peer has reported work for it since. It then renews the report as of now.
// The number of polls thus grows with the number of busy engines, not with that of all engines.
func (cs *ClusterState) confirmIdle(now time.Time, instance fleet.Instance) (idle bool) {
	polledAt, polled := cs.polledAt[instance.Endpoint]
	r, hasReport := cs.reports[instance.Endpoint]
	if !polled || !hasReport || r.Instance() != instance || now.Sub(polledAt) >= cs.idlePollInterval {
		return false
	}
	cs.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		if idle = s.Idle(now, instance); idle {
			r.ReportedAt = now
			s.Report(now, r)
		}
	})
	if idle {
		cs.reports[instance.Endpoint] = r
		cs.reportsChanged = true
	}
	return idle
}

func (cs *ClusterState) dropReport(endpoint string) {
	if _, exists := cs.reports[endpoint]; exists {
		delete(cs.reports, endpoint)
		delete(cs.polledAt, endpoint)
		cs.reportsChanged = true
	}
}

func (cs *ClusterState) waitingTargets() (targets []string) {
	cs.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { targets = s.WaitingTargets() })
	return targets
}

// spilloverEndpoints picks engines of other data centres for a target by rendezvous hashing: the
// choice is stable for one entry and differs between entries.
func (cs *ClusterState) spilloverEndpoints(target string) []fleet.Endpoint {
	self := cs.view.Self()
	selfHash := xxhash.Sum64String("spill/" + self.GetVm())
	type ranked struct {
		rank  uint64
		index int
	}
	var best []ranked
	for i := range cs.list.Endpoints {
		e := &cs.list.Endpoints[i]
		if e.Type != fleet.Engine || e.DataCenter == self.GetDataCenter() || !slices.Contains(e.Targets, target) {
			continue
		}
		r := ranked{membership.RendezvousScoreOfHashes(xxhash.Sum64String(e.ID), selfHash), i}
		pos, _ := slices.BinarySearchFunc(best, r, func(x, y ranked) int { return cmp.Compare(x.rank, y.rank) })
		if pos < maxSpilloverPolls {
			best = slices.Insert(best, pos, r)
			best = best[:min(len(best), maxSpilloverPolls)]
		}
	}
	var picked []fleet.Endpoint
	for _, r := range best {
		picked = append(picked, cs.list.Endpoints[r.index])
	}
	return picked
}

// PromptSent applies a prompt notice: a peer has sent a prompt to an engine.
func (cs *ClusterState) PromptSent(instanceHash uint32, tokens int) {
	cs.applyPromptNotice(instanceHash, func(now time.Time, c promptCounter, id string) { c.PromptSent(now, id, tokens) })
}

// PromptPrefilled applies a prompt notice: an engine has completed the prefill of a peer's prompt.
func (cs *ClusterState) PromptPrefilled(instanceHash uint32, tokens int) {
	cs.applyPromptNotice(instanceHash, func(now time.Time, c promptCounter, id string) { c.PromptPrefilled(now, id, tokens) })
}

func (cs *ClusterState) applyPromptNotice(instanceHash uint32, apply func(now time.Time, c promptCounter, id string)) {
	// The lock is held until the prompt is counted, as a new fleet list could replace the
	// instance in between.
	cs.mu.Lock()
	defer cs.mu.Unlock()
	e := cs.endpointByHash(instanceHash)
	if e == nil {
		return
	}
	cs.dispatcher.View(func(now time.Time, p scheduler.Policy) {
		if c, ok := p.(promptCounter); ok {
			apply(now, c, e.ID)
		}
	})
}

// promptCounter is a policy that counts the pending prefill tokens of engines.
type promptCounter interface {
	PromptSent(now time.Time, endpoint string, tokens int)
	PromptPrefilled(now time.Time, endpoint string, tokens int)
}

// NoticeAddresses returns the addresses at which live peers receive prompt notices, by data
// centre.
func (cs *ClusterState) NoticeAddresses(now time.Time) map[string][]netip.AddrPort {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	addresses := map[string][]netip.AddrPort{}
	for _, m := range cs.view.Members(now) {
		address, err := netip.ParseAddrPort(m.Record.GetNoticeAddress())
		if err != nil || m.Status != membership.Alive {
			// The peer receives no notices, or may have terminated.
			continue
		}
		addresses[m.DataCenter] = append(addresses[m.DataCenter], address)
	}
	return addresses
}

// Assigned reports whether this entry is among the count live entries of its data centre that are
// assigned to a task by rendezvous hashing of its name.
func (cs *ClusterState) Assigned(now time.Time, name string, count int) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.view.Assigned(now, name, count)
}

// HigherRankedWatchers counts the live entries of the data centre that rank above this one for a
// job on the platform's store, and those of them that are active: their last heartbeat is more
// recent than maxAge, and their record does not mark the store as unreachable.
func (cs *ClusterState) HigherRankedWatchers(now time.Time, job string, maxAge time.Duration) (all, active int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.view.HigherRanked(now, job, func(m membership.Member) bool {
		return m.Age < maxAge && !m.Record.GetStoreLost()
	})
}

// LocalSize returns the number of live entries of the data centre, including this one.
func (cs *ClusterState) LocalSize(now time.Time) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.view.LocalSize(now)
}

// refreshHomes recomputes which endpoints this entry is a home entry of, at most once per
// homeRefreshInterval or after a new fleet list, and passes the result to the scheduler.
func (cs *ClusterState) refreshHomes(now time.Time) {
	if cs.list == nil || now.Sub(cs.homesUpdatedAt) < homeRefreshInterval {
		return
	}
	cs.homesUpdatedAt = now
	ranking := cs.view.Ranking(now)
	clear(cs.homeEndpoints)
	cs.dispatcher.View(func(_ time.Time, p scheduler.Policy) {
		h, ok := p.(homeEntrySetter)
		for _, e := range cs.list.Endpoints {
			homeEntries := cs.homeEntryCount(&e, ranking)
			if homeEntries > 0 {
				cs.homeEndpoints[e.ID] = true
			}
			if ok {
				h.SetHomeEntries(e.ID, homeEntries)
			}
		}
	})
}

// homeEntryCount returns the number of home entries of an endpoint, or zero if this entry is not one
// of them. All entries of the data centre are home entries of a plain service.
func (cs *ClusterState) homeEntryCount(e *fleet.Endpoint, ranking membership.Ranking) int {
	if e.DataCenter != cs.view.Self().GetDataCenter() {
		return 0
	}
	if e.Type == fleet.Service {
		return ranking.Size()
	}
	if !ranking.Assigned(e.ID, cs.maxHomeEntries) {
		return 0
	}
	return min(ranking.Size(), cs.maxHomeEntries)
}
