package peering

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// countPolls counts the polls of a single entry within 30 s, where busy of the engines run requests.
// It also returns the age of the oldest published report.
func countPolls(engines, busy int) (polls int, oldestReportAge time.Duration) {
	policy := scheduler.Version(scheduler.ForwardingVersion)
	policy.DataCenter = "dc"
	s := scheduler.New(policy)
	view := membership.New(membership.Config{VM: "vm-0", DataCenter: "dc", Epoch: 1, Incarnation: make([]byte, 16)})
	cs := NewClusterState(view, dispatch.New(s), 1, func(drain.Leave, string) {})
	var list []fleet.Endpoint
	for i := range engines {
		list = append(list, fleet.Endpoint{ID: fmt.Sprint("e-", i), Type: fleet.Engine, DataCenter: "dc", Targets: []string{"t"}, MaxRunning: 8, CapacityTokens: 10_000, Incarnation: 5})
	}
	cs.ApplyFleet((&fleet.List{}).WithEndpoints(list))
	for range 30 {
		now := time.Now()
		for _, e := range cs.EndpointsToPoll(now) {
			polls++
			r := scheduler.Report{Endpoint: e.ID, Incarnation: 5, ReportedAt: now, CapacityTokens: 10_000}
			if e.ID < fmt.Sprint("e-", busy) && len(e.ID) == len("e-0") {
				r.Running, r.UsedTokens = 1, 100
			}
			cs.RecordPoll(r, false)
		}
		time.Sleep(time.Second)
	}
	loads := encodeLoads(time.Now(), cs.reports)
	oldest := time.Duration(0)
	for _, age := range loads.GetAges() {
		oldest = max(oldest, time.Duration(age)*ageStep)
	}
	return polls, oldest
}

// TestPollsScaleWithBusyEngines guards against polling idle engines as often as busy ones, so that
// the number of polls grows with the number of all engines.
func TestPollsScaleWithBusyEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		small, _ := countPolls(100, 5)
		large, oldest := countPolls(200, 5)
		g.Expect(small).To(BeNumerically("<=", 5*30+95*3))
		g.Expect(large).To(BeNumerically("<=", 5*30+195*3))
		g.Expect(oldest).To(BeNumerically("<=", 2*time.Second), "unpolled engines are still reported")
	})
}

// TestIdleEngineIsPolledAfterPromptNotice checks that a notice of a prompt for an idle engine ends
// its idle polling interval.
func TestIdleEngineIsPolledAfterPromptNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		policy := scheduler.Version(scheduler.ForwardingVersion)
		policy.DataCenter = "dc"
		view := membership.New(membership.Config{VM: "vm-0", DataCenter: "dc", Epoch: 1, Incarnation: make([]byte, 16)})
		cs := NewClusterState(view, dispatch.New(scheduler.New(policy)), 1, func(drain.Leave, string) {})
		e := fleet.Endpoint{ID: "e", Type: fleet.Engine, DataCenter: "dc", Targets: []string{"t"}, MaxRunning: 8, CapacityTokens: 10_000, Incarnation: 5}
		cs.ApplyFleet((&fleet.List{}).WithEndpoints([]fleet.Endpoint{e}))
		recordPoll := func() {
			cs.RecordPoll(scheduler.Report{Endpoint: "e", Incarnation: 5, ReportedAt: time.Now(), CapacityTokens: 10_000}, false)
		}
		g.Expect(cs.EndpointsToPoll(time.Now())).To(HaveLen(1), "never polled")
		recordPoll()
		time.Sleep(time.Second)
		g.Expect(cs.EndpointsToPoll(time.Now())).To(BeEmpty())
		cs.PromptSent(InstanceHash(e.Instance()), 500)
		g.Expect(cs.EndpointsToPoll(time.Now())).To(HaveLen(1))
		cs.PromptPrefilled(InstanceHash(e.Instance()), 500)
		time.Sleep(time.Second)
		g.Expect(cs.EndpointsToPoll(time.Now())).To(HaveLen(1), "the request runs, and no report shows it yet")
		recordPoll()
		time.Sleep(time.Second)
		g.Expect(cs.EndpointsToPoll(time.Now())).To(BeEmpty())
		time.Sleep(DefaultIdlePollInterval)
		g.Expect(cs.EndpointsToPoll(time.Now())).To(HaveLen(1), "polled at the idle interval")
	})
}
