package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// identified is a long request for what a name says.
func identified(id scheduler.ID, now time.Time, name string) scheduler.Request {
	r := longRequest(int(id), now)
	r.Identity = func() quarantine.Identity { return quarantine.IdentityOf("w", "h", name, nil) }
	return r
}

// TestRequestsKeptApart each run at an endpoint of their own, which others avoid as long as
// one is left that can take them.
func TestRequestsKeptApart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := forwarding("dc0", 1)
	s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("b", "dc0"), engine("c", "dc0")})
	var apart []quarantine.IsolatedRequest
	for _, name := range []string{"x", "y"} {
		apart = append(apart, quarantine.IsolatedRequest{Identity: quarantine.IdentityOf("w", "h", name, nil), AvoidEndpoint: true})
	}
	s.SetKeptApart(apart)
	at := map[string]map[string]int{}
	send := func(id scheduler.ID, name string) {
		g.Expect(s.Submit(now, identified(id, now, name))).To(BeNil())
		for _, d := range s.Next(now).Dispatches {
			if at[name] == nil {
				at[name] = map[string]int{}
			}
			at[name][d.Endpoint.ID]++
			s.Finish(now, d.ID, scheduler.Result{Complete: true})
		}
	}
	for id := range scheduler.ID(30) {
		send(id+1, []string{"x", "y", "z"}[id%3])
	}
	g.Expect(at["x"]).To(HaveLen(1))
	g.Expect(at["y"]).To(HaveLen(1))
	g.Expect(at["z"]).To(HaveLen(1))
	g.Expect(at["x"]).NotTo(Equal(at["y"]))
	g.Expect(at["z"]).NotTo(Or(Equal(at["x"]), Equal(at["y"])))
	// Without the third endpoint others go where they can.
	for id := range at["z"] {
		s.SetLeaving(id, true)
	}
	before := len(at["z"])
	send(31, "z")
	g.Expect(at["z"]).To(HaveLen(before + 1))
}
