// Package attempt defines the result of one attempt at sending a request to an
// endpoint: complete, or failed with the data that package retry decides on.
package attempt

import (
	"net/http"

	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// Failure is the reason why an attempt ended without the complete answer.
type Failure struct {
	Kind retry.Failure
	// Draining is set if the endpoint accepts no new requests.
	Draining bool
	// Paused is set if nothing was sent because the endpoint has paused its requests.
	Paused bool
	// Incarnation is the one that the endpoint reported, or zero.
	Incarnation uint64
	// Answer is an error response of the endpoint. It is forwarded to the caller
	// if no further attempt is made.
	Answer *Answer
	Err    error
}

// Answer is a complete response of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// WriteTo writes the answer to the sink.
func (a *Answer) WriteTo(sink job.HeaderSink) {
	sink.Start(a.Status, a.Header, int64(len(a.Body)))
	// The error can be ignored: the context of a caller that disconnects is cancelled.
	_ = sink.Data(a.Body)
	sink.Flush()
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Err.Error() }

// Result is the result of an attempt. The answer is complete if Failure is nil.
type Result struct {
	Failure *Failure
	// ErrorAnswer is set if the complete answer is an error of the endpoint or of the request.
	ErrorAnswer bool
	// Begun is set if the caller has a part of an answer that no other attempt can continue.
	Begun bool
	// Released is the number of tokens sent to the caller.
	Released int
	// Generated is the number of tokens received from the endpoint.
	Generated int
}
