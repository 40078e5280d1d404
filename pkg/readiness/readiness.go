// Package readiness decides whether an entry takes new connections.
//
// # Design
//
// An entry serves every request that it receives, ready or not; readiness only directs
// the load balancer's new connections. An entry is therefore unready while its
// peers are likely to serve better:
//
//	[starting] --caught up, config loaded--> [ready] --stop--> [stopping]
//	                                           |  ^
//	      a target can't be served, and no     |  |  the target can be served, or
//	      other data centre can be reached     v  |  another data centre is reachable
//	                                         [stranded]
//
// The stranded state covers a network partition that cuts off a data centre without
// endpoints of some target. Its entries can only refuse requests for that target, while
// callers still reach the other data centres, where the endpoints are. An entry that is
// cut off but can serve all targets stays ready, since its data centre should serve what
// it can. A target that fails in all data centres doesn't make an entry unready either:
// no peer would serve it, and the other data centres are still reachable.
package readiness

// State is the readiness of an entry for new connections.
type State int

// The states.
const (
	Starting State = iota
	Ready
	Stranded
	Stopping
)

// String returns the name of the state in logs and readiness responses.
func (s State) String() string {
	return [...]string{"starting", "ready", "stranded", "stopping"}[s]
}

// Conditions is the observed state of an entry that determines its readiness.
type Conditions struct {
	// CaughtUp is set if the store or the peers have answered since the start.
	CaughtUp bool
	// ConfigLoaded is set if a table and a list of endpoints are in force.
	ConfigLoaded bool
	// Stopping is set if the process is being stopped.
	Stopping bool
	// UnservableTargets holds the targets that have endpoints, none of which is
	// reachable.
	UnservableTargets []string
	// CutOff is set if no endpoint of any other data centre is reachable.
	CutOff bool
}

// Decide returns the state of an entry under the given conditions.
func Decide(c Conditions) State {
	switch {
	case c.Stopping:
		return Stopping
	case !c.CaughtUp || !c.ConfigLoaded:
		return Starting
	case c.CutOff && len(c.UnservableTargets) > 0:
		return Stranded
	default:
		return Ready
	}
}
