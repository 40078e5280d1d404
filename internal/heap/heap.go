// Package heap bounds the garbage that accumulates between two garbage collections.
//
// By default the Go runtime lets the heap double between collections. For an entry with
// thousands of endpoints the garbage would take as much memory as the fleet list, on VMs with
// little memory, although its allocation rate is no higher than that of an entry with few.
// Therefore, once the live heap exceeds a fixed size, the next collection starts after a fixed
// growth.
package heap

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/pause"
)

const (
	// maxGrowth is the growth in bytes after which the next collection starts if the live heap
	// is larger than that. minPercent takes precedence.
	maxGrowth = 6 << 20
	// defaultPercent and minPercent limit the growth in percent of the live heap. Below
	// minPercent the collector would run continuously.
	defaultPercent = 100
	minPercent     = 25
	// adjustInterval is the time between two adjustments of the GC percentage.
	adjustInterval = 2 * time.Second
	// liveMetric is the live heap after the last collection, in bytes.
	liveMetric = "/gc/heap/live:bytes"
)

// GCPercent returns the growth until the next collection in percent of the live heap, as
// debug.SetGCPercent takes it.
func GCPercent(live uint64) int {
	if live <= maxGrowth {
		return defaultPercent
	}
	return max(int(maxGrowth*100/live), minPercent)
}

// Bound adjusts the GC percentage to the live heap until the context ends, or returns at once
// if the runtime doesn't provide the metric.
func Bound(ctx context.Context) {
	sample := []metrics.Sample{{Name: liveMetric}}
	current := defaultPercent
	for pause.For(ctx, adjustInterval) {
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindUint64 {
			return
		}
		if next := GCPercent(sample[0].Value.Uint64()); next != current {
			current = next
			debug.SetGCPercent(next)
		}
	}
}
