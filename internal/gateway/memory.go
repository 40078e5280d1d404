package gateway

import (
	"cmp"

	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/platform"
)

// defaultMemory is assumed in bytes where the platform names no limit.
const defaultMemory = 256 << 20

// planMemory splits the memory of a VM among maxOpen requests at once.
func planMemory(limits platform.VMLimits, maxOpen int) membudget.Plan {
	return membudget.NewPlan(cmp.Or(limits.MemoryBytes, defaultMemory), limits.Descriptors, maxOpen)
}
