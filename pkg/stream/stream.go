// Package stream ensures that a caller receives each token once, in order and from
// a single generation.
//
// A generation is identified by its endpoint, the endpoint's incarnation and
// the id that the engine gave it. An Assembler binds a request to the generation
// of its first chunk and delivers the chunks of this generation in order. After a
// stalled link the entry resumes the same generation from Next. A chunk that was
// delivered before is a duplicate, one that arrives too early is a gap, and one of
// any other generation is foreign; none of them is delivered. For streams of
// server-sent events see Splitter.
//
//	         Accept(first chunk)            Accept(final chunk)
//	[unbound] ---------------> [bound] ----------------------> [ended]
//	    ^                         |
//	    +---- Reset, only if no token was released to the caller
package stream

import "github.com/bridgehoist/bridgehoist/pkg/invariant"

// Generation identifies one run of a request at an engine.
type Generation struct {
	Endpoint    string
	Incarnation uint64
	ID          string
}

// Chunk is a part of a generation: one token, or its end.
type Chunk struct {
	Generation Generation
	// Index is the position of the token in the generation, from zero. At the
	// end it is the number of tokens.
	Index int
	Text  string
	// Final marks the end of the generation, and FinishReason is its cause.
	Final        bool
	FinishReason string
}

// Verdict is the result of Accept for a chunk.
type Verdict int

// The verdicts.
const (
	// Deliver means that the chunk is to be passed on to the caller.
	Deliver Verdict = iota
	// Duplicate means that the chunk was delivered before.
	Duplicate
	// Gap means that chunks before this one are missing; resume from Next.
	Gap
	// Foreign means that the chunk belongs to another generation.
	Foreign
	// AfterEnd means that the generation has already ended.
	AfterEnd
)

// String returns the name of the verdict in metrics.
func (v Verdict) String() string {
	return [...]string{"deliver", "duplicate", "gap", "foreign", "after_end"}[v]
}

// Assembler checks the chunks of one request. The zero value is unbound. An Assembler
// is not safe for concurrent use.
type Assembler struct {
	bound      bool
	generation Generation
	nextIndex  int
	ended      bool
	released   int
}

// Accept returns the verdict on a received chunk. It binds an unbound request to the
// generation of a chunk that it delivers.
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

// Release records that the token with this index was sent to the caller.
func (a *Assembler) Release(gen Generation, index int) {
	invariant.Check(gen == a.generation, invariant.OneGeneration, "token of %v released into %v", gen, a.generation)
	invariant.Check(index == a.released, invariant.OneGeneration, "token %d released, want %d", index, a.released)
	a.released++
}

// Generation returns the generation that the request is bound to. It returns false
// if the request is unbound.
func (a *Assembler) Generation() (Generation, bool) { return a.generation, a.bound }

// Next returns the index of the next chunk, from which to resume.
func (a *Assembler) Next() int { return a.nextIndex }

// Released returns the number of tokens that were sent to the caller.
func (a *Assembler) Released() int { return a.released }

// Ended reports whether the final chunk was accepted.
func (a *Assembler) Ended() bool { return a.ended }

// Reset unbinds the request so that another generation may serve it. It
// returns false, and changes nothing, if a token was sent to the caller.
func (a *Assembler) Reset() bool {
	if a.released > 0 {
		return false
	}
	*a = Assembler{}
	return true
}
