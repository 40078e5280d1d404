package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// TestMechanismsCanBeSwitchedOff: each leaves a policy that still sends requests, and
// the version that it was taken from as it was.
func TestMechanismsCanBeSwitchedOff(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	whole := scheduler.Version(scheduler.ForwardingVersion)
	for _, m := range scheduler.Mechanisms() {
		cfg := whole.Without(m)
		cfg.DataCenter = "dc0"
		s := scheduler.New(cfg)
		s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0"), engine("b", "dc1")})
		g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil(), string(m))
		g.Expect(s.Next(now).Dispatches).To(HaveLen(1), string(m))
	}
	g.Expect(whole.Pipeline.Scorers).To(HaveLen(3))
	g.Expect(whole.Without("of another package").Pipeline).To(Equal(whole.Pipeline))
}

// TestWithoutBreakersFailuresAreForgotten shows that a switch reaches its mechanism.
func TestWithoutBreakersFailuresAreForgotten(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	for _, off := range []scheduler.Mechanism{"", scheduler.Breakers} {
		cfg := scheduler.Version(scheduler.ForwardingVersion).Without(off)
		cfg.DataCenter = "dc0"
		s := scheduler.New(cfg)
		s.SetEndpoints(now, []fleet.Endpoint{engine("a", "dc0")})
		g.Expect(s.Submit(now, longRequest(1, now))).To(BeNil())
		g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
		s.Finish(now, 1, scheduler.Result{Failed: true, Unreachable: true})
		g.Expect(s.Submit(now, longRequest(2, now))).To(BeNil())
		g.Expect(s.Next(now).Dispatches).To(HaveLen(map[scheduler.Mechanism]int{"": 0, scheduler.Breakers: 1}[off]))
	}
}
