package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// coldPerSecond is what a cold endpoint of these tests bears, and coldFor for how long.
const (
	coldPerSecond = 27
	coldFor       = 2 * time.Second
)

// coldEngine is an engine that says that it is cold.
func coldEngine(id string) fleet.Endpoint {
	e := engine(id, "dc0")
	e.ColdLimit = fleet.ColdLimit{Duration: coldFor, RequestsPerSecond: coldPerSecond}
	e.WarmUpRemaining = coldFor
	return e
}

// TestColdEndpointsGetWhatTheyBear: entries that are asked for far more send a cold endpoint,
// the only one there is, no more than it bears in any second, and use it fully when it is warm.
func TestColdEndpointsGetWhatTheyBear(t *testing.T) {
	for _, entries := range []int{1, 6, 9, 66, 295} {
		g := NewWithT(t)
		begin := time.Unix(1000, 0)
		var all []*scheduler.Scheduler
		for rank := range entries {
			s := forwarding("dc0", uint64(rank))
			s.SetPlace(rank, entries)
			s.SetEndpoints(begin, []fleet.Endpoint{coldEngine("a")})
			all = append(all, s)
		}
		var sends []time.Time
		warm := 0
		for step := range 60 {
			now := begin.Add(time.Duration(step) * 50 * time.Millisecond)
			for _, s := range all {
				for n := range 3 {
					_ = s.Submit(now, longRequest(step*10+n+1, now))
				}
				for _, d := range s.Next(now).Dispatches {
					if now.Before(begin.Add(coldFor)) {
						sends = append(sends, now)
					} else {
						warm++
					}
					s.Finish(now, d.ID, scheduler.Result{Complete: true})
				}
			}
		}
		most := 0
		for i, at := range sends {
			within := 0
			for _, later := range sends[i:] {
				if later.Sub(at) < time.Second {
					within++
				}
			}
			most = max(most, within)
		}
		g.Expect(most).To(BeNumerically("<=", coldPerSecond), "%d entries", entries)
		g.Expect(most).To(BeNumerically(">=", coldPerSecond/2), "%d entries: it isn't kept idle", entries)
		g.Expect(warm).To(BeNumerically(">", coldPerSecond), "%d entries", entries)
	}
}

// TestEndpointsTurnCold: with another start, when they say so at any moment, when their data
// centre is opened again, and when they answer after they could not be reached.
func TestEndpointsTurnCold(t *testing.T) {
	begin := time.Unix(1000, 0)
	warm := coldEngine("a")
	warm.WarmUpRemaining = 0
	cases := map[string]func(s *scheduler.Scheduler, now time.Time){
		"another start": func(s *scheduler.Scheduler, now time.Time) {
			again := coldEngine("a")
			again.Incarnation++
			s.SetEndpoints(now, []fleet.Endpoint{again})
		},
		"it says so": func(s *scheduler.Scheduler, now time.Time) {
			s.SetEndpoints(now, []fleet.Endpoint{coldEngine("a")})
		},
		"opened again": func(s *scheduler.Scheduler, now time.Time) {
			closed := warm
			closed.Closed = true
			s.SetEndpoints(now, []fleet.Endpoint{closed})
			s.SetEndpoints(now, []fleet.Endpoint{warm})
		},
		"it answers again": func(s *scheduler.Scheduler, now time.Time) {
			_ = s.Submit(now, longRequest(900, now))
			for _, d := range s.Next(now).Dispatches {
				s.Finish(now, d.ID, scheduler.Result{Failed: true, Unreachable: true})
			}
			back := now.Add(600 * time.Millisecond)
			_ = s.Submit(back, longRequest(901, back))
			for _, d := range s.Next(back).Dispatches {
				s.Finish(back, d.ID, scheduler.Result{Complete: true})
			}
		},
	}
	for name, turn := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := forwarding("dc0", 1)
			s.SetPlace(0, 1)
			s.SetEndpoints(begin, []fleet.Endpoint{warm})
			now := begin.Add(time.Minute)
			turn(s, now)
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

// TestClosedEndpointsGetNothing until their data centre is open again; what is heard of
// leaves meanwhile doesn't open them.
func TestClosedEndpointsGetNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := forwarding("dc0", 1)
	closed := engine("a", "dc0")
	closed.Closed = true
	s.SetEndpoints(now, []fleet.Endpoint{closed, engine("b", "dc0")})
	s.SetLeaving("a", false)
	at := map[string]int{}
	send := func(ids ...int) {
		for _, id := range ids {
			g.Expect(s.Submit(now, longRequest(id, now))).To(BeNil())
			for _, d := range s.Next(now).Dispatches {
				at[d.Endpoint.ID]++
			}
		}
	}
	send(1, 2, 3, 4)
	g.Expect(at).To(Equal(map[string]int{"b": 4}))
	s.SetEndpoints(now, []fleet.Endpoint{closed})
	g.Expect(s.Submit(now, longRequest(5, now))).NotTo(BeNil(), "nothing serves it")
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("b", "dc0")})
	send(6, 7, 8, 9)
	g.Expect(at["a"]).To(BeNumerically(">", 0))
}
