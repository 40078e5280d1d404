package drain_test

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/pkg/drain"
)

func ExampleSet() {
	s := drain.New()
	s.Add(drain.Leave{Endpoint: "engine-1", Incarnation: 4})
	s.Seen("engine-1", 4) // a list that lags still shows it
	fmt.Println(s.Leaving("engine-1", 4))
	s.Seen("engine-1", 5) // the platform has replaced it
	fmt.Println(s.Leaving("engine-1", 5))
	// Output:
	// true
	// false
}
