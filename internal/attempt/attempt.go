// Package attempt describes how one attempt at a request ended.
package attempt

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// Failure says why an attempt ended without the whole answer.
type Failure struct {
	Kind retry.Failure
	// Draining says that the endpoint takes no new work.
	Draining bool
	// Incarnation of the endpoint, if it told.
	Incarnation uint64
	// RetryAfter is when the endpoint says to come back; zero if it said nothing.
	RetryAfter time.Duration
	Err        error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Err.Error() }

// Ending is how an attempt ended; without a failure the answer is complete.
type Ending struct {
	Failure *Failure
	// Released counts the tokens that the caller has received.
	Released int
	// Generated counts the tokens that came.
	Generated int
}
