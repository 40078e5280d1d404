package peering

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/window"
	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// Requests allowed at an endpoint that reports a limit: limitFactor times the limit within
// limitWindow plus limitSlack. The other constants are the times of the simulation.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettleTime is the time from the first limit that an endpoint reports until the requests
	// to it are checked, and reportSettleTime the time from the first limit that an entry receives
	// until its requests are counted.
	limitSettleTime  = 3 * time.Second
	reportSettleTime = 500 * time.Millisecond
	responseDelay    = 20 * time.Millisecond
	limitSimStep     = 20 * time.Millisecond
)

// limitSimEntry is an entry of a limitSim.
type limitSimEntry struct {
	vm        string
	state     *ClusterState
	scheduler *scheduler.Scheduler
	nextRound time.Time
	triggered bool
	// callerShare is its share of all callers' requests.
	callerShare     float64
	pendingRequests float64
	// limitReceivedAt is when it first received a response with a limit.
	limitReceivedAt time.Time
	stopped         bool
}

// limitSim simulates a fleet in virtual time that sends requests to plain services, some of which
// report limits.
type limitSim struct {
	random    *rand.Rand
	now       time.Time
	entries   []*limitSimEntry
	entryByVM map[string]*limitSimEntry
	lastID    int
	// limits are the limits that endpoints currently report, in requests per second.
	limits    map[string]float64
	arrivals  map[string][]limitSimArrival
	refused   int
	responses []limitSimResponse
}

type limitSimArrival struct {
	time time.Time
	from *limitSimEntry
}

// limitSimResponse is a response in transit.
type limitSimResponse struct {
	to                *limitSimEntry
	id                scheduler.ID
	endpoint          fleet.Endpoint
	sentAt, arrivesAt time.Time
	limit             backpressure.Limit
}

func newLimitSim(random *rand.Rand, size, dataCenters int, endpoints []fleet.Endpoint) *limitSim {
	s := &limitSim{
		random: random, now: time.Unix(1000, 0), entryByVM: map[string]*limitSimEntry{},
		limits: map[string]float64{}, arrivals: map[string][]limitSimArrival{},
	}
	var records []*peerv1.NodeRecord
	for i := range size {
		records = append(records, &peerv1.NodeRecord{
			Vm: fmt.Sprintf("vm-%03d", i), DataCenter: fmt.Sprintf("dc-%d", i%dataCenters), Version: 16, Epoch: 1, Incarnation: []byte{byte(i), byte(i >> 8)},
		})
	}
	list := (&fleet.List{}).WithEndpoints(endpoints)
	total := 0.0
	for i, r := range records {
		view := membership.New(membership.Config{
			VM: r.GetVm(), DataCenter: r.GetDataCenter(), Epoch: 1, Incarnation: r.GetIncarnation(), SmallFleetSize: 24, Random: random.Float64,
		})
		view.Merge(s.now, records)
		cfg := scheduler.Version(scheduler.ForwardingVersion)
		cfg.DataCenter = r.GetDataCenter()
		cfg.Rand = rand.New(rand.NewPCG(uint64(i), 7))
		e := &limitSimEntry{vm: r.GetVm(), scheduler: scheduler.New(cfg), callerShare: random.ExpFloat64() + 0.2}
		e.state = NewClusterState(view, dispatch.New(e.scheduler), DefaultHomeEntries, func(drain.Leave, string) {})
		e.state.OnLimitChange(func(_ backpressure.Change, source string) { e.triggered = e.triggered || source == SourceEndpoint })
		e.state.ApplyFleet(list)
		e.state.Heartbeat(s.now, nil)
		e.nextRound = s.now.Add(time.Duration(random.Int64N(int64(roundInterval))))
		total += e.callerShare
		s.entries = append(s.entries, e)
		s.entryByVM[e.vm] = e
	}
	for _, e := range s.entries {
		e.callerShare /= total
	}
	return s
}

// exchange has an entry reconcile with the peers that its membership view picks.
func (s *limitSim) exchange(e *limitSimEntry) {
	e.state.Heartbeat(s.now, nil)
	for _, c := range e.state.view.SelectPeers(s.now) {
		peer := s.entryByVM[c.VM]
		if peer.stopped {
			continue
		}
		scope := e.state.view.ScopeWith(c)
		digests := e.state.view.Digests(s.now, scope)
		peer.state.view.MergeHeartbeats(s.now, digests)
		a := peer.state.view.Respond(s.now, digests, scope)
		e.state.Merge(s.now, a.Records)
		e.state.view.MergeHeartbeats(s.now, a.Digests)
		peer.state.Merge(s.now, e.state.view.Records(a.Wanted))
	}
}

// run has callers send perSecond requests a second for a duration.
func (s *limitSim) run(duration time.Duration, perSecond float64) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(limitSimStep) {
		s.deliverResponses()
		for _, e := range s.entries {
			if e.stopped {
				continue
			}
			if regular := !s.now.Before(e.nextRound); regular || e.triggered {
				e.triggered = false
				if regular {
					e.nextRound = s.now.Add(roundInterval)
				}
				s.exchange(e)
			}
			s.send(e, perSecond)
		}
	}
}

func (s *limitSim) send(e *limitSimEntry, perSecond float64) {
	for e.pendingRequests += perSecond * e.callerShare * limitSimStep.Seconds() * 2 * s.random.Float64(); e.pendingRequests >= 1; e.pendingRequests-- {
		s.lastID++
		err := e.scheduler.Submit(s.now, scheduler.Request{
			ID: scheduler.ID(s.lastID), Kind: "plain", ArrivedAt: s.now,
			Row: table.Row{Target: "desk", Weight: 1, Priority: 3, MaxInFlight: 1000, MaxQueued: 1000, MaxQueueTime: time.Second, Timeout: time.Second},
		})
		if err != nil {
			s.refused++
		}
	}
	done := e.scheduler.Next(s.now)
	s.refused += len(done.Refusals)
	for _, d := range done.Dispatches {
		s.arrivals[d.Endpoint.ID] = append(s.arrivals[d.Endpoint.ID], limitSimArrival{s.now, e})
		response := limitSimResponse{to: e, id: d.ID, endpoint: d.Endpoint, sentAt: s.now, arrivesAt: s.now.Add(responseDelay)}
		if rate, throttled := s.limits[d.Endpoint.ID]; throttled {
			// The rate varies by up to 3% from response to response.
			response.limit = backpressure.Limit{Kind: backpressure.Limited, PerSecond: rate * (0.97 + 0.06*s.random.Float64())}
		}
		s.responses = append(s.responses, response)
	}
}

func (s *limitSim) deliverResponses() {
	var pending []limitSimResponse
	for _, response := range s.responses {
		if response.arrivesAt.After(s.now) {
			pending = append(pending, response)
			continue
		}
		report, _ := backpressure.NewLimitReport(response.endpoint.Instance(), response.limit, true, response.sentAt, s.now)
		response.to.state.ApplyLimitReport(s.now, report)
		if response.limit.Kind == backpressure.Limited && response.to.limitReceivedAt.IsZero() {
			response.to.limitReceivedAt = s.now
		}
		response.to.scheduler.Finish(s.now, response.id, scheduler.Result{Complete: true})
	}
	s.responses = pending
}

// stop has an entry announce that it has left, in one last exchange, and terminate.
func (s *limitSim) stop(e *limitSimEntry) {
	e.state.SetNodeState(peerv1.NodeState_NODE_STATE_LEFT)
	s.exchange(e)
	e.stopped = true
}

// TestLimitsHoldWhileMembershipChanges: entries are stopped one after the other while endpoints
// throttle. While a membership change spreads, entries disagree on who shares a limit, which must
// not lead to many more requests than the limit allows.
func TestLimitsHoldWhileMembershipChanges(t *testing.T) {
	for _, size := range []struct{ entries, dataCenters int }{{9, 3}, {66, 3}} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(size.entries, " entries, ", seed), func(t *testing.T) {
				g := NewWithT(t)
				var endpoints []fleet.Endpoint
				for i := range 3 {
					endpoints = append(endpoints, fleet.Endpoint{
						ID: fmt.Sprint("desk-", i), Incarnation: 1, Type: fleet.Service, State: fleet.Live, DataCenter: fmt.Sprint("dc-", i), Targets: []string{"desk"}, MaxRunning: 6,
					})
				}
				s := newLimitSim(rand.New(rand.NewPCG(seed, uint64(size.entries))), size.entries, size.dataCenters, endpoints)
				// Each entry receives more requests than its share of the limits.
				perSecond := 20 * float64(size.entries)
				const limit = 4.1
				for _, e := range endpoints {
					s.limits[e.ID] = limit
				}
				s.run(time.Second, perSecond)
				throttleStart := s.now
				for i := range min(size.entries-2, 20) {
					s.stop(s.entries[i])
					s.run(2*time.Second, perSecond)
				}
				for _, e := range endpoints {
					busiest := s.maxInWindow(e.ID, throttleStart.Add(limitSettleTime))
					t.Logf("%s: %d in %v", e.ID, busiest, limitWindow)
					g.Expect(busiest).To(BeNumerically("<=", limitFactor*limit*limitWindow.Seconds()+limitSlack), e.ID)
				}
			})
		}
	}
}

// maxInWindow returns the maximum number of requests to an endpoint within any limitWindow after
// start, counting entries that have received a limit.
func (s *limitSim) maxInWindow(endpoint string, start time.Time) int {
	var times []time.Time
	for _, a := range s.arrivals[endpoint] {
		if !a.time.Before(start) && !a.from.limitReceivedAt.IsZero() && !a.time.Before(a.from.limitReceivedAt.Add(reportSettleTime)) {
			times = append(times, a.time)
		}
	}
	return window.MaxCount(times, limitWindow)
}

func (s *limitSim) countSince(endpoint string, start time.Time) (n int) {
	for _, a := range s.arrivals[endpoint] {
		if !a.time.Before(start) {
			n++
		}
	}
	return n
}

// TestLimitsHoldAcrossFleet simulates fleets with unevenly distributed callers and three endpoints.
// One or all of them report a limit for ten seconds and then recover. Entries receive the limits in
// responses and from each other. The scheduler alone is tested in pkg/scheduler.
func TestLimitsHoldAcrossFleet(t *testing.T) {
	for _, size := range []struct {
		entries, dataCenters int
		limits               []float64
	}{{6, 3, []float64{0.4, 3.3, 12}}, {9, 3, []float64{0.4, 3.3, 12}}, {66, 3, []float64{0.4, 3.3, 12}}, {295, 5, []float64{3.3}}} {
		for _, limit := range size.limits {
			for _, all := range []bool{false, true} {
				t.Run(fmt.Sprint(size.entries, " entries, limit ", limit, ", all ", all), func(t *testing.T) {
					testThrottling(t, size.entries, size.dataCenters, limit, all)
				})
			}
		}
	}
}

func testThrottling(t *testing.T, entries, dataCenters int, limit float64, all bool) {
	g := NewWithT(t)
	var endpoints []fleet.Endpoint
	for i := range 3 {
		endpoints = append(endpoints, fleet.Endpoint{
			ID: fmt.Sprint("desk-", i), Incarnation: 1, Type: fleet.Service, State: fleet.Live, DataCenter: fmt.Sprint("dc-", i), Targets: []string{"desk"}, MaxRunning: 6,
		})
	}
	s := newLimitSim(rand.New(rand.NewPCG(uint64(entries), math.Float64bits(limit))), entries, dataCenters, endpoints)
	perSecond := float64(max(120, entries))
	const warmUp = 4 * time.Second
	start := s.now
	s.run(warmUp, perSecond)
	g.Expect(s.refused).To(BeZero())
	baseline := map[string]int{}
	for _, e := range endpoints {
		baseline[e.ID] = s.countSince(e.ID, start)
	}
	throttling := endpoints[:1]
	if all {
		throttling = endpoints
	}
	for _, e := range throttling {
		s.limits[e.ID] = limit
	}
	throttleStart := s.now
	const throttledFor = 10 * time.Second
	s.run(throttledFor, perSecond)
	for _, e := range throttling {
		busiest := s.maxInWindow(e.ID, throttleStart.Add(limitSettleTime))
		t.Logf("%s: %d in %v, limit %.1f a second; %d in the last 7 s", e.ID, busiest, limitWindow, limit, s.countSince(e.ID, throttleStart.Add(limitSettleTime)))
		g.Expect(busiest).To(BeNumerically("<=", limitFactor*limit*limitWindow.Seconds()+limitSlack), e.ID)
		if all {
			g.Expect(s.countSince(e.ID, throttleStart.Add(limitSettleTime))).To(BeNumerically(">=", 0.4*limit*(throttledFor-limitSettleTime).Seconds()-1), "the limit is used")
		}
	}
	if !all {
		g.Expect(s.refused).To(BeZero(), "the other endpoints have capacity")
	}
	clear(s.limits)
	s.run(8*time.Second, perSecond)
	recoveredAt := s.now
	s.run(warmUp, perSecond)
	for _, e := range throttling {
		g.Expect(s.countSince(e.ID, recoveredAt)).To(BeNumerically(">", baseline[e.ID]/2), "the endpoint is used as before")
	}
}

// TestLimitsAreReannouncedAcrossDataCenters checks that an entry announces limits received from
// another data centre to its own, but not those from its own data centre, which all peers there
// receive themselves.
func TestLimitsAreReannouncedAcrossDataCenters(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	for peerDC, want := range map[string]int{"annex": 1, "hall": 0} {
		cs := newTestState("entry-1", "hall")
		cs.ApplyFleet(listWithLeaving(0))
		cs.Heartbeat(now, nil)
		engine := fleet.Instance{Endpoint: "engine-00", Incarnation: 1}
		cs.Merge(now, []*peerv1.NodeRecord{{
			Vm: "entry-2", DataCenter: peerDC, Version: 1, Epoch: 1, Incarnation: []byte{2},
			Limits: []*peerv1.EndpointLimit{{Endpoint: InstanceHash(engine), PerSecond: 4, AgeMs: 300}, {Endpoint: 1, PerSecond: 4}, {Endpoint: InstanceHash(fleet.Instance{Endpoint: "engine-01", Incarnation: 1}), PerSecond: math.NaN()}},
		}})
		cs.Heartbeat(now, nil)
		announced := cs.view.Self().GetLimits()
		g.Expect(announced).To(HaveLen(want), peerDC)
		if want > 0 {
			g.Expect(announced[0].GetEndpoint()).To(Equal(InstanceHash(engine)))
			g.Expect(announced[0].GetAgeMs()).To(BeNumerically("==", 300))
		}
		version := cs.view.Self().GetVersion()
		cs.Heartbeat(now.Add(time.Second), nil)
		g.Expect(cs.view.Self().GetVersion()).To(Equal(version), "the record stays unchanged without changed limits")
	}
}

// TestDeadEntriesHaveNoShareOfRate: an endpoint accepts one request in two seconds, which three
// entries share. When the other two are dead or have left, the third sends at the full rate.
func TestDeadEntriesHaveNoShareOfRate(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	self := &peerv1.NodeRecord{Vm: "vm-1", DataCenter: "dc"}
	desk := fleet.Endpoint{ID: "desk", Incarnation: 1, DataCenter: "dc"}
	// countSent counts the requests that the third entry sends within a minute.
	countSent := func(peerStatus membership.Status) (n int) {
		s := backpressure.New()
		s.SetRank(backpressureRank(self, []membership.Member{
			{Contact: membership.Contact{VM: "vm-0", DataCenter: "dc"}, Status: peerStatus},
			{Contact: membership.Contact{VM: "vm-2", DataCenter: "dc"}, Status: peerStatus},
		}))
		s.Apply(now, backpressure.LimitReport{Instance: desk.Instance(), ReportedAt: now, Limit: backpressure.Limit{Kind: backpressure.Limited, PerSecond: 0.5}}, backpressure.FromSameDataCenter)
		for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += limitSimStep {
			if s.Accepts(now.Add(elapsed), desk) {
				s.RecordSent(now.Add(elapsed), desk)
				n++
			}
		}
		return n
	}
	g.Expect(countSent(membership.Suspect)).To(Equal(countSent(membership.Alive)))
	g.Expect(countSent(membership.Dead)).To(BeNumerically("~", 30, 1), "the full rate")
	g.Expect(countSent(membership.Left)).To(BeNumerically("~", 30, 1))
}
