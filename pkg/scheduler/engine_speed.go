package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/enginespeed"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Condition handled here: the engines of one target differ in speed, and each has transient
// slowdowns; see package enginespeed. The model gets what this entry observes of its own streams,
// and the observations of peers.

// newSpeeds returns the model of engine speeds, or nil if it is disabled.
func newSpeeds(cfg Config) *enginespeed.Model {
	if !cfg.EngineSpeed {
		return nil
	}
	return enginespeed.New(enginespeed.Config{PrefillRate: cfg.PrefillRate})
}

// inProgressPart is the part of a prompt, 1/inProgressPart, that an observed backlog is reduced by. A
// prompt counts as pending until it has been processed whole, so that rates would be learned up to a
// tenth too high; the time to the first token also contains a step of the batch and the transfer,
// which lower them.
const inProgressPart = 8

// speedTarget is the target under which an endpoint's speed is kept.
func (e *endpoint) speedTarget() string { return e.spec.Targets[0] }

// speedEstimator estimates how fast engines are; enginespeed.Model implements it.
type speedEstimator interface {
	Estimate(now time.Time, instance fleet.Instance, target string) enginespeed.Estimate
}

var _ speedEstimator = (*enginespeed.Model)(nil)

// engineSpeed returns the estimated speed of an engine. Without a model, all engines of a target
// have the rate that is learned for the target.
func (s *Scheduler) engineSpeed(now time.Time, e *endpoint) enginespeed.Estimate {
	if s.speedEstimates == nil {
		return enginespeed.Estimate{PrefillRate: s.availablePrefillRate(now, e.spec.Targets[0]), Slowdown: 1, PeakSlowdown: 1}
	}
	return s.speedEstimates.Estimate(now, e.spec.Instance(), e.speedTarget())
}

// prefillLabelsReliable reports whether it is known when an engine prefills a prompt. Peers announce
// prompts to the entries of the engine's data centre, and in small fleets to all. Of an engine
// whose load arrives from another data centre only a sum is known, twice a second, so that events
// there would be labelled wrongly; the entries of that data centre publish its speed.
func (s *Scheduler) prefillLabelsReliable(now time.Time, e *endpoint) bool {
	return e.spec.DataCenter == s.cfg.DataCenter || e.remoteLoadAt.IsZero() || now.Sub(e.remoteLoadAt) > maxRemoteReportAge
}

// observeEventGap adds the time since the last tokens of a request to the model. A gap in which a
// prefill began or ended is no observation, nor is one that includes a move: Move clears
// lastTokenAt, and the first event after it sets prefillingAtLast anew.
func (s *Scheduler) observeEventGap(now time.Time, it *item, tokens int) {
	e := it.endpoint
	if s.speeds == nil || e.spec.CapacityTokens == 0 || e.removed {
		return
	}
	prefilling := s.pendingPrefillTokens(now, e) > 0
	same := prefilling == it.prefillingAtLast
	it.prefillingAtLast = prefilling
	if it.lastTokenAt.IsZero() || !same || !s.prefillLabelsReliable(now, e) {
		return
	}
	s.speeds.ObserveEvent(now, e.spec.Instance(), e.speedTarget(), now.Sub(it.lastTokenAt)/time.Duration(tokens), prefilling)
}

// observeFirstToken adds the time from the dispatch of a request to its first token to the model.
func (s *Scheduler) observeFirstToken(now time.Time, it *item) {
	e := it.endpoint
	if s.speeds == nil || e.spec.CapacityTokens == 0 || e.removed || !s.prefillLabelsReliable(now, e) {
		return
	}
	if it.moved || !s.cfg.FIFOPrefill && it.req.Urgent() {
		// It was sent to another engine, or may have overtaken the backlog.
		return
	}
	backlog := max(int(it.backlogAtSend)-it.req.PromptTokens/inProgressPart, 0)
	s.speeds.ObserveFirstToken(now, e.spec.Instance(), e.speedTarget(), it.req.PromptTokens, backlog, now.Sub(it.sentAt))
}

// keepSpeeds forgets the speeds of instances that are no longer listed.
func (s *Scheduler) keepSpeeds() {
	if s.speeds != nil {
		s.speeds.Keep(func(instance fleet.Instance) bool { return s.endpointOf(instance) != nil })
	}
}

// ApplyEngineSpeed applies a peer's observation of an engine's speed. One of an instance that isn't
// listed is ignored and counted.
func (s *Scheduler) ApplyEngineSpeed(now time.Time, instance fleet.Instance, o enginespeed.Observation) {
	if s.speeds == nil {
		return
	}
	e := s.endpointOf(instance)
	if e == nil || e.spec.CapacityTokens == 0 {
		s.speeds.IgnoreUnknown()
		return
	}
	s.speeds.Apply(now, instance, e.speedTarget(), o)
}

// KnownEngineSpeed returns what this entry and its peers have recently observed of an engine's speed;
// zero if nothing.
func (s *Scheduler) KnownEngineSpeed(now time.Time, instance fleet.Instance) enginespeed.Observation {
	e := s.endpointOf(instance)
	if s.speeds == nil || e == nil {
		return enginespeed.Observation{}
	}
	o, _ := s.speeds.Merged(now, instance, e.speedTarget())
	return o
}

// OwnEngineSpeed returns this entry's own observation of an engine's speed, to be sent to peers. It
// returns false if there is none.
func (s *Scheduler) OwnEngineSpeed(now time.Time, instance fleet.Instance) (enginespeed.Observation, bool) {
	e := s.endpointOf(instance)
	if s.speeds == nil || e == nil {
		return enginespeed.Observation{}, false
	}
	return s.speeds.Own(now, instance, e.speedTarget())
}

// EngineSpeedNotice returns this entry's observation of an engine's speed if peers are to be notified
// of it: when a transient slowdown has begun or ended, or on request, unless a peer has just sent
// the same.
func (s *Scheduler) EngineSpeedNotice(now time.Time, instance fleet.Instance, requested bool) (enginespeed.Observation, bool) {
	e := s.endpointOf(instance)
	if s.speeds == nil || e == nil {
		return enginespeed.Observation{}, false
	}
	return s.speeds.Notice(now, instance, e.speedTarget(), requested)
}

// IgnoredEngineSpeeds returns the numbers of observations that were ignored.
func (s *Scheduler) IgnoredEngineSpeeds() enginespeed.Ignored {
	if s.speeds == nil {
		return enginespeed.Ignored{}
	}
	return s.speeds.Ignored()
}

// CountEngineSpeeds returns the number of engines whose speed is known, and of those that are slowed
// down at present.
func (s *Scheduler) CountEngineSpeeds(now time.Time) (known, slowed int) {
	if s.speeds == nil {
		return 0, 0
	}
	return s.speeds.Counts(now)
}

// IgnoreUnknownEngineSpeed counts a peer's observation of an instance that isn't listed.
func (s *Scheduler) IgnoreUnknownEngineSpeed() {
	if s.speeds != nil {
		s.speeds.IgnoreUnknown()
	}
}

// Prediction is what is expected of a request at the engine where it runs.
type Prediction struct {
	// TimeToFirstToken is from the dispatch; zero if unknown.
	TimeToFirstToken time.Duration
	Speed            enginespeed.Estimate
}

// Predict returns the prediction for a running request, as of now. It returns false if the request
// doesn't run at an engine, or without a model.
func (s *Scheduler) Predict(now time.Time, id ID) (Prediction, bool) {
	it := s.running[id]
	if s.speeds == nil || it == nil || it.endpoint.spec.CapacityTokens == 0 {
		return Prediction{}, false
	}
	p := Prediction{Speed: s.engineSpeed(now, it.endpoint)}
	if rate := p.Speed.PrefillRate; rate > 0 && it.req.PromptTokens > 0 {
		tokens := it.backlogAtSend + float64(it.req.PromptTokens)
		p.TimeToFirstToken = time.Duration(tokens / rate * p.Speed.Slowdown * float64(time.Second))
	}
	return p, true
}
