// Package owner serves requests that carry a ticket: it runs those whose
// tickets this entry owns, each in a run of its own that goes on when its
// callers leave, and passes the others on to their owners.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/answer"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/pkg/claims"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// Remote passes a request on to the owner of its ticket, or to the entry that
// took the owner's tickets over.
type Remote interface {
	// RunAt runs the job at another entry and copies the answer to the sink.
	RunAt(ctx context.Context, t claims.Ticket, j *job.Job, sink job.Sink) *outcome.Error
}

// RunFunc runs a job to its final outcome.
type RunFunc func(ctx context.Context, j *job.Job, sink job.Sink) *outcome.Error

// Owner serves requests with tickets. It is safe for concurrent use.
type Owner struct {
	mu     sync.Mutex
	ledger *claims.Ledger
	runs   map[claims.Key]*answer.Log
	run    RunFunc
	remote Remote
	onDone func(*job.Job)
}

// New makes an owner. onDone is told of each run that has ended.
func New(ledger *claims.Ledger, run RunFunc, remote Remote, onDone func(*job.Job)) *Owner {
	return &Owner{ledger: ledger, runs: map[claims.Key]*answer.Log{}, run: run, remote: remote, onDone: onDone}
}

// Mint makes a ticket for a workspace.
func (o *Owner) Mint(workspace string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Mint(clock.Now(), workspace)
}

// Serve answers a job that carries a ticket of any entry.
func (o *Owner) Serve(ctx context.Context, t claims.Ticket, j *job.Job, sink job.Sink) *outcome.Error {
	d, log := o.begin(t, j)
	switch d.Action {
	case claims.Forward:
		return o.remote.RunAt(ctx, t, j, sink)
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

// ServeOwn answers a job that a peer passed on. A ticket that isn't held here
// is not passed on again.
func (o *Owner) ServeOwn(ctx context.Context, t claims.Ticket, j *job.Job, sink job.Sink) *outcome.Error {
	if !o.Holds(t.Incarnation) {
		return claims.OwnerReplacedError()
	}
	return o.Serve(ctx, t, j, sink)
}

// Holds reports whether this entry may run the tickets of an incarnation.
func (o *Owner) Holds(i claims.Incarnation) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.HasAuthority(i)
}

func (o *Owner) begin(t claims.Ticket, j *job.Job) (claims.Decision, *answer.Log) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.ledger.Begin(clock.Now(), t, j.Workspace, digest(j))
	if d.Action == claims.Run {
		log := answer.NewLog()
		o.runs[d.Key] = log
		own := *j
		go o.execute(d.Key, &own, log)
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

// execute makes the one run of a ticket. The job is the run's own, and no
// context of a caller is used, since the caller that brought it may leave.
func (o *Owner) execute(key claims.Key, j *job.Job, log *answer.Log) {
	// Whatever the table says by now, what has a ticket is not repeated.
	j.Row.Idempotent = false
	j.BeforeSend = func() bool { return o.locked(func(l *claims.Ledger) bool { return l.Dispatch(key) }) }
	j.NotSent = func() { o.locked(func(l *claims.Ledger) bool { l.RevertDispatch(key); return true }) }
	err := o.run(context.Background(), j, log)
	status, contentType, data := log.Answer()
	var kept *claims.Answer
	if status != 0 {
		kept = &claims.Answer{Status: status, ContentType: contentType, Body: data}
	}
	o.mu.Lock()
	o.ledger.Finish(clock.Now(), key, kept, err)
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

func (o *Owner) locked(f func(*claims.Ledger) bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return f(o.ledger)
}

// Expire forgets what is no longer needed.
func (o *Owner) Expire() {
	o.locked(func(l *claims.Ledger) bool { l.Expire(clock.Now()); return true })
}

// Stats counts the runs open and the records kept.
func (o *Owner) Stats() (running, records int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.CountRunning(), o.ledger.CountRecords()
}

// Inherited lists the incarnations taken over.
func (o *Owner) Inherited() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Inherited()
}

// Adopt takes over the tickets of a stopping entry.
func (o *Owner) Adopt(msg *peerv1.HandoverRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Adopt(clock.Now(), msg)
}

// Freeze waits until no run is open and ends running for good. It returns false
// if the context ended first.
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
	return o.locked(func(l *claims.Ledger) bool {
		if l.CountRunning() > 0 {
			return false
		}
		l.Freeze()
		return true
	})
}

// Export gives everything to the process with this incarnation. See
// claims.Ledger.Export for when a second call is allowed.
func (o *Owner) Export(to []byte) *peerv1.HandoverRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Export(clock.Now(), to)
}
