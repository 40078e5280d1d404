// Package heap bounds how much memory the garbage collector lets pile up beyond what is in use.
//
// The runtime's default lets the heap double between collections. For an entry that knows thousands
// of endpoints that is as much again as the list takes, on VMs of little memory, though the entry
// allocates no more a second than one that knows few. The collector is therefore told to run after a
// bounded growth once more than that is live.
package heap

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/pause"
)

const (
	// growth is how much the heap may grow between collections, in bytes, where more is live.
	growth = 6 << 20
	// usual and least bound the growth in percent of what is live: below the least the collector
	// would run all the time.
	usual = 100
	least = 25
	// every is how often the growth is set anew.
	every = 2 * time.Second
	// liveMetric is the heap that the last collection left, in bytes.
	liveMetric = "/gc/heap/live:bytes"
)

// Percent is by how much the heap may grow until the next collection, in percent of the live bytes.
func Percent(live uint64) int {
	if live <= growth {
		return usual
	}
	return max(int(growth*100/live), least)
}

// Bound keeps the growth within its bound until the context ends.
func Bound(ctx context.Context) {
	sample := []metrics.Sample{{Name: liveMetric}}
	set := usual
	for pause.For(ctx, every) {
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindUint64 {
			return
		}
		if next := Percent(sample[0].Value.Uint64()); next != set {
			set = next
			debug.SetGCPercent(next)
		}
	}
}
