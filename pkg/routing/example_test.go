package routing_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

func ExamplePipeline() {
	p := routing.LocalFirst()
	p.Jitter = 0
	candidates := []routing.Candidate{
		{Index: 0, ServesTarget: true, Local: true, Fits: true, Utilization: 0.9, Slowness: 1},
		{Index: 1, ServesTarget: true, Local: true, Fits: true, Utilization: 0.4, Slowness: 1},
		{Index: 2, ServesTarget: true, Local: true, Fits: true, Leaving: true},
	}
	rng := rand.New(rand.NewPCG(1, 1))
	fmt.Println(p.Choose(rng, &routing.Request{ExcludedIndex: routing.None}, candidates))
	// Output: 1
}
