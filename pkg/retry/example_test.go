package retry_test

import (
	"fmt"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

func ExampleDecide() {
	attempt := retry.Attempt{Failure: retry.GenerationLost, Attempts: 1, BudgetAvailable: true, TimeLeft: time.Minute}
	decision := retry.Decide(attempt)
	fmt.Println(decision.Step, decision.Outcome)
	attempt.Idempotent = true
	fmt.Println(retry.Decide(attempt).Step)
	// Output:
	// give_up may_have_run
	// again
}
