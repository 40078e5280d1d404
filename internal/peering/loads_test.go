package peering

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// hall makes a list of engines of a data centre.
func hall(count int) *fleet.List {
	var engines []fleet.Endpoint
	for i := range count {
		engines = append(engines, fleet.Endpoint{ID: fmt.Sprintf("engine-%03d", i), Incarnation: 1, Type: fleet.Engine, State: fleet.Live,
			DataCenter: "hall", Targets: []string{"t"}, CapacityTokens: 34_000, MaxRunning: 24})
	}
	return (&fleet.List{}).WithEndpoints(engines)
}

// loadsOf are the beliefs of an entry with the gateways' policy, and its scheduler.
func loadsOf(vm, dataCenter string, list *fleet.List) (*Beliefs, *scheduler.Scheduler) {
	cfg := scheduler.Version(scheduler.ForwardingVersion)
	cfg.DataCenter = dataCenter
	s := scheduler.New(cfg)
	view := membership.New(membership.Config{VM: vm, DataCenter: dataCenter, Incarnation: []byte(vm)})
	b := NewBeliefs(view, dispatch.New(s), HomeEntries, func(drain.Leave, string) {})
	b.ApplyFleet(list)
	return b, s
}

func first(int) int { return 0 }

// TestEntriesTellHowManyRequestsRunAndWait: memory alone doesn't show that prompts wait.
func TestEntriesTellHowManyRequestsRunAndWait(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	reads, _ := loadsOf("reads", "hall", hall(1))
	reads.ToPoll(now) // It is the only one, so that it reads the engine.
	reads.Polled(scheduler.Report{Endpoint: "engine-000", Incarnation: 1, ReportedAt: now.Add(-time.Second), UsedTokens: 17_000,
		CapacityTokens: 34_000, Running: 4, Waiting: 3}, false)
	reads.Beat(now, nil)

	hears, s := loadsOf("hears", "hall", hall(1))
	hears.homes = map[string]bool{}
	hears.Merge(now, []*peerv1.NodeRecord{reads.view.Self()})
	st := s.Status(now)[0]
	g.Expect(st.PeersRunning).To(Equal(7))
	g.Expect(st.PrefillBacklog).To(BeNumerically(">", 4000), "three prompts wait; the report is a second old")

	version := reads.view.Self().GetVersion()
	reads.Beat(now.Add(PayloadEvery), nil)
	g.Expect(reads.view.Self().GetVersion()).To(Equal(version), "nothing is new")
}

// TestBrokenLoadsAreLeftOut: arrays of different lengths are nobody's loads.
func TestBrokenLoadsAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	b, s := loadsOf("a", "annex", hall(1))
	for _, l := range []*peerv1.Loads{
		{Endpoints: []uint32{LifeHash(hall(1).Endpoints[0].Instance())}, Fills: []byte{64}, Unread: []uint32{9000}},
		{Endpoints: []uint32{LifeHash(hall(1).Endpoints[0].Instance())}, Fills: []byte{64}, Running: []byte{1}, Waiting: []byte{9}, Ages: []byte{0}, Unread: []uint32{9000, 1}},
		{Endpoints: []uint32{LifeHash(hall(1).Endpoints[0].Instance())}, Fills: []byte{64}, Running: []byte{1}, Waiting: []byte{9}, Ages: []byte{0}},
	} {
		b.TakeLoads(l)
	}
	g.Expect(s.Status(time.Now())[0].PrefillBacklog).To(BeZero())
}

// TestLoadsFitADatagram: a data centre of the size that is designed for tells a part of
// its engines at a time.
func TestLoadsFitADatagram(t *testing.T) {
	g := NewWithT(t)
	b, s := loadsOf("a", "hall", hall(140))
	now := time.Now()
	for i := range 140 {
		id := fmt.Sprintf("engine-%03d", i)
		s.Report(now, scheduler.Report{Endpoint: id, Incarnation: 1, ReportedAt: now, UsedTokens: 33_000, CapacityTokens: 34_000, Running: 24, Waiting: 200})
		s.PromptSent(now, id, 100_000)
	}
	const unsplit = 1400
	seen := map[uint32]bool{}
	for _, from := range []int{0, 100} {
		l := b.Loads(func(int) int { return from })
		g.Expect(proto.Size(&peerv1.Datagram{Kind: &peerv1.Datagram_Loads{Loads: l}})).To(BeNumerically("<=", unsplit))
		for _, hash := range l.GetEndpoints() {
			seen[hash] = true
		}
	}
	g.Expect(seen).To(HaveLen(140))
	g.Expect(part(s.LocalLoads(now)[:50], first)).To(HaveLen(50))
}
