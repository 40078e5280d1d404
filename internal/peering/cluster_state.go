package peering

import (
	"maps"
	"sync"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/contain"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/limits"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// usageTracker is a policy that counts requests against the limits of the table.
type usageTracker interface {
	InFlight() *limits.Counter
	Queued() *limits.Counter
}

// Sources of leaves and limit reports. For those received from a peer the source is the ID of
// its VM, which SourceLabel maps to "peer".
const (
	SourceFleet    = "fleet"
	SourceEndpoint = "endpoint"
	sourcePeer     = "peer"
)

// SourceLabel maps a source to a label of bounded cardinality for metrics and logs: all peers
// share one label.
func SourceLabel(source string) string {
	if source == SourceFleet || source == SourceEndpoint {
		return source
	}
	return sourcePeer
}

// ClusterState is an entry's view of its peers and of the endpoints. It passes fleet lists, load
// reports, leaves and limits to the scheduler, and maintains the entry's own record for gossip.
// It is safe for concurrent use.
type ClusterState struct {
	mu     sync.Mutex
	view   *membership.View
	drains *drain.Set
	// announcedLeaves are the leaves in the entry's own record, by endpoint ID.
	announcedLeaves map[string]drain.Leave
	list            *fleet.List
	// indexByHash maps an InstanceHash to an index in list.Endpoints.
	indexByHash map[uint32]int32
	// homeEndpoints are the IDs of the endpoints that this entry is a home entry of.
	homeEndpoints map[string]bool
	// reports are the latest load reports of polled home engines, by endpoint ID.
	reports map[string]scheduler.Report
	// polledAt is when this entry last polled the engine of each report.
	polledAt       map[string]time.Time
	reportsChanged bool
	// peersWithUsage are the VM IDs of peers whose usage counts against the limits.
	peersWithUsage   map[string]bool
	homesUpdatedAt   time.Time
	payloadUpdatedAt time.Time
	nodeState        peerv1.NodeState
	storeLost        bool
	// unreachableTargets and takesDelegated are published in the own record; see delegation.go.
	unreachableTargets []uint32
	takesDelegated     bool
	dispatcher         *dispatch.Dispatcher
	// maxHomeEntries is the maximum number of home entries of an engine.
	maxHomeEntries int
	// payloadInterval is the minimum time between updates of the loads and usage in the own
	// record, which change constantly. Other fields are updated with every heartbeat.
	payloadInterval  time.Duration
	idlePollInterval time.Duration
	onLeave          func(drain.Leave, string)
	guard            *contain.Guard
	// limitsVersion is the version of the limits in the own record.
	limitsVersion uint64
	onLimitChange func(c backpressure.Change, source string)
}

// NewClusterState returns the state of an entry without known peers. homeEntries is the maximum
// number of home entries of an engine. onLeave is called with each new leave and its source.
func NewClusterState(view *membership.View, d *dispatch.Dispatcher, homeEntries int, onLeave func(drain.Leave, string)) *ClusterState {
	cs := &ClusterState{
		view:             view,
		drains:           drain.New(),
		announcedLeaves:  map[string]drain.Leave{},
		homeEndpoints:    map[string]bool{},
		reports:          map[string]scheduler.Report{},
		polledAt:         map[string]time.Time{},
		peersWithUsage:   map[string]bool{},
		nodeState:        peerv1.NodeState_NODE_STATE_LIVE,
		dispatcher:       d,
		maxHomeEntries:   homeEntries,
		payloadInterval:  DefaultPayloadInterval,
		idlePollInterval: DefaultIdlePollInterval,
		onLeave:          onLeave,
		guard:            contain.New(),
	}
	cs.guard.OnIsolationChange(cs.updateIsolatedRequests)
	return cs
}

// updateIsolatedRequests passes to the scheduler the requests that need an endpoint of their own
// while their crashes are attributed.
func (cs *ClusterState) updateIsolatedRequests() {
	requests := cs.guard.IsolatedRequests()
	cs.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { s.SetIsolatedRequests(requests) })
}

// Guard returns the quarantine of requests that crash the endpoints they run on.
func (cs *ClusterState) Guard() *contain.Guard { return cs.guard }

// ApplyFleet replaces the fleet list. It drops reports and announced leaves of instances that
// are no longer listed.
func (cs *ClusterState) ApplyFleet(list *fleet.List) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.list = list
	cs.indexByHash = make(map[uint32]int32, len(list.Endpoints))
	for i, e := range list.Endpoints {
		cs.indexByHash[InstanceHash(e.Instance())] = int32(i)
	}
	cs.homesUpdatedAt = time.Time{}
	cs.drains.Prune(clock.Now(), func(id string) bool { _, ok := list.Endpoint(id); return ok })
	for _, e := range list.Endpoints {
		cs.drains.SetListed(e.ID, e.Incarnation)
		if e.State == fleet.Leaving {
			cs.addLeave(drain.Leave{Endpoint: e.ID, Incarnation: e.Incarnation}, SourceFleet)
		}
	}
	maps.DeleteFunc(cs.announcedLeaves, func(id string, l drain.Leave) bool {
		e, listed := list.Endpoint(id)
		listedAsLeaving := e.State == fleet.Leaving && e.Incarnation == l.Incarnation
		return !listed || listedAsLeaving || !cs.drains.Contains(l)
	})
	for id, r := range cs.reports {
		if e, listed := list.Endpoint(id); !listed || e.Instance() != r.Instance() {
			cs.dropReport(id)
		}
	}
	cs.view.SetSeeds(contacts(list))
	cs.dispatcher.Update(func(now time.Time, p scheduler.Policy) {
		p.SetEndpoints(now, list.Endpoints)
		// Must precede the next dispatch: the leave of an instance may be received before the
		// list shows the instance.
		cs.setLeaving(p)
		if l, ok := p.(usageTracker); ok {
			l.InFlight().SetEntryCount(len(list.Entries()))
			l.Queued().SetEntryCount(len(list.Entries()))
		}
	})
}

// contacts returns the entries on a fleet list as gossip contacts.
func contacts(list *fleet.List) []membership.Contact {
	var peers []membership.Contact
	for _, vm := range list.Entries() {
		peers = append(peers, membership.Contact{VM: vm.ID, DataCenter: vm.DataCenter, Address: vm.Peer})
	}
	return peers
}

// RecordLeave records that an incarnation of an endpoint takes no new work, and announces it to
// peers.
func (cs *ClusterState) RecordLeave(l drain.Leave, source string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.addLeave(l, source) {
		cs.announceLeave(l)
		cs.applyLeaves()
	}
}

// announceLeave adds a leave to the own record. Only an entry that received the leave from the
// endpoint itself or from another data centre announces it: all entries see the leaves on the
// fleet list, and a record reaches all entries of its data centre. If each entry announced every
// leave, each leave would change the records of all entries: 22 leaves on the list of 100
// entries caused 2,200 record changes (TestListedLeavesChangeNoRecord).
func (cs *ClusterState) announceLeave(l drain.Leave) { cs.announcedLeaves[l.Endpoint] = l }

func (cs *ClusterState) addLeave(l drain.Leave, source string) bool {
	if !cs.drains.Add(l) {
		return false
	}
	if cs.list != nil {
		if _, listed := cs.list.Endpoint(l.Endpoint); !listed {
			// A peer still announces the leave of an endpoint that is no longer listed.
			return false
		}
	}
	cs.onLeave(l, source)
	return true
}

func (cs *ClusterState) applyLeaves() {
	if cs.list == nil {
		return
	}
	cs.dispatcher.Update(func(_ time.Time, p scheduler.Policy) { cs.setLeaving(p) })
}

func (cs *ClusterState) setLeaving(p scheduler.Policy) {
	for _, e := range cs.list.Endpoints {
		p.SetLeaving(e.ID, cs.drains.Leaving(e.ID, e.Incarnation))
	}
}

// SetNodeState sets the node state published in the own record.
func (cs *ClusterState) SetNodeState(s peerv1.NodeState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.nodeState = s
}

// SetStoreLost sets whether the own record marks the platform's store as unreachable from this
// entry.
func (cs *ClusterState) SetStoreLost(lost bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.storeLost = lost
}

// Heartbeat refreshes the own record with the given inherited incarnations, expires stale peers
// and facts, and passes changed membership to the scheduler. It is called periodically.
func (cs *ClusterState) Heartbeat(now time.Time, inherited [][]byte) {
	cs.guard.Expire(now)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	payloadDue := now.Sub(cs.payloadUpdatedAt) >= cs.payloadInterval
	if payloadDue {
		cs.payloadUpdatedAt = now
	}
	cs.view.Heartbeat(func(r *peerv1.NodeRecord) {
		r.State = cs.nodeState
		r.StoreLost = cs.storeLost
		r.UnreachableTargets, r.TakesDelegated = cs.unreachableTargets, cs.takesDelegated
		r.Inherited = inherited
		r.Leaves = encodeLeaves(cs.announcedLeaves)
		cs.publishLimits(now, r)
		if payloadDue {
			cs.setPayload(now, r)
		}
	})
	cs.view.Expire(now)
	cs.applyMembership(now)
	cs.refreshHomes(now)
}

// DefaultPayloadInterval is the default minimum time between updates of the loads and usage in
// the own record.
const DefaultPayloadInterval = 2 * time.Second

// SetPayloadInterval overrides DefaultPayloadInterval.
func (cs *ClusterState) SetPayloadInterval(d time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.payloadInterval = d
}

func (cs *ClusterState) setPayload(now time.Time, r *peerv1.NodeRecord) {
	if cs.reportsChanged {
		// Unchanged reports keep their encoded ages, so that the record does not change.
		r.Loads = encodeLoads(now, cs.reports)
		cs.reportsChanged = false
	}
	cs.dispatcher.View(func(_ time.Time, p scheduler.Policy) {
		if l, ok := p.(usageTracker); ok {
			encodeUsage(r, l.InFlight().PublishedUsage(), l.Queued().PublishedUsage())
		}
	})
}

// rankAmong returns the zero-based rank of an entry by VM ID among itself and the members whose
// status is included, and the number of these entries.
func rankAmong(self string, members []membership.Member, include func(membership.Status) bool) (rank, entries int) {
	entries = 1
	for _, m := range members {
		if !include(m.Status) {
			continue
		}
		entries++
		if m.VM < self {
			rank++
		}
	}
	return rank, entries
}

func isAlive(s membership.Status) bool { return s == membership.Alive }

// mayServe reports whether a member may be serving callers, even if it is unreachable: during a
// network partition the two sides together must not exceed the limit of a cold endpoint.
func mayServe(s membership.Status) bool { return s != membership.Left }

// applyMembership drops the usage of members that are neither alive nor suspect, and passes the
// entry's rank among its peers to the guard and the scheduler.
func (cs *ClusterState) applyMembership(now time.Time) {
	aliveOrSuspect := map[string]bool{}
	uncertain := false
	members := cs.view.Members(now)
	for _, m := range members {
		uncertain = uncertain || m.Status == membership.Suspect && cs.peersWithUsage[m.VM]
		if m.Status == membership.Alive || m.Status == membership.Suspect {
			aliveOrSuspect[m.VM] = true
		}
	}
	cs.setUsageUncertain(uncertain)
	self := cs.view.Self()
	cs.guard.SetRank(rankAmong(self.GetVm(), members, isAlive))
	cs.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) {
		s.SetRank(rankAmong(self.GetVm(), members, mayServe))
		s.Backpressure().SetRank(backpressureRank(self, members))
	})
	for vm := range cs.peersWithUsage {
		if !aliveOrSuspect[vm] {
			delete(cs.peersWithUsage, vm)
			cs.dispatcher.Update(func(_ time.Time, p scheduler.Policy) { clearPeerUsage(p, vm) })
		}
	}
}

// setUsageUncertain sets whether the usage of a peer is uncertain because the peer is suspect.
func (cs *ClusterState) setUsageUncertain(uncertain bool) {
	cs.dispatcher.View(func(_ time.Time, p scheduler.Policy) {
		if l, ok := p.(usageTracker); ok {
			l.InFlight().SetUncertain(uncertain)
			l.Queued().SetUncertain(uncertain)
		}
	})
}

func clearPeerUsage(p scheduler.Policy, vm string) {
	if l, ok := p.(usageTracker); ok {
		l.InFlight().SetPeerUsage(vm, nil)
		l.Queued().SetPeerUsage(vm, nil)
	}
}

// Merge merges records received from a peer and applies those that are new or newer.
func (cs *ClusterState) Merge(now time.Time, records []*peerv1.NodeRecord) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	leavesAdded := false
	for _, r := range cs.view.Merge(now, records) {
		for _, l := range r.GetLeaves() {
			leave := drain.Leave{Endpoint: l.GetEndpoint(), Incarnation: l.GetIncarnation()}
			if !cs.addLeave(leave, r.GetVm()) {
				continue
			}
			leavesAdded = true
			if r.GetDataCenter() != cs.view.Self().GetDataCenter() {
				cs.announceLeave(leave)
			}
		}
		cs.applyPeerLimits(now, r)
		cs.applyRecord(now, r)
	}
	if leavesAdded {
		cs.applyLeaves()
	}
}

func (cs *ClusterState) applyRecord(now time.Time, r *peerv1.NodeRecord) {
	cs.peersWithUsage[r.GetVm()] = true
	cs.dispatcher.Update(func(_ time.Time, p scheduler.Policy) {
		cs.applyLoads(now, p, r.GetLoads())
		if l, ok := p.(usageTracker); ok {
			inFlight, queued := decodeUsage(r)
			l.InFlight().SetPeerUsage(r.GetVm(), inFlight)
			l.Queued().SetPeerUsage(r.GetVm(), queued)
		}
	})
}

// WithView calls fn with the membership view while holding the lock.
func (cs *ClusterState) WithView(fn func(*membership.View)) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	fn(cs.view)
}

// IsLeaving reports whether a leave of this incarnation of the endpoint is recorded.
func (cs *ClusterState) IsLeaving(e fleet.Endpoint) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.drains.Leaving(e.ID, e.Incarnation)
}

// LatestInstance returns the endpoint with its latest known incarnation.
func (cs *ClusterState) LatestInstance(e fleet.Endpoint) fleet.Endpoint {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if incarnation, known := cs.drains.Latest(e.ID); known {
		e.Incarnation = incarnation
	}
	return e
}

// Leaves returns all recorded leaves.
func (cs *ClusterState) Leaves() []drain.Leave {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.drains.All()
}
