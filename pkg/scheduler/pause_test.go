package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// TestNothingGoesToAnEndpointThatWantsAPause, until it is over, while others serve; where all
// want one, who can't wait for the first to be over is refused at once, with when that is.
func TestNothingGoesToAnEndpointThatWantsAPause(t *testing.T) {
	g := NewWithT(t)
	begin := time.Unix(1000, 0)
	weary, other := service("weary", "dc0"), service("other", "dc0")
	s := forwarding("dc0", 1)
	s.SetEndpoints(begin, []fleet.Endpoint{weary, other})
	serial := 0
	// at sends one request and returns where it went, or why not.
	at := func(now time.Time) (id string, err *outcome.Error) {
		serial++
		if err := s.Submit(now, plainRequest(serial, now)); err != nil {
			return "", err
		}
		done := s.Next(now)
		for _, d := range done.Dispatches {
			s.Finish(now, d.ID, scheduler.Result{Complete: true})
			id = d.Endpoint.ID
		}
		return id, nil
	}
	s.Backpressure().Pause(begin, weary.Instance(), 3*time.Second)
	for ms := range 2999 {
		id, err := at(begin.Add(time.Duration(ms) * time.Millisecond))
		g.Expect(err).To(BeNil())
		g.Expect(id).To(Equal("other"), "after %d ms", ms)
	}
	used := map[string]bool{}
	for ms := range 100 {
		id, _ := at(begin.Add(3*time.Second + time.Duration(ms)*time.Millisecond))
		used[id] = true
	}
	g.Expect(used).To(HaveKey("weary"), "and is used again")

	later := begin.Add(time.Minute)
	s.Backpressure().Pause(later, weary.Instance(), 5*time.Second)
	s.Backpressure().Pause(later, other.Instance(), 9*time.Second)
	s.Backpressure().Pause(later, weary.Instance(), time.Second)
	_, err := at(later.Add(time.Second))
	g.Expect(err).NotTo(BeNil(), "a shorter pause takes nothing off a longer one")
	g.Expect(err.Outcome).To(Equal(outcome.NotRun))
	g.Expect(err.RetryAfter).To(BeNumerically("~", 4500*time.Millisecond, 510*time.Millisecond), "4 s, and up to a quarter more")
	id, err := at(later.Add(4500 * time.Millisecond))
	g.Expect(err).To(BeNil(), "it waits for half a second")
	g.Expect(id).To(BeEmpty())
	sent := s.Next(later.Add(5 * time.Second)).Dispatches
	g.Expect(sent).To(HaveLen(1))
	g.Expect(sent[0].Endpoint.ID).To(Equal("weary"))
}
