package peering

import (
	"fmt"
	"math/rand/v2"
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
	for _, r := range records {
		e := &spreading{name: r.GetVm(), set: quarantine.New(), round: s.now.Add(time.Duration(random.Int64N(int64(roundEvery))))}
		e.view = membership.New(membership.Config{VM: r.GetVm(), DataCenter: r.GetDataCenter(), Epoch: 1, Incarnation: r.GetIncarnation(), SmallView: smallView, Chance: random.Float64})
		e.view.Merge(s.now, records)
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
		for _, c := range e.view.Round(s.now) {
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
			standing, _ := e.set.Standing(s.now, id)
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
				for i := range quarantine.Threshold {
					s.learn(s.entries[i], quarantine.Fact{Identity: id, Mark: uint64(i), At: s.now})
				}
				worst = max(worst, s.until(id, 30*time.Second))
				exchanges += s.exchanges
			}
			t.Logf("%d entries: at most %v until all contain it, %d exchanges an entry", fleet.size, worst, exchanges/seeds/fleet.size)
			g.Expect(worst).To(BeNumerically("<", fleet.within))
		})
	}
}
