// Package invariant checks, inside the running program, what must always hold.
//
// A violation is counted by name and handed to the hook: daemons log it,
// tests panic. Checks are cheap enough to stay on in production. (Brief, "How
// we want it proved".)
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
	// OneGeneration: a caller gets tokens of a single generation, in order, once.
	OneGeneration Name = "one_generation"
	// OwnAnswer: a reply belongs to the request and attempt that asked for it.
	OwnAnswer Name = "own_answer"
	// NotRunProof: a request reported as not run had no dispatch open.
	NotRunProof Name = "not_run_proof"
	// AtMostOnce: a non-idempotent request is dispatched at most once.
	AtMostOnce Name = "at_most_once"
	// NoNewWorkOnLeaving: no dispatch to an endpoint known to be leaving.
	NoNewWorkOnLeaving Name = "no_new_work_on_leaving"
	// DrainCutsNothing: a planned stop ends no request early.
	DrainCutsNothing Name = "drain_cuts_nothing"
	// RevisionMonotone: a revision in force never goes backwards.
	RevisionMonotone Name = "revision_monotone"
	// OneFinal: a request gets exactly one final outcome.
	OneFinal Name = "one_final"
)

// Names lists all invariants, for metrics that start at zero.
func Names() []Name {
	return []Name{OneGeneration, OwnAnswer, NotRunProof, AtMostOnce, NoNewWorkOnLeaving, DrainCutsNothing, RevisionMonotone, OneFinal}
}

// Hook receives every violation.
type Hook func(name Name, detail string)

var (
	hook   atomic.Pointer[Hook]
	mu     sync.Mutex
	counts = map[Name]uint64{}
)

// SetHook replaces the hook; nil only counts.
func SetHook(h Hook) {
	if h == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&h)
}

// Strict stops the program at the first violation; tests use it. It returns a
// function that restores the former hook.
func Strict() (restore func()) {
	strict := Hook(func(name Name, detail string) {
		panic(fmt.Sprintf("invariant %s violated: %s", name, detail))
	})
	previous := hook.Swap(&strict)
	return func() { hook.Store(previous) }
}

// Check reports a violation if ok is false, and returns ok.
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

// Count returns the violations of one invariant since the start.
func Count(name Name) uint64 {
	mu.Lock()
	defer mu.Unlock()
	return counts[name]
}
