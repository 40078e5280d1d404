package scheduler

import "github.com/bridgehoist/bridgehoist/pkg/routing"

// Placements counts the requests that were placed by the objective between events, since the start.
// All of them fell to engines that differ in their gaps.
type Placements struct {
	// LongPreferred are long answers sent to an engine that meets the objective and was expected to
	// start them with a margin; LongOther are the rest of the long answers.
	LongPreferred, LongOther uint64
	// ShortPreferred are short answers that left the engines that meet the objective to long ones;
	// ShortOther are the rest of the short answers.
	ShortPreferred, ShortOther uint64
	// Disturbing are requests of any kind whose prompt was expected to violate the objective of
	// streams, because no other engine was expected to take them in time.
	Disturbing uint64
}

// Placements returns the counts since the start.
func (s *Scheduler) Placements() Placements { return s.placements }

// countPlacement counts a request that is sent to the candidate with an index.
func (s *Scheduler) countPlacement(r *routing.Request, index int) {
	if !s.cfg.GapObjective {
		return
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.Index != index {
			continue
		}
		if c.DisturbsStreams {
			s.placements.Disturbing++
		}
		switch {
		case r.Gaps == routing.AvoidGaps && c.MeetsGap && c.StartsWithMargin:
			s.placements.LongPreferred++
		case r.Gaps == routing.AvoidGaps:
			s.placements.LongOther++
		case r.Gaps == routing.TolerateGaps && !c.MeetsGap && c.StartsWithMargin:
			s.placements.ShortPreferred++
		case r.Gaps == routing.TolerateGaps:
			s.placements.ShortOther++
		}
		return
	}
}
