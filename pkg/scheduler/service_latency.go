package scheduler

import (
	"math"
	"slices"
	"time"
)

// Condition handled here: the endpoints of a plain service differ in speed, have transient slowdowns
// (2.5 times as long for about a second), hang, or get more requests from the entries of their data
// centre than they have slots for. Endpoints report no load, so an entry estimates the latency of
// each kind of request at each endpoint instance from its own answers. With 72 entries in front of
// five endpoints, an entry gets an answer of an endpoint about every 3 s. Such data shows lasting
// differences, and transient slowdowns only to entries that happen to have a request there.

const (
	// ordinarySamples is the number of samples that the ordinary latency is learned from. The median
	// of 16 is that of the state that an endpoint is in for most of the time, if a transient slowdown
	// takes less than a third of it.
	ordinarySamples = 16
	// ordinaryWindow is the age at which a sample no longer counts. It is long enough for several
	// samples at one answer in 3 s, and short enough that an endpoint that was slow is tried again.
	ordinaryWindow = 20 * time.Second
	// ordinaryInterval is the minimum time between two samples of the ordinary latency. Without it, a
	// transient slowdown of a second would replace all samples of an entry with many requests.
	ordinaryInterval = ordinaryWindow / ordinarySamples
	// recentDecay is the time in which the weight of a recent answer decreases to 1/e. Transient
	// slowdowns last 0.5 to 1.5 s.
	recentDecay = 500 * time.Millisecond
	// negligibleRecent is the age from which recent answers have no noticeable weight.
	negligibleRecent = 10 * recentDecay
	// unansweredWindow is for how long a request counts that ended without an answer. Such an
	// endpoint hangs or has a long queue, which lasts longer than a transient slowdown. Each try of
	// an endpoint that hangs costs every entry a request.
	unansweredWindow = 10 * time.Second
	// estimateWeight is the weight of the estimate that new data refines, in samples: that of the
	// other endpoints for the ordinary latency, and the ordinary latency for the recent one.
	estimateWeight = 1.0
	// maxServiceKinds bounds the kinds with a latency at one endpoint. When it would be exceeded, all
	// are discarded and learned again. A plain service serves a few kinds.
	maxServiceKinds = 64
	// unknownServiceLatency is assumed while no answer of a kind is known.
	unknownServiceLatency = 50 * time.Millisecond
	// unknownLinkLatency is the assumed time by which a data centre that has not answered yet is
	// slower than the entry's own: somewhat more than a round trip between data centres, so that
	// other data centres are only tried when the own one is slow.
	unknownLinkLatency = 30 * time.Millisecond
	// minServiceLatency is the least latency in a comparison, since differences below it don't matter.
	minServiceLatency = time.Millisecond
	// maxRecentFailures bounds the failures per endpoint that count as requests in flight.
	maxRecentFailures = 32
)

// latencySample is the latency of one answer that arrived at a time.
type latencySample struct {
	at      time.Time
	latency time.Duration
}

// kindLatency is the latency of one kind of request at one endpoint instance.
type kindLatency struct {
	// ordinary is a ring of samples that are at least ordinaryInterval apart; next is the index of
	// the oldest once it is full.
	ordinary []latencySample
	next     int
	// summary is computed from the samples that are valid until summaryUntil; it is zero if it has to
	// be computed.
	summary      ordinarySummary
	summaryUntil time.Time
	// recentSum is the sum in seconds of the latencies of all answers, and recentWeight their number,
	// each weighted by exp(-age/recentDecay) at recentAt.
	recentSum    float64
	recentWeight float64
	recentAt     time.Time
}

// observe adds the latency of an answer.
func (k *kindLatency) observe(now time.Time, latency time.Duration) {
	decay := k.recentFactor(now)
	k.recentSum = k.recentSum*decay + latency.Seconds()
	k.recentWeight = k.recentWeight*decay + 1
	k.recentAt = now
	n := len(k.ordinary)
	if n > 0 && now.Sub(k.ordinary[(k.next+n-1)%n].at) < ordinaryInterval {
		return
	}
	k.summaryUntil = time.Time{}
	if n < ordinarySamples {
		k.ordinary = append(k.ordinary, latencySample{now, latency})
		return
	}
	k.ordinary[k.next] = latencySample{now, latency}
	k.next = (k.next + 1) % ordinarySamples
}

// recentFactor returns the factor by which the weights have decreased since recentAt.
func (k *kindLatency) recentFactor(now time.Time) float64 {
	if k.recentWeight == 0 {
		return 0
	}
	return math.Exp(-max(now.Sub(k.recentAt), 0).Seconds() / recentDecay.Seconds())
}

// ordinarySummary summarizes the samples that are no older than ordinaryWindow.
type ordinarySummary struct {
	// median and low are in seconds; low is the lower quartile.
	median, low float64
	// count is the number of samples, and meanAt the mean of their times.
	count  int
	meanAt time.Time
}

// weight returns the number of samples, each weighted by 1 minus its age as a fraction of
// ordinaryWindow.
func (o *ordinarySummary) weight(now time.Time) float64 {
	age := min(max(now.Sub(o.meanAt), 0), ordinaryWindow)
	return float64(o.count) * (1 - age.Seconds()/ordinaryWindow.Seconds())
}

// summarize returns the summary at a time. It is computed anew only after a sample was added or has
// expired, which is once per ordinaryInterval.
func (k *kindLatency) summarize(now time.Time) ordinarySummary {
	if k == nil {
		return ordinarySummary{}
	}
	if now.Before(k.summaryUntil) {
		return k.summary
	}
	var buffer [ordinarySamples]time.Duration
	latencies := buffer[:0]
	ages := time.Duration(0)
	k.summaryUntil = now.Add(ordinaryWindow)
	for _, s := range k.ordinary {
		if age := max(now.Sub(s.at), 0); age < ordinaryWindow {
			latencies = append(latencies, s.latency)
			ages += age
			k.summaryUntil = earlier(k.summaryUntil, s.at.Add(ordinaryWindow))
		}
	}
	k.summary = ordinarySummary{}
	if n := len(latencies); n > 0 {
		slices.Sort(latencies)
		k.summary = ordinarySummary{latencies[(n-1)/2].Seconds(), latencies[(n-1)/4].Seconds(), n, now.Add(-ages / time.Duration(n))}
	}
	return k.summary
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// refine returns the latency expected now, in seconds, given the ordinary latency: the mean of the
// recent answers, in which the ordinary latency counts as estimateWeight answers.
func (k *kindLatency) refine(now time.Time, ordinary float64) float64 {
	if k == nil || now.Sub(k.recentAt) > negligibleRecent {
		return ordinary
	}
	decay := k.recentFactor(now)
	return (k.recentSum*decay + estimateWeight*ordinary) / (k.recentWeight*decay + estimateWeight)
}

// serviceLoad is what this entry knows of one plain endpoint from its own requests. It belongs to one
// instance of the endpoint and ends with it.
type serviceLoad struct {
	kinds map[string]*kindLatency
	// running are this entry's requests in flight, the oldest first.
	running []*item
	// failures are the times until which requests that failed count as in flight. Otherwise, an
	// endpoint that fails at once would always look idle and get the most requests.
	failures []time.Time
	// unanswered is by how much the last request was late that ended without an answer, at
	// unansweredAt; zero after an answer.
	unanswered   time.Duration
	unansweredAt time.Time
}

// observe adds the latency of a kind of request.
func (l *serviceLoad) observe(now time.Time, kind string, latency time.Duration) {
	k := l.kinds[kind]
	if k == nil {
		if len(l.kinds) >= maxServiceKinds {
			clear(l.kinds)
		}
		if l.kinds == nil {
			l.kinds = map[string]*kindLatency{}
		}
		k = &kindLatency{}
		l.kinds[kind] = k
	}
	k.observe(now, latency)
}

// failureLatencies is for how many expected latencies a failed request counts as in flight: its own,
// and that of its repeat.
const failureLatencies = 2

// recordFailure records that a request failed.
func (l *serviceLoad) recordFailure(now time.Time, it *item) {
	l.failures = slices.DeleteFunc(l.failures, func(until time.Time) bool { return !now.Before(until) })
	until := it.sentAt.Add(failureLatencies * it.expectedLatency)
	if now.Before(until) && len(l.failures) < maxRecentFailures {
		l.failures = append(l.failures, until)
	}
}

// inFlight counts the requests in flight, recent failures included.
func (l *serviceLoad) inFlight(now time.Time) int {
	n := len(l.running)
	for _, until := range l.failures {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// overdue returns the longest time in seconds by which a request in flight is late, or by which the
// last unanswered one was. The latter decreases linearly to zero within unansweredWindow.
func (l *serviceLoad) overdue(now time.Time) float64 {
	longest := 0.0
	if l.unanswered > 0 {
		age := max(now.Sub(l.unansweredAt), 0)
		longest = l.unanswered.Seconds() * max(1-age.Seconds()/unansweredWindow.Seconds(), 0)
	}
	for _, it := range l.running {
		longest = max(longest, (now.Sub(it.sentAt) - it.expectedLatency).Seconds())
	}
	return longest
}

// recordServiceDispatch records that a request is sent to a plain endpoint.
func (s *Scheduler) recordServiceDispatch(it *item, e *endpoint) {
	it.expectedLatency = 0
	if !s.usesServiceLatency(it) {
		return
	}
	// There are no estimates for isolated requests, which are sent to an assigned endpoint.
	for i := range s.candidates {
		if s.candidates[i].Index == e.index && s.estimatedFor == it.req.ID {
			it.expectedLatency = seconds(s.serviceEstimates[i].latency)
		}
	}
	e.service.running = append(e.service.running, it)
}

// recordServiceResult learns from the result of a request at a plain endpoint. Only successful
// answers are latencies.
func (s *Scheduler) recordServiceResult(now time.Time, it *item, res Result) {
	l := &it.endpoint.service
	i := slices.Index(l.running, it)
	if i < 0 {
		return
	}
	l.running = slices.Delete(l.running, i, i+1)
	elapsed := max(now.Sub(it.sentAt), 0)
	switch {
	case res.Complete && !res.ErrorAnswer:
		l.unanswered = 0
		l.observe(now, it.req.Kind, elapsed)
	case !res.Complete && it.expectedLatency > 0 && elapsed > it.expectedLatency:
		l.unanswered, l.unansweredAt = elapsed-it.expectedLatency, now
	default:
		l.recordFailure(now, it)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
