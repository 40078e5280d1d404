package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

func engine(id, dataCenter string) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Type: fleet.Engine, DataCenter: dataCenter, Targets: []string{"m"}, Incarnation: 1,
		State: fleet.Live, CapacityTokens: 34000, MaxRunning: 24}
}

func forwarding(dataCenter string, seed uint64) *scheduler.Scheduler {
	cfg := scheduler.Version(scheduler.Forwarding)
	cfg.DataCenter = dataCenter
	cfg.Rand = rand.New(rand.NewPCG(seed, seed))
	return scheduler.New(cfg)
}

func service(id, dataCenter string) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Type: fleet.Service, DataCenter: dataCenter, Targets: []string{"desk"}, Incarnation: 1,
		State: fleet.Live, MaxRunning: 6}
}

func plainRequest(id int, now time.Time) scheduler.Request {
	return scheduler.Request{
		ID: scheduler.ID(id), Kind: "plain", Arrived: now,
		Row: table.Row{Target: "desk", Weight: 1, Priority: 3, MaxInFlight: 1000, MaxQueued: 1000, MaxQueueTime: time.Second, Timeout: time.Second},
	}
}

func longRequest(id int, now time.Time) scheduler.Request {
	return scheduler.Request{
		ID: scheduler.ID(id), Kind: "k", PromptTokens: 3000, MaxTokens: 1000, Arrived: now,
		Row: table.Row{Target: "m", Weight: 1, Priority: 6, MaxInFlight: 1000, MaxQueued: 1000, MaxQueueTime: 5 * time.Second, Timeout: 40 * time.Second},
	}
}

// TestEntriesDoNotAllTakeTheNewEndpoint: nine entries that know the load of all
// endpoints but one, which has just begun, don't all send there. (When they
// did, 42 of 171 answers were late.)
func TestEntriesDoNotAllTakeTheNewEndpoint(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var endpoints []fleet.Endpoint
	for i := range 12 {
		endpoints = append(endpoints, engine(fmt.Sprintf("e%d", i), fmt.Sprintf("dc%d", i%3)))
	}
	endpoints = append(endpoints, engine("new", "dc0"))
	got := map[string]int{}
	const entries = 9
	for n := range entries {
		s := forwarding(fmt.Sprintf("dc%d", n%3), uint64(n))
		s.SetEndpoints(now, endpoints)
		for _, e := range endpoints[:12] {
			s.Report(now, scheduler.Report{Endpoint: e.ID, Incarnation: 1, At: now, UsedTokens: 14000, CapacityTokens: 34000})
		}
		g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
		for _, d := range s.Next(now).Dispatches {
			got[d.Endpoint.ID]++
		}
	}
	sum := 0
	for _, n := range got {
		sum += n
	}
	g.Expect(sum).To(Equal(entries))
	g.Expect(got["new"]).To(BeNumerically("<=", entries/2))
}

// TestUnreadPromptsTurnRequestsAway: an endpoint that still reads prompts of this
// entry gets the next one last.
func TestUnreadPromptsTurnRequestsAway(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("b", "dc0")})
	got := map[string]int{}
	for i := range 6 {
		g.Expect(s.Submit(now, longRequest(i+1, now))).To(BeNil())
		for _, d := range s.Next(now).Dispatches {
			got[d.Endpoint.ID]++
		}
	}
	g.Expect(got).To(Equal(map[string]int{"a": 3, "b": 3}))
}

// TestPromptsOfOthersTurnRequestsAway: an endpoint that others have just sent prompts
// to gets none until it has read them, however long that takes. (Untold, every tenth long
// answer of 62 and 85 entries began late.) One whose reading nobody tells of counts for
// 8 s.
func TestPromptsOfOthersTurnRequestsAway(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	got := func(after time.Duration, read bool) map[string]int {
		s := forwarding("dc0", 1)
		s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("b", "dc0")})
		for range 4 {
			s.PromptSent(now, "a", 3000)
		}
		for range 4 {
			if read {
				s.PromptRead(now.Add(after), "a", 3000)
			}
		}
		out := map[string]int{}
		for i := range 4 {
			g.Expect(s.Submit(now.Add(after), longRequest(i+1, now.Add(after)))).To(BeNil())
			for _, d := range s.Next(now.Add(after)).Dispatches {
				out[d.Endpoint.ID]++
			}
		}
		return out
	}
	even := map[string]int{"a": 2, "b": 2}
	g.Expect(got(0, false)["b"]).To(BeNumerically(">=", 3))
	g.Expect(got(3*time.Second, false)["b"]).To(BeNumerically(">=", 3), "nobody has said that they were read")
	g.Expect(got(100*time.Millisecond, true)).To(Equal(even))
	g.Expect(got(9*time.Second, false)).To(Equal(even))
}

// TestAnUnreachableEndpointIsAvoidedAtOnce: one connection that can't be had is
// enough.
func TestAnUnreachableEndpointIsAvoidedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("b", "dc1")})
	g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
	first := s.Next(now).Dispatches
	g.Expect(first).To(HaveLen(1))
	g.Expect(first[0].Endpoint.ID).To(Equal("a"), "the own data centre is preferred")
	s.Finish(now, 1, scheduler.Result{Failed: true, Unreachable: true})
	for i := range 4 {
		g.Expect(s.Submit(now, longRequest(i+2, now))).To(BeNil())
		for _, d := range s.Next(now).Dispatches {
			g.Expect(d.Endpoint.ID).To(Equal("b"))
		}
	}
}

// TestACutDataCentreIsAvoidedAsAWhole: after two endpoints of a data centre could not
// be reached in a row, the others there get nothing but single probes, until one
// answers.
func TestACutDataCentreIsAvoidedAsAWhole(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := forwarding("dc0", 1)
	endpoints := []fleet.Endpoint{service("near", "dc0")}
	for i := range 6 {
		endpoints = append(endpoints, service(fmt.Sprintf("far%d", i), "dc1"))
	}
	s.SetEndpoints(now, endpoints)
	id := 0
	send := func() string {
		id++
		g.Expect(s.Submit(now, plainRequest(id, now))).To(BeNil())
		sent := s.Next(now).Dispatches
		g.Expect(sent).To(HaveLen(1))
		return sent[0].Endpoint.ID
	}
	s.SetLeaving("near", true)
	for range 2 {
		g.Expect(send()).To(HavePrefix("far"))
		s.Finish(now, scheduler.ID(id), scheduler.Result{Failed: true, Unreachable: true})
	}
	s.SetLeaving("near", false)
	for range 6 {
		g.Expect(send()).To(Equal("near"))
		s.Finish(now, scheduler.ID(id), scheduler.Result{Complete: true})
	}
	// Probes go out one at a time; an answer opens the data centre again.
	g.Expect(s.Reach()).To(Equal(scheduler.Reach{Lost: []string{"dc1"}, CutOff: true}))
	now = now.Add(time.Minute)
	s.SetLeaving("near", true)
	g.Expect(send()).To(HavePrefix("far"))
	probe := scheduler.ID(id)
	id++
	g.Expect(s.Submit(now, plainRequest(id, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(BeEmpty(), "a second probe has to wait for the first")
	s.Finish(now, probe, scheduler.Result{Complete: true})
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	g.Expect(s.Reach()).To(Equal(scheduler.Reach{}))
}

// TestATargetWithoutEndpointsIsNotOutOfReach: nobody else serves it either.
func TestATargetWithoutEndpointsIsNotOutOfReach(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{service("far", "dc1")})
	g.Expect(s.OutOfReach("desk")).To(BeFalse())
	g.Expect(s.Submit(now, plainRequest(1, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	s.Finish(now, 1, scheduler.Result{Failed: true, Unreachable: true})
	g.Expect(s.OutOfReach("desk")).To(BeTrue())
	g.Expect(s.OutOfReach("nowhere")).To(BeFalse())
}

// TestTheFirstTokenEndsAProbe: a long answer shows with its first token that its endpoint
// and its data centre are back; others don't wait for its end.
func TestTheFirstTokenEndsAProbe(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc1")})
	g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	s.Finish(now, 1, scheduler.Result{Failed: true, Unreachable: true})
	now = now.Add(time.Second)
	g.Expect(s.Submit(now, longRequest(2, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1), "the probe")
	g.Expect(s.Submit(now, longRequest(3, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(BeEmpty())
	s.Progress(now, 2, 1)
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
}

// TestWhatNoEndpointCanServeIsRefusedAtOnce: once a probe has failed, requests are
// refused without a wait, as not run and with the time of the next probe; those that
// waited for the probe are refused with it.
func TestWhatNoEndpointCanServeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{service("near", "dc0"), service("far", "dc1")})
	s.SetLeaving("near", true)
	unreachable := func(id int) {
		g.Expect(s.Submit(now, plainRequest(id, now))).To(BeNil())
		g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
		s.Finish(now, scheduler.ID(id), scheduler.Result{Failed: true, Unreachable: true})
	}
	unreachable(1)
	g.Expect(s.Submit(now, plainRequest(2, now))).To(BeNil(), "the first failure may be a matter of moments")
	g.Expect(s.Next(now).Refusals).To(BeEmpty())
	now = now.Add(600 * time.Millisecond)
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1), "the waiting one is the probe")
	g.Expect(s.Submit(now, plainRequest(3, now))).To(BeNil())
	s.Finish(now, 2, scheduler.Result{Failed: true, Unreachable: true})
	refused := s.Next(now).Refusals
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].ID).To(Equal(scheduler.ID(3)))
	err := s.Submit(now, plainRequest(4, now))
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Outcome).To(Equal(outcome.NotRun))
	g.Expect(err.RetryAfter).To(BeNumerically("~", time.Second, 300*time.Millisecond), "the next probe is a second away")
}

// TestWaitingLeavesTimeToRun: a request waits as long as it can still be answered, and no
// longer: with a timeout of 1 s and runs of 300 ms, 700 ms.
func TestWaitingLeavesTimeToRun(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := forwarding("dc0", 1)
	one := service("near", "dc0")
	one.MaxRunning = 1
	s.SetEndpoints(now, []fleet.Endpoint{one})
	for id := range 3 {
		g.Expect(s.Submit(now, plainRequest(id+1, now))).To(BeNil())
		g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
		now = now.Add(300 * time.Millisecond)
		s.Finish(now, scheduler.ID(id+1), scheduler.Result{Complete: true})
	}
	g.Expect(s.Submit(now, plainRequest(4, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	g.Expect(s.Submit(now, plainRequest(5, now))).To(BeNil())
	now = now.Add(690 * time.Millisecond)
	g.Expect(s.Next(now).Refusals).To(BeEmpty())
	now = now.Add(20 * time.Millisecond)
	g.Expect(s.Next(now).Refusals).To(HaveLen(1))
}

// TestAMovedGenerationCountsWhereItIs keeps the believed load true.
func TestAMovedGenerationCountsWhereItIs(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("b", "dc0")})
	g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
	from := s.Next(now).Dispatches[0].Endpoint.ID
	to := map[string]string{"a": "b", "b": "a"}[from]
	s.Progress(now, 1, 4)
	s.Move(1, engine(to, "dc0").Instance())
	for _, st := range s.Status(now) {
		want := 0
		if st.ID == to {
			want = 1
		}
		g.Expect(st.Running).To(Equal(want), st.ID)
	}
	s.Finish(now, 1, scheduler.Result{Complete: true, Generated: 8})
	for _, st := range s.Status(now) {
		g.Expect(st.Running).To(BeZero())
		g.Expect(st.Projected.Max()).To(BeNumerically("~", 0, 1e-6))
	}
}

// TestSlowTokensRefuseNobody: long gaps, such as those of moves, don't make an
// entry refuse requests that may well end in time. (One was refused because
// "about 1m14s are needed, 39s are left".)
func TestSlowTokensRefuseNobody(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0")})
	g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	for i := range 5 {
		now = now.Add(2 * time.Second)
		s.Progress(now, 1, i+1)
	}
	g.Expect(s.Submit(now, longRequest(2, now))).To(BeNil())
	actions := s.Next(now)
	g.Expect(actions.Refusals).To(BeEmpty())
	g.Expect(actions.Dispatches).To(HaveLen(1))
}

// TestFewerChoicesSpreadWider: entries with the same late news of many endpoints
// spread over more of them if each decision compares fewer.
func TestFewerChoicesSpreadWider(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var endpoints []fleet.Endpoint
	for i := range 15 {
		endpoints = append(endpoints, engine(fmt.Sprintf("e%d", i), "dc0"))
	}
	most := func(choices int) int {
		got := map[string]int{}
		top := 0
		for n := range 60 {
			s := forwarding("dc0", uint64(n))
			s.SetChoices(choices, 1)
			s.SetEndpoints(now, endpoints)
			for i, e := range endpoints {
				s.Report(now, scheduler.Report{Endpoint: e.ID, Incarnation: 1, At: now, UsedTokens: 1500 * i, CapacityTokens: 34000})
			}
			g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
			for _, d := range s.Next(now).Dispatches {
				got[d.Endpoint.ID]++
				top = max(top, got[d.Endpoint.ID])
			}
		}
		return top
	}
	g.Expect(most(1)).To(BeNumerically("<", most(2)))
	g.Expect(most(2)).To(BeNumerically("<", most(8)))
}
