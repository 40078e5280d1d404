package peering

import (
	"math"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/enginespeed"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// Speeds of engines are sent to the entries of the engine's data centre in notices, and to other
// data centres in loads. One byte per quantity keeps the loads of a data centre in few datagrams.

const (
	// speedStep is the factor between two codes of a time or rate. Engines that differ by less
	// than 5% are alike.
	speedStep = 1.05
	// Codes start at these values; zero is unknown.
	minEncodedTokenTime = 20 * time.Microsecond
	minEncodedRate      = 10.0
	// maxSpeedCode is the highest code: 4.8 s per token, or 2.4 million tokens per second.
	maxSpeedCode = math.MaxUint8
	// slowdownSteps is the number of steps that encode a slowdown of 1.
	slowdownSteps = 16
	// maxPublishedSpeedAge is the age up to which a speed is sent in loads, which carry no ages of
	// speeds. The receiver takes it for new, so that an estimate of another data centre fades at
	// most that much later.
	maxPublishedSpeedAge = 2 * time.Second
)

// encodeScale encodes a positive value as the number of steps above a minimum, from 1. Zero stays
// zero.
func encodeScale(value, minimum float64) uint32 {
	if !(value > 0) {
		return 0
	}
	steps := math.Round(math.Log(value/minimum) / math.Log(speedStep))
	return uint32(min(max(steps, 0), maxSpeedCode-1)) + 1
}

// decodeScale is the inverse of encodeScale. Codes that encodeScale doesn't produce give -1, which
// enginespeed ignores as absurd.
func decodeScale(code uint32, minimum float64) float64 {
	switch {
	case code == 0:
		return 0
	case code > maxSpeedCode:
		return -1
	}
	return minimum * math.Pow(speedStep, float64(code-1))
}

func encodeTokenTime(d time.Duration) uint32 {
	return encodeScale(float64(d), float64(minEncodedTokenTime))
}

func decodeTokenTime(code uint32) time.Duration {
	return time.Duration(math.Round(decodeScale(code, float64(minEncodedTokenTime))))
}

func encodeSlowdown(factor float64) uint32 { return uint32(math.Round(max(factor, 0) * slowdownSteps)) }

func decodeSlowdown(code uint32) float64 { return float64(code) / slowdownSteps }

// EncodeSpeed encodes an observation for a notice to the entries of the engine's data centre.
func EncodeSpeed(o enginespeed.Observation) *peerv1.EngineSpeed {
	return &peerv1.EngineSpeed{
		Endpoint:         InstanceHash(o.Instance),
		TokenTime:        encodeTokenTime(o.TokenTime),
		PrefillTokenTime: encodeTokenTime(o.PrefillTokenTime),
		PrefillRate:      encodeScale(o.PrefillRate, minEncodedRate),
		Slowdown:         encodeSlowdown(o.Slowdown),
		AgeMs:            uint32(min(max(o.Age.Milliseconds(), 0), math.MaxUint32)),
	}
}

// decodeSpeed decodes an observation. Whether its values are possible is checked by enginespeed.
func decodeSpeed(s *peerv1.EngineSpeed) enginespeed.Observation {
	return enginespeed.Observation{
		TokenTime:        decodeTokenTime(s.GetTokenTime()),
		PrefillTokenTime: decodeTokenTime(s.GetPrefillTokenTime()),
		PrefillRate:      decodeScale(s.GetPrefillRate(), minEncodedRate),
		Slowdown:         decodeSlowdown(s.GetSlowdown()),
		Age:              time.Duration(s.GetAgeMs()) * time.Millisecond,
	}
}

// appendSpeed adds the speed of the engine that was added to loads last.
func appendSpeed(l *peerv1.Loads, o enginespeed.Observation) {
	if o.Age > maxPublishedSpeedAge {
		o = enginespeed.Observation{}
	}
	s := EncodeSpeed(o)
	l.TokenTimes = append(l.TokenTimes, byte(s.GetTokenTime()))
	l.PrefillTokenTimes = append(l.PrefillTokenTimes, byte(s.GetPrefillTokenTime()))
	l.PrefillRates = append(l.PrefillRates, byte(s.GetPrefillRate()))
	l.Slowdowns = append(l.Slowdowns, byte(min(s.GetSlowdown(), math.MaxUint8)))
}

// decodeLoadSpeed decodes the speed of the i-th engine in loads. Arrays that are missing or have
// another length than the others are ignored.
func decodeLoadSpeed(l *peerv1.Loads, i int) enginespeed.Observation {
	code := func(codes []byte) uint32 {
		if len(codes) != len(l.GetEndpoints()) {
			return 0
		}
		return uint32(codes[i])
	}
	return decodeSpeed(&peerv1.EngineSpeed{
		TokenTime:        code(l.GetTokenTimes()),
		PrefillTokenTime: code(l.GetPrefillTokenTimes()),
		PrefillRate:      code(l.GetPrefillRates()),
		Slowdown:         code(l.GetSlowdowns()),
	})
}

// ApplyEngineSpeed applies what a peer has observed of the speed of an engine. One of an instance
// that isn't listed is counted only.
func (cs *ClusterState) ApplyEngineSpeed(instanceHash uint32, speed *peerv1.EngineSpeed) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	e := cs.endpointByHash(instanceHash)
	cs.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		if e == nil {
			s.IgnoreUnknownEngineSpeed()
			return
		}
		s.ApplyEngineSpeed(now, e.Instance(), decodeSpeed(speed))
	})
}

// OwnEngineSpeed returns this entry's own observation of an engine's speed for peers, or nil.
func (cs *ClusterState) OwnEngineSpeed(instance fleet.Instance) (speed *peerv1.EngineSpeed) {
	cs.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		if o, ok := s.OwnEngineSpeed(now, instance); ok {
			speed = EncodeSpeed(o)
			// The notice names the instance.
			speed.Endpoint = 0
		}
	})
	return speed
}

// EngineSpeedNotice returns the notice of an engine's speed that is due to be sent to peers, or nil;
// see scheduler.EngineSpeedNotice.
func (cs *ClusterState) EngineSpeedNotice(instance fleet.Instance, requested bool) (speed *peerv1.EngineSpeed) {
	cs.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		if o, ok := s.EngineSpeedNotice(now, instance, requested); ok {
			speed = EncodeSpeed(o)
		}
	})
	return speed
}
