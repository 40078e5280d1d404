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

// believed is what an entry believes of the engine, as far as it doesn't fade with time.
func believed(b *Beliefs, s *scheduler.Scheduler, now time.Time) string {
	st := s.Status(now)[0]
	return fmt.Sprintf("leaving %v, others run %d, busy %v, told leaves %v", st.Leaving, st.PeersRunning, st.PrefillBacklog > 0, b.toldLeaves(now))
}

// record is that of another entry which knows one life only, as its n-th.
func record(now time.Time, dataCenter string, start uint64, n int) []*peerv1.NodeRecord {
	r := proto.Clone(teller(now, dataCenter, start).view.Self()).(*peerv1.NodeRecord)
	r.Version = uint64(n)
	return []*peerv1.NodeRecord{r}
}

// newsOf is news of a life by its name in lateNews; n tells records apart.
func newsOf(now time.Time, name string, start uint64, n int) func(*Beliefs) {
	switch name {
	case "a peer's record":
		r := record(now, "hall", start, n)
		return func(b *Beliefs) { b.Merge(now, r) }
	case "a record of another data centre":
		r := record(now, "annex", start, n)
		return func(b *Beliefs) { b.Merge(now, r) }
	default:
		return lateNews(now, start)[name]
	}
}

// TestOnlyNewsOfTheListedLifeCounts: an engine starts again and again, now and then with a
// clock that was set back, and news of all its lives so far comes in any order. An entry
// believes at any time what one believes that heard of nothing but the life on the list.
func TestOnlyNewsOfTheListedLifeCounts(t *testing.T) {
	names := slices.Sorted(maps.Keys(lateNews(time.Time{}, firstStart)))
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		dataCenter := rapid.SampledFrom([]string{"hall", "annex"}).Draw(t, "data centre")
		lives := []uint64{firstStart}
		list := life(firstStart, fleet.Live)
		all, allBelieves := loadsOf("hears", dataCenter, list)
		own, ownBelieves := loadsOf("hears", dataCenter, list)
		for n := range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				lives = append(lives, nextStart(t, lives))
				list = life(lives[len(lives)-1], rapid.SampledFrom([]fleet.State{fleet.Live, fleet.Live, fleet.Leaving}).Draw(t, "state"))
				fallthrough
			case 1:
				all.ApplyFleet(list)
				own.ApplyFleet(list)
			default:
				of := rapid.SampledFrom(lives).Draw(t, "news of")
				tell := newsOf(now, rapid.SampledFrom(names).Draw(t, "news"), of, n+1)
				tell(all)
				if of == list.Endpoints[0].Incarnation {
					tell(own)
				}
			}
			if got, want := believed(all, allBelieves, now), believed(own, ownBelieves, now); got != want {
				t.Fatalf("step %d, lives %v: %s; by the life on the list: %s", n, lives, got, want)
			}
		}
	})
}

// nextStart draws a start that no life had; one in five is before all others.
func nextStart(t *rapid.T, lives []uint64) uint64 {
	const minute = 60_000
	if rapid.IntRange(0, 4).Draw(t, "set back") == 0 {
		return slices.Min(lives) - minute
	}
	return slices.Max(lives) + minute
}
