// Package outcome holds the final outcomes of a request and the typed error
// that carries them.
//
// Every request ends in exactly one outcome. NotRun is a proof and never a
// guess: it is used only if no byte of the request can have reached an
// endpoint, or if the endpoint refused by a reply that its protocol defines as
// before execution. Everything uncertain is MayHaveRun. (Brief, "What must
// always hold".)
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is the final state of a request.
type Outcome int

// The outcomes. Their numbers are part of the peer protocol.
const (
	// Unknown is the zero value; it is never sent.
	Unknown Outcome = iota
	// Complete says that the caller has the whole answer.
	Complete
	// NotRun says that the request did not run.
	NotRun
	// MayHaveRun says that the request may have run and its answer is lost.
	MayHaveRun
	// Incomplete says that the caller has received a part of one answer.
	Incomplete
)

// String gives the name used on the wire, in metrics and in logs.
func (o Outcome) String() string {
	switch o {
	case Complete:
		return "complete"
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case Incomplete:
		return "incomplete"
	default:
		return "unknown"
	}
}

// Parse reads a name made by String.
func Parse(name string) Outcome {
	for _, o := range []Outcome{Complete, NotRun, MayHaveRun, Incomplete} {
		if o.String() == name {
			return o
		}
	}
	return Unknown
}

// Code is the machine-readable cause of an outcome.
type Code string

// The codes, grouped by who can act on them.
const (
	// Callers.
	CodeBadRequest        Code = "bad_request"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeMethodNotAllowed  Code = "method_not_allowed"
	CodeUnauthenticated   Code = "unauthenticated"
	CodeWorkspaceMismatch Code = "workspace_mismatch"
	CodeUnknownKind       Code = "unknown_kind"
	CodeTicketRequired    Code = "ticket_required"
	CodeTicketInvalid     Code = "ticket_invalid"
	CodeTicketExpired     Code = "ticket_expired"
	CodeTicketConflict    Code = "ticket_conflict"
	CodeCallerGone        Code = "caller_gone"
	CodeAnswerNotKept     Code = "answer_not_kept"
	CodeOwnerUnreachable  Code = "owner_unreachable"
	CodeOwnerReplaced     Code = "owner_replaced"
	// Load.
	CodeLimitReached        Code = "limit_reached"
	CodeQueueFull           Code = "queue_full"
	CodeEntryBusy           Code = "entry_busy"
	CodeDeadlineUnreachable Code = "deadline_unreachable"
	CodeQueueTimeExceeded   Code = "queue_time_exceeded"
	// Fleet.
	CodeNoEndpoint      Code = "no_endpoint"
	CodeEndpointLost    Code = "endpoint_lost"
	CodeEndpointRefused Code = "endpoint_refused"
	// CodeEndpointsThrottling: the endpoints have said that they take less than is asked for.
	CodeEndpointsThrottling   Code = "endpoints_throttling"
	CodeEndpointProtocolError Code = "endpoint_protocol_error"
	CodeStalled               Code = "stalled"
	CodeStopping              Code = "stopping"
	CodeNoTable               Code = "no_table"
	// CodeQuarantined: the request crashes the endpoints that run it.
	CodeQuarantined Code = "quarantined"
)

// Error is a final outcome other than Complete.
type Error struct {
	Outcome Outcome
	Code    Code
	Message string
	// RetryAfter says when to come back; zero says nothing.
	RetryAfter time.Duration
	// Delivered counts the tokens that the caller has received.
	Delivered int
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Code, e.Message)
}

// New makes an error.
func New(o Outcome, c Code, format string, args ...any) *Error {
	return &Error{Outcome: o, Code: c, Message: fmt.Sprintf(format, args...)}
}

// NotRunf makes a NotRun error.
func NotRunf(c Code, format string, args ...any) *Error {
	return New(NotRun, c, format, args...)
}

// MayHaveRunf makes a MayHaveRun error.
func MayHaveRunf(c Code, format string, args ...any) *Error {
	return New(MayHaveRun, c, format, args...)
}

// After returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

var statusByCode = map[Code]int{
	CodeBadRequest:        http.StatusBadRequest,
	CodeBodyTooLarge:      http.StatusRequestEntityTooLarge,
	CodeMethodNotAllowed:  http.StatusMethodNotAllowed,
	CodeUnauthenticated:   http.StatusUnauthorized,
	CodeWorkspaceMismatch: http.StatusForbidden,
	CodeUnknownKind:       http.StatusNotFound,
	CodeTicketRequired:    http.StatusPreconditionRequired,
	CodeTicketInvalid:     http.StatusBadRequest,
	CodeTicketExpired:     http.StatusGone,
	CodeTicketConflict:    http.StatusUnprocessableEntity,
	CodeLimitReached:      http.StatusTooManyRequests,
	CodeQueueFull:         http.StatusTooManyRequests,
}

// badGateway are the codes that blame an endpoint, where the request may have
// run. Where it has not, the status is the promise of 503.
var badGatewayCodes = map[Code]bool{CodeEndpointProtocolError: true, CodeEndpointLost: true}

// Promises reports whether a status tells callers that their request has not
// run and never will.
func StatusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Status gives the HTTP status of the error.
func (e *Error) Status() int {
	s, ok := statusByCode[e.Code]
	if ok && (e.Outcome == NotRun || !StatusMeansNotRun(s)) {
		return s
	}
	if e.Outcome == NotRun {
		return http.StatusServiceUnavailable
	}
	if badGatewayCodes[e.Code] {
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}
