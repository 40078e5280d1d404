// Package stream ties what a caller receives to one generation.
//
// A generation is identified by its endpoint, the endpoint's incarnation and
// the id that the engine gave it. An Assembler delivers the tokens of one
// generation in order, each once. After a stalled link the daemon resumes the
// same generation from Next; a chunk that came before is a duplicate, one that
// comes too early is a gap, and one of any other generation is foreign: none
// of them is delivered.
//
//	         Accept(first chunk)            Accept(final chunk)
//	[unbound] ---------------> [bound] ----------------------> [ended]
//	    ^                         |
//	    +---- Reset, only if nothing was released to the caller
//
// (Brief: "Every token a caller receives is delivered once, in order, and from
// one single generation".)
package stream

import "github.com/bridgehoist/bridgehoist/pkg/invariant"

// Generation identifies one run of a request at an engine.
type Generation struct {
	Endpoint    string
	Incarnation uint64
	ID          string
}

// Chunk is one piece of a generation: one token, or the end.
type Chunk struct {
	Generation Generation
	// Index counts the tokens of the generation from zero. For the end it is
	// the number of tokens.
	Index int
	Text  string
	// Final marks the end; Reason says why.
	Final        bool
	FinishReason string
}

// Verdict is what became of a chunk.
type Verdict int

// The verdicts.
const (
	// Deliver: give the chunk to the caller.
	Deliver Verdict = iota
	// Duplicate: it was delivered before.
	Duplicate
	// Gap: chunks before it are missing; resume from Next.
	Gap
	// Foreign: it belongs to another generation.
	Foreign
	// AfterEnd: the generation has ended.
	AfterEnd
)

// String names the verdict for metrics.
func (v Verdict) String() string {
	return [...]string{"deliver", "duplicate", "gap", "foreign", "after_end"}[v]
}

// Assembler follows one request. It is not safe for concurrent use.
type Assembler struct {
	bound      bool
	generation Generation
	nextIndex  int
	ended      bool
	released   int
}

// Accept decides about a chunk.
func (a *Assembler) Accept(c Chunk) Verdict {
	if a.bound && c.Generation != a.generation {
		return Foreign
	}
	if a.ended {
		return AfterEnd
	}
	if c.Index < a.nextIndex {
		return Duplicate
	}
	if c.Index > a.nextIndex {
		return Gap
	}
	a.bound = true
	a.generation = c.Generation
	if c.Final {
		a.ended = true
		return Deliver
	}
	a.nextIndex++
	return Deliver
}

// Release records that the caller has been sent the token with this index.
func (a *Assembler) Release(gen Generation, index int) {
	invariant.Check(gen == a.generation, invariant.OneGeneration, "token of %v released into %v", gen, a.generation)
	invariant.Check(index == a.released, invariant.OneGeneration, "token %d released, want %d", index, a.released)
	a.released++
}

// Generation returns the generation that the request is bound to.
func (a *Assembler) Generation() (Generation, bool) { return a.generation, a.bound }

// Next is the index to resume from.
func (a *Assembler) Next() int { return a.nextIndex }

// Released counts the tokens that the caller has been sent.
func (a *Assembler) Released() int { return a.released }

// Ended reports whether the whole answer is here.
func (a *Assembler) Ended() bool { return a.ended }

// Reset unbinds the request so that another generation may serve it. It
// returns false, and changes nothing, if the caller has received a token.
func (a *Assembler) Reset() bool {
	if a.released > 0 {
		return false
	}
	*a = Assembler{}
	return true
}
