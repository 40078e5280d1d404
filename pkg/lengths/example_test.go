package lengths_test

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/pkg/lengths"
)

func ExampleEstimator() {
	e := lengths.New(lengths.PriorHazard)
	k := lengths.Key{Workspace: "notary-chamber", Kind: "signer-check"}
	for range 500 {
		r := e.Start(k)
		r.End(8)
	}
	p := e.Project(k, 40, 0)
	fmt.Printf("about %.0f tokens remaining; holds %.0f now, %.0f after 256 steps\n", e.Remaining(k, 0), p.Mean[0], p.Mean[2])
	// Output: about 8 tokens remaining; holds 40 now, 0 after 256 steps
}
