// Package upstream sends requests to endpoints over HTTP/1.1 and says of each
// failure how far the request came.
//
// It keeps its own connections instead of using http.Transport, which sends a
// request again by itself when a kept connection turns out to be dead. Here each
// write to a connection is decided by the caller: what follows from a failure
// depends on whether a byte may have reached the endpoint. The messages themselves
// are written and read by net/http.
//
// Connections are kept by the life of their endpoint. A connection is to one process, so
// that an answer is always of the life which got the request. An answer belongs to one try of
// a request: no connection carries two that their answers don't tell apart. Nothing of a head that isn't valid is used,
// and a body that ends with its connection is whole only if all of the request was written.
//
//	idle --Do--> sent --answer with the request's id--> answered --Close--> idle
//	  |           |  \--answer with another id: skipped             \--> closed
//	  |           +--> failed: NotSent (nothing was written) or LinkLost
//	  +--> closed (too old, or the peer has closed it)
package upstream

import (
	"net/http"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Sending is what the system tells an endpoint beside the caller's request.
type Sending struct {
	// Endpoint is the id of the one endpoint that may run the request.
	Endpoint  string
	Workspace string
	// Counted says that who sends it has counted it against what the endpoint takes.
	Counted bool
	// Left is how long the answer is waited for.
	Left time.Duration
	// Continue is nil unless the request goes on with a generation that ran
	// elsewhere.
	Continue *Continuation
	// Resume says that the answer is to go on after LastEvent, the id of the last event
	// that the caller has.
	Resume    bool
	LastEvent int
}

// Continuation says where the memory of a generation is.
type Continuation struct {
	// Source is the address of the endpoint that it ran at, and Handle what the
	// source calls the copy.
	Source string
	Handle string
}

// Answer is what the head of an endpoint's answer says.
type Answer struct {
	// RequestID of the request that it answers; empty if that had none.
	RequestID string
	// Signed says that the endpoint vouches for the answer.
	Signed bool
	// NotRun says that the endpoint has not run the request and won't.
	NotRun bool
	// Replaced says that another endpoint has the address now.
	Replaced bool
	// Leaving says that the endpoint takes no new requests until it ends.
	Leaving bool
	// Limit is what the endpoint says of how many requests it takes.
	Limit backpressure.Limit
	// Pause is for how long it wants nothing from this entry; zero if it doesn't say.
	Pause time.Duration
	// Header holds what a caller may see.
	Header http.Header
}

// Hooks are told what happens at a pool's connections; each may be nil.
type Hooks struct {
	// Dialed is told of each new connection.
	Dialed func()
	// Admit is asked before anything is sent, whatever it is; an error says that the endpoint
	// wants nothing now.
	Admit func(to fleet.Endpoint, s Sending) error
	// Answered is told of the head of each answer, whatever it answers and whoever asked, and
	// of when its request was sent; of surplus ones too, whose time isn't known and is zero. It
	// is called before anything is made of the answer.
	Answered func(from fleet.Endpoint, sent time.Time, status int, a Answer)
}

// Protocol reads and writes the headers that endpoints understand.
type Protocol interface {
	// WriteRequest adds to the headers of a request.
	WriteRequest(h http.Header, s Sending)
	// ReadAnswer reads the head of an answer.
	ReadAnswer(status int, h http.Header) Answer
}

// Request is a request as it goes to an endpoint.
type Request struct {
	// ID of the request, by which its answer is known; empty for calls, whose answers have none.
	ID     string
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}
