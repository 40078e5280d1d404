// Package httpapi holds what callers of an entry see: headers, bodies, and how
// an outcome is written.
package httpapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Headers of the callers' API.
const (
	// HeaderKind names the kind of request, a row of the table.
	HeaderKind = "Bridgehoist-Kind"
	// HeaderWorkspace, if sent, must agree with the API key.
	HeaderWorkspace = "Bridgehoist-Workspace"
	// HeaderTicket carries a ticket, to and from the caller.
	HeaderTicket = "Bridgehoist-Ticket"
	// HeaderIdempotencyKey is the usual header for the same purpose.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome tells the final outcome of a reply.
	HeaderOutcome = "Bridgehoist-Outcome"
	// HeaderRequestID identifies the request in logs.
	HeaderRequestID = "Bridgehoist-Request-Id"
	// HeaderRetryAfterMS is Retry-After in milliseconds.
	HeaderRetryAfterMS = "Retry-After-Ms"
)

// Paths of the callers' API.
const (
	PathCompletions = "/v1/completions"
	PathTickets     = "/v1/tickets"
	// PathServices, with a kind and the service's own path.
	PathServices = "/services/"
)

// ContentTypes of answers.
const (
	ContentJSON   = "application/json"
	ContentEvents = "text/event-stream"
)

// EventError is the type of the event that ends a stream which failed.
const EventError = "error"

// ErrorBody is the JSON body, or the data of the last event, of a failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells the caller what became of its request.
type ErrorDetail struct {
	// Type is the outcome: not_run, may_have_run or incomplete.
	Type         string `json:"type"`
	Code         string `json:"code"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// Delivered counts the tokens that came before.
	Delivered int `json:"delivered,omitempty"`
}

// Completion is an answer that was asked for at once.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the text of an answer or of one event.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// Preemptions is how often the engine pushed the request aside.
	Preemptions int `json:"preemptions"`
}

// ObjectCompletion is the object type of answers and events.
const ObjectCompletion = "text_completion"

// Tickets answers a request for tickets.
type Tickets struct {
	Tickets []string `json:"tickets"`
	// ValidMS is for how long they may be used.
	ValidMS int64 `json:"valid_ms"`
}

// Detail makes the body for an error.
func Detail(err *outcome.Error) ErrorBody {
	return ErrorBody{ErrorDetail{
		Type:         err.Outcome.String(),
		Code:         string(err.Code),
		Message:      err.Message,
		RetryAfterMS: err.RetryAfter.Milliseconds(),
		Delivered:    err.Delivered,
	}}
}

// WriteError answers with an error before anything else was written. Exact
// callers read fractions of a second in Retry-After.
func WriteError(w http.ResponseWriter, err *outcome.Error, exact bool) {
	h := w.Header()
	h.Set("Content-Type", ContentJSON)
	h.Set(HeaderOutcome, err.Outcome.String())
	if err.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(err.RetryAfter, exact))
		h.Set(HeaderRetryAfterMS, strconv.FormatInt(err.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(err.Status())
	_ = json.NewEncoder(w).Encode(Detail(err))
}

// ReadRetryAfter reads the delay that WriteError wrote; zero if there is none.
func ReadRetryAfter(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(HeaderRetryAfterMS), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func retryAfter(d time.Duration, exact bool) string {
	if exact {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// ErrorEvent makes the last event of a stream that failed.
func ErrorEvent(err *outcome.Error) []byte {
	data, _ := json.Marshal(Detail(err))
	out := append([]byte("event: "+EventError+"\ndata: "), data...)
	return append(out, "\n\n"...)
}

// Weaken turns NotRun into MayHaveRun. It is used for errors that arise before
// the owner of a ticket was asked: an earlier attempt may have run.
func Weaken(err *outcome.Error) *outcome.Error {
	if err.Outcome != outcome.NotRun {
		return err
	}
	c := *err
	c.Outcome = outcome.MayHaveRun
	return &c
}

// WriteJSON answers with a value.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", ContentJSON)
	// A caller that no longer reads is all that can fail here.
	_ = json.NewEncoder(w).Encode(v)
}

// Clock tells the time; tests replace it.
type Clock func() time.Time
