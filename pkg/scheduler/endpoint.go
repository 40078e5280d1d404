package scheduler

import (
	"math"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/enginespeed"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

const (
	// interTokenLatencySmoothing is the weight of one sample in the moving average of an
	// endpoint's inter-token latency.
	interTokenLatencySmoothing = 0.05
	// unattributedLoadTTL is how long reported load counts that no entry accounts for.
	unattributedLoadTTL = 3 * time.Second
)

// endpoint is this entry's view of one endpoint.
type endpoint struct {
	spec fleet.Endpoint
	// index is the position in Scheduler.endpoints.
	index   int
	leaving bool
	// homeEntries is the number of home entries that share the memory; zero if this
	// entry isn't one of them.
	homeEntries int
	// removed is set once the list of endpoints no longer has this instance.
	removed bool
	breaker retry.Breaker

	// ownProjection is the projected memory of this entry's requests, and peerLoad that of
	// the peers' requests.
	ownProjection lengths.Projection
	ownRunning    int
	peerLoad      lengths.Profile
	peersRunning  int

	// ownPendingPrefill is the number of prompt tokens of this entry's requests whose
	// answers haven't begun.
	ownPendingPrefill float64
	// estimatedPrefill is the estimated number of pending prefill tokens of all entries
	// at estimatedAt.
	estimatedPrefill float64
	estimatedAt      time.Time
	// promptTokensSent counts all prompt tokens sent by this entry or announced by peers.
	promptTokensSent float64

	// peerPendingPrefill are the prompts of peers that the engine has yet to prefill.
	peerPendingPrefill pendingPrompts
	// unreportedPrompts are the prompts that peers announced and that no report shows
	// yet, oldest first.
	unreportedPrompts []peerPrompt
	// reserved is the room for generations that are to be copied to the engine.
	reserved reservations

	// remoteLoadAt is when a load published by an entry of the endpoint's data centre last arrived.
	remoteLoadAt time.Time

	// coldUntil is the time at which the endpoint stops being cold, and coldSendTimes
	// when this entry sent requests to the cold endpoint within the last coldWindow.
	coldUntil     time.Time
	coldSendTimes []time.Time

	// service is what this entry's requests show of a plain endpoint; see service_latency.go.
	service serviceLoad

	report Report
	// unattributedTokens is the memory in tokens that the last report showed and that the load of
	// no known entry accounts for.
	unattributedTokens float64
	// interTokenLatency is the moving average in seconds; zero if unknown.
	interTokenLatency float64

	// speed is the estimated speed as of speedAt; see speedOf.
	speed   enginespeed.Estimate
	speedAt time.Time
	// candidateRound is the last collection of candidates that the endpoint was added to.
	candidateRound uint64
}

// addProjection adds the projection of a request to ownProjection with sign 1, and removes it
// with sign -1.
func (e *endpoint) addProjection(it *item, sign float64) {
	for i := range it.projection.Mean {
		e.ownProjection.Mean[i] += sign * it.projection.Mean[i]
		e.ownProjection.Variance[i] += sign * it.projection.Variance[i]
	}
}

// fitParams are the margins and reserves that apply when a request is fitted to an endpoint.
type fitParams struct {
	// marginStdDevs is the headroom in standard deviations of the projected memory.
	marginStdDevs float64
	// urgentReserve is the fraction of the capacity reserved for urgent requests.
	urgentReserve float64
	// unattributedTokens is reported load that no entry accounts for.
	unattributedTokens float64
}

// slotUtilization returns the fraction of the request slots in use with one more request.
// A plain service doesn't report its load, so its slots are split among its home entries.
func (e *endpoint) slotUtilization() float64 {
	if e.spec.CapacityTokens == 0 && e.homeEntries > 0 {
		return float64(e.ownRunning+1) / float64(max(e.spec.MaxRunning/e.homeEntries, 1))
	}
	return float64(e.ownRunning+e.peersRunning+len(e.reserved.entries)+1) / float64(e.spec.MaxRunning)
}

// utilization returns the projected utilization of the endpoint with one more request, as
// a fraction of the capacity that the request may use.
func (e *endpoint) utilization(p *lengths.Projection, urgent bool, r fitParams) float64 {
	slots := e.slotUtilization()
	if e.spec.CapacityTokens == 0 {
		return slots
	}
	capacity := float64(e.spec.CapacityTokens)
	if !urgent {
		capacity *= 1 - r.urgentReserve
	}
	return max(e.peakProjection(p, &e.peerLoad, r.unattributedTokens, r.marginStdDevs)/capacity, slots)
}

// assumedQueuedPromptTokens is the assumed prompt length of a request that a report shows
// as waiting.
const assumedQueuedPromptTokens = 2500

// prefillBacklog returns the number of pending prefill tokens: those that entries have
// sent, or those of the requests that the last report shows as waiting, whichever is more.
// The weight of a report decreases linearly to zero as it ages to unattributedLoadTTL.
func (s *Scheduler) prefillBacklog(now time.Time, e *endpoint) float64 {
	counted := s.pendingPrefillTokens(now, e)
	age := now.Sub(e.report.ReportedAt)
	if age > unattributedLoadTTL {
		return counted
	}
	reported := float64(e.report.Waiting*assumedQueuedPromptTokens) * (1 - float64(age)/float64(unattributedLoadTTL))
	return max(counted, reported)
}

// remainingPrefill returns the estimated number of pending prefill tokens of an engine that
// prefills prefillRate tokens per second.
func (e *endpoint) remainingPrefill(now time.Time, prefillRate float64) float64 {
	return max(e.estimatedPrefill-prefillRate*now.Sub(e.estimatedAt).Seconds(), 0)
}

// recordPromptSent counts a prompt that was sent to the engine. Without a prefill rate it
// does nothing, since the count would never decrease.
func (e *endpoint) recordPromptSent(now time.Time, tokens int, prefillRate float64) {
	if prefillRate <= 0 {
		return
	}
	e.estimatedPrefill = e.remainingPrefill(now, prefillRate) + float64(tokens)
	e.estimatedAt = now
	e.promptTokensSent += float64(tokens)
}

// recordPrefilledUpTo records that the engine has prefilled the first sentUpTo of
// promptTokensSent tokens. An engine that prefills faster than the assumed rate therefore
// doesn't count as busy after it has begun to answer.
func (e *endpoint) recordPrefilledUpTo(now time.Time, sentUpTo, prefillRate float64) {
	e.estimatedPrefill = min(e.remainingPrefill(now, prefillRate), max(e.promptTokensSent-sentUpTo, 0))
	e.estimatedAt = now
}

// peakProjection returns the highest memory in tokens, over all horizons, that the entry's
// own load, the peers' load and one more request are projected to use, plus a margin.
func (e *endpoint) peakProjection(p *lengths.Projection, peerLoad *lengths.Profile, unattributed, marginStdDevs float64) float64 {
	peak := 0.0
	for i := range p.Mean {
		mean := e.ownProjection.Mean[i] + peerLoad[i] + p.Mean[i] + unattributed
		variance := max(e.ownProjection.Variance[i]+p.Variance[i], 0)
		peak = max(peak, mean+marginStdDevs*math.Sqrt(variance))
	}
	return peak
}

// partitionUtilization returns the projected utilization of this entry's partition by its
// own load with one more request; it is infinite if the entry has no partition.
// The margin for the whole endpoint grows with the square root of the number of partitions
// and is split among them.
func (e *endpoint) partitionUtilization(p *lengths.Projection, urgent bool, r fitParams) float64 {
	if e.homeEntries == 0 {
		return math.Inf(1)
	}
	partition := float64(e.spec.CapacityTokens) / float64(e.homeEntries)
	if !urgent {
		partition *= 1 - r.urgentReserve
	}
	marginStdDevs := r.marginStdDevs / math.Sqrt(float64(e.homeEntries))
	return e.peakProjection(p, &lengths.Profile{}, 0, marginStdDevs) / partition
}

// observeReport records a report. Load above that of all known entries counts for a while
// as unattributed: it comes from entries that have terminated or whose load hasn't arrived yet.
func (e *endpoint) observeReport(r Report) {
	if !r.ReportedAt.After(e.report.ReportedAt) {
		return
	}
	e.report = r
	e.unattributedTokens = max(float64(r.UsedTokens)-e.ownProjection.Mean[0]-e.peerLoad[0], 0)
}

// maxSpilloverReportAge is the maximum age of a report on which requests are sent to
// another data centre.
const maxSpilloverReportAge = 5 * time.Second

// hasFreshReport reports whether the last report is recent enough to send requests to the
// endpoint from another data centre. Plain services don't report their load, so they always qualify.
func (e *endpoint) hasFreshReport(now time.Time) bool {
	return e.spec.CapacityTokens == 0 || now.Sub(e.report.ReportedAt) <= maxSpilloverReportAge
}

// assumedSharers is the number of entries assumed to share the free capacity that a report
// shows where no entry has a partition. All entries with that report see the same free
// capacity.
const assumedSharers = 3

// sharedUtilizationLimit returns the utilization up to which this entry may load the
// endpoint, given the free capacity that the last report shows below limit.
func (e *endpoint) sharedUtilizationLimit(limit float64) float64 {
	if e.spec.CapacityTokens == 0 {
		return limit
	}
	reported := float64(e.report.UsedTokens) / float64(e.spec.CapacityTokens)
	return reported + (limit-reported)/assumedSharers
}

// observeReportAsPeerLoad records a report as the sum of all entries' load. Load that isn't
// this entry's own is peer load, and is projected to grow like the entry's own load.
func (e *endpoint) observeReportAsPeerLoad(r Report) {
	if !r.ReportedAt.After(e.report.ReportedAt) {
		return
	}
	e.report = r
	peerTokens := max(float64(r.UsedTokens)-e.ownProjection.Mean[0], 0)
	for i := range e.peerLoad {
		e.peerLoad[i] = peerTokens * e.projectedGrowth(i)
	}
	e.peersRunning = max(r.Running+r.Waiting-e.ownRunning, 0)
}

// assumedGrowth is the growth factor of load up to a later horizon while the entry has no
// load of its own to derive it from.
const assumedGrowth = 1.1

// projectedGrowth returns the factor by which the entry's own load is projected to grow
// from now to a horizon.
func (e *endpoint) projectedGrowth(horizon int) float64 {
	if horizon == 0 {
		return 1
	}
	if e.ownProjection.Mean[0] <= 0 {
		return assumedGrowth
	}
	return e.ownProjection.Mean[horizon] / e.ownProjection.Mean[0]
}

// unattributedLoad returns the reported load in tokens that no entry accounts for; it
// decreases linearly to zero within unattributedLoadTTL.
func (e *endpoint) unattributedLoad(now time.Time) float64 {
	age := now.Sub(e.report.ReportedAt)
	if e.unattributedTokens == 0 || age > unattributedLoadTTL {
		return 0
	}
	return e.unattributedTokens * (1 - float64(age)/float64(unattributedLoadTTL))
}

// observeInterTokenLatency adds a sample to the moving average.
func (e *endpoint) observeInterTokenLatency(latency time.Duration) {
	seconds := latency.Seconds()
	if e.interTokenLatency == 0 {
		e.interTokenLatency = seconds
		return
	}
	e.interTokenLatency += interTokenLatencySmoothing * (seconds - e.interTokenLatency)
}
