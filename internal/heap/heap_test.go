package heap_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/heap"
)

// TestGrowthIsBoundedForLargeHeaps guards against garbage that accumulates in proportion to the
// live heap and so to the size of the fleet.
func TestGrowthIsBoundedForLargeHeaps(t *testing.T) {
	g := NewWithT(t)
	growth := func(live uint64) uint64 { return live * uint64(heap.GCPercent(live)) / 100 }
	const mb = 1 << 20
	g.Expect(heap.GCPercent(2 * mb)).To(Equal(100))
	g.Expect(growth(24 * mb)).To(BeNumerically("<=", growth(12*mb)+mb/4))
	g.Expect(growth(12 * mb)).To(BeNumerically("~", 6*mb, mb/4))
	g.Expect(heap.GCPercent(1000*mb)).To(BeNumerically(">=", 25), "the collector must not run continuously")
}
