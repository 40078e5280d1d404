package routing

import "time"

// Tiers divides candidates into tiers.
type Tiers interface {
	// Tier returns the tier of a candidate; lower ones go first.
	Tier(r *Request, c *Candidate) int
}

// GapPreference is which engines a request prefers by their gaps between events.
type GapPreference int

const (
	// AnyGaps has no preference: the request has no objective between events, or all engines are
	// alike.
	AnyGaps GapPreference = iota
	// AvoidGaps prefers engines that meet the objective and start the answer with a margin: the
	// answer is long enough to meet a transient slowdown.
	AvoidGaps
	// TolerateGaps leaves the engines that meet the objective to long answers, as long as another
	// one starts the answer with a margin.
	TolerateGaps
)

// Tiers of GapObjective. An engine where the prompt would disturb streams comes after all others.
const (
	preferredTier = 0
	otherTier     = 1
	disturbedTier = 2
)

// GapObjective orders candidates by the objective between events. It consists of tiers because the
// sum of scores doesn't suffice: with bonuses for engines that meet the objective, the scores for
// headroom and locality kept half of the long answers at slow engines while fast ones had room.
type GapObjective struct{}

// Tier implements Tiers.
func (GapObjective) Tier(r *Request, c *Candidate) int {
	tier := preferredTier
	switch r.Gaps {
	case AvoidGaps:
		if !c.MeetsGap || !c.StartsWithMargin {
			tier = otherTier
		}
	case TolerateGaps:
		if c.MeetsGap || !c.StartsWithMargin {
			tier = otherTier
		}
	}
	if c.DisturbsStreams {
		tier += disturbedTier
	}
	return tier
}

// GapExcess prefers candidates whose expected longest gap exceeds the objective the least.
type GapExcess struct{}

// Score implements Scorer.
func (GapExcess) Score(_ *Request, c *Candidate) float64 { return -max(c.GapRatio-1, 0) }

// avoidGapsLocalityWeight is the weight of Locality for requests that avoid gaps. The load of other
// data centres is known half a second later, so that a local engine is preferred among equals. The
// weight amounts to 0.1 s of expected start, the prefill of 700 tokens at DefaultPrefillRate: a
// higher one would keep long answers away from fast engines that have room.
const avoidGapsLocalityWeight = 0.1

// WithEngineSpeed returns the pipeline with the prefill backlog rated by the expected start at the
// speed of each engine. scale is the expected start that lowers a score by 1.
func (p Pipeline) WithEngineSpeed(scale time.Duration) Pipeline {
	scorers := make([]WeightedScorer, len(p.Scorers))
	for i, s := range p.Scorers {
		if b, ok := s.Scorer.(PrefillBacklog); ok {
			b.ScaleTime = scale
			s.Scorer = b
		}
		scorers[i] = s
	}
	p.Scorers = scorers
	return p
}

// WithGapObjective returns the pipeline with the tiers of GapObjective.
func (p Pipeline) WithGapObjective() Pipeline {
	p.Tiers = GapObjective{}
	p.AvoidGapsScorers = []WeightedScorer{{GapExcess{}, 1}}
	for _, s := range p.Scorers {
		if _, ok := s.Scorer.(Locality); ok {
			s.Weight = avoidGapsLocalityWeight
		}
		p.AvoidGapsScorers = append(p.AvoidGapsScorers, s)
	}
	return p
}

// tier returns the tier of a candidate; without tiers they are all in the same one.
func (p *Pipeline) tier(r *Request, c *Candidate) int {
	if p.Tiers == nil {
		return preferredTier
	}
	return p.Tiers.Tier(r, c)
}
