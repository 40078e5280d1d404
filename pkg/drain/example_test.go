package drain_test

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/pkg/drain"
)

func ExampleSet() {
	s := drain.New()
	s.Add(drain.Leave{Endpoint: "engine-1", Incarnation: 4})
	s.Observe("engine-1", 4) // a stale list still contains it
	fmt.Println(s.Leaving("engine-1", 4))
	s.Observe("engine-1", 5) // the platform has replaced the endpoint
	fmt.Println(s.Leaving("engine-1", 5))
	// Output:
	// true
	// false
}
