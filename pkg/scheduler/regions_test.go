package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// inRegion is an engine of a data centre in a region.
func inRegion(id, dataCenter, region string) fleet.Endpoint {
	e := engine(id, dataCenter)
	e.Region = region
	return e
}

// TestRegionsBind: the endpoints elsewhere get nothing, also where they alone are free, and
// of a row's and a workspace's regions both bind. Who can go nowhere is refused at once.
func TestRegionsBind(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	north, south := inRegion("north", "dc0", "north"), inRegion("south", "dc1", "south")
	unknown := engine("unknown", "dc0")
	cases := map[string]struct {
		row, workspace []string
		want           string
	}{
		"the row's":            {[]string{"south"}, nil, "south"},
		"the workspace's":      {nil, []string{"north"}, "north"},
		"both":                 {[]string{"north", "south"}, []string{"south"}, "south"},
		"none is in both":      {[]string{"north"}, []string{"south"}, ""},
		"none has an endpoint": {[]string{"west"}, nil, ""},
	}
	for name, tc := range cases {
		s := newForwardingScheduler("dc0", 1)
		s.SetEndpoints(now, []fleet.Endpoint{north, south, unknown})
		// The one that may take it is full and has much to read.
		s.Report(now, scheduler.Report{Endpoint: tc.want, Incarnation: 1, At: now, UsedTokens: 33_000, CapacityTokens: 34_000, Running: 9})
		got := map[string]int{}
		for id := range 20 {
			r := longRequest(id+1, now)
			r.Row.Priority = 9
			r.Row.Regions, r.Regions = tc.row, tc.workspace
			if err := s.Submit(now, r); tc.want == "" {
				g.Expect(err).NotTo(BeNil(), name)
				continue
			}
			for _, d := range s.Next(now).Dispatches {
				got[d.Endpoint.ID]++
			}
		}
		if tc.want != "" {
			g.Expect(got).To(HaveLen(1), name)
			g.Expect(got).To(HaveKey(tc.want), name)
		}
	}
}
