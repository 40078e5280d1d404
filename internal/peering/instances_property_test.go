package peering

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/fixedseed"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

func init() { fixedseed.Set() }

// observedState formats an entry's view of the engine, as far as it does not depend on time.
func observedState(cs *ClusterState, s *scheduler.Scheduler, now time.Time) string {
	st := s.Status(now)[0]
	return fmt.Sprintf("leaving %v, peers run %d, busy %v, announced leaves %v", st.Leaving, st.PeersRunning, st.PrefillBacklog > 0, cs.announcedLeaveIDs(now))
}

// peerRecord returns a record of a peer, with the given version, about one instance.
func peerRecord(now time.Time, dataCenter string, incarnation uint64, version int) []*peerv1.NodeRecord {
	r := proto.Clone(reportingPeer(now, dataCenter, incarnation).view.Self()).(*peerv1.NodeRecord)
	r.Version = uint64(version)
	return []*peerv1.NodeRecord{r}
}

// reportPath returns the named one of reportPaths for an instance. Records get the given version,
// so that each counts as new.
func reportPath(now time.Time, name string, incarnation uint64, version int) func(*ClusterState) {
	switch name {
	case "a peer's record":
		r := peerRecord(now, "hall", incarnation, version)
		return func(cs *ClusterState) { cs.Merge(now, r) }
	case "a record of another data centre":
		r := peerRecord(now, "annex", incarnation, version)
		return func(cs *ClusterState) { cs.Merge(now, r) }
	default:
		return reportPaths(now, incarnation)[name]
	}
}

// TestOnlyListedInstanceAffectsState: an engine restarts repeatedly, sometimes with a clock that was
// set back, and state of all its instances so far is received in any order. At any time, an entry
// has the same view as one that received only the state of the listed instance.
func TestOnlyListedInstanceAffectsState(t *testing.T) {
	names := slices.Sorted(maps.Keys(reportPaths(time.Time{}, firstIncarnation)))
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		dataCenter := rapid.SampledFrom([]string{"hall", "annex"}).Draw(t, "data centre")
		incarnations := []uint64{firstIncarnation}
		list := instanceList(firstIncarnation, fleet.Live)
		receivesAll, receivesAllScheduler := newSchedulerState("receiver", dataCenter, list)
		receivesListed, receivesListedScheduler := newSchedulerState("receiver", dataCenter, list)
		for n := range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				incarnations = append(incarnations, nextIncarnation(t, incarnations))
				list = instanceList(incarnations[len(incarnations)-1], rapid.SampledFrom([]fleet.State{fleet.Live, fleet.Live, fleet.Leaving}).Draw(t, "state"))
				fallthrough
			case 1:
				receivesAll.ApplyFleet(list)
				receivesListed.ApplyFleet(list)
			default:
				incarnation := rapid.SampledFrom(incarnations).Draw(t, "news of")
				deliver := reportPath(now, rapid.SampledFrom(names).Draw(t, "news"), incarnation, n+1)
				deliver(receivesAll)
				if incarnation == list.Endpoints[0].Incarnation {
					deliver(receivesListed)
				}
			}
			if got, want := observedState(receivesAll, receivesAllScheduler, now), observedState(receivesListed, receivesListedScheduler, now); got != want {
				t.Fatalf("step %d, incarnations %v: got %s; with the state of the listed instance only: %s", n, incarnations, got, want)
			}
		}
	})
}

// nextIncarnation draws an unused incarnation; one in five is below all earlier ones.
func nextIncarnation(t *rapid.T, incarnations []uint64) uint64 {
	const minute = 60_000
	if rapid.IntRange(0, 4).Draw(t, "set back") == 0 {
		return slices.Min(incarnations) - minute
	}
	return slices.Max(incarnations) + minute
}
