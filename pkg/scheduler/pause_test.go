package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// TestPausedEndpointsGetNoRequests checks that a paused endpoint gets no requests until its
// pause ends, while others serve them. If all are paused, a request that can't wait for the
// end of the first pause is refused at once with the time until then.
func TestPausedEndpointsGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	paused, other := service("paused", "dc0"), service("other", "dc0")
	s := newForwardingScheduler("dc0", 1)
	s.SetEndpoints(start, []fleet.Endpoint{paused, other})
	lastID := 0
	// send submits one request and returns the endpoint it went to, if any, or the refusal.
	send := func(now time.Time) (id string, err *outcome.Error) {
		lastID++
		if err := s.Submit(now, plainRequest(lastID, now)); err != nil {
			return "", err
		}
		actions := s.Next(now)
		for _, d := range actions.Dispatches {
			s.Finish(now, d.ID, scheduler.Result{Complete: true})
			id = d.Endpoint.ID
		}
		return id, nil
	}
	s.Backpressure().Pause(start, paused.Instance(), 3*time.Second)
	for ms := range 2999 {
		id, err := send(start.Add(time.Duration(ms) * time.Millisecond))
		g.Expect(err).To(BeNil())
		g.Expect(id).To(Equal("other"), "after %d ms", ms)
	}
	used := map[string]bool{}
	for ms := range 100 {
		id, _ := send(start.Add(3*time.Second + time.Duration(ms)*time.Millisecond))
		used[id] = true
	}
	g.Expect(used).To(HaveKey("paused"), "it is used again after the pause")

	later := start.Add(time.Minute)
	s.Backpressure().Pause(later, paused.Instance(), 5*time.Second)
	s.Backpressure().Pause(later, other.Instance(), 9*time.Second)
	s.Backpressure().Pause(later, paused.Instance(), time.Second)
	_, err := send(later.Add(time.Second))
	g.Expect(err).NotTo(BeNil(), "a shorter pause doesn't shorten a longer one")
	g.Expect(err.Outcome).To(Equal(outcome.NotRun))
	g.Expect(err.RetryAfter).To(BeNumerically("~", 4500*time.Millisecond, 510*time.Millisecond), "4 s plus a jitter of up to a quarter")
	id, err := send(later.Add(4500 * time.Millisecond))
	g.Expect(err).To(BeNil(), "the request waits for half a second")
	g.Expect(id).To(BeEmpty())
	dispatches := s.Next(later.Add(5 * time.Second)).Dispatches
	g.Expect(dispatches).To(HaveLen(1))
	g.Expect(dispatches[0].Endpoint.ID).To(Equal("paused"))
}
