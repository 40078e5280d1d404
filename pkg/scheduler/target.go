package scheduler

import "slices"

// Bounds on the candidates that one decision looks at, besides the home
// endpoints.
const (
	sampleLocal  = 8
	sampleRemote = 4
)

// target lists the endpoints that answer for one target.
type target struct {
	// homes are local endpoints that this entry has a part of.
	homes []*endpoint
	// local are the others of the data centre.
	local []*endpoint
	// remoteEngines and remoteServices are those of other data centres.
	remoteEngines  []*endpoint
	remoteServices []*endpoint
	// apart is nil until somebody asks for it; see apartAt.
	apart *isolationAssignment
}

// all lists the groups of endpoints, the nearest first.
func (t *target) all() [4][]*endpoint {
	return [...][]*endpoint{t.homes, t.local, t.remoteServices, t.remoteEngines}
}

func (t *target) size() int {
	return len(t.homes) + len(t.local) + len(t.remoteEngines) + len(t.remoteServices)
}

// target returns the endpoints of a target; they are looked up once after each
// change of the endpoints or homes.
func (s *Scheduler) target(name string) *target {
	if t := s.targets[name]; t != nil {
		return t
	}
	t := &target{}
	for _, e := range s.endpoints {
		switch {
		case !slices.Contains(e.spec.Targets, name):
		case e.spec.DataCenter != s.cfg.DataCenter && e.spec.CapacityTokens > 0:
			t.remoteEngines = append(t.remoteEngines, e)
		case e.spec.DataCenter != s.cfg.DataCenter:
			t.remoteServices = append(t.remoteServices, e)
		case e.homeEntries > 0:
			t.homes = append(t.homes, e)
		default:
			t.local = append(t.local, e)
		}
	}
	s.targets[name] = t
	return t
}
