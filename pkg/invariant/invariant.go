// Package invariant checks the invariants of the system at run time.
//
// A violation is counted by name and passed to a hook: daemons log it, tests
// panic. Checks are cheap enough to be enabled in production.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Name identifies an invariant in metrics and in docs/PROOFS.md.
type Name string

// The invariants.
const (
	// OneGeneration: a caller receives the tokens of a single generation, in order
	// and each once.
	OneGeneration Name = "one_generation"
	// OwnAnswer: a reply belongs to the request and attempt that it answers.
	OwnAnswer Name = "own_answer"
	// NotRunProof: a request reported as not run has no dispatch in flight.
	NotRunProof Name = "not_run_proof"
	// AtMostOnce: a non-idempotent request is dispatched at most once.
	AtMostOnce Name = "at_most_once"
	// NoNewWorkOnLeaving: no request is dispatched to an endpoint known to be leaving.
	NoNewWorkOnLeaving Name = "no_new_work_on_leaving"
	// DrainCutsNothing: a planned stop terminates no request early.
	DrainCutsNothing Name = "drain_cuts_nothing"
	// RevisionMonotone: the revision in force never decreases.
	RevisionMonotone Name = "revision_monotone"
	// OneFinal: a request has exactly one final outcome.
	OneFinal Name = "one_final"
)

// Names returns all invariants, so that a metric can be initialized to zero for each.
func Names() []Name {
	return []Name{OneGeneration, OwnAnswer, NotRunProof, AtMostOnce, NoNewWorkOnLeaving, DrainCutsNothing, RevisionMonotone, OneFinal}
}

// Hook is called for every violation.
type Hook func(name Name, detail string)

var (
	hook   atomic.Pointer[Hook]
	mu     sync.Mutex
	counts = map[Name]uint64{}
)

// SetHook replaces the hook. With nil, violations are only counted.
func SetHook(h Hook) {
	if h == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&h)
}

// Strict sets a hook that panics at a violation, for tests. It returns a function
// that restores the previous hook.
func Strict() (restore func()) {
	strict := Hook(func(name Name, detail string) {
		panic(fmt.Sprintf("invariant %s violated: %s", name, detail))
	})
	previous := hook.Swap(&strict)
	return func() { hook.Store(previous) }
}

// Check records a violation if ok is false, and returns ok. The format and args
// describe the violation.
func Check(ok bool, name Name, format string, args ...any) bool {
	if ok {
		return true
	}
	mu.Lock()
	counts[name]++
	mu.Unlock()
	if h := hook.Load(); h != nil {
		(*h)(name, fmt.Sprintf(format, args...))
	}
	return false
}

// Count returns the number of violations of an invariant since the process started.
func Count(name Name) uint64 {
	mu.Lock()
	defer mu.Unlock()
	return counts[name]
}
