// Package readiness decides whether an entry takes new connections.
//
// # Design
//
// An entry serves whatever reaches it, ready or not; readiness only tells the balancer
// where new connections had better go. So an entry calls itself unready while
// another one can be expected to do better:
//
//	[starting] --caught up, with a table--> [ready] --stop--> [stopping]
//	                                          |  ^
//	      a target can't be served, and no    |  |  the target can be served, or
//	      other data centre can be reached    v  |  another data centre answers
//	                                        [stranded]
//
// The load that stranded answers: a data centre is cut off that holds no endpoint of
// some target. Its entries can refuse these requests at once, and no more; the callers
// reach the other data centres, where the endpoints are. While everything can be
// served the entry stays ready, since a data centre that is cut off is to serve what it
// can. Nor is a target that fails everywhere a reason: then no entry does better, and
// the other data centres still answer.
package readiness

// State is what an entry is to the balancer.
type State int

// The states.
const (
	Starting State = iota
	Ready
	Stranded
	Stopping
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"starting", "ready", "stranded", "stopping"}[s]
}

// Beliefs is what an entry knows of itself.
type Conditions struct {
	// CaughtUp says that the store or the peers have answered since the start.
	CaughtUp bool
	// HasValues says that a table and a list of endpoints are in force.
	ConfigLoaded bool
	// Stopping says that the process is being stopped.
	Stopping bool
	// Unservable are the targets that have endpoints, none of which is in reach.
	UnservableTargets []string
	// CutOff says that no endpoint of any other data centre can be reached.
	Isolated bool
}

// Decide gives the state of an entry.
func Decide(c Conditions) State {
	switch {
	case c.Stopping:
		return Stopping
	case !c.CaughtUp || !c.ConfigLoaded:
		return Starting
	case c.Isolated && len(c.UnservableTargets) > 0:
		return Stranded
	default:
		return Ready
	}
}
