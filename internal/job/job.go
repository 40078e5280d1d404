// Package job defines the request state that an entry's filters share: the
// parsed request, its accounting data, and the sink that receives its answer.
package job

import (
	"context"
	"net/http"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/pkg/enginespeed"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/pkg/stream"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// Job is one request of a caller. The filters set its fields one after the other. The
// request fields don't change after the request's ticket has been claimed.
type Job struct {
	// RequestID identifies the request in logs.
	RequestID string
	ArrivedAt time.Time

	// Set by the body filter.
	Method      string
	Path        string
	ContentType string
	Body        []byte

	// Set by the identify filter.
	Workspace string

	// Predicted is what was expected of the last attempt when it was sent.
	Predicted Prediction

	// Set by the classify filter. Row and Revision don't change when a newer
	// table takes effect.
	Kind     string
	Row      table.Row
	Revision revision.ID
	// ServicePath is the path requested from a plain service.
	ServicePath string
	// Model and Prompt are set for engines.
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool

	// ExactRetryAfter is set if the caller accepts fractions of a second in
	// Retry-After.
	ExactRetryAfter bool
	// APIKey is the key that the caller authenticated with.
	APIKey string
	// Header and Host are forwarded to the endpoint, as is Path.
	Header http.Header
	Host   string
	// PromptTokens and ExpectedTokens are the caller's figures for the length of
	// its prompt and of the output; zero if it gave none.
	PromptTokens   int
	ExpectedTokens int
	PromptParts    []PromptPart
	// CallerTimeout is how long the caller waits, counted from ArrivedAt; zero if
	// it gave no timeout.
	CallerTimeout time.Duration
	// ResumeAfter is the id of the last event that the caller received, as it sent
	// it; it is used on resumable rows only.
	ResumeAfter string
	// Delivered tracks how much of a stream the caller has received, over all attempts.
	Delivered StreamState
	// Ticket is the ticket that the caller sent so that its request runs at most once.
	Ticket string
	// DelegatedBy is the VM of the peer that delegated the request to this entry; empty if none did.
	DelegatedBy string
	// OwnerAnswered is set if the answer or error comes from the ticket's owner.
	OwnerAnswered bool

	// PermittedRegions are the workspace's regions; see table.Workspace.
	PermittedRegions []string
	// Rank is the rank of the workspace; see table.Workspace.
	Rank int
	// identity caches the result of Identity; nil until its first call.
	identity *quarantine.Identity
	// sharedParts caches the result of SharedParts once sharedPartsKnown is set.
	sharedParts      []quarantine.Part
	sharedPartsKnown bool

	// Endpoint is the id of the endpoint of the last attempt, for logs.
	Endpoint string
	// Delegate is the VM of the peer that served the request, for logs; empty if this entry did.
	Delegate string
	// Outcome and Code are set when the answer has been written, for accounting.
	// Reason describes the cause as text.
	Outcome outcome.Outcome
	Code    outcome.Code
	Reason  string
	Timings Timings

	// BeforeSend is called right before bytes may reach an endpoint; nothing is
	// sent if it returns false. OnNotSent reverts a BeforeSend when it is proven
	// that the request did not run. Both may be nil.
	BeforeSend func() bool
	OnNotSent  func()
}

// Identity returns the request's quarantine identity, a hash of its workspace, host, path and
// body. It is computed on the first call, as hashing a prompt of 16 KB takes 11 us
// (BenchmarkIdentity), which requests that are refused earlier avoid.
func (j *Job) Identity() quarantine.Identity {
	if j.identity == nil {
		identity := quarantine.IdentityOf(j.Workspace, j.Host, j.Path, j.Body)
		j.identity = &identity
	}
	return *j.identity
}

// SharedParts returns the parts of the prompt that other requests may have: all but the last, which is
// the request's own.
func (j *Job) SharedParts() []quarantine.Part {
	if j.sharedPartsKnown {
		return j.sharedParts
	}
	var ids []string
	for _, p := range j.PromptParts[:max(len(j.PromptParts)-1, 0)] {
		ids = append(ids, p.ID)
	}
	j.sharedParts, j.sharedPartsKnown = quarantine.NewParts(ids), true
	return j.sharedParts
}

// Survived reports whether the current endpoint has produced output for quarantine.SurvivalPeriod.
func (j *Job) Survived() bool {
	since := j.Delivered.ProducingSince
	return !since.IsZero() && clock.Since(since) >= quarantine.SurvivalPeriod
}

// ComputedIdentity returns Identity as text, or an empty string if it has not been computed.
func (j *Job) ComputedIdentity() string {
	if j.identity == nil {
		return ""
	}
	return j.identity.String()
}

// Prediction is what is expected of an attempt at an engine.
type Prediction struct {
	// Endpoint is the ID of the engine; empty if there is no prediction.
	Endpoint string
	// SentAt is when the attempt was sent, and TimeToFirstToken is counted from then.
	SentAt           time.Time
	TimeToFirstToken time.Duration
	// LongestGap is the longest time between two events of the answer.
	LongestGap time.Duration
	Speed      enginespeed.Estimate
}

// Timings holds the latencies of a request, for accounting.
type Timings struct {
	QueueTime        time.Duration
	TimeToFirstToken time.Duration
	// Stalled is the sum of the latencies above StallThreshold, including the
	// time to first token.
	Stalled time.Duration
	// InterTokenLatencies holds the first maxLatencySamples latencies.
	InterTokenLatencies []time.Duration
	// MaxInterTokenLatency is the longest time between two parts of the answer.
	MaxInterTokenLatency time.Duration
	Preemptions          int
	// ExpectedLatency and AttemptLatency are the predicted and the actual time of the successful attempt
	// at a plain service; ExpectedLatency is zero if it was not predicted.
	ExpectedLatency time.Duration
	AttemptLatency  time.Duration
}

// StallThreshold is the latency above which a request counts as stalled.
const StallThreshold = 200 * time.Millisecond

// maxLatencySamples is the maximum number of latencies stored per request.
const maxLatencySamples = 4096

// RecordProgress records that a part of the answer arrived now. arrived is the
// time of the request and last that of the previous part. It returns the
// current time.
func (t *Timings) RecordProgress(arrived, last time.Time) time.Time {
	now := clock.Now()
	latency := now.Sub(last)
	if t.TimeToFirstToken == 0 {
		t.TimeToFirstToken = now.Sub(arrived)
		latency = t.TimeToFirstToken
	} else {
		t.MaxInterTokenLatency = max(t.MaxInterTokenLatency, latency)
		if len(t.InterTokenLatencies) < maxLatencySamples {
			t.InterTokenLatencies = append(t.InterTokenLatencies, latency)
		}
	}
	if latency > StallThreshold {
		t.Stalled += latency
	}
	return now
}

// StreamState tracks how much of a stream the caller has received.
type StreamState struct {
	// Events extracts the complete events that the caller has not received.
	Events stream.Splitter
	// HeaderSent is set once the header of the answer has been sent.
	HeaderSent bool
	// LastEventAt is the time when the last event was sent.
	LastEventAt time.Time
	// ProducingSince is the time of the first event from the current endpoint; zero before.
	ProducingSince time.Time
}

// PromptPart is a part of a prompt that may occur in other requests too.
type PromptPart struct {
	ID     string
	Tokens int
}

// Deadline returns the end of the row's timeout or of the caller's timeout,
// whichever comes first.
func (j *Job) Deadline() time.Time {
	if j.CallerTimeout > 0 && j.CallerTimeout < j.Row.Timeout {
		return j.ArrivedAt.Add(j.CallerTimeout)
	}
	return j.ArrivedAt.Add(j.Row.Timeout)
}

// TimeRemaining returns the time until the deadline, or zero if ctx is done.
func (j *Job) TimeRemaining(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	return clock.Until(j.Deadline())
}

// HeaderSink is a Sink that also accepts an endpoint's answer with its headers.
type HeaderSink interface {
	Sink
	// Start writes the header of the answer; length is the body's length in
	// bytes, or -1 if unknown.
	Start(status int, h http.Header, length int64)
}

// Sink receives an answer: one header, then its data.
type Sink interface {
	// Header writes the header of the answer.
	Header(status int, contentType string)
	// Data writes a part of the body. An error means that no more can be written,
	// for instance since the caller has disconnected.
	Data(part []byte) error
	// Flush sends buffered data.
	Flush()
}

type contextKey struct{}

// WithJob returns a copy of r whose context carries the job.
func WithJob(r *http.Request, j *Job) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), contextKey{}, j))
}

// FromRequest returns the job in the request's context. It panics if there is none.
func FromRequest(r *http.Request) *Job {
	return r.Context().Value(contextKey{}).(*Job)
}
