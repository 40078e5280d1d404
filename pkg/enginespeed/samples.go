package enginespeed

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleInterval is the time that one value of a series stands for. Events of one stream are
	// 15 to 187 ms apart, so that an interval has several, and a transient slowdown of up to 1.5 s
	// is at most six of the intervals.
	sampleInterval = 250 * time.Millisecond
	// maxIntervals is the number of intervals kept per series: 4 s of continuous observations.
	maxIntervals = 16
	// maxPerInterval bounds the observations used per interval.
	maxPerInterval = 5
	// maxPeerValues is the number of values kept from peers per series.
	maxPeerValues = 8
	// tokenTimeQuantile is the quantile of the series without a prefill: an unannounced prefill
	// and an unnoticed slowdown make a value higher, never lower.
	tokenTimeQuantile = 0.25
	// prefillTimeQuantile is that of the series with a prefill. It is higher, since a prompt that
	// waits for memory counts as pending without being prefilled, which makes values lower.
	prefillTimeQuantile = 0.4
	// prefillRateQuantile is that of prefill rates. A wait for memory or in the network makes a
	// rate lower, a backlog that was already processed makes it higher.
	prefillRateQuantile = 0.6
	// minPublished is the number of observations from which on peers are told of a value, so that
	// the quantile of the receivers isn't one of single events.
	minPublished = 3
	// sufficientValues is the number of values from which on a series is used by itself. With
	// fewer it is combined with what the other series imply.
	sufficientValues = 3
)

// series holds the observations of one quantity of an instance: one value per interval of own
// observations, and the latest values received from peers.
type series struct {
	own                                                  [maxIntervals]float32
	peer                                                 [maxPeerValues]float32
	current                                              [maxPerInterval]float32
	startedAt                                            time.Time
	ownCount, ownNext, peerCount, peerNext, currentCount uint8
	// observed is the number of own observations, up to comparableEvents.
	observed uint8
	// value is the quantile of all values, and n their number.
	value float64
	n     int
	// ownValue is the quantile of the own values alone; zero before minPublished observations.
	ownValue float64
}

// add adds an own observation.
func (s *series) add(now time.Time, value, quantile float64) {
	if s.currentCount > 0 && now.Sub(s.startedAt) >= sampleInterval {
		s.own[s.ownNext] = s.currentMedian()
		s.ownNext = (s.ownNext + 1) % maxIntervals
		s.ownCount = min(s.ownCount+1, maxIntervals)
		s.currentCount = 0
	}
	if s.currentCount == 0 {
		s.startedAt = now
	}
	s.observed = min(s.observed+1, comparableEvents)
	if s.currentCount == maxPerInterval {
		return
	}
	s.current[s.currentCount] = float32(value)
	s.currentCount++
	s.update(quantile)
}

// addPeer adds a value received from a peer.
func (s *series) addPeer(value, quantile float64) {
	s.peer[s.peerNext] = float32(value)
	s.peerNext = (s.peerNext + 1) % maxPeerValues
	s.peerCount = min(s.peerCount+1, maxPeerValues)
	s.update(quantile)
}

func (s *series) update(quantile float64) {
	var buf [maxIntervals + 1 + maxPeerValues]float32
	values := append(buf[:0], s.own[:s.ownCount]...)
	if s.currentCount > 0 {
		values = append(values, s.currentMedian())
	}
	s.ownValue = 0
	if s.ownCount > 0 || s.currentCount >= minPublished {
		s.ownValue = quantileOf(values, quantile)
	}
	values = append(values, s.peer[:s.peerCount]...)
	s.value, s.n = quantileOf(values, quantile), len(values)
}

// currentMedian returns the median of the current interval, for an even number the mean of the
// middle two: an event that is late by a pause of the network shortens the next gap by as much.
func (s *series) currentMedian() float32 {
	var buf [maxPerInterval]float32
	values := append(buf[:0], s.current[:s.currentCount]...)
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// quantileOf returns a quantile of at least one value, by nearest rank. It sorts the values.
func quantileOf(values []float32, quantile float64) float64 {
	slices.Sort(values)
	return float64(values[min(int(quantile*float64(len(values))), len(values)-1)])
}

// blend combines a value that stems from n observations with one that the observations of other
// series imply, which may be zero if unknown. From sufficientValues on the value is used by itself.
func blend(value float64, n int, implied float64, impliedN int) float64 {
	switch {
	case n == 0:
		return implied
	case n >= sufficientValues || implied <= 0 || impliedN == 0:
		return value
	}
	weight := float64(min(impliedN, sufficientValues-n)) / float64(sufficientValues)
	return interpolate(value, implied, weight)
}

// interpolate returns the weighted geometric mean of two positive values.
func interpolate(from, to, weight float64) float64 {
	return from * math.Pow(to/from, weight)
}

// within limits a value to a factor around a positive center.
func within(value, center, factor float64) float64 {
	return min(max(value, center/factor), center*factor)
}
