package scheduler

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// DataCenter is the entry's data centre, whose endpoints are preferred.
	DataCenter string
	// MarginStdDevs is the headroom kept above the mean projected memory, in standard
	// deviations of the projection.
	MarginStdDevs float64
	// UrgentReserve is the fraction of each engine's memory reserved for urgent requests.
	UrgentReserve float64
	// UrgentOvercommit sends an urgent request that fits nowhere to the least
	// utilized endpoint; the engine then preempts a long request.
	UrgentOvercommit bool
	// DrainRateSmoothing is the weight of a new sample in the moving average of the
	// drain rate, which is the cost that leaves a queue per second.
	DrainRateSmoothing float64
	// DrainRateWarmUp is how long requests must have waited before the drain rate
	// is used.
	DrainRateWarmUp time.Duration
	// RecomputeCosts updates the costs of waiting requests as output lengths are learned.
	RecomputeCosts bool
	// DisplaceRatio is the factor by which a request's value per cost must exceed that
	// of a waiting request that it displaces.
	DisplaceRatio float64
	// OrderByValuePerCost moves requests with a higher value per cost forward in the queue.
	// The value of a request is the weight of its row, and its cost is its expected memory
	// over time.
	OrderByValuePerCost bool
	// PriorHazard is the prior for output lengths while none have been observed; see
	// package lengths.
	PriorHazard float64
	// PartitionMemory splits each endpoint's memory equally among its home entries;
	// see SetHomeEntries.
	PartitionMemory bool
	// MaxBorrowUtilization is the projected utilization of an endpoint up to which an
	// entry may use more than its own partition.
	MaxBorrowUtilization float64
	// PeerLoadFromReports derives the peers' load from the endpoints' load reports
	// instead of from the in-flight loads that the peers publish.
	PeerLoadFromReports bool
	// DisableTimeoutRefusals runs requests even if they aren't expected to end before
	// their timeout.
	DisableTimeoutRefusals bool
	// LocalSampleSize and RemoteSampleSize are how many randomly sampled endpoints of
	// the entry's own and of other data centres one decision compares. Small samples
	// keep entries with the same stale view from all choosing the same endpoint.
	LocalSampleSize  int
	RemoteSampleSize int
	// PrefillRate is how many prompt tokens per second an engine prefills beside its
	// other work. Zero disables the estimate of its prefill backlog.
	PrefillRate float64
	// DataCenterBreakers keeps requests away from a data centre after several of its
	// endpoints in a row could not be reached.
	DataCenterBreakers bool
	// RefuseUnservable refuses requests at once if no endpoint is expected to serve
	// them soon.
	RefuseUnservable bool
	// EnforceStartObjective sends a request only to engines that are expected to begin
	// its answer within the objective of its row, and refuses it if there are none.
	EnforceStartObjective bool
	// PeerLoadFromReportsAndNotices counts the load in a report that isn't the entry's
	// own as peer load until the next report, and adds the prompts that peers have
	// announced since.
	PeerLoadFromReportsAndNotices bool
	// LimitWaitByRunTime limits the queue time of a request so that it can still be
	// answered before its timeout, given how long requests of its kind have run.
	LimitWaitByRunTime bool
	// RequireRemoteReports sends prompts to engines of other data centres only while
	// their load is known.
	RequireRemoteReports bool
	// PrefillFromNotices counts the pending prefill tokens of engines from the entries'
	// notices of prompts sent and prefilled, instead of estimating them from a rate.
	PrefillFromNotices bool
	// LearnEffectivePrefillRate learns the rate at which engines work off the prefill
	// backlog before prompts that aren't urgent.
	LearnEffectivePrefillRate bool
	// FIFOPrefill assumes that engines prefill all prompts, urgent ones too, in order of
	// arrival, since requests carry no priorities.
	FIFOPrefill bool
	// EngineSpeed learns the speed of each engine instance, exchanges it with peers, and uses it
	// instead of one prefill rate for all engines of a target; see package enginespeed.
	EngineSpeed bool
	// GapObjective places requests by the objective between events of their row and by the
	// speed of each engine.
	GapObjective bool
	// LimitByPrecedence sends a prompt only to engines where the pending prefill tokens leave
	// recent requests of higher precedence time to start within their objective.
	LimitByPrecedence bool
	// OrderByPrecedence orders waiting requests by level, by the shares of their workspaces, and by
	// the end of their objective.
	OrderByPrecedence bool
	// RefuseByForecast refuses requests, also waiting ones, as soon as they aren't expected to start
	// in time by any known rate, and tells their callers when there will be room; see admission.go.
	RefuseByForecast bool
	// ReserveByDemand leaves the memory free that requests of higher precedence need, and lets
	// urgent requests that fit nowhere wait at the entry while an engine is expected to start
	// them in time.
	ReserveByDemand bool
	// SpreadRetries compares waiting prompts with engines again after a random delay.
	SpreadRetries bool
	// PrecedenceWhereKindsYield applies the mechanisms of v17 and v18 only to targets where a kind of
	// lower precedence has time to wait for one of higher precedence.
	PrecedenceWhereKindsYield bool
	// SpeedWhereGapsDiffer uses the speed of each engine only at targets where some engines meet the
	// objective between events and others don't.
	SpeedWhereGapsDiffer bool
	// ServiceLatency chooses among the endpoints of targets that have only plain services by the
	// latency of this entry's own requests; see service_latency.go.
	ServiceLatency bool
	// DisableSampling compares all endpoints in each decision, regardless of
	// LocalSampleSize and RemoteSampleSize.
	DisableSampling bool
	// DisableBreakers sends requests to endpoints regardless of their failures.
	DisableBreakers bool
	// DisableDeadlineRefusals queues requests even if they aren't expected to start
	// in time.
	DisableDeadlineRefusals bool
	// DisableLengthLearning keeps the prior for output lengths instead of learning them.
	DisableLengthLearning bool
	// Pipeline filters and scores engines.
	Pipeline routing.Pipeline
	// ServicePipeline filters and scores plain services.
	ServicePipeline routing.Pipeline
	// Rand is the source of all randomness.
	Rand *rand.Rand
}

// Defaults of Config.
const (
	DefaultMarginStdDevs = 1.0
	DefaultUrgentReserve = 0.1
	// DefaultPrefillRate is the prefill rate in tokens per second of an engine that also
	// runs some generations: 112 tokens per step of 15 to 16 ms.
	DefaultPrefillRate = 7000
	// reprojectTokens is the number of generated tokens between updates of a projection.
	reprojectTokens = 16
	// defaultInterTokenLatency is assumed while no inter-token latency has been observed.
	defaultInterTokenLatency = 25 * time.Millisecond
	// Bounds and jitter of the retry delay in a refusal.
	minRetryAfter    = 200 * time.Millisecond
	maxRetryAfter    = time.Minute
	retryAfterJitter = 0.25
	// maxSpilloverUtilization is the utilization up to which an endpoint of another
	// data centre gets requests that fit at no local endpoint.
	maxSpilloverUtilization = 0.6
	// DefaultMaxBorrowUtilization applies in version v4; later versions set a lower value.
	DefaultMaxBorrowUtilization = 0.85
	// maxPartitionUtilization is the projected utilization of an endpoint up to which
	// an entry may use its own partition.
	maxPartitionUtilization = 1.2
	// DefaultDrainRateSmoothing and DefaultDisplaceRatio apply in versions v1 and v2.
	DefaultDrainRateSmoothing = 0.2
	DefaultDisplaceRatio      = 1.25
)

func (c Config) withDefaults() Config {
	c.MarginStdDevs = cmp.Or(c.MarginStdDevs, DefaultMarginStdDevs)
	c.UrgentReserve = cmp.Or(c.UrgentReserve, DefaultUrgentReserve)
	c.MaxBorrowUtilization = cmp.Or(c.MaxBorrowUtilization, DefaultMaxBorrowUtilization)
	c.PriorHazard = cmp.Or(c.PriorHazard, lengths.PriorHazard)
	c.DrainRateSmoothing = cmp.Or(c.DrainRateSmoothing, DefaultDrainRateSmoothing)
	c.DisplaceRatio = cmp.Or(c.DisplaceRatio, DefaultDisplaceRatio)
	c.LocalSampleSize = cmp.Or(c.LocalSampleSize, defaultLocalSampleSize)
	c.RemoteSampleSize = cmp.Or(c.RemoteSampleSize, defaultRemoteSampleSize)
	if c.DisableSampling {
		c.LocalSampleSize, c.RemoteSampleSize = unlimitedSampleSize, unlimitedSampleSize
	}
	if c.Pipeline.Filters == nil {
		c.Pipeline = routing.LocalFirst()
	}
	if c.ServicePipeline.Filters == nil {
		c.ServicePipeline = c.Pipeline
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}
