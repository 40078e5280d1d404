// Package job holds what the filters of an entry hand on: the request as it was
// understood, and the sink of its answer.
package job

import (
	"context"
	"net/http"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/pkg/stream"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// Job is one request of a caller. Filters fill it in their order; from the
// claim on it no longer changes.
type Job struct {
	// RequestID identifies the request in logs.
	RequestID string
	Arrived   time.Time

	// Set by the body filter.
	Method      string
	Path        string
	ContentType string
	Body        []byte

	// Set by the identify filter.
	Workspace string

	// Set by the classify filter. Row and Revision stay the same to the end,
	// whatever becomes of the table.
	Kind     string
	Row      table.Row
	Revision revision.ID
	// ServicePath is what a plain service is asked for.
	ServicePath string
	// Model and Prompt are set for engines.
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool

	// ExactRetryAfter says that the caller reads fractions of a second in
	// Retry-After.
	ExactRetryAfter bool
	// APIKey is what the caller identified itself with.
	APIKey string
	// Header is passed on to the endpoint, Host and URI too.
	Header http.Header
	Host   string
	// PromptTokens and ExpectedTokens are what the caller said of its prompt and
	// of the output; zero if it said nothing.
	PromptTokens   int
	ExpectedTokens int
	PromptParts    []PromptPart
	// CallerWaits is how long the caller waits from its arrival on; zero if it
	// didn't say.
	CallerWaits time.Duration
	// ResumeAfter is what the caller sent as the id of the last event that it has; it
	// counts on resumable rows only.
	ResumeAfter string
	// Delivered is what the caller has of a stream, over all attempts.
	Delivered StreamState
	// Ticket is what the caller sent to make the request non-repeatable.
	Ticket string
	// OwnerAnswered says that an error comes from the ticket's owner.
	OwnerAnswered bool

	// Regions are the workspace's; see table.Workspace.
	Regions []string
	// identity is kept once it has been asked for; see Identity.
	identity *quarantine.Identity

	// Endpoint is where the request ran last, for logs.
	Endpoint string
	// Outcome and Code are set when the answer has been written, for accounting.
	// Reason says why in words.
	Outcome outcome.Outcome
	Code    outcome.Code
	Reason  string
	// Timings for accounting.
	Timings Timings

	// BeforeSend is called right before bytes may reach an endpoint; false
	// forbids it. NotSent takes that back on proof. Both may be nil.
	BeforeSend func() bool
	NotSent    func()
}

// Identity names what the caller asks for. It is computed once, when it is first asked for:
// hashing a prompt of 16 KB takes 11 us (BenchmarkIdentity), which requests that are refused
// don't cost.
func (j *Job) Identity() quarantine.Identity {
	if j.identity == nil {
		identity := quarantine.IdentityOf(j.Workspace, j.Host, j.Path, j.Body)
		j.identity = &identity
	}
	return *j.identity
}

// KnownIdentity is Identity as text, or empty if nothing has asked for it yet.
func (j *Job) KnownIdentity() string {
	if j.identity == nil {
		return ""
	}
	return j.identity.String()
}

// Timings measures how a request progressed.
type Timings struct {
	Queued     time.Duration
	FirstToken time.Duration
	// Stalled sums the gaps without progress that were longer than StallGap,
	// the wait for the first token included.
	Stalled time.Duration
	Gaps    []time.Duration
	// LongestGap is the longest time between two parts of the answer.
	LongestGap  time.Duration
	Preemptions int
}

// StallGap is the gap from which on a request counts as stalled.
const StallGap = 200 * time.Millisecond

// maxGaps bounds the gaps kept for accounting.
const maxGaps = 4096

// Progress records progress now, after progress at last, and returns now.
func (t *Timings) Progress(arrived, last time.Time) time.Time {
	now := clock.Now()
	gap := now.Sub(last)
	if t.FirstToken == 0 {
		t.FirstToken = now.Sub(arrived)
		gap = t.FirstToken
	} else {
		t.LongestGap = max(t.LongestGap, gap)
		if len(t.Gaps) < maxGaps {
			t.Gaps = append(t.Gaps, gap)
		}
	}
	if gap > StallGap {
		t.Stalled += gap
	}
	return now
}

// StreamState is what a caller has got of a stream.
type StreamState struct {
	// Events finds the whole events that are new to the caller.
	Events stream.Splitter
	// Begun says that the head of the answer has gone out.
	Begun bool
	// LastAt is when the last event went out.
	LastAt time.Time
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Deadline is when the request's timeout ends, or when its caller stops waiting
// if that is sooner.
func (j *Job) Deadline() time.Time {
	if j.CallerWaits > 0 && j.CallerWaits < j.Row.Timeout {
		return j.Arrived.Add(j.CallerWaits)
	}
	return j.Arrived.Add(j.Row.Timeout)
}

// Left is the time until the deadline, or zero if the context has ended.
func (j *Job) Left(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	return clock.Until(j.Deadline())
}

// HeaderSink is a sink that passes on an endpoint's answer with its headers.
type HeaderSink interface {
	Sink
	// Start starts the answer; length is that of its body, or -1 if it isn't
	// known.
	Start(status int, h http.Header, length int64)
}

// Sink takes an answer: one header, data, and one end.
type Sink interface {
	// Header starts the answer.
	Header(status int, contentType string)
	// Data passes a part on. An error says that nobody reads any more.
	Data(part []byte) error
	// Flush passes on what is buffered.
	Flush()
}

type contextKey struct{}

// With puts a job into a request's context.
func With(r *http.Request, j *Job) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), contextKey{}, j))
}

// From takes the job out of a request's context.
func From(r *http.Request) *Job {
	return r.Context().Value(contextKey{}).(*Job)
}
