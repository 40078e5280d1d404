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

// TestWhatMayOutlastAStopIsRefused guards against requests that are taken since their mean run time ends before the entry
// stops, and outlast it.
func TestWhatMayOutlastAStopIsRefused(t *testing.T) {
	const grace = 4 * time.Second
	even, spread := []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, []float64{0.2, 0.5, 3, 0.4, 1.2, 0.3, 0.6, 4, 0.7, 0.5}
	for name, c := range map[string]struct {
		// learned are the run times in seconds that the kind had before.
		learned []float64
		request scheduler.Request
		refused bool
	}{
		"kind whose run times are alike":          {learned: even},
		"kind whose run times differ":             {learned: spread, refused: true},
		"kind that hasn't run":                    {refused: true},
		"deadline before the stop":                {learned: spread, request: scheduler.Request{Deadline: time.Unix(0, 0).Add(grace)}},
		"row's timeout before the stop":           {request: scheduler.Request{Row: table.Row{Timeout: grace}}},
		"short generation of a kind that differs": {learned: spread, request: scheduler.Request{PromptTokens: 10, MaxTokens: 40}},
		"long generation":                         {request: scheduler.Request{PromptTokens: 10, MaxTokens: 400}, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := scheduler.New(scheduler.Version(scheduler.ForwardingVersion))
			now := time.Unix(0, 0).Add(-time.Hour)
			s.SetEndpoints(now, []fleet.Endpoint{{ID: "desk-1", Targets: []string{"desk"}, MaxRunning: 8, Type: fleet.Service}, {ID: "engine-1", Targets: []string{"engine"}, MaxRunning: 8, Type: fleet.Engine}})
			request := func(id scheduler.ID, r scheduler.Request) scheduler.Request {
				r.ID, r.Kind, r.ArrivedAt = id, "kind", now
				r.Row.Target, r.Row.MaxQueued, r.Row.MaxInFlight, r.Row.MaxQueueTime = "desk", 100, 100, time.Minute
				if r.PromptTokens > 0 {
					r.Row.Target = "engine"
				}
				if r.Row.Timeout == 0 {
					r.Row.Timeout = time.Minute
				}
				return r
			}
			id := scheduler.ID(0)
			for _, seconds := range c.learned {
				id++
				g.Expect(s.Submit(now, request(id, scheduler.Request{}))).To(BeNil())
				g.Expect(s.Next(now).Dispatches).To(HaveLen(1))
				now = now.Add(time.Duration(seconds * float64(time.Second)))
				s.Finish(now, id, scheduler.Result{Complete: true})
			}
			now = time.Unix(0, 0)
			s.SetStopAt(now.Add(grace))
			r := request(id+1, c.request)
			err := s.Submit(now, r)
			g.Expect(s.EndsAfterStop(now, r)).To(Equal(err), "what is sent without waiting here")
			if !c.refused {
				g.Expect(err).To(BeNil())
				return
			}
			g.Expect(err).NotTo(BeNil())
			g.Expect(err.Code).To(Equal(outcome.CodeStopping))
		})
	}
}
