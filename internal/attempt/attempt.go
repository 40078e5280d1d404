// Package attempt describes how one attempt at a request ended.
package attempt

import (
	"net/http"

	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// Failure says why an attempt ended without the whole answer.
type Failure struct {
	Kind retry.Failure
	// Draining says that the endpoint takes no new work.
	Draining bool
	// Withheld says that nothing was sent because the endpoint wants nothing now.
	Withheld bool
	// Incarnation of the endpoint, if it told.
	Incarnation uint64
	// Answer is an endpoint's own error, which is passed on if nothing better comes.
	Answer *Answer
	Err    error
}

// Answer is a whole answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// WriteTo passes the answer on.
func (a *Answer) WriteTo(sink job.HeaderSink) {
	sink.Start(a.Status, a.Header, int64(len(a.Body)))
	// A caller that no longer reads is noticed by its context.
	_ = sink.Data(a.Body)
	sink.Flush()
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
