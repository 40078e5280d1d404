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

// homesAllocated counts what an entry allocates when it works out whose home entry it is, and which
// engines elsewhere it reads.
func homesAllocated(entries, endpoints int) float64 {
	view := membership.New(membership.Config{VM: "vm-0", DataCenter: "dc-0", Epoch: 1, Incarnation: make([]byte, 16)})
	b := NewBeliefs(view, dispatch.New(scheduler.New(scheduler.Config{})), 1, func(drain.Leave, string) {})
	now := time.Now()
	var others []*peerv1.NodeRecord
	for i := 1; i < entries; i++ {
		others = append(others, &peerv1.NodeRecord{Vm: fmt.Sprint("vm-", i), DataCenter: "dc-0", Epoch: 1, Version: 1})
	}
	b.Merge(now, others)
	var list []fleet.Endpoint
	for i := range endpoints {
		list = append(list, fleet.Endpoint{ID: fmt.Sprint("e-", i), Type: fleet.Engine, DataCenter: fmt.Sprint("dc-", i%2), Targets: []string{"t"}, MaxRunning: 1})
	}
	b.ApplyFleet((&fleet.List{}).WithEndpoints(list))
	return testing.AllocsPerRun(3, func() {
		b.homesAt = time.Time{}
		b.renewHomes(now)
		b.spillTargets("t")
	})
}

// Each entry hashed the names of every pair of an endpoint and an entry of its data centre.
func TestHomesTakeNoWorkForEachPairOfEntryAndEndpoint(t *testing.T) {
	g := NewWithT(t)
	small := homesAllocated(30, 300)
	g.Expect(homesAllocated(60, 600)).To(BeNumerically("<=", 2*small+100))
	g.Expect(small).To(BeNumerically("<=", 300))
}
