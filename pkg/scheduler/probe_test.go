package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// probeInterval is longer than a breaker that has opened waits before its first probe.
const probeInterval = 3 * time.Second

// TestDataCenterProbeAvoidsFailedEndpoints guards against a data centre that stays unreachable
// although one of its endpoints works. Two endpoints of the other data centre are unreachable, so
// that its breaker opens and permits one probe every two seconds; then a third endpoint joins. If
// probes go to random endpoints, then in one of sixty cases ten consecutive probes go to the
// unreachable ones, and requests are refused for 20 s.
func TestDataCenterProbeAvoidsFailedEndpoints(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		now := time.Unix(0, 0)
		s := newForwardingScheduler("dc0", seed)
		unreachable := []fleet.Endpoint{service("down-1", "dc1"), service("down-2", "dc1")}
		s.SetEndpoints(now, unreachable)
		id := 0
		send := func() string {
			id++
			g.Expect(s.Submit(now, plainRequest(id, now))).To(BeNil())
			sent := s.Next(now).Dispatches
			g.Expect(sent).To(HaveLen(1))
			return sent[0].Endpoint.ID
		}
		for range unreachable {
			send()
			s.Finish(now, scheduler.ID(id), scheduler.Result{Failed: true, Unreachable: true})
		}
		g.Expect(s.Reachability().Unreachable).To(Equal([]string{"dc1"}))
		s.SetEndpoints(now, append(unreachable, service("new", "dc1")))
		now = now.Add(probeInterval)
		g.Expect(send()).To(Equal("new"), "seed %d", seed)
	}
}

// TestInconclusiveProbeIsRepeated: a probe shows nothing if its caller disconnects or the endpoint
// refuses new work. If the breaker waited for its result, an available endpoint, or a whole data
// centre, would get no requests for 10 s.
func TestInconclusiveProbeIsRepeated(t *testing.T) {
	for _, dataCenter := range []string{"dc0", "dc1"} {
		g := NewWithT(t)
		now := time.Unix(0, 0)
		s := newForwardingScheduler("dc0", 1)
		s.SetEndpoints(now, []fleet.Endpoint{service("a", dataCenter)})
		send := func(id int) {
			g.Expect(s.Submit(now, plainRequest(id, now))).To(BeNil(), dataCenter)
			g.Expect(s.Next(now).Dispatches).To(HaveLen(1), dataCenter)
		}
		send(1)
		s.Finish(now, 1, scheduler.Result{Failed: true, Unreachable: true})
		now = now.Add(probeInterval)
		send(2)
		s.Finish(now, 2, scheduler.Result{})
		send(3)
		now = now.Add(time.Second)
		s.Finish(now, 3, scheduler.Result{})
		g.Expect(s.Submit(now, plainRequest(4, now))).NotTo(BeNil(), "a probe without an answer for 1 s counts as failed")
	}
}

func TestOnlyDisconnectedTargetsAreProbedWithoutRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := newForwardingScheduler("dc0", 1)
	endpoints := []fleet.Endpoint{service("a", "dc0"), service("b", "dc0")}
	s.SetEndpoints(now, endpoints)
	id := 0
	// finish lets one request end with a result at whichever endpoint it is sent to.
	finish := func(result scheduler.Result) {
		id++
		now = now.Add(probeInterval)
		g.Expect(s.Submit(now, plainRequest(id, now))).To(BeNil())
		g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
		s.Finish(now, scheduler.ID(id), result)
	}
	const maxRequests = 20
	for range maxRequests {
		if !s.TargetUnreachable(endpoints[0].Targets[0]) {
			finish(scheduler.Result{Failed: true})
		}
	}
	g.Expect(s.TargetUnreachable(endpoints[0].Targets[0])).To(BeTrue())
	target := endpoints[0].Targets[0]
	g.Expect(s.TargetDisconnected(target)).To(BeFalse(), "its endpoints can be connected to")
	g.Expect(s.ProbeCandidates(now, target)).To(BeEmpty())
	for range maxRequests {
		if !s.TargetDisconnected(target) {
			finish(scheduler.Result{Failed: true, Unreachable: true})
		}
	}
	g.Expect(s.TargetDisconnected(target)).To(BeTrue())
	g.Expect(s.ProbeCandidates(now, target)).To(HaveLen(2))
	s.Backpressure().Pause(now, endpoints[1].Instance(), time.Second)
	g.Expect(s.ProbeCandidates(now, target)).To(Equal(endpoints[:1]), "the other asked for a pause")
	s.RecordProbe(now, endpoints[0].Instance(), false)
	g.Expect(s.TargetDisconnected(target)).To(BeTrue())
	s.RecordProbe(now, fleet.Instance{Endpoint: "a", Incarnation: 7}, true)
	g.Expect(s.TargetDisconnected(target)).To(BeTrue(), "another incarnation")
	s.RecordProbe(now, endpoints[0].Instance(), true)
	g.Expect(s.TargetDisconnected(target)).To(BeFalse())
	g.Expect(s.TargetUnreachable(target)).To(BeFalse())
	g.Expect(s.ProbeCandidates(now, target)).To(BeEmpty())
}
