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
	// DataCenter of the entry; its endpoints go first.
	DataCenter string
	// Margin is the headroom in standard deviations of the projected memory.
	Margin float64
	// UrgentShare is the part of each engine's memory held for urgent requests.
	UrgentShare float64
	// UrgentOvercommit sends an urgent request that fits nowhere to the least
	// filled endpoint: the engine then pushes a long one aside for it.
	UrgentOvercommit bool
	// RateSmoothing is the weight of one new measurement of the drain rate.
	RateSmoothing float64
	// RateWarmUp is for how long requests must have waited before the drain rate
	// is believed.
	RateWarmUp time.Duration
	// Recost makes the costs of waiting requests anew as lengths are learnt.
	Recost bool
	// DisplaceRatio is by how much a request must be worth more per cost than a
	// waiting one that it displaces.
	DisplaceRatio float64
	// OrderByWorth lets requests that are worth more per cost go earlier.
	OrderByWorth bool
	// PriorHazard is what is assumed of output lengths while none are known; see
	// package lengths.
	PriorHazard float64
	// Parts makes the entries split each endpoint's memory among its home
	// entries; see SetHome.
	Parts bool
	// BorrowFill is the highest believed fill up to which an entry uses more of
	// an endpoint than its own part.
	BorrowFill float64
	// PeersFromReports takes the others' work from the endpoints' load reports,
	// so that entries need not tell each other.
	PeersFromReports bool
	// KeepHopeless runs requests that aren't expected to end before their timeout.
	KeepHopeless bool
	// LocalChoices and RemoteChoices are how many endpoints of the own and of other
	// data centres one decision compares, chosen at random. Few choices keep entries
	// with the same late news from all taking the same endpoint.
	LocalChoices  int
	RemoteChoices int
	// ReadRate is how many prompt tokens an engine reads a second beside its other
	// work; zero doesn't estimate what it has left.
	ReadRate float64
	// ReachByDataCenter keeps requests away from a data centre of which several
	// endpoints in a row could not be reached.
	ReachByDataCenter bool
	// RefuseUnservable refuses at once what no endpoint is expected to serve soon.
	RefuseUnservable bool
	// StartInTime sends a request only to engines that are expected to begin with its
	// answer within its objective, and refuses it while there is none.
	StartInTime bool
	// OthersFromReports takes what a report shows beside the own work as the work of
	// other entries, until the next report, and adds the prompts that they have told of
	// since.
	OthersFromReports bool
	// TimeToRun lets a request wait only as long as it can still be answered before its
	// timeout, by how long requests of its kind have run.
	TimeToRun bool
	// KnownRemotes sends prompts to engines of other data centres only while it is known
	// how busy they are.
	KnownRemotes bool
	// ToldReads counts what engines have still to read by what entries tell of prompts that
	// were sent and read, in place of estimating it by a rate.
	ToldReads bool
	// LearnPace learns how fast prompts that aren't urgent get through what is before them.
	LearnPace bool
	// ReadInTurn says that engines read prompts in the order in which they come, the urgent
	// ones too, since requests carry no priorities.
	ReadInTurn bool
	// CompareAll looks at all endpoints a decision, whatever LocalChoices and
	// RemoteChoices say.
	CompareAll bool
	// NoBreakers sends requests to endpoints however they have failed.
	NoBreakers bool
	// KeepLate queues requests that aren't expected to start in time.
	KeepLate bool
	// ForgetLengths learns no output lengths.
	ForgetLengths bool
	// Pipeline chooses endpoints.
	Pipeline routing.Pipeline
	// ServicePipeline chooses among plain services.
	ServicePipeline routing.Pipeline
	// Rand is the source of all randomness.
	Rand *rand.Rand
}

// Defaults of Config.
const (
	DefaultMargin      = 1.0
	DefaultUrgentShare = 0.1
	// DefaultReadRate is what the users' engines read beside some running generations:
	// 112 tokens a step of 15 to 16 ms (PROTOCOL, model servers; the step's time was measured).
	DefaultReadRate = 7000
	// reprojectEvery is after how many tokens a projection is made anew.
	reprojectEvery = 16
	// defaultGap is the time between tokens assumed while nothing is known.
	defaultGap = 25 * time.Millisecond
	// Bounds and jitter of the time after which a refused caller may come back.
	minRetryAfter    = 200 * time.Millisecond
	maxRetryAfter    = time.Minute
	retryAfterJitter = 0.25
	// spillFill is the highest fill up to which an endpoint of another data
	// centre gets work that no local one has room for.
	spillFill = 0.6
	// DefaultBorrowFill is that of version v4.
	DefaultBorrowFill = 0.85
	// partFill is the highest believed fill up to which it uses its own part.
	partFill = 1.2
	// DefaultRateSmoothing and DefaultDisplaceRatio are those of version v1.
	DefaultRateSmoothing = 0.2
	DefaultDisplaceRatio = 1.25
)

func (c Config) withDefaults() Config {
	c.Margin = cmp.Or(c.Margin, DefaultMargin)
	c.UrgentShare = cmp.Or(c.UrgentShare, DefaultUrgentShare)
	c.BorrowFill = cmp.Or(c.BorrowFill, DefaultBorrowFill)
	c.PriorHazard = cmp.Or(c.PriorHazard, lengths.PriorHazard)
	c.RateSmoothing = cmp.Or(c.RateSmoothing, DefaultRateSmoothing)
	c.DisplaceRatio = cmp.Or(c.DisplaceRatio, DefaultDisplaceRatio)
	c.LocalChoices = cmp.Or(c.LocalChoices, defaultLocalChoices)
	c.RemoteChoices = cmp.Or(c.RemoteChoices, defaultRemoteChoices)
	if c.CompareAll {
		c.LocalChoices, c.RemoteChoices = allEndpoints, allEndpoints
	}
	if c.Pipeline.Filters == nil {
		c.Pipeline = routing.Default()
	}
	if c.ServicePipeline.Filters == nil {
		c.ServicePipeline = c.Pipeline
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}
