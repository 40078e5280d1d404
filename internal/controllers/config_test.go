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

// silent is a platform that hangs from one time to another, as one does that is
// cut off: reads that began before go on hanging.
type silent struct {
	mu    sync.Mutex
	from  time.Time
	until time.Time
	waits []time.Duration
	good  []time.Time
	// afterFailure are the waits of the reads that follow a failed one.
	afterFailure []time.Duration
	failed       bool
}

// hang is how long a read waits for an answer beyond the wait it asked for.
const hang = 2 * time.Second

func (s *silent) Read(ctx context.Context, wait time.Duration) ([]published.Value, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	if s.failed {
		s.afterFailure = append(s.afterFailure, wait)
	}
	away := time.Now().Add(wait).After(s.from) && time.Now().Before(s.until)
	s.failed = away
	s.mu.Unlock()
	if away {
		time.Sleep(wait + hang)
		return nil, errors.New("no answer")
	}
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.good = append(s.good, time.Now())
	return nil, ctx.Err()
}

// alone is what an entry believes that knows no other.
func alone() *peering.Beliefs {
	view := membership.New(membership.Config{VM: "vm", DataCenter: "dc"})
	return peering.NewBeliefs(view, dispatch.New(scheduler.NewRoundRobin()), 1, func(drain.Leave, string) {})
}

// aloneWithEngine is the same of an entry before one engine.
func aloneWithEngine() *peering.Beliefs {
	b := alone()
	b.ApplyFleet(&fleet.List{Endpoints: []fleet.Endpoint{{
		ID: "e", Address: "127.0.0.1:1", DataCenter: "dc", Type: fleet.Engine, Targets: []string{"m"}, Incarnation: 1,
		CapacityTokens: 1000, MaxRunning: 8, State: fleet.Live,
	}}})
	return b
}

func follow(t *testing.T, p controllers.Reader, runFor time.Duration, onState func(bool, time.Duration, error)) {
	ctx, cancel := context.WithTimeout(t.Context(), runFor)
	defer cancel()
	config(p, onState).Run(ctx)
}

// config is the controller of an entry that is alone.
func config(p controllers.Reader, onState func(bool, time.Duration, error)) *controllers.Config {
	return &controllers.Config{
		Reader:  p,
		Store:   published.New(published.OwnParsers(), func(published.Event) {}, func(*fleet.List, time.Time) {}),
		Beliefs: alone(),
		Wait:    3 * time.Second,
		Spacing: 250 * time.Millisecond,
		LookIn:  time.Minute,
		OnError: func(error) {},
		OnState: onState,
	}
}

// TestAPlatformThatReturnsIsFoundSoon: while it is away it is asked without a
// wait. With a wait, entries heard six seconds late of a store that had been
// silent, and a configuration was in force too late.
func TestAPlatformThatReturnsIsFoundSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begun := time.Now()
		p := &silent{from: begun.Add(5 * time.Second), until: begun.Add(14 * time.Second)}
		var states []bool
		follow(t, p, 30*time.Second, func(up bool, _ time.Duration, _ error) { states = append(states, up) })
		g.Expect(states).To(Equal([]bool{false, true}))
		g.Expect(p.afterFailure).NotTo(BeEmpty())
		g.Expect(p.afterFailure).To(HaveEach(time.Duration(0)))
		for _, at := range p.good {
			if !at.Before(p.until) {
				g.Expect(at.Sub(p.until)).To(BeNumerically("<=", hang+time.Second))
				return
			}
		}
		t.Fatal("never found again")
	})
}

// busy is a platform that has news for each watch at once.
type busy struct{ at []time.Time }

func (b *busy) Read(context.Context, time.Duration) ([]published.Value, error) {
	b.at = append(b.at, time.Now())
	return []published.Value{{Name: published.Fleet, Revision: revision.ID(len(b.at))}}, nil
}

// TestChangesInQuickSuccessionAreReadTogether: each call is priced.
func TestChangesInQuickSuccessionAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &busy{}
		follow(t, p, time.Minute, nil)
		g.Expect(len(p.at)).To(BeNumerically(">", 120), "no news waits long")
		g.Expect(len(p.at)).To(BeNumerically("<", 480))
		for i := 1; i < len(p.at); i++ {
			g.Expect(p.at[i].Sub(p.at[i-1])).To(BeNumerically("<=", 375*time.Millisecond))
		}
	})
}

// TestTheSecondWatcherOfADataCentreAsksLess: both read news, so that one can be stalled, but
// the second leaves more time between its calls: 10 to 80 in a minute of news in place of
// 160 to 480.
func TestTheSecondWatcherOfADataCentreAsksLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var calls []int
		for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
			p := &busy{}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			c := &controllers.Config{
				Reader: p, Beliefs: knowing(names[0], names[1]), Wait: 3 * time.Second,
				Spacing: 250 * time.Millisecond, SecondSpacing: time.Second, LookIn: time.Minute,
				Store:   published.New(published.OwnParsers(), func(published.Event) {}, func(*fleet.List, time.Time) {}),
				OnError: func(error) {},
			}
			c.Run(ctx)
			cancel()
			calls = append(calls, len(p.at))
		}
		slices.Sort(calls)
		g.Expect(calls[0]).To(And(BeNumerically(">=", 10), BeNumerically("<=", 80)))
		g.Expect(calls[1]).To(And(BeNumerically(">=", 160), BeNumerically("<=", 480)))
	})
}

// knowing is what an entry believes that knows one other of its data centre.
func knowing(vm, other string) *peering.Beliefs {
	view := func(name string) *membership.View {
		return membership.New(membership.Config{VM: name, DataCenter: "dc", SuspectAfter: time.Hour, DeadAfter: 2 * time.Hour})
	}
	b := peering.NewBeliefs(view(vm), dispatch.New(scheduler.NewRoundRobin()), 1, func(drain.Leave, string) {})
	peer := view(other)
	peer.Heartbeat(func(r *peerv1.NodeRecord) { r.State = peerv1.NodeState_NODE_STATE_LIVE })
	b.Merge(time.Now(), []*peerv1.NodeRecord{peer.Self()})
	return b
}

// TestEnginesAreReadMoreOftenWhilePressed: what is known of full engines has to be fresh,
// and each read is priced.
func TestEnginesAreReadMoreOftenWhilePressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 24*time.Second)
		defer cancel()
		beliefs := aloneWithEngine()
		calm, pressed := 0, 0
		isPressed := func() bool { return time.Since(begun) >= 12*time.Second }
		load := &controllers.Load{
			Beliefs: beliefs, Interval: 1200 * time.Millisecond, Pressed: isPressed, PressedInterval: 400 * time.Millisecond,
			Read: func(context.Context, fleet.Endpoint) (scheduler.Report, bool, error) {
				if isPressed() {
					pressed++
				} else {
					calm++
				}
				return scheduler.Report{}, false, errors.New("no report")
			},
		}
		load.Run(ctx)
		g.Expect(calm).To(BeNumerically("~", 9, 2))
		g.Expect(pressed).To(BeNumerically("~", 30, 3))
	})
}

// TestNothingIsReadBeforeTheViewHasSettled: an entry that has just started takes itself
// for the only one, and after a failure of many all would read everything. (85 entries
// made 4,579 reads of engines in the four seconds after their restart.)
func TestNothingIsReadBeforeTheViewHasSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const settle = 2 * time.Second
		begun := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		beliefs := aloneWithEngine()
		var reads []time.Duration
		load := &controllers.Load{
			Beliefs: beliefs, Interval: time.Second, Settle: settle,
			Read: func(context.Context, fleet.Endpoint) (scheduler.Report, bool, error) {
				reads = append(reads, time.Since(begun))
				return scheduler.Report{}, false, errors.New("no report")
			},
		}
		p := &busy{}
		config := &controllers.Config{
			Reader: p, Beliefs: beliefs, Wait: 3 * time.Second, Spacing: 250 * time.Millisecond, Settle: settle, LookIn: time.Minute,
			Store:   published.New(published.OwnParsers(), func(published.Event) {}, func(*fleet.List, time.Time) {}),
			OnError: func(error) {},
		}
		var loops sync.WaitGroup
		loops.Go(func() { config.Run(ctx) })
		loops.Go(func() { load.Run(ctx) })
		loops.Wait()
		g.Expect(reads).NotTo(BeEmpty())
		g.Expect(reads[0]).To(BeNumerically(">=", settle))
		g.Expect(p.at).NotTo(BeEmpty())
		g.Expect(p.at[0].Sub(begun)).To(BeNumerically(">=", settle))
	})
}

// TestWatchesDoNotEndTogether: their waits are spread, so that an entry whose
// watch has stalled is covered by others. Else a configuration is in force
// too late when the store forgets its history.
func TestWatchesDoNotEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := &silent{}
		follow(t, p, time.Minute, nil)
		different := map[time.Duration]bool{}
		for _, w := range p.waits {
			g.Expect(w).To(BeNumerically(">=", 1500*time.Millisecond))
			g.Expect(w).To(BeNumerically("<=", 4500*time.Millisecond))
			different[w] = true
		}
		g.Expect(len(different)).To(BeNumerically(">", len(p.waits)/2))
	})
}
