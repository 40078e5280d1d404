package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Condition handled here: a target has no room for a copy although the plan says so, or it can't be
// reached from the source. The generation still runs, and its engine has some hundred milliseconds
// left. The other targets of the plan are tried at once: a new plan after the next reports takes as
// long as two copies, and is made from reports that don't show the refusal yet.

// refusalTTL is how long a target counts as refusing: as long as it takes until reports show the
// memory that was in use when it refused.
const refusalTTL = 500 * time.Millisecond

// Refusals records which targets refused a copy. The zero value is empty.
type Refusals struct {
	byTarget map[string]refusal
}

type refusal struct {
	at time.Time
	// tokens is the size of the smallest copy that was refused.
	tokens int
}

// Record records that a target had no room for a copy. Size zero stands for copies of any size, for
// a target that can't be reached.
func (r *Refusals) Record(now time.Time, target string, tokens int) {
	if r.byTarget == nil {
		r.byTarget = map[string]refusal{}
	}
	maps.DeleteFunc(r.byTarget, func(_ string, known refusal) bool { return now.Sub(known.at) >= refusalTTL })
	if previous, ok := r.byTarget[target]; ok {
		tokens = min(tokens, previous.tokens)
	}
	r.byTarget[target] = refusal{now, tokens}
}

// Refused reports whether a target refused a copy of this or a smaller size recently.
func (r *Refusals) Refused(now time.Time, target string, tokens int) bool {
	known, ok := r.byTarget[target]
	return ok && now.Sub(known.at) < refusalTTL && tokens >= known.tokens
}

// Conditions describes the situation in which the next target of a step is chosen.
type Conditions struct {
	// Remaining is how long the source still runs; zero if unknown.
	Remaining time.Duration
	// Tried are the targets that were tried for this step.
	Tried []string
	// Refused reports whether a target refused this or a smaller copy recently.
	Refused func(target string) bool
	// HasRoom reports whether a target has room as far as it is known now. Prompts and copies of
	// others may have used it up since the plan was made.
	HasRoom func(target string) bool
}

// NextTarget returns the target to try next, or false if there is none that can take the copy in
// time. Targets with room are tried first. Those without follow, since the engine knows better.
func (s Step) NextTarget(c Conditions) (target string, ok bool) {
	candidates := slices.Concat([]Alternative{{s.Target, s.CopyTime}}, s.Alternatives)
	candidates = slices.DeleteFunc(candidates, func(a Alternative) bool {
		tooLate := c.Remaining > 0 && a.CopyTime > c.Remaining
		return tooLate && (len(c.Tried) > 0 || a.Target != s.Target) || slices.Contains(c.Tried, a.Target) || c.Refused != nil && c.Refused(a.Target)
	})
	if len(candidates) == 0 {
		return "", false
	}
	if c.HasRoom != nil {
		for _, a := range candidates {
			if c.HasRoom(a.Target) {
				return a.Target, true
			}
		}
	}
	return candidates[0].Target, true
}
