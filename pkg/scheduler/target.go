package scheduler

import (
	"slices"
	"time"
)

// Defaults of Config.LocalSampleSize and Config.RemoteSampleSize. Home endpoints are compared in
// addition.
const (
	defaultLocalSampleSize  = 8
	defaultRemoteSampleSize = 4
)

// target groups the endpoints that serve one target.
type target struct {
	// homes are endpoints of the own data centre that this entry is a home entry of; see
	// SetHomeEntries.
	homes []*endpoint
	// local are the other endpoints of the own data centre.
	local []*endpoint
	// remoteEngines and remoteServices are the endpoints of other data centres.
	remoteEngines  []*endpoint
	remoteServices []*endpoint
	// servicesOnly is set if all endpoints are plain services.
	servicesOnly bool
	// isolation assigns endpoints to isolated requests; nil until it is needed.
	isolation *isolationAssignment
	// knownRemotes are the engines of other data centres whose load was known at knownRemotesAt.
	knownRemotes   []*endpoint
	knownRemotesAt time.Time
	// earliest are the engines that start an answer first.
	earliest earliestStarts
	// sorts divides the engines by objectives between events; see gap_objective.go.
	sorts []*gapSorts
}

// byProximity returns the groups of endpoints, the nearest first.
func (t *target) byProximity() [4][]*endpoint {
	return [...][]*endpoint{t.homes, t.local, t.remoteServices, t.remoteEngines}
}

func (t *target) endpointCount() int {
	return len(t.homes) + len(t.local) + len(t.remoteEngines) + len(t.remoteServices)
}

// target returns the endpoints of a target. The result is cached until the endpoints or the home
// entries change.
func (s *Scheduler) target(name string) *target {
	if t := s.targets[name]; t != nil {
		return t
	}
	t := &target{servicesOnly: true}
	for _, e := range s.endpoints {
		if !slices.Contains(e.spec.Targets, name) {
			continue
		}
		t.servicesOnly = t.servicesOnly && e.spec.CapacityTokens == 0
		switch {
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
