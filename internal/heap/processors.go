package heap

import "runtime"

const (
	// processorBytes is the memory for each processor that the runtime may use at once. The more there are, the more is
	// allocated until a collection ends, and each has caches of its own.
	processorBytes = 16 << 20
	// minProcessors lets the collector run beside the program.
	minProcessors = 2
)

// Processors returns how many processors a process with so much memory may use at once.
func Processors(memory int64) int { return int(max(memory/processorBytes, minProcessors)) }

// LimitProcessors keeps the runtime from using more processors at once than Processors returns, on machines that have
// more.
func LimitProcessors(memory int64) {
	if most := Processors(memory); runtime.GOMAXPROCS(0) > most {
		runtime.GOMAXPROCS(most)
	}
}
