// Package routing chooses an endpoint for a request.
//
// A choice is made in three steps over a snapshot: filters drop candidates
// that must not or can't take the request, scorers rate the rest, a picker
// takes one. Each part is small and pure, and Choose allocates nothing. What
// the candidates look like is the business of package scheduler.
package routing

import (
	"math"
	"math/rand/v2"
)

// Request is what routing needs to know of a request.
type Request struct {
	// Urgent requests may use the room reserved for them.
	Urgent bool
	// Avoid is the index of an endpoint that failed the request, or -1.
	Avoid int
}

// Candidate is one endpoint as an entry believes it to be.
type Candidate struct {
	// Index identifies the endpoint to the caller.
	Index int
	// Serves says that the endpoint answers for the request's target.
	Serves bool
	// Leaving says that it takes no new work.
	Leaving bool
	// Broken says that its circuit breaker is open.
	Broken bool
	// Local says that it is in the entry's own data centre.
	Local bool
	// Fits says that its projected memory and its running requests leave room.
	Fits bool
	// Fill is the projected use of its memory or its places, 0 to 1 or above.
	Fill float64
	// Slowness is its time between tokens in relation to the others; 1 is usual.
	Slowness float64
	// Backlog counts the prompt tokens that it has still to read before it can
	// begin with another request.
	Backlog float64
}

// Filter drops candidates.
type Filter interface {
	// Keep reports whether the candidate may take the request.
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates candidates; higher is better, about 0 to 1.
type Scorer interface {
	// Score rates one candidate.
	Score(r *Request, c *Candidate) float64
}

// Weighted is a scorer with its weight.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Usable keeps candidates that serve the target, stay, and work.
type Usable struct{}

// Keep implements Filter.
func (Usable) Keep(_ *Request, c *Candidate) bool {
	return c.Serves && !c.Leaving && !c.Broken
}

// Fitting keeps candidates with room.
type Fitting struct{}

// Keep implements Filter.
func (Fitting) Keep(_ *Request, c *Candidate) bool { return c.Fits }

// Headroom prefers candidates with room.
type Headroom struct{}

// Score implements Scorer.
func (Headroom) Score(_ *Request, c *Candidate) float64 { return 1 - min(c.Fill, 1.5) }

// Speed prefers candidates that are no slower than the others.
type Speed struct{}

// Score implements Scorer.
func (Speed) Score(_ *Request, c *Candidate) float64 {
	return 1 / max(c.Slowness, 1)
}

// Near prefers candidates of the entry's own data centre.
type Near struct{}

// Score implements Scorer.
func (Near) Score(_ *Request, c *Candidate) float64 {
	if c.Local {
		return 1
	}
	return 0
}

// Prompt prefers candidates that can begin soon.
type Prompt struct {
	// Tokens of backlog that cost one; more cost more, so that in a burst, when all
	// engines have more, the shortest backlog still counts.
	Tokens float64
}

// Score implements Scorer.
func (p Prompt) Score(_ *Request, c *Candidate) float64 {
	return 1 - c.Backlog/p.Tokens
}

// Pipeline is a set of filters and scorers in their order.
type Pipeline struct {
	Filters []Filter
	Scorers []Weighted
	// Anywhere rates all candidates together. Without it, those of other data
	// centres are looked at only if no local one is kept.
	Anywhere bool
	// Jitter is the size of the random number added to each score. It keeps
	// entries with equal beliefs from choosing the same endpoint.
	Jitter float64
}

// Default is the pipeline of the entries.
func Default() Pipeline {
	return Pipeline{
		Filters: []Filter{Usable{}, Fitting{}},
		Scorers: []Weighted{{Headroom{}, 1}, {Speed{}, 1}},
		Jitter:  0.15,
	}
}

// Weights of Spread, in units of an engine's whole memory: a candidate of the own
// data centre may be fuller by nearWeight.
const (
	nearWeight   = 0.5
	speedWeight  = 1.0
	promptTokens = 8000
	spreadJitter = 0.05
)

// Spread is the pipeline of entries that send work to all data centres: reading
// long prompts is what engines are short of, so the load has to be even.
func Spread() Pipeline {
	return Pipeline{
		Filters:  []Filter{Usable{}, Fitting{}},
		Scorers:  []Weighted{{Headroom{}, 1}, {Prompt{promptTokens}, 1}, {Speed{}, speedWeight}, {Near{}, nearWeight}},
		Anywhere: true,
		Jitter:   spreadJitter,
	}
}

// None is the index returned when no candidate is left.
const None = -1

// Choose returns the Index of the chosen candidate, or None.
func (p *Pipeline) Choose(rng *rand.Rand, r *Request, candidates []Candidate) int {
	if best := p.best(rng, r, candidates, true); best != None {
		return best
	}
	return p.best(rng, r, candidates, false)
}

func (p *Pipeline) best(rng *rand.Rand, r *Request, candidates []Candidate, local bool) int {
	index := None
	high := math.Inf(-1)
	for i := range candidates {
		c := &candidates[i]
		if c.Local != local && !p.Anywhere || c.Index == r.Avoid || !p.keep(r, c) {
			continue
		}
		if s := p.score(r, c) + rng.Float64()*p.Jitter; s > high {
			high = s
			index = c.Index
		}
	}
	return index
}

func (p *Pipeline) keep(r *Request, c *Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

func (p *Pipeline) score(r *Request, c *Candidate) float64 {
	sum := 0.0
	for _, s := range p.Scorers {
		sum += s.Weight * s.Scorer.Score(r, c)
	}
	return sum
}

// Reason explains what a pipeline makes of one candidate.
type Reason struct {
	Index int
	Kept  bool
	Score float64
}

// Explain rates every candidate without choosing, for the operators.
func (p *Pipeline) Explain(r *Request, candidates []Candidate) []Reason {
	out := make([]Reason, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		kept := c.Index != r.Avoid && p.keep(r, c)
		out = append(out, Reason{Index: c.Index, Kept: kept, Score: p.score(r, c)})
	}
	return out
}
