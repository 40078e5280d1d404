package readiness_test

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/pkg/readiness"
)

func ExampleDecide() {
	b := readiness.Beliefs{CaughtUp: true, HasValues: true, CutOff: true}
	fmt.Println(readiness.Decide(b))
	b.Unservable = []string{"registry"}
	fmt.Println(readiness.Decide(b))
	// Output:
	// ready
	// stranded
}
