// Package owner serves requests that carry a ticket. A request whose ticket this
// entry owns is executed once, in a goroutine that continues when the callers
// disconnect; all callers with the ticket receive the answer of that run. Other
// requests are forwarded to the owner of their ticket.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/answer"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// Remote forwards a request to the owner of its ticket, or to the entry that
// took over the owner's tickets.
type Remote interface {
	// Forward runs the job at another entry and copies the answer to the sink.
	Forward(ctx context.Context, t claims.Ticket, j *job.Job, sink job.Sink) *outcome.Error
}

// RunFunc runs a job to its final outcome; nil means complete.
type RunFunc func(ctx context.Context, j *job.Job, sink job.Sink) *outcome.Error

// Owner serves requests that carry tickets. It is safe for concurrent use.
type Owner struct {
	mu     sync.Mutex
	ledger *claims.Ledger
	runs   map[claims.Key]*answer.Log
	run    RunFunc
	remote Remote
	onDone func(*job.Job)
	// memory bounds the answers of runs; nil is unlimited.
	memory *membudget.Budget
	// stopping refuses requests that would have to run.
	stopping bool
}

// New returns an owner. onDone is called after each run has ended.
func New(ledger *claims.Ledger, run RunFunc, remote Remote, onDone func(*job.Job)) *Owner {
	return &Owner{ledger: ledger, runs: map[claims.Key]*answer.Log{}, run: run, remote: remote, onDone: onDone}
}

// LimitMemory sets the budget for the answers of runs. It must be called before the first request.
func (o *Owner) LimitMemory(b *membudget.Budget) { o.memory = b }

// Mint returns a new ticket for a workspace, or false if the ledger issues none.
func (o *Owner) Mint(workspace string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Mint(clock.Now(), workspace)
}

// Serve answers a job whose ticket may belong to any entry.
func (o *Owner) Serve(ctx context.Context, t claims.Ticket, j *job.Job, sink job.Sink) *outcome.Error {
	d, log := o.begin(t, j)
	switch d.Action {
	case claims.Forward:
		return o.remote.Forward(ctx, t, j, sink)
	case claims.Run, claims.Attach:
		j.OwnerAnswered = true
		return log.Follow(ctx, sink)
	case claims.Replay:
		j.OwnerAnswered = true
		return replay(d, sink)
	default:
		j.OwnerAnswered = true
		return d.Err
	}
}

// ServeForwarded answers a job that a peer forwarded. If this entry doesn't hold
// the ticket's incarnation, it returns an error and doesn't forward the job again.
func (o *Owner) ServeForwarded(ctx context.Context, t claims.Ticket, j *job.Job, sink job.Sink) *outcome.Error {
	if !o.Holds(t.Incarnation) {
		return claims.OwnerReplacedError()
	}
	return o.Serve(ctx, t, j, sink)
}

// Holds reports whether this entry may run requests with tickets of an incarnation.
func (o *Owner) Holds(i claims.Incarnation) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.HasAuthority(i)
}

func (o *Owner) begin(t claims.Ticket, j *job.Job) (claims.Decision, *answer.Log) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.ledger.Begin(clock.Now(), t, j.Workspace, digest(j))
	if d.Action == claims.Run && o.stopping {
		err := outcome.Stopping()
		// A delayed duplicate must not run after this refusal either, here or at the successor.
		o.ledger.Finish(clock.Now(), d.Key, nil, err)
		return claims.Decision{Action: claims.Refuse, Err: err}, nil
	}
	if d.Action == claims.Run {
		log := answer.NewLog(o.memory)
		o.runs[d.Key] = log
		runJob := *j
		go o.execute(d.Key, &runJob, log)
		return d, log
	}
	return d, o.runs[d.Key]
}

func digest(j *job.Job) claims.Digest {
	return claims.DigestOf(j.Kind, j.Method, j.Path, string(j.Body))
}

func replay(d claims.Decision, sink job.Sink) *outcome.Error {
	if d.Answer == nil {
		return d.Err
	}
	sink.Header(d.Answer.Status, d.Answer.ContentType)
	if sink.Data(d.Answer.Body) == nil {
		sink.Flush()
	}
	return d.Err
}

// execute performs the only run of a ticket. j is a copy that belongs to the
// run, and no caller's context is used, since the run continues after the
// caller disconnects.
func (o *Owner) execute(key claims.Key, j *job.Job, log *answer.Log) {
	// A request with a ticket is never repeated, even if its table row is idempotent.
	j.Row.Idempotent = false
	j.BeforeSend = func() bool { return o.withLedger(func(l *claims.Ledger) bool { return l.Dispatch(key) }) }
	j.OnNotSent = func() { o.withLedger(func(l *claims.Ledger) bool { l.RevertDispatch(key); return true }) }
	err := o.run(context.Background(), j, log)
	status, contentType, data := log.Answer()
	var stored *claims.Answer
	if status != 0 {
		stored = &claims.Answer{Status: status, ContentType: contentType, Body: data}
	}
	o.mu.Lock()
	o.ledger.Finish(clock.Now(), key, stored, err)
	delete(o.runs, key)
	o.mu.Unlock()
	log.Close(err)
	j.Outcome = outcome.Complete
	if err != nil {
		j.Outcome = err.Outcome
		j.Code = err.Code
	}
	o.onDone(j)
}

func (o *Owner) withLedger(f func(*claims.Ledger) bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return f(o.ledger)
}

// Expire removes expired records from the ledger.
func (o *Owner) Expire() {
	o.withLedger(func(l *claims.Ledger) bool { l.Expire(clock.Now()); return true })
}

// Stats returns the number of open runs and of stored records.
func (o *Owner) Stats() (running, records int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.CountRunning(), o.ledger.CountRecords()
}

// Inherited lists the incarnations whose tickets this entry took over.
func (o *Owner) Inherited() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Inherited()
}

// Adopt takes over the tickets that a stopping entry handed over.
func (o *Owner) Adopt(msg *peerv1.HandoverRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Adopt(clock.Now(), msg)
}

// Stop makes the owner begin no more runs. Repeats of requests that have run, or are running, are still answered.
func (o *Owner) Stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
}

// Freeze waits until no run is open, then freezes the ledger permanently so that
// none can start. It returns false if ctx is done first.
func (o *Owner) Freeze(ctx context.Context) bool {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for !o.tryFreeze() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (o *Owner) tryFreeze() bool {
	return o.withLedger(func(l *claims.Ledger) bool {
		if l.CountRunning() > 0 {
			return false
		}
		l.Freeze()
		return true
	})
}

// Export returns the message that hands all tickets over to the process whose
// incarnation is recipient. See claims.Ledger.Export for when a second call is
// allowed.
func (o *Owner) Export(recipient []byte) *peerv1.HandoverRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Export(clock.Now(), recipient)
}
