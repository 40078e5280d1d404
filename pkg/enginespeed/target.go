package enginespeed

import (
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

const (
	// defaultPrefillRatio is the assumed ratio of the time per token with a prefill to that
	// without, until a target's is learned.
	defaultPrefillRatio = 2
	// maxPrefillRatio bounds the learned ratio; it is at least 1.
	maxPrefillRatio = 8
	// minRatioInstances is the number of instances from which a ratio of a target is learned, so
	// that a wrong observation of one of them doesn't matter.
	minRatioInstances = 3
	// refreshInterval is the minimum time between two computations of a target's medians, which
	// take 0.3 ms for 1,200 instances.
	refreshInterval = 500 * time.Millisecond
	// peakRefreshInterval is the interval at which they are computed without observations too, so
	// that slowdowns expire.
	peakRefreshInterval = 2 * time.Second
	// maxEpisodes and episodeTTL bound the slowdowns that Estimate.PeakSlowdown is computed from.
	// With slowdowns 15% of the time, an engine has nine in a minute.
	maxEpisodes = 32
	episodeTTL  = time.Minute
	// minEpisodes is the number of slowdowns from which on a target has transient slowdowns. A
	// prefill that wasn't announced looks like one, which must stay without effect where there
	// are none.
	minEpisodes = 3
	// peakQuantile is the quantile of the episodes' factors that is expected of a future one.
	peakQuantile = 0.75
)

// episode is a transient slowdown that was observed.
type episode struct {
	at     time.Time
	factor float32
}

// target holds the instances of one target and what they have in common.
type target struct {
	instances map[fleet.Instance]*instance
	// tokenTime, in seconds, and prefillRate, in tokens per second, are medians of the known
	// instances; zero if none is known.
	tokenTime   float64
	prefillRate float64
	// knownInstances is the number of instances that tokenTime stems from.
	knownInstances int
	// prefillRatio is that of the time per token with a prefill to that without.
	prefillRatio float64
	ratioLearned bool
	// prefillProduct is the prefill rate times the time per token: the prompt tokens prefilled per
	// output token; zero if unknown.
	prefillProduct float64
	peakSlowdown   float64
	episodes       []episode
	nextEpisode    int

	dirty       bool
	refreshedAt time.Time
	buf         []float32
}

func newTarget() *target {
	return &target{instances: map[fleet.Instance]*instance{}, prefillRatio: defaultPrefillRatio, peakSlowdown: 1}
}

func (t *target) addEpisode(now time.Time, factor float64) {
	t.dirty = true
	e := episode{now, float32(factor)}
	if len(t.episodes) < maxEpisodes {
		t.episodes = append(t.episodes, e)
		return
	}
	t.episodes[t.nextEpisode] = e
	t.nextEpisode = (t.nextEpisode + 1) % maxEpisodes
}

// refresh recomputes what the instances have in common, if it is due.
func (t *target) refresh(now time.Time, defaultRate float64) {
	age := now.Sub(t.refreshedAt)
	first := t.refreshedAt.IsZero() || t.knownInstances < minRatioInstances
	if !t.dirty && age < peakRefreshInterval || !first && age < refreshInterval {
		return
	}
	t.dirty, t.refreshedAt = false, now
	t.refreshRatio()
	t.refreshMedians(defaultRate)
	t.refreshPeak(now)
}

// refreshRatio learns the ratio from instances with several values of both series.
func (t *target) refreshRatio() {
	t.buf = t.buf[:0]
	for _, in := range t.instances {
		if in.plain.n >= sufficientValues && in.prefill.n >= sufficientValues {
			t.buf = append(t.buf, float32(in.prefill.value/in.plain.value))
		}
	}
	if t.ratioLearned = len(t.buf) >= minRatioInstances; t.ratioLearned {
		t.prefillRatio = min(max(t.median(), 1), maxPrefillRatio)
	}
}

func (t *target) refreshMedians(defaultRate float64) {
	t.buf = t.buf[:0]
	for _, in := range t.instances {
		if tokenTime, _ := in.tokenTimes(t); tokenTime > 0 {
			t.buf = append(t.buf, float32(tokenTime))
		}
	}
	t.knownInstances = len(t.buf)
	t.tokenTime = t.median()
	t.buf = t.buf[:0]
	for _, in := range t.instances {
		if tokenTime, _ := in.tokenTimes(t); in.rate.n > 0 && tokenTime > 0 {
			t.buf = append(t.buf, float32(in.rate.value*tokenTime))
		}
	}
	if len(t.buf) >= minRatioInstances {
		t.prefillProduct = t.median()
	} else {
		t.prefillProduct = defaultRate * t.tokenTime
	}
	t.buf = t.buf[:0]
	for _, in := range t.instances {
		if rate := in.prefillRate(t); rate > 0 {
			t.buf = append(t.buf, float32(rate))
		}
	}
	t.prefillRate = t.median()
}

func (t *target) refreshPeak(now time.Time) {
	t.buf = t.buf[:0]
	for _, e := range t.episodes {
		if now.Sub(e.at) <= episodeTTL {
			t.buf = append(t.buf, e.factor)
		}
	}
	t.peakSlowdown = 1
	if len(t.buf) >= minEpisodes {
		t.peakSlowdown = quantileOf(t.buf, peakQuantile)
	}
}

// median returns the median of buf, or zero if it is empty.
func (t *target) median() float64 {
	if len(t.buf) == 0 {
		return 0
	}
	slices.Sort(t.buf)
	n := len(t.buf)
	return float64(t.buf[(n-1)/2]+t.buf[n/2]) / 2
}
