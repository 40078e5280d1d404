package enginespeed

import (
	"math"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Observation is what one entry has observed of an engine instance, for other entries. Quantities
// that it hasn't observed are zero.
type Observation struct {
	// Instance and Target are set by Observations; Apply gets them as arguments.
	Instance fleet.Instance
	Target   string
	// TokenTime, PrefillTokenTime and PrefillRate are as in Estimate.
	TokenTime        time.Duration
	PrefillTokenTime time.Duration
	PrefillRate      float64
	// Slowdown is that of the present; 1 is ordinary, and zero is unknown.
	Slowdown float64
	// Age is how long ago the instance was observed.
	Age time.Duration
}

// empty reports whether an observation has no values.
func (o *Observation) empty() bool {
	return o.TokenTime == 0 && o.PrefillTokenTime == 0 && o.PrefillRate == 0 && o.Slowdown == 0
}

// valid reports whether all values are possible. t may be nil.
func (o *Observation) valid(t *target) bool {
	for _, d := range [...]time.Duration{o.TokenTime, o.PrefillTokenTime} {
		if d != 0 && !validTokenTime(d) {
			return false
		}
	}
	if o.PrefillRate != 0 && !(o.PrefillRate >= minPrefillRate && o.PrefillRate <= maxPrefillRate) {
		return false
	}
	if math.IsNaN(o.Slowdown) || o.Slowdown != 0 && !(o.Slowdown >= 1 && o.Slowdown <= maxSlowdown) {
		return false
	}
	if t == nil || t.knownInstances < minRatioInstances {
		return true
	}
	return nearMedian(o.TokenTime.Seconds(), t.tokenTime) &&
		nearMedian(o.PrefillTokenTime.Seconds(), t.tokenTime*t.prefillRatio) &&
		nearMedian(o.PrefillRate, t.prefillRate)
}

// nearMedian reports whether a value is within maxFactor around a median. Zero is unknown.
func nearMedian(value, median float64) bool {
	return value == 0 || median <= 0 || within(value, median, maxFactor) == value
}

// Own returns this entry's own observation of an instance. It returns false if there is none
// within estimateTTL.
func (m *Model) Own(now time.Time, id fleet.Instance, targetName string) (Observation, bool) {
	t := m.targets[targetName]
	if t == nil || t.instances[id] == nil {
		return Observation{}, false
	}
	in := t.instances[id]
	if in.ownAt.IsZero() || now.Sub(in.ownAt) > estimateTTL {
		return Observation{}, false
	}
	o := Observation{
		Instance:         id,
		Target:           targetName,
		TokenTime:        seconds(in.plain.ownValue),
		PrefillTokenTime: seconds(in.prefill.ownValue),
		PrefillRate:      in.rate.ownValue,
		Slowdown:         in.slow.own(now),
		Age:              max(now.Sub(in.ownAt), 0),
	}
	return o, !o.empty()
}

// Observations returns this entry's own observations that aren't older than estimateTTL, to be sent
// to peers.
func (m *Model) Observations(now time.Time) []Observation {
	var own []Observation
	for name, t := range m.targets {
		for id := range t.instances {
			if o, ok := m.Own(now, id, name); ok {
				own = append(own, o)
			}
		}
	}
	return own
}

// Merged returns what this entry and its peers have observed of an instance, to be sent to other
// data centres. It returns false if nothing is known within estimateTTL.
func (m *Model) Merged(now time.Time, id fleet.Instance, targetName string) (Observation, bool) {
	t := m.targets[targetName]
	if t == nil || t.instances[id] == nil {
		return Observation{}, false
	}
	in := t.instances[id]
	age := now.Sub(in.newsAt)
	if age > estimateTTL {
		return Observation{}, false
	}
	o := Observation{
		Instance:         id,
		Target:           targetName,
		TokenTime:        seconds(in.plain.value),
		PrefillTokenTime: seconds(in.prefill.value),
		PrefillRate:      in.rate.value,
		Slowdown:         in.slow.known(now),
		Age:              max(age, 0),
	}
	return o, true
}

// Apply adds the observation of a peer. One that is absurd, old or empty is ignored and counted.
func (m *Model) Apply(now time.Time, id fleet.Instance, targetName string, o Observation) {
	if o.Age < 0 || o.empty() || !o.valid(m.targets[targetName]) {
		m.ignored.Absurd++
		return
	}
	if o.Age > estimateTTL {
		m.ignored.Old++
		return
	}
	t, in := m.instance(id, targetName)
	if in == nil {
		return
	}
	if o.TokenTime > 0 {
		in.plain.addPeer(o.TokenTime.Seconds(), tokenTimeQuantile)
	}
	if o.PrefillTokenTime > 0 {
		in.prefill.addPeer(o.PrefillTokenTime.Seconds(), prefillTimeQuantile)
	}
	if o.PrefillRate > 0 {
		in.rate.addPeer(o.PrefillRate, prefillRateQuantile)
	}
	if observed := now.Add(-o.Age); observed.After(in.newsAt) {
		in.newsAt = observed
	}
	in.peerAt = now
	t.dirty = true
	if o.Slowdown > 0 && in.slow.apply(now, o.Slowdown) {
		t.addEpisode(now, o.Slowdown)
	}
}

// peerNoticeWindow is for how long after a peer's notice another one with the same content is
// suppressed. All entries with a stream at an engine see the same events.
const peerNoticeWindow = 300 * time.Millisecond

// Notice returns this entry's observation of an instance if it is due to be sent to peers: when own
// observations have begun or ended a slowdown, or on request. It is suppressed if a peer has sent
// the same within peerNoticeWindow.
func (m *Model) Notice(now time.Time, id fleet.Instance, targetName string, requested bool) (Observation, bool) {
	t := m.targets[targetName]
	if t == nil || t.instances[id] == nil {
		return Observation{}, false
	}
	in := t.instances[id]
	changed := in.slow.changed
	in.slow.changed = false
	if changed && now.Sub(in.slow.peerAt) <= peerNoticeWindow && (in.slow.peerFactor > 1) == (in.slow.ownFactor > 1) {
		changed = false
	}
	if requested && now.Sub(in.peerAt) <= peerNoticeWindow {
		requested = false
	}
	if !changed && !requested {
		return Observation{}, false
	}
	return m.Own(now, id, targetName)
}
