package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// coldPerSecond is the limit of a cold endpoint in requests per second, and coldFor how long
// an endpoint stays cold.
const (
	coldPerSecond = 27
	coldFor       = 2 * time.Second
)

// coldEngine returns an engine that declares itself cold for coldFor.
func coldEngine(id string) fleet.Endpoint {
	e := engine(id, "dc0")
	e.ColdLimit = fleet.ColdLimit{Duration: coldFor, RequestsPerSecond: coldPerSecond}
	e.WarmUpRemaining = coldFor
	return e
}

// TestColdEndpointsGetAtMostTheirLimit checks that entries under far higher load send a cold
// endpoint, the only one, no more than its limit in any second, and exceed the limit once the
// endpoint is warm.
func TestColdEndpointsGetAtMostTheirLimit(t *testing.T) {
	for _, entries := range []int{1, 6, 9, 66, 295} {
		g := NewWithT(t)
		start := time.Unix(1000, 0)
		var schedulers []*scheduler.Scheduler
		for rank := range entries {
			s := newForwardingScheduler("dc0", uint64(rank))
			s.SetRank(rank, entries)
			s.SetEndpoints(start, []fleet.Endpoint{coldEngine("a")})
			schedulers = append(schedulers, s)
		}
		var sends []time.Time
		warmSends := 0
		for step := range 60 {
			now := start.Add(time.Duration(step) * 50 * time.Millisecond)
			for _, s := range schedulers {
				for n := range 3 {
					_ = s.Submit(now, longRequest(step*10+n+1, now))
				}
				for _, d := range s.Next(now).Dispatches {
					if now.Before(start.Add(coldFor)) {
						sends = append(sends, now)
					} else {
						warmSends++
					}
					s.Finish(now, d.ID, scheduler.Result{Complete: true})
				}
			}
		}
		maxInWindow := 0
		for i, sentAt := range sends {
			inWindow := 0
			for _, later := range sends[i:] {
				if later.Sub(sentAt) < time.Second {
					inWindow++
				}
			}
			maxInWindow = max(maxInWindow, inWindow)
		}
		g.Expect(maxInWindow).To(BeNumerically("<=", coldPerSecond), "%d entries", entries)
		g.Expect(maxInWindow).To(BeNumerically(">=", coldPerSecond/2), "%d entries: the limit is used", entries)
		g.Expect(warmSends).To(BeNumerically(">", coldPerSecond), "%d entries", entries)
	}
}

// TestEventsThatMarkEndpointsCold checks that an endpoint counts as cold after a restart, when
// it declares itself cold, when its data centre is reopened, and when it answers after it
// could not be reached.
func TestEventsThatMarkEndpointsCold(t *testing.T) {
	start := time.Unix(1000, 0)
	warm := coldEngine("a")
	warm.WarmUpRemaining = 0
	cases := map[string]func(s *scheduler.Scheduler, now time.Time){
		"restarted": func(s *scheduler.Scheduler, now time.Time) {
			restarted := coldEngine("a")
			restarted.Incarnation++
			s.SetEndpoints(now, []fleet.Endpoint{restarted})
		},
		"declared cold": func(s *scheduler.Scheduler, now time.Time) {
			s.SetEndpoints(now, []fleet.Endpoint{coldEngine("a")})
		},
		"data centre reopened": func(s *scheduler.Scheduler, now time.Time) {
			closed := warm
			closed.Closed = true
			s.SetEndpoints(now, []fleet.Endpoint{closed})
			s.SetEndpoints(now, []fleet.Endpoint{warm})
		},
		"reachable again": func(s *scheduler.Scheduler, now time.Time) {
			_ = s.Submit(now, longRequest(900, now))
			for _, d := range s.Next(now).Dispatches {
				s.Finish(now, d.ID, scheduler.Result{Failed: true, Unreachable: true})
			}
			probeTime := now.Add(600 * time.Millisecond)
			_ = s.Submit(probeTime, longRequest(901, probeTime))
			for _, d := range s.Next(probeTime).Dispatches {
				s.Finish(probeTime, d.ID, scheduler.Result{Complete: true})
			}
		},
	}
	for name, markCold := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newForwardingScheduler("dc0", 1)
			s.SetRank(0, 1)
			s.SetEndpoints(start, []fleet.Endpoint{warm})
			now := start.Add(time.Minute)
			markCold(s, now)
			now = now.Add(700 * time.Millisecond)
			sent := 0
			for id := range 2 * coldPerSecond {
				_ = s.Submit(now, longRequest(id+1, now))
				for _, d := range s.Next(now).Dispatches {
					sent++
					s.Finish(now, d.ID, scheduler.Result{Complete: true})
				}
			}
			g.Expect(sent).To(And(BeNumerically("<=", coldPerSecond), BeNumerically(">=", coldPerSecond-1)))
		})
	}
}

// TestClosedEndpointsGetNoRequests checks that endpoints of a closed data centre get no
// requests until it is reopened, even if SetLeaving says that they aren't leaving.
func TestClosedEndpointsGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newForwardingScheduler("dc0", 1)
	closed := engine("a", "dc0")
	closed.Closed = true
	s.SetEndpoints(now, []fleet.Endpoint{closed, engine("b", "dc0")})
	s.SetLeaving("a", false)
	sentTo := map[string]int{}
	send := func(ids ...int) {
		for _, id := range ids {
			g.Expect(s.Submit(now, longRequest(id, now))).To(BeNil())
			for _, d := range s.Next(now).Dispatches {
				sentTo[d.Endpoint.ID]++
			}
		}
	}
	send(1, 2, 3, 4)
	g.Expect(sentTo).To(Equal(map[string]int{"b": 4}))
	s.SetEndpoints(now, []fleet.Endpoint{closed})
	g.Expect(s.Submit(now, longRequest(5, now))).NotTo(BeNil(), "no endpoint serves the target")
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("b", "dc0")})
	send(6, 7, 8, 9)
	g.Expect(sentTo["a"]).To(BeNumerically(">", 0))
}
