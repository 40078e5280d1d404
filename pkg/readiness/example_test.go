package readiness_test

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/pkg/readiness"
)

func ExampleDecide() {
	b := readiness.Conditions{CaughtUp: true, ConfigLoaded: true, Isolated: true}
	fmt.Println(readiness.Decide(b))
	b.UnservableTargets = []string{"registry"}
	fmt.Println(readiness.Decide(b))
	// Output:
	// ready
	// stranded
}
