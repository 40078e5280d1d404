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
	// local and remote are the others.
	local  []*endpoint
	remote []*endpoint
}

func (t *target) size() int { return len(t.homes) + len(t.local) + len(t.remote) }

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
		case e.spec.DataCenter != s.cfg.DataCenter:
			t.remote = append(t.remote, e)
		case e.parts > 0:
			t.homes = append(t.homes, e)
		default:
			t.local = append(t.local, e)
		}
	}
	s.targets[name] = t
	return t
}
