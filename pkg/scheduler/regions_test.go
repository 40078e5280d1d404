package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// engineInRegion returns an engine of a data centre in a region.
func engineInRegion(id, dataCenter, region string) fleet.Endpoint {
	e := engine(id, dataCenter)
	e.Region = region
	return e
}

// TestRegionRestrictions checks that endpoints outside the permitted regions get no requests, even
// if only they have free capacity, and that the regions of the row and of the workspace both apply.
// Requests without a permitted endpoint are refused at once.
func TestRegionRestrictions(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	north, south := engineInRegion("north", "dc0", "north"), engineInRegion("south", "dc1", "south")
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
		// The only permitted endpoint is nearly full.
		s.Report(now, scheduler.Report{Endpoint: tc.want, Incarnation: 1, ReportedAt: now, UsedTokens: 33_000, CapacityTokens: 34_000, Running: 9})
		counts := map[string]int{}
		for id := range 20 {
			r := longRequest(id+1, now)
			r.Row.Priority = 9
			r.Row.Regions, r.PermittedRegions = tc.row, tc.workspace
			if err := s.Submit(now, r); tc.want == "" {
				g.Expect(err).NotTo(BeNil(), name)
				continue
			}
			for _, d := range s.Next(now).Dispatches {
				counts[d.Endpoint.ID]++
			}
		}
		if tc.want != "" {
			g.Expect(counts).To(HaveLen(1), name)
			g.Expect(counts).To(HaveKey(tc.want), name)
		}
	}
}
