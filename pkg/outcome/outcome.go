// Package outcome defines the final outcomes of a request and the error type
// that carries them.
//
// Every request ends in exactly one outcome. NotRun is a guarantee: it is used
// only if no byte of the request can have reached an endpoint, or if the
// endpoint refused the request with a reply that its protocol defines as before
// execution. If that is uncertain, the outcome is MayHaveRun.
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
	// Complete means that the caller has received the whole answer.
	Complete
	// NotRun means that the request did not run.
	NotRun
	// MayHaveRun means that the request may have run and its answer is lost.
	MayHaveRun
	// Incomplete means that the caller has received a part of one answer.
	Incomplete
)

// String returns the name of the outcome on the wire, in metrics and in logs.
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

// Parse returns the outcome with the name that String returns, or Unknown.
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

// The codes, grouped by where the cause lies.
const (
	// The request or its caller.
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
	// Load and limits.
	CodeLimitReached        Code = "limit_reached"
	CodeQueueFull           Code = "queue_full"
	CodeEntryBusy           Code = "entry_busy"
	CodeDeadlineUnreachable Code = "deadline_unreachable"
	CodeQueueTimeExceeded   Code = "queue_time_exceeded"
	// Endpoints and entries.
	CodeNoEndpoint      Code = "no_endpoint"
	CodeEndpointLost    Code = "endpoint_lost"
	CodeEndpointRefused Code = "endpoint_refused"
	// CodeEndpointsThrottling means that the limits reported by the endpoints are below
	// the demand.
	CodeEndpointsThrottling   Code = "endpoints_throttling"
	CodeEndpointProtocolError Code = "endpoint_protocol_error"
	// CodeDelegateLost means that the connection to the peer broke to which the request
	// was delegated.
	CodeDelegateLost Code = "delegate_lost"
	CodeStalled      Code = "stalled"
	CodeStopping     Code = "stopping"
	CodeNoTable      Code = "no_table"
	// CodeQuarantined means that the request crashes the endpoints that run it.
	CodeQuarantined Code = "quarantined"
)

// Error is a final outcome other than Complete.
type Error struct {
	Outcome Outcome
	Code    Code
	// Message explains the error to the caller.
	Message string
	// RetryAfter is the delay after which the caller may retry; zero means that
	// none is given.
	RetryAfter time.Duration
	// Delivered is the number of tokens that the caller has received.
	Delivered int
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Code, e.Message)
}

// New returns an error with a formatted message.
func New(o Outcome, c Code, format string, args ...any) *Error {
	return &Error{Outcome: o, Code: c, Message: fmt.Sprintf(format, args...)}
}

// NotRunf returns an error with the outcome NotRun.
func NotRunf(c Code, format string, args ...any) *Error {
	return New(NotRun, c, format, args...)
}

// retryAfterStopping is the delay in refusals of a stopping entry. Other entries can serve the request
// at once.
const retryAfterStopping = 100 * time.Millisecond

// Stopping returns the refusal of an entry that is about to stop.
func Stopping() *Error {
	return NotRunf(CodeStopping, "the entry is stopping").WithRetryAfter(retryAfterStopping)
}

// MayHaveRunf returns an error with the outcome MayHaveRun.
func MayHaveRunf(c Code, format string, args ...any) *Error {
	return New(MayHaveRun, c, format, args...)
}

// WithRetryAfter returns a copy of the error with a delay for the caller's retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// statusByCode holds the HTTP status of codes that have one of their own.
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

// badGatewayCodes are the codes of endpoint failures, with status 502 if the
// request may have run. If it has not, the status is 503, which guarantees that.
var badGatewayCodes = map[Code]bool{CodeEndpointProtocolError: true, CodeEndpointLost: true, CodeDelegateLost: true}

// StatusMeansNotRun reports whether an HTTP status guarantees to callers that
// their request has not run and never will.
func StatusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Status returns the HTTP status of the error. Statuses that guarantee that the
// request has not run are returned only for the outcome NotRun.
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
