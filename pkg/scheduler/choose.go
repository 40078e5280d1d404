package scheduler

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// maxReported bounds the engines of other data centres that a decision looks at.
const maxReported = 32

// snapshot fills the candidates of a target with all but what depends on the
// single request: its home endpoints, and a sample of the others, so that the
// cost of a decision is bounded whatever the size of the fleet.
func (s *Scheduler) snapshot(now time.Time, name string) {
	t := s.target(name)
	s.candidates = s.candidates[:0]
	typical := s.meanInterTokenLatency(now)
	for _, e := range s.withoutApart(now, name, t.homes) {
		s.addCandidate(now, e, typical)
	}
	s.sample(now, s.withoutApart(now, name, t.local), s.cfg.LocalChoices, typical)
	s.sample(now, s.withoutApart(now, name, t.remoteServices), s.cfg.RemoteChoices, typical)
	if !s.cfg.PeersFromReports {
		s.sample(now, s.withoutApart(now, name, s.remoteCandidates(now, t)), s.cfg.RemoteChoices, typical)
		return
	}
	s.reportedRemotes = slices.DeleteFunc(s.reportedRemotes, func(e *endpoint) bool { return e.gone || !e.fresh(now) })
	for _, e := range s.reportedRemotes {
		if slices.Contains(e.spec.Targets, name) {
			s.addCandidate(now, e, typical)
		}
	}
}

func (s *Scheduler) sample(now time.Time, from []*endpoint, most int, typical float64) {
	if len(from) == 0 {
		return
	}
	count := min(len(from), most)
	first := s.cfg.Rand.IntN(len(from))
	stride := len(from) / count
	for i := range count {
		s.addCandidate(now, from[(first+i*stride)%len(from)], typical)
	}
}

func (s *Scheduler) addCandidate(now time.Time, e *endpoint, typical float64) {
	slowness := 1.0
	if e.gap > 0 {
		slowness = e.gap / typical
	}
	s.candidates = append(s.candidates, routing.Candidate{
		Index:    e.index,
		Serves:   true,
		Leaving:  e.leaving,
		Broken:   !s.accepts(now, e),
		Local:    e.spec.DataCenter == s.cfg.DataCenter,
		Slowness: slowness,
		Backlog:  s.backlog(now, e),
	})
}

// fits says whether a candidate has room. One of another data centre must have
// more of it, because what is known of its load is older. An idle local endpoint
// takes any request, else one larger than the endpoint would wait for ever.
func (s *Scheduler) fits(now time.Time, c *routing.Candidate, e *endpoint, it *item) bool {
	if s.pipeline(it).Anywhere {
		return c.Fill <= 1 || e.ownRunning+e.peersRunning == 0
	}
	if !c.Local && !s.cfg.PeersFromReports {
		return c.Fill <= spillFill
	}
	if !c.Local {
		return e.fresh(now) && c.Fill <= e.shared(spillFill)
	}
	if e.ownRunning+e.peersRunning == 0 {
		return true
	}
	if !s.cfg.Parts || e.spec.CapacityTokens == 0 {
		return c.Fill <= 1
	}
	if e.parts == 0 && s.cfg.PeersFromReports {
		return c.Fill <= e.shared(s.cfg.BorrowFill)
	}
	if c.Fill <= s.cfg.BorrowFill {
		return true
	}
	return c.Fill <= partFill && e.ownFill(&it.projection, it.req.Urgent(), s.room(0)) <= 1
}

func (s *Scheduler) room(extra float64) room {
	return room{s.cfg.Margin, s.cfg.UrgentShare, extra}
}

// measure completes the candidates with what depends on the request.
func (s *Scheduler) measure(now time.Time, it *item) {
	for i := range s.candidates {
		c := &s.candidates[i]
		e := s.endpoints[c.Index]
		c.Serves = it.req.allowsEndpoint(e)
		c.Fill = e.fill(&it.projection, it.req.Urgent(), s.room(e.extra(now)))
		c.Fits = s.fits(now, c, e, it) && s.startsInTime(now, c.Backlog, it)
	}
}

func (s *Scheduler) pipeline(it *item) *routing.Pipeline {
	if it.req.PromptTokens > 0 {
		return &s.cfg.Pipeline
	}
	return &s.cfg.ServicePipeline
}

func (s *Scheduler) choose(now time.Time, it *item) *endpoint {
	if s.isApart(it) {
		return s.chooseApart(now, it)
	}
	// The request is a field, since it would escape to the heap with each call.
	r := &s.routingRequest
	*r = routing.Request{Urgent: it.req.Urgent(), Avoid: routing.None}
	if e := s.byID[it.req.Avoid]; e != nil && len(s.candidates) > 1 {
		r.Avoid = e.index
	}
	s.measure(now, it)
	i := s.pipeline(it).Choose(s.cfg.Rand, r, s.candidates)
	if i != routing.None {
		return s.endpoints[i]
	}
	if r.Urgent && s.cfg.UrgentOvercommit {
		return s.leastFilled(r)
	}
	return nil
}

// leastFilled finds the least filled endpoint that has a place, local ones first; where
// prompts are read in turn, the one that has least to read.
func (s *Scheduler) leastFilled(r *routing.Request) *endpoint {
	var best *routing.Candidate
	for i := range s.candidates {
		c := &s.candidates[i]
		e := s.endpoints[c.Index]
		if !(routing.Usable{}).Keep(r, c) || c.Index == r.Avoid || e.places() > 1 {
			continue
		}
		if best == nil || s.overcommitsTo(c, best) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return s.endpoints[best.Index]
}

// overcommitsTo reports whether a candidate is better than another for an urgent request that
// fits nowhere.
func (s *Scheduler) overcommitsTo(c, other *routing.Candidate) bool {
	switch {
	case s.cfg.ReadInTurn:
		return c.Backlog < other.Backlog
	case c.Local != other.Local:
		return c.Local
	default:
		return c.Fill < other.Fill
	}
}
