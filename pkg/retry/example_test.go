package retry_test

import (
	"fmt"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

func ExampleDecide() {
	lost := retry.Attempt{Failure: retry.GenerationLost, Runs: 1, BudgetLeft: true, TimeLeft: time.Minute}
	d := retry.Decide(lost)
	fmt.Println(d.Step, d.Outcome)
	lost.Idempotent = true
	fmt.Println(retry.Decide(lost).Step)
	// Output:
	// give_up may_have_run
	// again
}
