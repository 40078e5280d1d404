package enginespeed

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

const (
	// Bounds of the time per output token and of the prefill rate in tokens per second. Values
	// beyond them are errors: events that were read at the same moment, a suspended process, or a
	// defective peer.
	minTokenTime   = 20 * time.Microsecond
	maxTokenTime   = 5 * time.Second
	minPrefillRate = 10
	maxPrefillRate = 10_000_000
	// minPrefillSample is the number of prompt tokens, those before the prompt included, from
	// which on a first token is an observation of the prefill rate. With fewer the time is that
	// of the network and of a step.
	minPrefillSample = 500
	// maxFactor bounds estimates relative to the median of the target.
	maxFactor = 8
	// maxDeviation bounds the prefill rate and the time per token with a prefill relative to what
	// the time per token implies.
	maxDeviation = 1.5
	// estimateTTL is the time without news after which the estimate of an instance fades to the
	// median of its target, and fadeDuration how long that takes. An engine that appears slow gets
	// no work and so no news; fading gives it work again.
	estimateTTL  = 10 * time.Second
	fadeDuration = 10 * time.Second
	// maxInstances bounds the instances per target, to more than a fleet has.
	maxInstances = 4096
	// maxTargets bounds the targets.
	maxTargets = 256
)

// Ignored counts the observations that were ignored.
type Ignored struct {
	// Absurd ones have impossible values, Old ones are older than estimateTTL, and Unknown ones are
	// of instances that aren't listed.
	Absurd, Old, Unknown uint64
}

// Model holds the estimates of all engines that an entry knows. It is not safe for concurrent use.
type Model struct {
	cfg     Config
	targets map[string]*target
	ignored Ignored
}

// New returns a Model without observations.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, targets: map[string]*target{}}
}

// Ignored returns the numbers of observations that were ignored.
func (m *Model) Ignored() Ignored { return m.ignored }

// IgnoreUnknown counts an observation of an instance that isn't listed.
func (m *Model) IgnoreUnknown() { m.ignored.Unknown++ }

// instance holds what is known of one engine instance. Times are in seconds, rates in tokens per
// second.
type instance struct {
	// plain and prefill are the times per output token without and with a prefill.
	plain, prefill series
	rate           series
	slow           slowdown
	// ownAt is when this entry last observed the instance, and newsAt when it or a peer did.
	ownAt, newsAt time.Time
	// peerAt is when a peer last reported an observation.
	peerAt time.Time
}

func (m *Model) instance(id fleet.Instance, targetName string) (*target, *instance) {
	t := m.targets[targetName]
	if t == nil {
		if len(m.targets) >= maxTargets {
			return nil, nil
		}
		t = newTarget()
		m.targets[targetName] = t
	}
	in := t.instances[id]
	if in == nil {
		if len(t.instances) >= maxInstances {
			return nil, nil
		}
		in = &instance{}
		t.instances[id] = in
	}
	return t, in
}

// ObserveEvent adds the time per output token between two events of a stream of this entry.
// prefilling is set if the engine was prefilling a prompt in between. A gap that includes the move
// of a stream is no observation.
func (m *Model) ObserveEvent(now time.Time, id fleet.Instance, targetName string, tokenTime time.Duration, prefilling bool) {
	if !validTokenTime(tokenTime) {
		m.ignored.Absurd++
		return
	}
	t, in := m.instance(id, targetName)
	if in == nil {
		return
	}
	t.refresh(now, m.cfg.PrefillRate)
	in.ownAt, in.newsAt = now, now
	t.dirty = true
	if ordinary := in.ordinary(t, prefilling); ordinary > 0 {
		factor := tokenTime.Seconds() / ordinary
		if in.slow.observe(now, factor, tokenTime, prefilling) {
			t.addEpisode(now, in.slow.factor)
		}
	}
	if in.slow.transient(now) {
		return
	}
	if prefilling {
		in.prefill.add(now, tokenTime.Seconds(), prefillTimeQuantile)
	} else {
		in.plain.add(now, tokenTime.Seconds(), tokenTimeQuantile)
	}
}

// comparableEvents is the number of own events that the ordinary speed must stem from before events
// are compared with it. With fewer, one event of which it was wrongly assumed whether a prompt was
// prefilled would make all others seem slow. One value of a peer suffices: it stems from
// minPublished events.
const comparableEvents = 6

// comparable reports whether events can be compared with the ordinary speed.
func (s *series) comparable() bool { return s.observed >= comparableEvents || s.peerCount > 0 }

// ordinary returns the ordinary time per token to compare an event with, or zero if it is
// unknown. The other series implies it only if the ratio of the target is learned: a wrong ratio
// would look like a slowdown.
func (in *instance) ordinary(t *target, prefilling bool) float64 {
	same, other := &in.plain, &in.prefill
	if prefilling {
		same, other = other, same
	}
	if !same.comparable() && !(t.ratioLearned && other.comparable()) {
		return 0
	}
	tokenTime, prefillTime := in.tokenTimes(t)
	if prefilling {
		return prefillTime
	}
	return tokenTime
}

// ObserveFirstToken adds the time from sending a prompt to the first token of its answer.
// backlogTokens is the number of pending prefill tokens of the engine before the prompt was sent.
func (m *Model) ObserveFirstToken(now time.Time, id fleet.Instance, targetName string, promptTokens, backlogTokens int, ttft time.Duration) {
	if promptTokens <= 0 || backlogTokens < 0 || ttft <= 0 {
		m.ignored.Absurd++
		return
	}
	tokens := float64(promptTokens) + float64(backlogTokens)
	if tokens < minPrefillSample {
		return
	}
	rate := tokens / ttft.Seconds()
	if rate < minPrefillRate || rate > maxPrefillRate {
		m.ignored.Absurd++
		return
	}
	t, in := m.instance(id, targetName)
	if in == nil {
		return
	}
	in.ownAt, in.newsAt = now, now
	if in.slow.transient(now) {
		return
	}
	in.rate.add(now, rate, prefillRateQuantile)
	t.dirty = true
}

// tokenTimes returns the ordinary times per output token without and with a prefill; zero if
// unknown. Until the ratio of the target is learned, one implies the other only if that has no
// observations.
func (in *instance) tokenTimes(t *target) (tokenTime, prefillTime float64) {
	plainN, prefillN := in.plain.n, in.prefill.n
	if !t.ratioLearned {
		plainN, prefillN = 0, 0
	}
	tokenTime = blend(in.plain.value, in.plain.n, in.prefill.value/t.prefillRatio, prefillN)
	if tokenTime <= 0 {
		return 0, 0
	}
	implied := tokenTime * t.prefillRatio
	prefillTime = blend(in.prefill.value, in.prefill.n, implied, plainN)
	if t.ratioLearned {
		prefillTime = within(prefillTime, implied, maxDeviation)
	}
	return tokenTime, prefillTime
}

// prefillRate returns the prefill rate; zero if unknown.
func (in *instance) prefillRate(t *target) float64 {
	tokenTime, _ := in.tokenTimes(t)
	if tokenTime <= 0 || t.prefillProduct <= 0 {
		return in.rate.value
	}
	implied := t.prefillProduct / tokenTime
	return within(blend(in.rate.value, in.rate.n, implied, sufficientValues), implied, maxDeviation)
}

// weight returns the weight of an instance's own estimate against the median of its target.
func (in *instance) weight(now time.Time) float64 {
	faded := float64(now.Sub(in.newsAt)-estimateTTL) / float64(fadeDuration)
	return 1 - min(max(faded, 0), 1)
}

// Estimate returns the estimated speed of an instance that serves a target.
func (m *Model) Estimate(now time.Time, id fleet.Instance, targetName string) Estimate {
	t := m.targets[targetName]
	if t == nil {
		return Estimate{PrefillRate: m.cfg.PrefillRate, Slowdown: 1, PeakSlowdown: 1}
	}
	t.refresh(now, m.cfg.PrefillRate)
	median := Estimate{
		PrefillRate:      m.cfg.PrefillRate,
		TokenTime:        seconds(t.tokenTime),
		PrefillTokenTime: seconds(t.tokenTime * t.prefillRatio),
		Slowdown:         1,
		PeakSlowdown:     t.peakSlowdown,
	}
	if t.prefillRate > 0 {
		median.PrefillRate = t.prefillRate
	}
	in := t.instances[id]
	if in == nil {
		return median
	}
	e := median
	e.Slowdown = in.slow.present(now)
	weight := in.weight(now)
	if weight == 0 {
		return e
	}
	if rate := in.prefillRate(t); rate > 0 {
		e.PrefillRate = bounded(rate, median.PrefillRate, weight)
	}
	if tokenTime, prefillTime := in.tokenTimes(t); tokenTime > 0 {
		e.TokenTime = seconds(bounded(tokenTime, t.tokenTime, weight))
		e.PrefillTokenTime = seconds(bounded(prefillTime, t.tokenTime*t.prefillRatio, weight))
		e.Known = true
	}
	return e
}

// Counts returns the number of instances whose speed is known, and of those that are slowed down at
// present.
func (m *Model) Counts(now time.Time) (known, slowed int) {
	for name, t := range m.targets {
		for id, in := range t.instances {
			if m.Estimate(now, id, name).Known {
				known++
			}
			if in.slow.present(now) > 1 {
				slowed++
			}
		}
	}
	return known, slowed
}

// bounded returns a value within maxFactor around the median, faded to the median by 1-weight. A
// median of zero is unknown.
func bounded(value, median, weight float64) float64 {
	if median <= 0 {
		return value
	}
	value = within(value, median, maxFactor)
	if weight == 1 {
		return value
	}
	return interpolate(value, median, 1-weight)
}

// Keep forgets the instances for which listed returns false. An instance that restarts under its
// endpoint's ID has another incarnation, so nothing is known of it.
func (m *Model) Keep(listed func(fleet.Instance) bool) {
	for name, t := range m.targets {
		for id := range t.instances {
			if !listed(id) {
				delete(t.instances, id)
				t.dirty = true
			}
		}
		if len(t.instances) == 0 && len(m.targets) >= maxTargets/2 {
			// Targets without instances are kept: their ratio and slowdowns hold for new
			// instances.
			delete(m.targets, name)
		}
	}
}

func validTokenTime(d time.Duration) bool { return d >= minTokenTime && d <= maxTokenTime }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
