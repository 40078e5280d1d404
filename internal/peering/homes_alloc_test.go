package peering

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// homeRefreshAllocs counts the allocations of refreshing the home entries and picking the endpoints
// to poll in other data centres.
func homeRefreshAllocs(entries, endpoints int) float64 {
	view := membership.New(membership.Config{VM: "vm-0", DataCenter: "dc-0", Epoch: 1, Incarnation: make([]byte, 16)})
	cs := NewClusterState(view, dispatch.New(scheduler.New(scheduler.Config{})), 1, func(drain.Leave, string) {})
	now := time.Now()
	var records []*peerv1.NodeRecord
	for i := 1; i < entries; i++ {
		records = append(records, &peerv1.NodeRecord{Vm: fmt.Sprint("vm-", i), DataCenter: "dc-0", Epoch: 1, Version: 1})
	}
	cs.Merge(now, records)
	var list []fleet.Endpoint
	for i := range endpoints {
		list = append(list, fleet.Endpoint{ID: fmt.Sprint("e-", i), Type: fleet.Engine, DataCenter: fmt.Sprint("dc-", i%2), Targets: []string{"t"}, MaxRunning: 1})
	}
	cs.ApplyFleet((&fleet.List{}).WithEndpoints(list))
	return testing.AllocsPerRun(3, func() {
		cs.homesUpdatedAt = time.Time{}
		cs.refreshHomes(now)
		cs.spilloverEndpoints("t")
	})
}

// TestHomeRefreshAllocatesLinearly guards against hashing the names of every pair of an endpoint
// and an entry of the data centre, whose number grows quadratically with the fleet.
func TestHomeRefreshAllocatesLinearly(t *testing.T) {
	g := NewWithT(t)
	small := homeRefreshAllocs(30, 300)
	g.Expect(homeRefreshAllocs(60, 600)).To(BeNumerically("<=", 2*small+100))
	g.Expect(small).To(BeNumerically("<=", 300))
}
