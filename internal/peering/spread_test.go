package peering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// Times of the exchange between gateways, as their settings and controllers have them.
const (
	roundEvery = 500 * time.Millisecond
	kickEvery  = 20 * time.Millisecond
	spreadStep = 10 * time.Millisecond
)

// spreading is an entry of a simulated fleet: whom it asks when, and what it knows.
type spreading struct {
	name   string
	view   *membership.View
	set    *quarantine.Set
	round  time.Time
	kicked bool
	kick   time.Time
}

// spread is a fleet in virtual time in which entries reconcile their facts of requests.
type spread struct {
	now       time.Time
	entries   []*spreading
	byName    map[string]*spreading
	exchanges int
}

func newSpread(random *rand.Rand, size, dataCenters, smallView int) *spread {
	s := &spread{now: time.Unix(1000, 0), byName: map[string]*spreading{}}
	var records []*peerv1.NodeRecord
	for i := range size {
		records = append(records, &peerv1.NodeRecord{
			Vm: fmt.Sprintf("vm-%03d", i), DataCenter: fmt.Sprintf("dc-%d", i%dataCenters), Version: 1, Epoch: 1, Incarnation: []byte{byte(i), byte(i >> 8)},
		})
	}
	for i, r := range records {
		e := &spreading{name: r.GetVm(), set: quarantine.New(), round: s.now.Add(time.Duration(random.Int64N(int64(roundEvery))))}
		e.view = membership.New(membership.Config{VM: r.GetVm(), DataCenter: r.GetDataCenter(), Epoch: 1, Incarnation: r.GetIncarnation(), SmallFleetSize: smallView, Random: random.Float64})
		e.view.Merge(s.now, records)
		e.set.SetRank(i, size)
		s.entries = append(s.entries, e)
		s.byName[e.name] = e
	}
	return s
}

// learn gives an entry facts; news is passed on soon.
func (s *spread) learn(e *spreading, facts ...quarantine.Fact) {
	if len(e.set.Add(s.now, facts...)) > 0 {
		e.kicked = true
	}
}

// cameWhole tells an entry that a run of a request came whole there.
func (s *spread) cameWhole(e *spreading, id quarantine.Identity, mark uint64) {
	if f, clears := e.set.RecordCompletion(s.now, id, mark); clears {
		s.learn(e, f)
	}
}

// step has all entries whose time has come reconcile with some others.
func (s *spread) step() {
	s.now = s.now.Add(spreadStep)
	for _, e := range s.entries {
		regular := !s.now.Before(e.round)
		if !regular && (!e.kicked || s.now.Before(e.kick)) {
			continue
		}
		if regular {
			e.round = s.now.Add(roundEvery)
		}
		e.kicked, e.kick = false, s.now.Add(kickEvery)
		for _, c := range e.view.SelectPeers(s.now) {
			s.exchanges++
			peer := s.byName[c.VM]
			missing, wanted := peer.set.Compare(e.set.Keys())
			s.learn(e, missing...)
			s.learn(peer, e.set.Facts(wanted)...)
		}
	}
}

// until returns how long it takes until all entries contain a request.
func (s *spread) until(id quarantine.Identity, limit time.Duration) time.Duration {
	begin := s.now
	for s.now.Sub(begin) < limit {
		s.step()
		all := true
		for _, e := range s.entries {
			standing, _ := e.set.Status(s.now, id)
			all = all && standing == quarantine.Contained
		}
		if all {
			return s.now.Sub(begin)
		}
	}
	return limit
}

// TestThreeEndsInThreeDataCentersAreSummedInTime: each of three entries, in a data centre of
// its own, saw one end. All entries must contain the request within the time that a
// deployment of their size gives.
func TestThreeEndsInThreeDataCentersAreSummedInTime(t *testing.T) {
	const smallView = 24
	for _, fleet := range []struct {
		size, dataCenters int
		within            time.Duration
	}{{6, 3, 3 * time.Second}, {66, 3, 4 * time.Second}, {295, 5, 5 * time.Second}} {
		t.Run(fmt.Sprint(fleet.size), func(t *testing.T) {
			g := NewWithT(t)
			var worst time.Duration
			exchanges := 0
			const seeds = 20
			for seed := range uint64(seeds) {
				s := newSpread(rand.New(rand.NewPCG(seed, 1)), fleet.size, fleet.dataCenters, smallView)
				id := quarantine.IdentityOf("w", "h", "/crash", nil)
				for i := range quarantine.ContainmentThreshold {
					s.learn(s.entries[i], quarantine.Fact{Identity: id, EventID: uint64(i), OccurredAt: s.now})
				}
				worst = max(worst, s.until(id, 30*time.Second))
				exchanges += s.exchanges
			}
			t.Logf("%d entries: at most %v until all contain it, %d exchanges an entry", fleet.size, worst, exchanges/seeds/fleet.size)
			g.Expect(worst).To(BeNumerically("<", fleet.within))
		})
	}
}

// seen is the time from an end until the entry whose run broke off knows of it: the wait
// before the first look and the look.
const seen = 60 * time.Millisecond

// runFor is how long a run of an innocent request takes.
const runFor = 400 * time.Millisecond

// crashing is what a played request did.
type crashing struct {
	ends []time.Time
	// cut counts the requests that ended with engines, refused the tries of the innocent one
	// that was alike in all of them.
	cut, refused int
}

// late counts the ends later than a time after the third.
func (c crashing) late(than time.Duration) (count int) {
	for _, at := range c.ends {
		if at.Sub(c.ends[2]) > than {
			count++
		}
	}
	return count
}

// event is something that an entry will know at a time.
type event struct {
	at    time.Time
	entry *spreading
	facts []quarantine.Fact
	whole bool
}

// crashes plays one request that comes to random entries, a number of times a second, and
// ends an engine with each run. Beside it innocent requests run. One of them comes as often
// and always has the same identity: as long as it is let through it runs in each engine that
// ends, and comes whole in half of the others, unless neverWhole is set.
func (s *spread) crashes(random *rand.Rand, perSecond, beside int, lasts time.Duration, neverWhole bool) (out crashing) {
	crash, alike := quarantine.IdentityOf("w", "h", "/crash", nil), quarantine.IdentityOf("w", "h", "/alike", nil)
	var coming []event
	begin, next := s.now, s.now
	for s.now.Sub(begin) < lasts {
		s.step()
		coming = slices.DeleteFunc(coming, func(e event) bool {
			if s.now.Before(e.at) {
				return false
			}
			s.learn(e.entry, e.facts...)
			if e.whole {
				s.cameWhole(e.entry, alike, random.Uint64())
			}
			return true
		})
		for ; !next.After(s.now); next = next.Add(time.Second / time.Duration(perSecond)) {
			at, other := s.entries[random.IntN(len(s.entries))], s.entries[random.IntN(len(s.entries))]
			runs := other.set.Check(s.now, alike) == nil
			if !runs {
				out.refused++
			}
			if at.set.Check(s.now, crash) != nil {
				if runs && !neverWhole && random.IntN(2) == 0 {
					coming = append(coming, event{at: s.now.Add(runFor), entry: other, whole: true})
				}
				continue
			}
			life := random.Uint64()
			facts := []quarantine.Fact{{Identity: crash, EventID: life, OccurredAt: s.now}}
			if runs {
				facts = append(facts, quarantine.Fact{Identity: alike, EventID: life, OccurredAt: s.now})
			}
			for n := range beside {
				id := quarantine.IdentityOf("w", "h", fmt.Sprint("/beside/", life, n), nil)
				facts = append(facts, quarantine.Fact{Identity: id, EventID: life, OccurredAt: s.now})
			}
			out.ends = append(out.ends, s.now)
			out.cut += len(facts) - 1
			coming = append(coming, event{at: s.now.Add(seen), entry: at, facts: facts})
		}
	}
	return out
}

// TestACrashingRequestPlayed: on fleets of all sizes a request that comes three or thirty
// times a second for forty seconds ends at most three engines later than the time that the
// deployment gives. An innocent request runs beside it in every engine that ends, and can't be
// told from it at first, or, if it never comes whole, for some seconds. Without quarantine each of 120 and 1,200 tries ends an engine.
func TestACrashingRequestPlayed(t *testing.T) {
	const smallView, beside, lasts = 24, 8, 40 * time.Second
	for _, fleet := range []struct {
		size, dataCenters int
		contact           time.Duration
		seeds             int
		neverWhole        bool
	}{
		{6, 3, 3 * time.Second, 20, false}, {66, 3, 4 * time.Second, 5, false}, {295, 5, 5 * time.Second, 1, false},
		{6, 3, 3 * time.Second, 20, true}, {66, 3, 4 * time.Second, 5, true}, {295, 5, 5 * time.Second, 1, true},
	} {
		for _, perSecond := range []int{3, 30} {
			t.Run(fmt.Sprintf("%d entries, %d a second, never whole %v", fleet.size, perSecond, fleet.neverWhole), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var sum crashing
				most, late := 0, 0
				seeds := float64(fleet.seeds)
				for seed := range uint64(fleet.seeds) {
					random := rand.New(rand.NewPCG(seed, 2))
					s := newSpread(random, fleet.size, fleet.dataCenters, smallView)
					played := s.crashes(random, perSecond, beside, lasts, fleet.neverWhole)
					g.Expect(played.late(fleet.contact)).To(BeNumerically("<=", 3), "seed %d", seed)
					sum.ends, sum.cut, sum.refused = append(sum.ends, played.ends...), sum.cut+played.cut, sum.refused+played.refused
					most, late = max(most, len(played.ends)), late+played.late(fleet.contact)
				}
				t.Logf("%d entries, %d tries a second, never whole %v: %.1f ends on average, %d at most, %.1f late; %.0f requests cut; the innocent one refused at %.1f of %d tries",
					fleet.size, perSecond, fleet.neverWhole, float64(len(sum.ends))/seeds, most, float64(late)/seeds, float64(sum.cut)/seeds, float64(sum.refused)/seeds, perSecond*int(lasts/time.Second))
			})
		}
	}
}
