package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// coolDown is longer than any pause of a breaker between two probes.
const coolDown = 3 * time.Second

// TestALostDataCentreIsProbedWhereNothingHasFailed: callers of an entry that is cut off
// were refused for 20 s though an endpoint beyond the cut was good.
//
// Two endpoints of the other data centre could not be reached, so that it counted as lost
// and got one probe every two seconds. A third one came. Each probe went to any of the
// three, as luck would have it: once in sixty times ten probes in a row went to the two dead
// ones. The evidence is the gateway's log of such a run, which names the endpoint of each
// probe.
func TestALostDataCentreIsProbedWhereNothingHasFailed(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		now := time.Unix(0, 0)
		s := newForwardingScheduler("dc0", seed)
		dead := []fleet.Endpoint{service("dead-1", "dc1"), service("dead-2", "dc1")}
		s.SetEndpoints(now, dead)
		id := 0
		send := func() string {
			id++
			g.Expect(s.Submit(now, plainRequest(id, now))).To(BeNil())
			sent := s.Next(now).Dispatches
			g.Expect(sent).To(HaveLen(1))
			return sent[0].Endpoint.ID
		}
		for range dead {
			send()
			s.Finish(now, scheduler.ID(id), scheduler.Result{Failed: true, Unreachable: true})
		}
		g.Expect(s.Reach().Lost).To(Equal([]string{"dc1"}))
		s.SetEndpoints(now, append(dead, service("new", "dc1")))
		now = now.Add(coolDown)
		g.Expect(send()).To(Equal("new"), "seed %d", seed)
	}
}

// TestAProbeWithoutAResultIsFollowedByAnother: a probe whose caller leaves, or that meets an
// endpoint that takes no new work, shows nothing. Awaiting its result would keep an endpoint
// that is back, or a whole data centre, without requests for ten seconds.
func TestAProbeWithoutAResultIsFollowedByAnother(t *testing.T) {
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
		now = now.Add(coolDown)
		send(2)
		s.Finish(now, 2, scheduler.Result{})
		send(3)
		now = now.Add(time.Second)
		s.Finish(now, 3, scheduler.Result{})
		g.Expect(s.Submit(now, plainRequest(4, now))).NotTo(BeNil(), "silent for a second: it isn't back")
	}
}
