package native

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/answer"
	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/engineclient"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/invariant"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/stream"
)

// generation is one run of a request at an engine, over all its links.
type generation struct {
	p       *Performer
	j       *job.Job
	sink    job.Sink
	grant   dispatch.Grant
	asm     stream.Assembler
	text    strings.Builder
	memory  *membudget.Reservation
	usage   *engineapi.Usage
	reason  string
	bound   stream.Generation
	resumes int
	last    time.Time
	gone    bool
	// mayBegin reports whether the answer may begin.
	mayBegin func() bool
}

// generate runs a request at an engine, resuming the same generation whenever
// the link is lost.
func (p *Performer) generate(ctx context.Context, j *job.Job, sink job.Sink, grant dispatch.Grant) attempt.Result {
	g := &generation{p: p, j: j, sink: sink, grant: grant, memory: p.cfg.Memory.Reserve(), last: clock.Now(), mayBegin: func() bool { return shutdown.BeginResponse(ctx) }}
	defer g.memory.Release()
	sent := g.last
	f := g.link(ctx, g.start)
	for f != nil && g.mayResume(ctx, f) {
		p.broken(ctx, j, grant.Endpoint, sent, f)
		p.cfg.OnFailure(f.Kind)
		p.cfg.OnStep(retry.Resume)
		g.resumes++
		if !pause.For(ctx, retry.Backoff(g.resumes, rand.Float64)) {
			break
		}
		f = g.link(ctx, g.resume)
	}
	if f == nil {
		p.whole(j)
		f = g.finish()
	} else {
		p.broken(ctx, j, grant.Endpoint, sent, f)
		g.abandon()
	}
	return attempt.Result{Failure: f, Released: g.asm.Released(), Generated: g.asm.Next()}
}

func (g *generation) mayResume(ctx context.Context, f *attempt.Failure) bool {
	if g.gone {
		return false
	}
	d := retry.Decide(retry.Attempt{
		Failure:         f.Kind,
		GenerationKnown: g.bound.ID != "",
		Released:        g.asm.Released(),
		Resumes:         g.resumes,
		TimeLeft:        g.j.TimeRemaining(ctx),
	})
	return d.Step == retry.Resume
}

// abandon frees the engine's memory if the generation is known.
func (g *generation) abandon() {
	if g.bound.ID != "" {
		go g.p.cfg.Client.Cancel(g.grant.Endpoint, g.bound)
	}
}

type opener func(context.Context) (*engineclient.Stream, *attempt.Failure)

func (g *generation) start(ctx context.Context) (*engineclient.Stream, *attempt.Failure) {
	return g.p.cfg.Client.Start(ctx, g.grant.Endpoint, g.j.RequestID, &engineapi.CompletionRequest{
		Model:     g.j.Model,
		Prompt:    g.j.Prompt,
		MaxTokens: g.j.MaxTokens,
		Stream:    true,
		Priority:  g.j.Row.Priority,
	})
}

func (g *generation) resume(ctx context.Context) (*engineclient.Stream, *attempt.Failure) {
	return g.p.cfg.Client.Resume(ctx, g.grant.Endpoint, g.j.RequestID, g.bound, g.asm.Next())
}

// link follows one connection until the answer is complete or the link is
// lost. A link without progress for StallTimeout is cut.
func (g *generation) link(ctx context.Context, open opener) *attempt.Failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(g.p.cfg.StallTimeout, cancel)
	defer watchdog.Stop()
	s, f := open(ctx)
	if f != nil {
		return f
	}
	if g.bound.ID == "" {
		g.bound = s.Generation
	}
	f = s.Each(func(e engineclient.Event) bool {
		watchdog.Reset(g.p.cfg.StallTimeout)
		return g.take(e)
	})
	if g.asm.Ended() {
		return nil
	}
	if f == nil {
		f = &attempt.Failure{Kind: retry.LinkLost, Err: errors.New("the stream ended early")}
	}
	return f
}

// take handles one event; false ends the link.
func (g *generation) take(e engineclient.Event) bool {
	if e.RequestID != g.j.RequestID {
		invariant.Check(false, invariant.OwnAnswer, "chunk for %s reached %s", e.RequestID, g.j.RequestID)
		return false
	}
	switch g.asm.Accept(e.Chunk) {
	case stream.Deliver:
	case stream.Duplicate:
		return true
	default:
		return false
	}
	if e.Chunk.Final {
		g.usage = e.Usage
		g.reason = e.Chunk.FinishReason
		return false
	}
	g.resumes = 0
	g.last = g.j.Timings.RecordProgress(g.j.ArrivedAt, g.last)
	g.p.cfg.Dispatcher.Progress(g.grant.ID, g.asm.Next())
	return g.deliver(e.Chunk)
}

// deliver passes a token on, or keeps it if the answer was asked for at once.
func (g *generation) deliver(c stream.Chunk) bool {
	if !g.j.Stream {
		return g.keep(c.Text)
	}
	if g.asm.Released() == 0 {
		if !g.mayBegin() {
			return false
		}
		g.sink.Header(200, httpapi.ContentEvents)
	}
	g.asm.Release(c.Generation, c.Index)
	if g.event(completion(g.j, c.Text, nil, nil)) != nil {
		g.gone = true
		return false
	}
	g.sink.Flush()
	return true
}

// keep adds to an answer that was asked for at once; false ends the link.
func (g *generation) keep(text string) bool {
	size := g.text.Len() + len(text)
	if size > answer.MaxBytes || !g.memory.Resize(2*int64(size)) {
		g.gone = true
		return false
	}
	g.text.WriteString(text)
	return true
}

func (g *generation) event(data []byte) error {
	out := make([]byte, 0, len(data)+8)
	out = append(out, "data: "...)
	out = append(out, data...)
	out = append(out, "\n\n"...)
	return g.sink.Data(out)
}

// finish writes the end of a complete answer. It fails if there is no memory to keep it for its callers.
func (g *generation) finish() *attempt.Failure {
	usage := g.usageBody()
	if !g.j.Stream {
		g.sink.Header(200, httpapi.ContentJSON)
		err := g.sink.Data(completion(g.j, g.text.String(), &g.reason, usage))
		g.sink.Flush()
		return unkept(err)
	}
	if g.asm.Released() == 0 {
		g.sink.Header(200, httpapi.ContentEvents)
	}
	err := g.event(completion(g.j, "", &g.reason, usage))
	if err == nil {
		err = g.event([]byte(engineapi.DoneData))
	}
	g.sink.Flush()
	return unkept(err)
}

func (g *generation) usageBody() *httpapi.Usage {
	if g.usage == nil {
		return nil
	}
	g.j.Timings.Preemptions += g.usage.Preemptions
	return &httpapi.Usage{
		PromptTokens:     g.usage.PromptTokens,
		CompletionTokens: g.usage.CompletionTokens,
		TotalTokens:      g.usage.PromptTokens + g.usage.CompletionTokens,
		Preemptions:      g.usage.Preemptions,
	}
}
