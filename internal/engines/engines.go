// Package engines defines the state that engines report and the calls that copy a running
// generation to another engine.
package engines

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Errors of Client.Copy.
var (
	// ErrNoRun means that the engine doesn't run the request: its run has ended or never started.
	ErrNoRun = errors.New("engine: no such run")
	// ErrNoRoom means that the target has too little free memory for the copy.
	ErrNoRoom = errors.New("engine: no room for the copy")
)

// Run is a running generation as its engine reports it.
type Run struct {
	RequestID string
	// Tokens is the number of tokens that the generation holds in memory.
	Tokens int
	// Events is the number of events that it has produced.
	Events int
	Rank   int
}

// Report is the state that an engine reports. It is some hundred milliseconds old when it is
// received.
type Report struct {
	// Incarnation is that of the reporting engine, or zero if the engine doesn't report it.
	Incarnation uint64
	// Leaving means that the engine accepts no new work. It terminates after LeavesIn, if that
	// is positive.
	Leaving  bool
	LeavesIn time.Duration
	Queued   int
	Running  int
	// UsedTokens is the memory in use that the engine can't reclaim, in tokens.
	UsedTokens     int
	CapacityTokens int
	Runs           []Run
}

// EffectiveIncarnation returns the incarnation of the engine that sent the report, given the
// listed endpoint that was polled. If either incarnation is unknown, nothing shows a restart,
// and the listed one is returned.
func (r Report) EffectiveIncarnation(e fleet.Endpoint) uint64 {
	if r.Incarnation == 0 || !e.Instance().HasIncarnation() {
		return e.Incarnation
	}
	return r.Incarnation
}

// Copy is a copy of a generation's memory at another engine, or the memory that the source
// retains.
type Copy struct {
	// Source is the address of the engine that it was copied from.
	Source string
	// Handle identifies the generation's memory at the source.
	Handle string
	// Events is the number of events that had been produced when the copy was made.
	Events int
}

// Client calls engines.
type Client interface {
	// Report fetches the state of an engine.
	Report(ctx context.Context, e fleet.Endpoint) (Report, error)
	// Copy copies the memory of a running generation to another engine and returns once it has
	// arrived there. If stop is true, the generation is stopped first, and its stream is
	// closed without a final event. If Copy fails with ErrNoRoom after the stop, the returned
	// copy identifies the memory that the source retains; a refusal without a handle is
	// reported as another error.
	Copy(ctx context.Context, source fleet.Endpoint, requestID string, target fleet.Endpoint, stop bool) (Copy, error)
	// Release frees a copy that isn't used.
	Release(ctx context.Context, engine fleet.Endpoint, c Copy) error
}
