package gateway

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// largeFleet is one gateway that knows many endpoints and entries of five data centres, and what
// the others tell it of the endpoints' records.
type largeFleet struct {
	g        *Gateway
	registry *fleet.Registry
	revision uint64
}

func newLargeFleet(t testing.TB, entries, endpoints int) *largeFleet {
	var cfg Config
	set := settings.New("test")
	cfg.Register(set)
	if err := set.Read(nil); err != nil {
		t.Fatal(err)
	}
	g := New(cfg, platform.Settings{VM: "vm-0000", DataCenter: "dc-0", Peers: "10.0.0.0:1", Store: "10.9.9.9:1", Heartbeat: time.Second}, log.New(io.Discard))
	g.work = t.Context()
	f := &largeFleet{g: g, registry: fleet.NewRegistry()}
	config := standin.Configuration{Version: 1, Engines: []string{"engine"}, Services: []string{"desk"}}
	g.store.OfferFromPeer(clock.Now(), published.Value{Name: published.Table, Revision: 1, Content: config.Encode()}, "test")
	var members []*peerv1.NodeRecord
	for i := 1; i < entries; i++ {
		members = append(members, &peerv1.NodeRecord{Vm: fmt.Sprintf("vm-%04d", i), DataCenter: fmt.Sprintf("dc-%d", i%5), PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), Epoch: 1, Version: 1, State: peerv1.NodeState_NODE_STATE_LIVE})
	}
	g.beliefs.Merge(clock.Now(), members)
	var all []fleet.Record
	for i := range endpoints {
		all = append(all, f.record(i, false))
	}
	f.registry.Apply(0, all)
	content, err := f.registry.Encode()
	if err != nil {
		t.Fatal(err)
	}
	g.store.OfferFromPeer(clock.Now(), published.Value{Name: published.Fleet, Revision: f.registry.Revision(), Content: content}, "test")
	return f
}

// record is the newest record of an endpoint.
func (f *largeFleet) record(i int, leaving bool) fleet.Record {
	f.revision++
	target := "engine"
	if i%25 == 0 {
		target = "desk"
	}
	e := &standin.Endpoint{ID: fmt.Sprintf("e-%05d", i), Address: fmt.Sprintf("10.1.%d.%d:1", i/200, i%200)}
	e.SetBorn(1_700_000_000_000)
	return fleet.Record{ID: e.ID, Revision: f.revision, Content: standin.Record(e, target, fmt.Sprintf("dc-%d", i%5), leaving)}
}

// change has an endpoint leave, or come back, and the entry hear of it.
func (f *largeFleet) change(t testing.TB, i int, leaving bool) {
	base := f.registry.Revision()
	changes := []fleet.Record{f.record(i, leaving)}
	f.registry.Apply(revision.ID(f.revision), changes)
	content, err := f.registry.Encode()
	if err != nil {
		t.Fatal(err)
	}
	data, err := fleet.EncodeChanges(changes)
	if err != nil {
		t.Fatal(err)
	}
	f.g.store.OfferFromPeer(clock.Now(), published.Value{Name: published.Fleet, Revision: f.registry.Revision(), Content: content, Base: base, Changes: data}, "test")
}

// A list that waits until it comes into force would reach a fleet only after the waits of all entries
// that it goes through.
func TestAListThatWaitsIsPassedOnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(t, 3, 2000)
		f.g.caughtUp.Store(true)
		kicked := func() bool {
			select {
			case <-f.g.exchange.RoundRequests:
				return true
			default:
				return false
			}
		}
		f.change(t, 1, true)
		if at := f.g.store.Fleet().Revision.Number(); at != 2000 {
			t.Fatalf("revision %d is in force already", at)
		}
		if !kicked() {
			t.Error("it isn't passed on")
		}
		time.Sleep(f.g.maxListPace())
		synctest.Wait()
		if at := f.g.store.Fleet().Revision.Number(); at != 2001 {
			t.Errorf("revision %d is in force, not 2001", at)
		}
	})
}

func BenchmarkListChange(b *testing.B) {
	for _, size := range []struct{ entries, endpoints int }{{100, 1000}, {300, 3000}, {585, 6000}} {
		b.Run(fmt.Sprint(size.endpoints), func(b *testing.B) {
			f := newLargeFleet(b, size.entries, size.endpoints)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.change(b, i%size.endpoints, i/size.endpoints%2 == 0)
				f.g.beliefs.Heartbeat(clock.Now(), nil)
			}
		})
	}
}
