// Package routing chooses an endpoint for a request.
//
// A Pipeline works on a snapshot of candidates: filters exclude those that
// must not or can't serve the request, weighted scorers rate the rest, and the
// highest score wins. Filters and scorers are stateless, and Choose doesn't
// allocate. Package scheduler builds the candidates.
package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Request holds the properties of a request that affect routing.
type Request struct {
	// Urgent is set for requests that may use the capacity reserved for urgent
	// work.
	Urgent bool
	// ExcludedIndex is the Candidate.Index of an endpoint that failed the
	// request, or None.
	ExcludedIndex int
	// Gaps is which engines the request prefers by their gaps between events.
	Gaps GapPreference
}

// Candidate is the entry's view of one endpoint.
type Candidate struct {
	// Index identifies the endpoint to the caller.
	Index int
	// ServesTarget is set if the endpoint serves the request's target.
	ServesTarget bool
	// Leaving is set if the endpoint takes no new work.
	Leaving bool
	// BreakerOpen is set if the endpoint's circuit breaker allows no request.
	BreakerOpen bool
	// Local is set if the endpoint is in the entry's own data centre.
	Local bool
	// Fits is set if the endpoint's projected memory and number of running
	// requests stay within its capacity with the request added.
	Fits bool
	// Utilization is the projected use of the endpoint's memory or concurrency
	// limit as a part of capacity; it may exceed 1.
	Utilization float64
	// Slowness is the endpoint's inter-token latency relative to the mean of the
	// endpoints; it is 1 if unknown.
	Slowness float64
	// PrefillBacklog is the number of prompt tokens that the endpoint has to
	// process before it can start another request.
	PrefillBacklog float64
	// ExpectedStart is the expected time from the dispatch of the request to its
	// first token; zero if it isn't estimated.
	ExpectedStart time.Duration
	// SharedRate is set if ExpectedStart isn't derived from the endpoint's own speed, so that
	// PrefillBacklog goes by the tokens.
	SharedRate bool
	// GapRatio is the expected longest time between two events of a stream relative
	// to the request's objective; zero if either is unknown.
	GapRatio float64
	// MeetsGap is set if the expected longest time between two events meets the
	// request's objective.
	MeetsGap bool
	// StartsWithMargin is set if the answer is expected to start well within its
	// objective.
	StartsWithMargin bool
	// DisturbsStreams is set if the prefill of the request's prompt is expected to
	// violate the objective between events of streams that run there.
	DisturbsStreams bool
	// CompletionTime is the expected time in seconds until a plain service has
	// answered the request; it is positive where it is used.
	CompletionTime float64
}

// Filter excludes candidates.
type Filter interface {
	// Keep reports whether the candidate may take the request.
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates candidates.
type Scorer interface {
	// Score rates one candidate. Higher is better; scores are mostly between
	// 0 and 1.
	Score(r *Request, c *Candidate) float64
}

// WeightedScorer is a scorer and the factor of its score in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Available keeps candidates that serve the target, aren't leaving and have no
// open circuit breaker.
type Available struct{}

// Keep implements Filter.
func (Available) Keep(_ *Request, c *Candidate) bool {
	return c.ServesTarget && !c.Leaving && !c.BreakerOpen
}

// FitsCapacity keeps candidates with capacity for the request.
type FitsCapacity struct{}

// Keep implements Filter.
func (FitsCapacity) Keep(_ *Request, c *Candidate) bool { return c.Fits }

// Headroom prefers candidates with low utilization.
type Headroom struct{}

// Score implements Scorer.
func (Headroom) Score(_ *Request, c *Candidate) float64 { return 1 - min(c.Utilization, 1.5) }

// InterTokenLatency lowers the score of candidates whose inter-token latency is above
// the mean.
type InterTokenLatency struct{}

// Score implements Scorer.
func (InterTokenLatency) Score(_ *Request, c *Candidate) float64 {
	return 1 / max(c.Slowness, 1)
}

// Locality prefers candidates of the entry's own data centre.
type Locality struct{}

// Score implements Scorer.
func (Locality) Score(_ *Request, c *Candidate) float64 {
	if c.Local {
		return 1
	}
	return 0
}

// PrefillBacklog prefers candidates with few pending prefill tokens, which can
// start a request soon.
type PrefillBacklog struct {
	// ScaleTokens is the backlog that lowers the score by 1. A larger backlog
	// lowers it further, without a floor, so that the shortest backlog still
	// scores best in a burst, when all engines have more than ScaleTokens.
	ScaleTokens float64
	// ScaleTime, if set, replaces ScaleTokens: it is the ExpectedStart that lowers
	// the score by 1. Where engines differ in speed, the same number of tokens
	// takes longer at a slow one.
	ScaleTime time.Duration
}

// Score implements Scorer.
func (p PrefillBacklog) Score(_ *Request, c *Candidate) float64 {
	if p.ScaleTime > 0 && !c.SharedRate {
		return 1 - c.ExpectedStart.Seconds()/p.ScaleTime.Seconds()
	}
	return 1 - c.PrefillBacklog/p.ScaleTokens
}

// CompletionTime prefers candidates that are expected to answer sooner. The
// score is logarithmic, so that jitter is a factor of the time.
type CompletionTime struct{}

// Score implements Scorer.
func (CompletionTime) Score(_ *Request, c *Candidate) float64 { return -math.Log(c.CompletionTime) }

// Pipeline excludes candidates by its filters, in order, and picks the one with
// the highest weighted sum of scores.
type Pipeline struct {
	Filters []Filter
	Scorers []WeightedScorer
	// Tiers, if set, divides the candidates into tiers. A candidate is chosen only if no lower
	// tier has an eligible one; scores decide within a tier.
	Tiers Tiers
	// AvoidGapsScorers, if set, replaces Scorers for requests that avoid gaps.
	AvoidGapsScorers []WeightedScorer
	// AllDataCenters rates the candidates of all data centres together. If it
	// is false, remote candidates are considered only if no local one is
	// eligible.
	AllDataCenters bool
	// Jitter is the upper bound of the random number added to each score. It
	// keeps entries with the same view from all choosing the same endpoint.
	Jitter float64
}

// LocalFirst returns the pipeline of entries that use other data centres only if
// no local endpoint is eligible.
func LocalFirst() Pipeline {
	return Pipeline{
		Filters: []Filter{Available{}, FitsCapacity{}},
		Scorers: []WeightedScorer{{Headroom{}, 1}, {InterTokenLatency{}, 1}},
		Jitter:  0.15,
	}
}

// Parameters of AcrossDataCenters. Weights are relative to utilization: other
// things being equal, a local candidate is preferred until its utilization
// exceeds that of a remote one by localityWeight.
const (
	localityWeight          = 0.5
	interTokenLatencyWeight = 1.0
	prefillScaleTokens      = 8000
	acrossDataCentersJitter = 0.05
)

// AcrossDataCenters returns the pipeline of entries that send work to all data
// centres. Prefill of long prompts is the bottleneck of the engines, so the load
// has to be balanced over all of them.
func AcrossDataCenters() Pipeline {
	return Pipeline{
		Filters:        []Filter{Available{}, FitsCapacity{}},
		Scorers:        []WeightedScorer{{Headroom{}, 1}, {PrefillBacklog{ScaleTokens: prefillScaleTokens}, 1}, {InterTokenLatency{}, interTokenLatencyWeight}, {Locality{}, localityWeight}},
		AllDataCenters: true,
		Jitter:         acrossDataCentersJitter,
	}
}

// Parameters of LeastCompletionTime, logarithms of factors of the completion time.
const (
	// completionJitter lets an endpoint that is 1.25 times slower than another get
	// some of the requests, so that the entries don't all choose the fastest one.
	completionJitter = 0.25
	// localCompletionWeight keeps the jitter from choosing another data centre
	// often where both are equal, which would cost the link's capacity for nothing.
	localCompletionWeight = completionJitter / 2
)

// LeastCompletionTime returns the pipeline that chooses the candidate with the
// least expected completion time, which includes the time of the link to other
// data centres.
func LeastCompletionTime() Pipeline {
	return Pipeline{
		Filters:        []Filter{Available{}, FitsCapacity{}},
		Scorers:        []WeightedScorer{{CompletionTime{}, 1}, {Locality{}, localCompletionWeight}},
		AllDataCenters: true,
		Jitter:         completionJitter,
	}
}

// None is the index that stands for no candidate.
const None = -1

// Choose returns the Index of the chosen candidate, or None if no candidate is
// eligible.
func (p *Pipeline) Choose(rng *rand.Rand, r *Request, candidates []Candidate) int {
	if best := p.best(rng, r, candidates, true); best != None {
		return best
	}
	return p.best(rng, r, candidates, false)
}

// best returns the Index of the eligible candidate with the highest score, or None.
// Unless AllDataCenters is set, it considers only local candidates, or only remote
// ones if local is false.
func (p *Pipeline) best(rng *rand.Rand, r *Request, candidates []Candidate, local bool) int {
	index := None
	highScore := math.Inf(-1)
	lowTier := math.MaxInt
	for i := range candidates {
		c := &candidates[i]
		if c.Local != local && !p.AllDataCenters || c.Index == r.ExcludedIndex || !p.keep(r, c) {
			continue
		}
		s := p.score(r, c) + rng.Float64()*p.Jitter
		if tier := p.tier(r, c); tier < lowTier || tier == lowTier && s > highScore {
			lowTier = tier
			highScore = s
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
	scorers := p.Scorers
	if r.Gaps == AvoidGaps && p.AvoidGapsScorers != nil {
		scorers = p.AvoidGapsScorers
	}
	sum := 0.0
	for _, s := range scorers {
		sum += s.Weight * s.Scorer.Score(r, c)
	}
	return sum
}

// Evaluation is the result of a pipeline for one candidate.
type Evaluation struct {
	// Index is the Index of the candidate.
	Index int
	// Eligible is set if no filter excludes the candidate.
	Eligible bool
	// Tier is the tier of the candidate; lower ones go first.
	Tier int
	// Score is the weighted sum of scores, without jitter.
	Score float64
}

// Explain evaluates every candidate, excluded ones too, without choosing one. It
// serves diagnostics for operators.
func (p *Pipeline) Explain(r *Request, candidates []Candidate) []Evaluation {
	evaluations := make([]Evaluation, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		eligible := c.Index != r.ExcludedIndex && p.keep(r, c)
		evaluations = append(evaluations, Evaluation{Index: c.Index, Eligible: eligible, Tier: p.tier(r, c), Score: p.score(r, c)})
	}
	return evaluations
}
