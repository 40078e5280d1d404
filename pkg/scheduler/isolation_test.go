package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// requestWithIdentity returns a long request whose identity is derived from name.
func requestWithIdentity(id scheduler.ID, now time.Time, name string) scheduler.Request {
	r := longRequest(int(id), now)
	r.Identity = func() quarantine.Identity { return quarantine.IdentityOf("w", "h", name, nil) }
	return r
}

// TestIsolatedRequestsGetEndpointsOfTheirOwn checks that each isolated request runs at an
// endpoint of its own, and that other requests avoid these endpoints as long as another one
// can take them.
func TestIsolatedRequestsGetEndpointsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := newForwardingScheduler("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("b", "dc0"), engine("c", "dc0")})
	var isolated []quarantine.IsolatedRequest
	for _, name := range []string{"x", "y"} {
		isolated = append(isolated, quarantine.IsolatedRequest{Identity: quarantine.IdentityOf("w", "h", name, nil), AvoidEndpoint: true})
	}
	s.SetIsolatedRequests(isolated)
	sentTo := map[string]map[string]int{}
	send := func(id scheduler.ID, name string) {
		g.Expect(s.Submit(now, requestWithIdentity(id, now, name))).To(BeNil())
		for _, d := range s.Next(now).Dispatches {
			if sentTo[name] == nil {
				sentTo[name] = map[string]int{}
			}
			sentTo[name][d.Endpoint.ID]++
			s.Finish(now, d.ID, scheduler.Result{Complete: true})
		}
	}
	for id := range scheduler.ID(30) {
		send(id+1, []string{"x", "y", "z"}[id%3])
	}
	g.Expect(sentTo["x"]).To(HaveLen(1))
	g.Expect(sentTo["y"]).To(HaveLen(1))
	g.Expect(sentTo["z"]).To(HaveLen(1))
	g.Expect(sentTo["x"]).NotTo(Equal(sentTo["y"]))
	g.Expect(sentTo["z"]).NotTo(Or(Equal(sentTo["x"]), Equal(sentTo["y"])))
	// While the third endpoint is leaving, other requests go to an isolation endpoint.
	for id := range sentTo["z"] {
		s.SetLeaving(id, true)
	}
	before := len(sentTo["z"])
	send(31, "z")
	g.Expect(sentTo["z"]).To(HaveLen(before + 1))
}
