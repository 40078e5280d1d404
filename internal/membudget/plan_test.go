package membudget_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/membudget"
)

// TestConnectionsLeaveDescriptorsForEndpoints guards against callers that take all descriptors.
func TestConnectionsLeaveDescriptorsForEndpoints(t *testing.T) {
	g := NewWithT(t)
	for descriptors, most := range map[int]int{1: 1, 100: 50, 1000: 500, 1_000_000: 2_034} {
		plan := membudget.NewPlan(200e6, descriptors, 1024)
		g.Expect(plan.Connections).To(And(BeNumerically(">", 0), BeNumerically("<=", most)))
		g.Expect(plan.PeerConnections).To(And(BeNumerically(">", 0), BeNumerically("<=", max(most/4, 1))))
	}
}
