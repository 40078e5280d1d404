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

// limited is a policy that counts against the table's limits.
type limited interface {
	InFlight() *limits.Counter
	Queued() *limits.Counter
}

// Sources of news of leaving endpoints. A peer's news has its VM as the source.
const (
	SourceFleet    = "fleet"
	SourceEndpoint = "endpoint"
	sourcePeer     = "peer"
)

// SourceLabel bounds the sources for metrics and logs: all peers count as one.
func SourceLabel(source string) string {
	if source == SourceFleet || source == SourceEndpoint {
		return source
	}
	return sourcePeer
}

// Beliefs is what an entry knows of the others and of the endpoints. It feeds
// the scheduler. It is safe for concurrent use.
type Beliefs struct {
	mu     sync.Mutex
	view   *membership.View
	drains *drain.Set
	// told are the leaves in the own record, by endpoint.
	told map[string]drain.Leave
	list *fleet.List
	// byHash are places in the list.
	byHash  map[uint32]int32
	homes   map[string]bool
	reports map[string]scheduler.Report
	// readAt is when this entry has read the engines that it has reports of.
	readAt     map[string]time.Time
	newReports bool
	counted    map[string]bool
	homesAt    time.Time
	payloadAt  time.Time
	state      peerv1.NodeState
	storeLost  bool
	dispatcher *dispatch.Dispatcher
	// homeEntries is among how many entries an engine is split.
	homeEntries int
	// payloadEvery is how often what changes all the time is told to peers: fills
	// and usage. The rest of the record is told at once.
	payloadEvery  time.Duration
	idleReadEvery time.Duration
	onLeave       func(drain.Leave, string)
	guard         *contain.Guard
	// limitsVersion is that of the limits in the own record.
	limitsVersion uint64
	onLimit       func(c backpressure.Change, source string)
}

// NewBeliefs makes the beliefs of a node that knows only itself. homeEntries is
// among how many entries of its data centre an engine is split. onLeave is told of
// each leave that was news, and where it came from.
func NewBeliefs(view *membership.View, d *dispatch.Dispatcher, homeEntries int, onLeave func(drain.Leave, string)) *Beliefs {
	b := &Beliefs{
		view:          view,
		drains:        drain.New(),
		told:          map[string]drain.Leave{},
		homes:         map[string]bool{},
		reports:       map[string]scheduler.Report{},
		readAt:        map[string]time.Time{},
		counted:       map[string]bool{},
		state:         peerv1.NodeState_NODE_STATE_LIVE,
		dispatcher:    d,
		homeEntries:   homeEntries,
		payloadEvery:  PayloadEvery,
		idleReadEvery: IdleReadEvery,
		onLeave:       onLeave,
		guard:         contain.New(),
	}
	b.guard.OnIsolationChange(b.keepApart)
	return b
}

// keepApart tells the scheduler which requests are to be kept apart.
func (b *Beliefs) keepApart() {
	requests := b.guard.IsolatedRequests()
	b.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { s.SetIsolatedRequests(requests) })
}

// Guard holds what the entries know of requests that crash what runs them.
func (b *Beliefs) Guard() *contain.Guard { return b.guard }

// ApplyFleet takes a new fleet list.
func (b *Beliefs) ApplyFleet(list *fleet.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = list
	b.byHash = make(map[uint32]int32, len(list.Endpoints))
	for i, e := range list.Endpoints {
		b.byHash[LifeHash(e.Instance())] = int32(i)
	}
	b.homesAt = time.Time{}
	b.drains.Prune(clock.Now(), func(id string) bool { _, ok := list.Endpoint(id); return ok })
	for _, e := range list.Endpoints {
		b.drains.SetListed(e.ID, e.Incarnation)
		if e.State == fleet.Leaving {
			b.learn(drain.Leave{Endpoint: e.ID, Incarnation: e.Incarnation}, SourceFleet)
		}
	}
	maps.DeleteFunc(b.told, func(id string, l drain.Leave) bool {
		e, listed := list.Endpoint(id)
		byList := e.State == fleet.Leaving && e.Incarnation == l.Incarnation
		return !listed || byList || !b.drains.Contains(l)
	})
	for id, r := range b.reports {
		if e, listed := list.Endpoint(id); !listed || e.Instance() != r.Instance() {
			b.forgetReport(id)
		}
	}
	b.view.Seed(contacts(list))
	b.dispatcher.Update(func(now time.Time, p scheduler.Policy) {
		p.SetEndpoints(now, list.Endpoints)
		// Before anything is sent: a life may be known to leave before it is listed.
		b.setLeaving(p)
		if l, ok := p.(limited); ok {
			l.InFlight().SetEntryCount(len(list.Entries()))
			l.Queued().SetEntryCount(len(list.Entries()))
		}
	})
}

func contacts(list *fleet.List) []membership.Contact {
	var out []membership.Contact
	for _, vm := range list.Entries() {
		out = append(out, membership.Contact{VM: vm.ID, DataCenter: vm.DataCenter, Address: vm.Peer})
	}
	return out
}

// Leave records that an incarnation of an endpoint takes no new work.
func (b *Beliefs) Leave(l drain.Leave, source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.learn(l, source) {
		b.tell(l)
		b.applyLeaving()
	}
}

// tell puts a leave into the own record. Only who has seen it at the endpoint, or heard
// of it from another data centre, tells it on: the list of endpoints tells its leaves
// itself, and the records of a data centre reach all of it. If each entry told what it
// knows, each leave would change the records of all. 100 entries that learn from the list
// of 22 leaves one after the other changed their records 2,200 times, now never
// (TestLeavesOfTheListChangeNoRecord).
func (b *Beliefs) tell(l drain.Leave) { b.told[l.Endpoint] = l }

func (b *Beliefs) learn(l drain.Leave, source string) bool {
	if !b.drains.Add(l) {
		return false
	}
	if b.list != nil {
		if _, listed := b.list.Endpoint(l.Endpoint); !listed {
			// A peer still tells of one that has gone.
			return false
		}
	}
	b.onLeave(l, source)
	return true
}

func (b *Beliefs) applyLeaving() {
	if b.list == nil {
		return
	}
	b.dispatcher.Update(func(_ time.Time, p scheduler.Policy) { b.setLeaving(p) })
}

func (b *Beliefs) setLeaving(p scheduler.Policy) {
	for _, e := range b.list.Endpoints {
		p.SetLeaving(e.ID, b.drains.Leaving(e.ID, e.Incarnation))
	}
}

// SetState changes what the entry declares of itself.
func (b *Beliefs) SetState(s peerv1.NodeState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = s
}

// SetStoreLost changes whether the entry declares that it hears nothing from the platform's store.
func (b *Beliefs) SetStoreLost(lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeLost = lost
}

// Beat renews the entry's own record.
func (b *Beliefs) Beat(now time.Time, inherited [][]byte) {
	b.guard.Expire(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := now.Sub(b.payloadAt) >= b.payloadEvery
	if changed {
		b.payloadAt = now
	}
	b.view.Beat(func(r *peerv1.NodeRecord) {
		r.State = b.state
		r.StoreLost = b.storeLost
		r.Inherited = inherited
		r.Leaves = leavesOut(b.told)
		b.tellLimits(now, r)
		if changed {
			b.setPayload(now, r)
		}
	})
	b.view.Forget(now)
	b.applyMembers(now)
	b.renewHomes(now)
}

// PayloadEvery is how often what changes all the time is told to peers by
// default.
const PayloadEvery = 2 * time.Second

// SetPayloadEvery sets another interval than PayloadEvery.
func (b *Beliefs) SetPayloadEvery(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.payloadEvery = d
}

func (b *Beliefs) setPayload(now time.Time, r *peerv1.NodeRecord) {
	if b.newReports {
		// Without news the record stays as it is, ages included.
		r.Loads = loadsOut(now, b.reports)
		b.newReports = false
	}
	b.dispatcher.View(func(_ time.Time, p scheduler.Policy) {
		if l, ok := p.(limited); ok {
			setUsage(r, l.InFlight().PublishedUsage(), l.Queued().PublishedUsage())
		}
	})
}

// placeAmong is the place of an entry among itself and the members that count, in the order
// of their names, from zero, and how many they are.
func placeAmong(self string, members []membership.Member, counts func(membership.Status) bool) (rank, entries int) {
	entries = 1
	for _, m := range members {
		if !counts(m.Status) {
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

// mayServe says that a member which can't be reached may serve callers all the same: the two
// sides of a cut together must not send a cold endpoint more than it bears.
func mayServe(s membership.Status) bool { return s != membership.Left }

// applyMembers drops the work of members that are dead or gone, and tells the guard and the
// scheduler the entry's place among the others.
func (b *Beliefs) applyMembers(now time.Time) {
	live := map[string]bool{}
	doubt := false
	members := b.view.Members(now)
	for _, m := range members {
		doubt = doubt || m.Status == membership.Suspect && b.counted[m.VM]
		if m.Status == membership.Alive || m.Status == membership.Suspect {
			live[m.VM] = true
		}
	}
	b.setDoubt(doubt)
	self := b.view.Self()
	b.guard.SetRank(placeAmong(self.GetVm(), members, isAlive))
	b.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) {
		s.SetRank(placeAmong(self.GetVm(), members, mayServe))
		s.Backpressure().SetPosition(backpressurePlace(self, members))
	})
	for vm := range b.counted {
		if !live[vm] {
			delete(b.counted, vm)
			b.dispatcher.Update(func(_ time.Time, p scheduler.Policy) { forgetPeer(p, vm) })
		}
	}
}

// setDoubt tells the limits whether the use of a counted member is in doubt.
func (b *Beliefs) setDoubt(doubt bool) {
	b.dispatcher.View(func(_ time.Time, p scheduler.Policy) {
		if l, ok := p.(limited); ok {
			l.InFlight().SetUncertain(doubt)
			l.Queued().SetUncertain(doubt)
		}
	})
}

func forgetPeer(p scheduler.Policy, vm string) {
	if l, ok := p.(limited); ok {
		l.InFlight().SetPeerUsage(vm, nil)
		l.Queued().SetPeerUsage(vm, nil)
	}
}

// Merge takes records from a peer and applies those that are news.
func (b *Beliefs) Merge(now time.Time, records []*peerv1.NodeRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	leaves := false
	for _, r := range b.view.Merge(now, records) {
		for _, l := range r.GetLeaves() {
			leave := drain.Leave{Endpoint: l.GetEndpoint(), Incarnation: l.GetIncarnation()}
			if !b.learn(leave, r.GetVm()) {
				continue
			}
			leaves = true
			if r.GetDataCenter() != b.view.Self().GetDataCenter() {
				b.tell(leave)
			}
		}
		b.hearLimits(now, r)
		b.applyRecord(now, r)
	}
	if leaves {
		b.applyLeaving()
	}
}

func (b *Beliefs) applyRecord(now time.Time, r *peerv1.NodeRecord) {
	b.counted[r.GetVm()] = true
	b.dispatcher.Update(func(_ time.Time, p scheduler.Policy) {
		b.applyLoads(now, p, r.GetLoads())
		if l, ok := p.(limited); ok {
			inFlight, queued := usageOf(r)
			l.InFlight().SetPeerUsage(r.GetVm(), inFlight)
			l.Queued().SetPeerUsage(r.GetVm(), queued)
		}
	})
}

// View reads the membership view.
func (b *Beliefs) View(read func(*membership.View)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	read(b.view)
}

// Leaving reports whether an endpoint is known to take no new work.
func (b *Beliefs) Leaving(e fleet.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drains.Leaving(e.ID, e.Incarnation)
}

// Leaves lists the leaves known.
func (b *Beliefs) Leaves() []drain.Leave {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drains.All()
}
