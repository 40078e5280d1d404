package controllers_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/controllers"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// hangingPlatform is a platform that doesn't answer from one time to another, as when it is cut
// off: a read that began before hangs as well.
type hangingPlatform struct {
	mu         sync.Mutex
	hangFrom   time.Time
	hangUntil  time.Time
	waits      []time.Duration
	answeredAt []time.Time
	// waitsAfterFailure holds the waits of the reads that follow a failed one.
	waitsAfterFailure []time.Duration
	lastFailed        bool
}

// hangTimeout is how long a read waits for an answer beyond the requested wait.
const hangTimeout = 2 * time.Second

func (p *hangingPlatform) Read(ctx context.Context, wait time.Duration) ([]published.Value, error) {
	p.mu.Lock()
	p.waits = append(p.waits, wait)
	if p.lastFailed {
		p.waitsAfterFailure = append(p.waitsAfterFailure, wait)
	}
	hanging := time.Now().Add(wait).After(p.hangFrom) && time.Now().Before(p.hangUntil)
	p.lastFailed = hanging
	p.mu.Unlock()
	if hanging {
		time.Sleep(wait + hangTimeout)
		return nil, errors.New("no answer")
	}
	time.Sleep(wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = append(p.answeredAt, time.Now())
	return nil, ctx.Err()
}

// peerlessState returns the state of an entry without peers.
func peerlessState() *peering.ClusterState {
	view := membership.New(membership.Config{VM: "vm", DataCenter: "dc"})
	return peering.NewClusterState(view, dispatch.New(scheduler.NewRoundRobin()), 1, func(drain.Leave, string) {})
}

// peerlessStateWithEngine returns the state of an entry without peers and with one engine.
func peerlessStateWithEngine() *peering.ClusterState {
	state := peerlessState()
	state.ApplyFleet(&fleet.List{Endpoints: []fleet.Endpoint{{
		ID: "e", Address: "127.0.0.1:1", DataCenter: "dc", Type: fleet.Engine, Targets: []string{"m"}, Incarnation: 1,
		CapacityTokens: 1000, MaxRunning: 8, State: fleet.Live,
	}}})
	return state
}

func runWatcher(t *testing.T, p controllers.ValueReader, runFor time.Duration, onStoreState func(bool, time.Duration, error)) {
	ctx, cancel := context.WithTimeout(t.Context(), runFor)
	defer cancel()
	newPeerlessWatcher(p, onStoreState).Run(ctx)
}

// newPeerlessWatcher returns the watcher of an entry without peers.
func newPeerlessWatcher(p controllers.ValueReader, onStoreState func(bool, time.Duration, error)) *controllers.ValueWatcher {
	return &controllers.ValueWatcher{
		Reader:                 p,
		Store:                  published.New(published.NativeConfig(), func(published.Event) {}, func(*fleet.List, time.Time) {}),
		ClusterState:           peerlessState(),
		WatchWait:              3 * time.Second,
		WatchSpacing:           250 * time.Millisecond,
		NonWatcherReadInterval: time.Minute,
		OnError:                func(error) {},
		OnStoreState:           onStoreState,
	}
}

// TestRecoveredPlatformIsDetectedSoon checks that reads don't wait for a change while the
// platform is unreachable. With a wait, entries detected six seconds late that a store had
// recovered, and a table came into force too late.
func TestRecoveredPlatformIsDetectedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		startedAt := time.Now()
		p := &hangingPlatform{hangFrom: startedAt.Add(5 * time.Second), hangUntil: startedAt.Add(14 * time.Second)}
		var states []bool
		runWatcher(t, p, 30*time.Second, func(reachable bool, _ time.Duration, _ error) { states = append(states, reachable) })
		g.Expect(states).To(Equal([]bool{false, true}))
		g.Expect(p.waitsAfterFailure).NotTo(BeEmpty())
		g.Expect(p.waitsAfterFailure).To(HaveEach(time.Duration(0)))
		for _, answeredAt := range p.answeredAt {
			if !answeredAt.Before(p.hangUntil) {
				g.Expect(answeredAt.Sub(p.hangUntil)).To(BeNumerically("<=", hangTimeout+time.Second))
				return
			}
		}
		t.Fatal("recovery was not detected")
	})
}

// changingPlatform is a platform on which every read returns a change at once.
type changingPlatform struct{ readAt []time.Time }

func (p *changingPlatform) Read(context.Context, time.Duration) ([]published.Value, error) {
	p.readAt = append(p.readAt, time.Now())
	return []published.Value{{Name: published.Fleet, Revision: revision.ID(len(p.readAt))}}, nil
}

// TestRapidChangesAreReadTogether checks that changes in quick succession don't cause a call
// each, because each call has a cost.
func TestRapidChangesAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &changingPlatform{}
		runWatcher(t, p, time.Minute, nil)
		g.Expect(len(p.readAt)).To(BeNumerically(">", 120), "changes are read without a long delay")
		g.Expect(len(p.readAt)).To(BeNumerically("<", 480))
		for i := 1; i < len(p.readAt); i++ {
			g.Expect(p.readAt[i].Sub(p.readAt[i-1])).To(BeNumerically("<=", 375*time.Millisecond))
		}
	})
}

// TestSecondWatcherReadsLessOften checks that both watchers of a data centre read changes, so
// that one can be stalled, but that the second one leaves more time between its calls: 10 to 80
// calls in a minute of constant changes instead of 160 to 480.
func TestSecondWatcherReadsLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var calls []int
		for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
			p := &changingPlatform{}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			watcher := &controllers.ValueWatcher{
				Reader: p, ClusterState: stateWithPeer(names[0], names[1]), WatchWait: 3 * time.Second,
				WatchSpacing: 250 * time.Millisecond, SecondaryWatchSpacing: time.Second, NonWatcherReadInterval: time.Minute,
				Store:   published.New(published.NativeConfig(), func(published.Event) {}, func(*fleet.List, time.Time) {}),
				OnError: func(error) {},
			}
			watcher.Run(ctx)
			cancel()
			calls = append(calls, len(p.readAt))
		}
		slices.Sort(calls)
		g.Expect(calls[0]).To(And(BeNumerically(">=", 10), BeNumerically("<=", 80)))
		g.Expect(calls[1]).To(And(BeNumerically(">=", 160), BeNumerically("<=", 480)))
	})
}

// stateWithPeer returns the state of an entry with one peer in its data centre.
func stateWithPeer(vm, peerVM string) *peering.ClusterState {
	newView := func(vm string) *membership.View {
		return membership.New(membership.Config{VM: vm, DataCenter: "dc", SuspectAfter: time.Hour, DeadAfter: 2 * time.Hour})
	}
	state := peering.NewClusterState(newView(vm), dispatch.New(scheduler.NewRoundRobin()), 1, func(drain.Leave, string) {})
	peer := newView(peerVM)
	peer.Heartbeat(func(r *peerv1.NodeRecord) { r.State = peerv1.NodeState_NODE_STATE_LIVE })
	state.Merge(time.Now(), []*peerv1.NodeRecord{peer.Self()})
	return state
}

// TestEnginesArePolledMoreOftenWhileSaturated checks that the load of saturated engines is kept
// fresh, and that other engines are polled less often, because each poll has a cost.
func TestEnginesArePolledMoreOftenWhileSaturated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		startedAt := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 24*time.Second)
		defer cancel()
		state := peerlessStateWithEngine()
		idlePolls, saturatedPolls := 0, 0
		saturated := func() bool { return time.Since(startedAt) >= 12*time.Second }
		poller := &controllers.LoadPoller{
			ClusterState: state, Interval: 1200 * time.Millisecond, Saturated: saturated, SaturatedInterval: 400 * time.Millisecond,
			FetchLoad: func(context.Context, fleet.Endpoint) (scheduler.Report, bool, error) {
				if saturated() {
					saturatedPolls++
				} else {
					idlePolls++
				}
				return scheduler.Report{}, false, errors.New("no report")
			},
		}
		poller.Run(ctx)
		g.Expect(idlePolls).To(BeNumerically("~", 9, 2))
		g.Expect(saturatedPolls).To(BeNumerically("~", 30, 3))
	})
}

// TestNothingIsReadDuringStartDelay guards against a burst of reads after a failure of many
// entries: an entry that has just started has no peers in its view, and all of them would read
// everything.
// 85 entries made 4,579 reads of engines in the four seconds after their restart.
func TestNothingIsReadDuringStartDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const startDelay = 2 * time.Second
		startedAt := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		state := peerlessStateWithEngine()
		var polledAfter []time.Duration
		poller := &controllers.LoadPoller{
			ClusterState: state, Interval: time.Second, StartDelay: startDelay,
			FetchLoad: func(context.Context, fleet.Endpoint) (scheduler.Report, bool, error) {
				polledAfter = append(polledAfter, time.Since(startedAt))
				return scheduler.Report{}, false, errors.New("no report")
			},
		}
		p := &changingPlatform{}
		watcher := &controllers.ValueWatcher{
			Reader: p, ClusterState: state, WatchWait: 3 * time.Second, WatchSpacing: 250 * time.Millisecond, StartDelay: startDelay, NonWatcherReadInterval: time.Minute,
			Store:   published.New(published.NativeConfig(), func(published.Event) {}, func(*fleet.List, time.Time) {}),
			OnError: func(error) {},
		}
		var loops sync.WaitGroup
		loops.Go(func() { watcher.Run(ctx) })
		loops.Go(func() { poller.Run(ctx) })
		loops.Wait()
		g.Expect(polledAfter).NotTo(BeEmpty())
		g.Expect(polledAfter[0]).To(BeNumerically(">=", startDelay))
		g.Expect(p.readAt).NotTo(BeEmpty())
		g.Expect(p.readAt[0].Sub(startedAt)).To(BeNumerically(">=", startDelay))
	})
}

// TestWatchWaitsAreJittered checks that watches end at different times, so that an entry whose
// watch has stalled is covered by others. Otherwise a table comes into force too late after the
// store drops its history.
func TestWatchWaitsAreJittered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &hangingPlatform{}
		runWatcher(t, p, time.Minute, nil)
		distinct := map[time.Duration]bool{}
		for _, wait := range p.waits {
			g.Expect(wait).To(BeNumerically(">=", 1500*time.Millisecond))
			g.Expect(wait).To(BeNumerically("<=", 4500*time.Millisecond))
			distinct[wait] = true
		}
		g.Expect(len(distinct)).To(BeNumerically(">", len(p.waits)/2))
	})
}
