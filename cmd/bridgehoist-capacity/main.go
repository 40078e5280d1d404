// Bridgehoist-capacity measures what the exchange between entries costs per
// node at several sizes, in one process.
package main

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/internal/capacity"
	"github.com/bridgehoist/bridgehoist/internal/settings"
)

func main() {
	set := settings.New("bridgehoist-capacity")
	seed := set.Uint64("seed", 1, "seed of the random choices")
	loss := set.Float64("loss", 0.2, "share of exchanges lost in the measurement with loss")
	settings.Main(set, func() {
		if *loss < 0 || *loss >= 1 {
			set.Findf("loss", "%v is not within 0 to 1 (excluded)", *loss)
		}
	}, func() error {
		fmt.Printf("%6s %4s %8s %10s %9s %9s %11s %11s %10s\n", "nodes", "dcs", "msgs/s", "bytes/s", "core %",
			"view KB", "everywhere", "with loss", "after cut")
		for _, size := range capacity.Sizes() {
			size.Seed, size.Loss = *seed, *loss
			c := capacity.Measure(size)
			fmt.Printf("%6d %4d %8.1f %10.0f %9.3f %9.0f %11v %11v %10v\n", c.Nodes, c.DataCenters, c.MessagesPerSecond,
				c.BytesPerSecond, 100*c.CPUShare, c.HeapBytes/1024, c.Everywhere, c.EverywhereLost, c.AfterCut)
		}
		return nil
	})
}
