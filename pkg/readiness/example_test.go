package readiness_test

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/pkg/readiness"
)

func ExampleDecide() {
	c := readiness.Conditions{CaughtUp: true, ConfigLoaded: true, CutOff: true}
	fmt.Println(readiness.Decide(c))
	c.UnservableTargets = []string{"registry"}
	fmt.Println(readiness.Decide(c))
	// Output:
	// ready
	// stranded
}
