package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// TestRequestsThatOutlastAStopAreRefusedAtOnce guards against requests that wait at a stopping entry, or
// are sent by it, although they can't end before it does.
func TestRequestsThatOutlastAStopAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	const runTime = 10 * time.Second
	s := scheduler.New(scheduler.Version(scheduler.ForwardingVersion))
	now := time.Now()
	s.SetEndpoints(now, []fleet.Endpoint{{ID: "desk-1", Targets: []string{"desk"}, MaxRunning: 1, Type: fleet.Service}})
	request := func(id scheduler.ID) scheduler.Request {
		return scheduler.Request{ID: id, Kind: "plain", ArrivedAt: now, Row: table.Row{Target: "desk", Timeout: time.Minute, MaxQueueTime: time.Minute, MaxQueued: 100, MaxInFlight: 100}}
	}
	// One request shows how long the kind runs.
	g.Expect(s.Submit(now, request(1))).To(BeNil())
	g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
	now = now.Add(runTime)
	s.Finish(now, 1, scheduler.Result{Complete: true})
	id := scheduler.ID(1)
	for dispatched := true; dispatched; dispatched = len(s.Next(now).Dispatches) > 0 {
		id++
		g.Expect(s.Submit(now, request(id))).To(BeNil())
	}
	s.SetStopAt(now.Add(runTime / 2))
	refusals := s.Next(now).Refusals
	g.Expect(refusals).To(HaveLen(1), "the one that waits")
	g.Expect(refusals[0].ID).To(Equal(id))
	g.Expect(refusals[0].Err.Code).To(Equal(outcome.CodeStopping))
	g.Expect(refusals[0].Err.RetryAfter).To(BeNumerically(">", 0))
	late := s.Submit(now, request(id+1))
	g.Expect(late).NotTo(BeNil())
	g.Expect(late.Code).To(Equal(outcome.CodeStopping))
	s.SetStopAt(now.Add(time.Hour))
	g.Expect(s.Submit(now, request(id+2))).To(BeNil())
}
