package heap_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/heap"
)

func TestProcessorsGrowWithTheMemory(t *testing.T) {
	g := NewWithT(t)
	const mb = 1_000_000
	for memory, processors := range map[int64]int{0: 2, 64 * mb: 3, 134 * mb: 7, 1024 * mb: 61} {
		g.Expect(heap.Processors(memory)).To(Equal(processors))
	}
}
