// Package engines holds what engines tell of themselves and what they can be
// asked to do with a running generation.
package engines

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Errors of copies.
var (
	// ErrNoRun says that the engine runs no such request: it has ended, or it never
	// began.
	ErrNoRun = errors.New("engine: no such run")
	// ErrNoRoom says that the target had no room for the copy.
	ErrNoRoom = errors.New("engine: no room for the copy")
)

// Run is one running generation, as its engine reports it.
type Run struct {
	RequestID string
	// Tokens that it holds in memory.
	Tokens int
	// Events that it has made.
	Events int
	Rank   int
}

// Report is what an engine tells of itself. It is some hundred milliseconds old
// when it is read.
type Report struct {
	// Incarnation of the engine that told it; zero if it didn't say.
	Incarnation uint64
	// Leaving says that the engine takes no new work; it ends after LeavesIn, if
	// that is above zero.
	Leaving  bool
	LeavesIn time.Duration
	Queued   int
	Running  int
	// UsedTokens is memory that can't give way.
	UsedTokens     int
	CapacityTokens int
	Runs           []Run
}

// IncarnationAt is the incarnation of the engine that a report is of, when it was asked for
// at an endpoint as the list shows it. If one of the two tells no start, nothing says that
// the engine has started again.
func (r Report) IncarnationAt(e fleet.Endpoint) uint64 {
	if r.Incarnation == 0 || !e.Instance().HasIncarnation() {
		return e.Incarnation
	}
	return r.Incarnation
}

// Copy is the memory of a generation at another engine, or kept at the source.
type Copy struct {
	// Source is the address of the engine that it was copied from.
	Source string
	// Handle names it there.
	Handle string
	// Events that had been made when it was copied.
	Events int
}

// Caller makes the calls.
type Caller interface {
	// Report reads the state of an engine.
	Report(ctx context.Context, e fleet.Endpoint) (Report, error)
	// Copy copies the memory of a running generation to another engine and returns
	// when it is there. With stop, the generation stops first and its stream is
	// closed without an end. With ErrNoRoom after a stop, the copy names what the
	// source keeps; a refusal that names nothing is another error.
	Copy(ctx context.Context, source fleet.Endpoint, requestID string, target fleet.Endpoint, stop bool) (Copy, error)
	// Release frees a copy that isn't used.
	Release(ctx context.Context, at fleet.Endpoint, c Copy) error
}
