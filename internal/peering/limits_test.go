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

// What an endpoint that names a limit allows, and the times of the play.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitCountsAfter is how long after an endpoint first named a limit it is kept, and
	// toldAfter how long after it was told an entry counts.
	limitCountsAfter = 3 * time.Second
	toldAfter        = 500 * time.Millisecond
	answersIn        = 20 * time.Millisecond
	limitStep        = 20 * time.Millisecond
)

// limitedEntry is an entry of a simulated fleet.
type limitedEntry struct {
	vm      string
	beliefs *Beliefs
	policy  *scheduler.Scheduler
	round   time.Time
	kicked  bool
	// weight is its share of the callers.
	weight float64
	owed   float64
	// told is when it first passed on an answer with a limit.
	told time.Time
	// gone says that it was stopped.
	gone bool
}

// limitedFleet is a fleet in virtual time in front of plain endpoints, some of which get into
// need.
type limitedFleet struct {
	random  *rand.Rand
	now     time.Time
	entries []*limitedEntry
	byName  map[string]*limitedEntry
	serial  int
	// limits are what endpoints name at present.
	limits   map[string]float64
	arrivals map[string][]limitedArrival
	refused  int
	answers  []limitedAnswer
}

type limitedArrival struct {
	at   time.Time
	from *limitedEntry
}

// limitedAnswer is an answer under way.
type limitedAnswer struct {
	to          *limitedEntry
	id          scheduler.ID
	of          fleet.Endpoint
	sent, comes time.Time
	limit       backpressure.Limit
}

func newLimitedFleet(random *rand.Rand, size, dataCenters int, endpoints []fleet.Endpoint) *limitedFleet {
	f := &limitedFleet{
		random: random, now: time.Unix(1000, 0), byName: map[string]*limitedEntry{},
		limits: map[string]float64{}, arrivals: map[string][]limitedArrival{},
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
			VM: r.GetVm(), DataCenter: r.GetDataCenter(), Epoch: 1, Incarnation: r.GetIncarnation(), SmallView: 24, Chance: random.Float64,
		})
		view.Merge(f.now, records)
		cfg := scheduler.Version(scheduler.ForwardingVersion)
		cfg.DataCenter = r.GetDataCenter()
		cfg.Rand = rand.New(rand.NewPCG(uint64(i), 7))
		e := &limitedEntry{vm: r.GetVm(), policy: scheduler.New(cfg), weight: random.ExpFloat64() + 0.2}
		e.beliefs = NewBeliefs(view, dispatch.New(e.policy), HomeEntries, func(drain.Leave, string) {})
		e.beliefs.OnLimit(func(_ backpressure.Change, source string) { e.kicked = e.kicked || source == SourceEndpoint })
		e.beliefs.ApplyFleet(list)
		e.beliefs.Beat(f.now, nil)
		e.round = f.now.Add(time.Duration(random.Int64N(int64(roundEvery))))
		total += e.weight
		f.entries = append(f.entries, e)
		f.byName[e.vm] = e
	}
	for _, e := range f.entries {
		e.weight /= total
	}
	return f
}

// exchange has an entry reconcile with those that its view picks.
func (f *limitedFleet) exchange(e *limitedEntry) {
	e.beliefs.Beat(f.now, nil)
	for _, c := range e.beliefs.view.Round(f.now) {
		peer := f.byName[c.VM]
		if peer.gone {
			continue
		}
		scope := e.beliefs.view.ScopeWith(c)
		theirs := e.beliefs.view.Digests(f.now, scope)
		peer.beliefs.view.Heard(f.now, theirs)
		a := peer.beliefs.view.Answer(f.now, theirs, scope)
		e.beliefs.Merge(f.now, a.Records)
		e.beliefs.view.Heard(f.now, a.Digests)
		peer.beliefs.Merge(f.now, e.beliefs.view.Records(a.Wanted))
	}
}

// play has callers send so many requests a second for a while.
func (f *limitedFleet) play(lasts time.Duration, perSecond float64) {
	for end := f.now.Add(lasts); f.now.Before(end); f.now = f.now.Add(limitStep) {
		f.answer()
		for _, e := range f.entries {
			if e.gone {
				continue
			}
			if regular := !f.now.Before(e.round); regular || e.kicked {
				e.kicked = false
				if regular {
					e.round = f.now.Add(roundEvery)
				}
				f.exchange(e)
			}
			f.send(e, perSecond)
		}
	}
}

func (f *limitedFleet) send(e *limitedEntry, perSecond float64) {
	for e.owed += perSecond * e.weight * limitStep.Seconds() * 2 * f.random.Float64(); e.owed >= 1; e.owed-- {
		f.serial++
		err := e.policy.Submit(f.now, scheduler.Request{
			ID: scheduler.ID(f.serial), Kind: "plain", ArrivedAt: f.now,
			Row: table.Row{Target: "desk", Weight: 1, Priority: 3, MaxInFlight: 1000, MaxQueued: 1000, MaxQueueTime: time.Second, Timeout: time.Second},
		})
		if err != nil {
			f.refused++
		}
	}
	done := e.policy.Next(f.now)
	f.refused += len(done.Refusals)
	for _, d := range done.Dispatches {
		f.arrivals[d.Endpoint.ID] = append(f.arrivals[d.Endpoint.ID], limitedArrival{f.now, e})
		answer := limitedAnswer{to: e, id: d.ID, of: d.Endpoint, sent: f.now, comes: f.now.Add(answersIn)}
		if n, named := f.limits[d.Endpoint.ID]; named {
			// The number changes a little with each answer.
			answer.limit = backpressure.Limit{Kind: backpressure.Limited, PerSecond: n * (0.97 + 0.06*f.random.Float64())}
		}
		f.answers = append(f.answers, answer)
	}
}

func (f *limitedFleet) answer() {
	var later []limitedAnswer
	for _, a := range f.answers {
		if a.comes.After(f.now) {
			later = append(later, a)
			continue
		}
		st, _ := backpressure.NewLimitReport(a.of.Instance(), a.limit, true, a.sent, f.now)
		a.to.beliefs.HearLimit(f.now, st)
		if a.limit.Kind == backpressure.Limited && a.to.told.IsZero() {
			a.to.told = f.now
		}
		a.to.policy.Finish(f.now, a.id, scheduler.Result{Complete: true})
	}
	f.answers = later
}

// stop has an entry tell two others that it leaves, and end.
func (f *limitedFleet) stop(e *limitedEntry) {
	e.beliefs.SetState(peerv1.NodeState_NODE_STATE_LEFT)
	f.exchange(e)
	e.gone = true
}

// TestAFleetKeepsLimitsWhileItsMembersChange: while endpoints throttle, entries are stopped
// one after the other, and the news of it takes its time. Those who have it and those who don't
// must agree, but for a few, on who shares a limit.
func TestAFleetKeepsLimitsWhileItsMembersChange(t *testing.T) {
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
				f := newLimitedFleet(rand.New(rand.NewPCG(seed, uint64(size.entries))), size.entries, size.dataCenters, endpoints)
				// Each entry has more callers than it may send.
				perSecond := 20 * float64(size.entries)
				const limit = 4.1
				for _, e := range endpoints {
					f.limits[e.ID] = limit
				}
				f.play(time.Second, perSecond)
				first := f.now
				for i := range min(size.entries-2, 20) {
					f.stop(f.entries[i])
					f.play(2*time.Second, perSecond)
				}
				for _, e := range endpoints {
					most := f.most(e.ID, first.Add(limitCountsAfter))
					t.Logf("%s: %d in %v", e.ID, most, limitWindow)
					g.Expect(most).To(BeNumerically("<=", limitFactor*limit*limitWindow.Seconds()+limitSlack), e.ID)
				}
			})
		}
	}
}

// most counts the requests of told entries to an endpoint in the fullest window after since.
func (f *limitedFleet) most(endpoint string, since time.Time) int {
	var counted []time.Time
	for _, a := range f.arrivals[endpoint] {
		if !a.at.Before(since) && !a.from.told.IsZero() && !a.at.Before(a.from.told.Add(toldAfter)) {
			counted = append(counted, a.at)
		}
	}
	return window.MaxCount(counted, limitWindow)
}

func (f *limitedFleet) since(endpoint string, since time.Time) (n int) {
	for _, a := range f.arrivals[endpoint] {
		if !a.at.Before(since) {
			n++
		}
	}
	return n
}

// TestAFleetKeepsTheLimitsOfEndpoints plays fleets whose callers come unevenly before three
// endpoints. One or all get into need, name a limit for ten seconds, and are well again. The
// story stands in pkg/scheduler, at TestLimitedEndpointsGetWhatTheyTake; here entries hear of
// limits from their own answers and from each other.
func TestAFleetKeepsTheLimitsOfEndpoints(t *testing.T) {
	for _, size := range []struct {
		entries, dataCenters int
		limits               []float64
	}{{6, 3, []float64{0.4, 3.3, 12}}, {9, 3, []float64{0.4, 3.3, 12}}, {66, 3, []float64{0.4, 3.3, 12}}, {295, 5, []float64{3.3}}} {
		for _, limit := range size.limits {
			for _, all := range []bool{false, true} {
				t.Run(fmt.Sprint(size.entries, " entries, limit ", limit, ", all ", all), func(t *testing.T) {
					playNeed(t, size.entries, size.dataCenters, limit, all)
				})
			}
		}
	}
}

func playNeed(t *testing.T, entries, dataCenters int, limit float64, all bool) {
	g := NewWithT(t)
	var endpoints []fleet.Endpoint
	for i := range 3 {
		endpoints = append(endpoints, fleet.Endpoint{
			ID: fmt.Sprint("desk-", i), Incarnation: 1, Type: fleet.Service, State: fleet.Live, DataCenter: fmt.Sprint("dc-", i), Targets: []string{"desk"}, MaxRunning: 6,
		})
	}
	f := newLimitedFleet(rand.New(rand.NewPCG(uint64(entries), math.Float64bits(limit))), entries, dataCenters, endpoints)
	perSecond := float64(max(120, entries))
	const before = 4 * time.Second
	begin := f.now
	f.play(before, perSecond)
	g.Expect(f.refused).To(BeZero())
	usual := map[string]int{}
	for _, e := range endpoints {
		usual[e.ID] = f.since(e.ID, begin)
	}
	throttling := endpoints[:1]
	if all {
		throttling = endpoints
	}
	for _, e := range throttling {
		f.limits[e.ID] = limit
	}
	first := f.now
	const need = 10 * time.Second
	f.play(need, perSecond)
	for _, e := range throttling {
		most := f.most(e.ID, first.Add(limitCountsAfter))
		t.Logf("%s: %d in %v, named %.1f a second; %d in the last 7 s", e.ID, most, limitWindow, limit, f.since(e.ID, first.Add(limitCountsAfter)))
		g.Expect(most).To(BeNumerically("<=", limitFactor*limit*limitWindow.Seconds()+limitSlack), e.ID)
		if all {
			g.Expect(f.since(e.ID, first.Add(limitCountsAfter))).To(BeNumerically(">=", 0.4*limit*(need-limitCountsAfter).Seconds()-1), "the room is used")
		}
	}
	if !all {
		g.Expect(f.refused).To(BeZero(), "others have room")
	}
	clear(f.limits)
	f.play(8*time.Second, perSecond)
	again := f.now
	f.play(before, perSecond)
	for _, e := range throttling {
		g.Expect(f.since(e.ID, again)).To(BeNumerically(">", usual[e.ID]/2), "it is used as before")
	}
}

// TestLimitsAreToldOnBetweenDataCenters: what an entry hears from another data centre it tells
// the others here; what it hears from one here they hear as well.
func TestLimitsAreToldOnBetweenDataCenters(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	for teller, want := range map[string]int{"there": 1, "here": 0} {
		b := beliefsOf("entry-1", "here")
		b.ApplyFleet(listed(0))
		b.Beat(now, nil)
		engine := fleet.Instance{Endpoint: "engine-00", Incarnation: 1}
		b.Merge(now, []*peerv1.NodeRecord{{
			Vm: "entry-2", DataCenter: teller, Version: 1, Epoch: 1, Incarnation: []byte{2},
			Limits: []*peerv1.EndpointLimit{{Endpoint: LifeHash(engine), PerSecond: 4, AgeMs: 300}, {Endpoint: 1, PerSecond: 4}, {Endpoint: LifeHash(fleet.Instance{Endpoint: "engine-01", Incarnation: 1}), PerSecond: math.NaN()}},
		}})
		b.Beat(now, nil)
		told := b.view.Self().GetLimits()
		g.Expect(told).To(HaveLen(want), teller)
		if want > 0 {
			g.Expect(told[0].GetEndpoint()).To(Equal(LifeHash(engine)))
			g.Expect(told[0].GetAgeMs()).To(BeNumerically("==", 300))
		}
		version := b.view.Self().GetVersion()
		b.Beat(now.Add(time.Second), nil)
		g.Expect(b.view.Self().GetVersion()).To(Equal(version), "without news the record stays as it is")
	}
}

// TestPartsOfSilentEntriesAreForTheOthers: an endpoint takes one request in two seconds, which
// two entries share. When both have been silent for long the third sends them.
func TestPartsOfSilentEntriesAreForTheOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	self := &peerv1.NodeRecord{Vm: "vm-1", DataCenter: "dc"}
	desk := fleet.Endpoint{ID: "desk", Incarnation: 1, DataCenter: "dc"}
	// sent counts what the third one sends within a minute.
	sent := func(others membership.Status) (n int) {
		s := backpressure.New()
		s.SetPosition(backpressurePlace(self, []membership.Member{
			{Contact: membership.Contact{VM: "vm-0", DataCenter: "dc"}, Status: others},
			{Contact: membership.Contact{VM: "vm-2", DataCenter: "dc"}, Status: others},
		}))
		s.Apply(now, backpressure.LimitReport{Instance: desk.Instance(), ReportedAt: now, Limit: backpressure.Limit{Kind: backpressure.Limited, PerSecond: 0.5}}, backpressure.FromSameDataCenter)
		for at := time.Duration(0); at < time.Minute; at += limitStep {
			if s.Accepts(now.Add(at), desk) {
				s.RecordSent(now.Add(at), desk)
				n++
			}
		}
		return n
	}
	g.Expect(sent(membership.Suspect)).To(Equal(sent(membership.Alive)))
	g.Expect(sent(membership.Dead)).To(BeNumerically("~", 30, 1), "all of it")
	g.Expect(sent(membership.Left)).To(BeNumerically("~", 30, 1))
}
