// Package native makes attempts in the system's own interface: generations at
// engines, which can be resumed, and calls of plain services.
package native

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/engineclient"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/runner"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// Config holds the settings of a Performer.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Client     *engineclient.Client
	// StallTimeout is how long a stream may make no progress before its link is
	// taken as lost.
	StallTimeout time.Duration
	// Memory bounds the answers that are kept until they are whole; nil is unlimited.
	Memory *membudget.Budget
	// OnFailure is told of each link that was lost, for metrics.
	OnFailure func(retry.Failure)
	// OnStep is told of each resumption, for metrics.
	OnStep func(retry.Step)
	// OnBroken, if set, is told of each request whose link broke while its endpoint may
	// have worked on it, and OnWhole of each whose answer is a success and came whole.
	OnBroken func(j *job.Job, at fleet.Endpoint, sent time.Time)
	OnWhole  func(j *job.Job)
}

// Performer makes attempts.
type Performer struct{ cfg Config }

var _ runner.Performer = (*Performer)(nil)

// New makes a performer.
func New(cfg Config) *Performer { return &Performer{cfg: cfg} }

// Perform implements runner.Performer.
func (p *Performer) Perform(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant) attempt.Result {
	if grant.Endpoint.Type == fleet.Engine {
		return p.generate(ctx, j, sink, grant)
	}
	return p.call(ctx, j, sink, grant)
}

// call runs a request at a plain service.
func (p *Performer) call(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant) attempt.Result {
	start := clock.Now()
	reply, f := p.cfg.Client.Call(ctx, grant.Endpoint, j.RequestID, j.Method, j.ServicePath, j.ContentType, j.Body)
	if f != nil {
		p.broken(ctx, j, grant.Endpoint, start, f)
		return attempt.Result{Failure: f}
	}
	defer reply.Release()
	if reply.Status < http.StatusMultipleChoices {
		p.whole(j)
	}
	j.Timings.RecordProgress(j.ArrivedAt, start)
	sink.Header(reply.Status, reply.ContentType)
	if failure := unkept(sink.Data(reply.Body)); failure != nil {
		return attempt.Result{Begun: true, Failure: failure}
	}
	sink.Flush()
	return attempt.Result{}
}

// broken tells of a broken link, unless the caller has left or its time is up, when this
// entry closed it.
func (p *Performer) broken(ctx context.Context, j *job.Job, at fleet.Endpoint, sent time.Time, f *attempt.Failure) {
	lost := f.Kind == retry.LinkLost || f.Kind == retry.GenerationLost
	if lost && ctx.Err() == nil && p.cfg.OnBroken != nil {
		p.cfg.OnBroken(j, at, sent)
	}
}

func (p *Performer) whole(j *job.Job) {
	if p.cfg.OnWhole != nil {
		p.cfg.OnWhole(j)
	}
}

// unkept returns a failure if there is no memory to keep a whole answer for its callers. A caller that has gone
// doesn't change the outcome.
func unkept(err error) *attempt.Failure {
	if !errors.Is(err, membudget.ErrExhausted) {
		return nil
	}
	return &attempt.Failure{Kind: retry.CallerGone, Err: err}
}

func completion(j *job.Job, text string, reason *string, usage *httpapi.Usage) []byte {
	data, _ := json.Marshal(httpapi.Completion{
		ID:      j.RequestID,
		Object:  httpapi.ObjectCompletion,
		Model:   j.Model,
		Choices: []httpapi.Choice{{Text: text, FinishReason: reason}},
		Usage:   usage,
	})
	return data
}
