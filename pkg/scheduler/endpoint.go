package scheduler

import (
	"math"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

const (
	// gapSmoothing is the weight of one new gap in the mean time between tokens.
	gapSmoothing = 0.05
	// unexplainedFor is how long load that nobody claims is believed.
	unexplainedFor = 3 * time.Second
)

// endpoint is one endpoint as this entry believes it to be.
type endpoint struct {
	spec    fleet.Endpoint
	index   int
	leaving bool
	// parts is among how many home entries the memory is split; zero if this
	// entry is none of them.
	parts   int
	gone    bool
	breaker retry.Breaker

	own          lengths.Projection
	ownRunning   int
	peers        lengths.Profile
	peersRunning int

	// unread counts the prompt tokens of own requests that have not begun.
	unread float64
	// prompts estimates the prompt tokens of all entries that the engine had still to
	// read at promptsAt.
	prompts   float64
	promptsAt time.Time
	// sentTotal counts all prompt tokens that are known to have been sent.
	sentTotal float64

	// othersUnread are the prompts of other entries that are still to be read.
	othersUnread pendingPrompts
	// told are the prompts of other entries that no report shows yet, the oldest first.
	told []toldPrompt

	// coldUntil is until when the endpoint is cold, and coldSends when this entry has sent to
	// it since, within coldWindow.
	coldUntil time.Time
	coldSends []time.Time

	report      Report
	unexplained float64
	// gap is the mean time between tokens in seconds; zero if unknown.
	gap float64
}

// take counts a projection, with sign 1 to add and -1 to remove it.
func (e *endpoint) take(it *item, sign float64) {
	for i := range it.projection.Mean {
		e.own.Mean[i] += sign * it.projection.Mean[i]
		e.own.Variance[i] += sign * it.projection.Variance[i]
	}
}

// room describes what the fit of a request is measured against.
type room struct {
	// margin is in standard deviations.
	margin float64
	// held is the share of the capacity held for urgent requests.
	held float64
	// extra is believed load that no share accounts for.
	extra float64
}

// places gives the share of its places in use, with one more request.
// A plain service tells no load, so its places are split among its home entries.
func (e *endpoint) places() float64 {
	if e.spec.CapacityTokens == 0 && e.parts > 0 {
		return float64(e.ownRunning+1) / float64(max(e.spec.MaxRunning/e.parts, 1))
	}
	return float64(e.ownRunning+e.peersRunning+1) / float64(e.spec.MaxRunning)
}

// fill gives the projected use of the endpoint with one more request on top,
// as a share of the room that the request may use.
func (e *endpoint) fill(p *lengths.Projection, urgent bool, r room) float64 {
	places := e.places()
	if e.spec.CapacityTokens == 0 {
		return places
	}
	capacity := float64(e.spec.CapacityTokens)
	if !urgent {
		capacity *= 1 - r.held
	}
	return max(e.top(p, &e.peers, r.extra, r.margin)/capacity, places)
}

// queuedPrompt is what one request in a reported queue counts for in tokens.
const queuedPrompt = 2500

// backlog counts the prompt tokens that are still to be read: what entries have sent, or
// what the last report showed waiting, whichever is more. A report is believed less as it
// ages.
func (s *Scheduler) backlog(now time.Time, e *endpoint) float64 {
	known := s.pendingPrefillTokens(now, e)
	age := now.Sub(e.report.ReportedAt)
	if age > unexplainedFor {
		return known
	}
	reported := float64(e.report.Waiting*queuedPrompt) * (1 - float64(age)/float64(unexplainedFor))
	return max(known, reported)
}

// promptsLeft is what an engine that reads so many tokens a second has left.
func (e *endpoint) promptsLeft(now time.Time, readRate float64) float64 {
	return max(e.prompts-readRate*now.Sub(e.promptsAt).Seconds(), 0)
}

// sent counts a prompt that was sent to the engine; without a rate nothing would ever
// be taken off again.
func (e *endpoint) sent(now time.Time, tokens int, readRate float64) {
	if readRate <= 0 {
		return
	}
	e.prompts = e.promptsLeft(now, readRate) + float64(tokens)
	e.promptsAt = now
	e.sentTotal += float64(tokens)
}

// readUpTo records that the engine has read all that it was sent up to a mark. So an
// engine that reads faster than ReadRate isn't taken to be busy for longer than until it
// begins with an answer.
func (e *endpoint) readUpTo(now time.Time, mark, readRate float64) {
	e.prompts = min(e.promptsLeft(now, readRate), max(e.sentTotal-mark, 0))
	e.promptsAt = now
}

// top gives the most that own work, the others' and one more request are
// projected to hold at any horizon, with a margin.
func (e *endpoint) top(p *lengths.Projection, others *lengths.Profile, extra, margin float64) float64 {
	top := 0.0
	for i := range p.Mean {
		mean := e.own.Mean[i] + others[i] + p.Mean[i] + extra
		variance := max(e.own.Variance[i]+p.Variance[i], 0)
		top = max(top, mean+margin*math.Sqrt(variance))
	}
	return top
}

// ownFill gives the projected use by this entry's own work with one more
// request, as a share of this entry's part; it is infinite without a part.
// The margin of an endpoint grows with the root of the number of parts, and is
// split among them.
func (e *endpoint) ownFill(p *lengths.Projection, urgent bool, r room) float64 {
	if e.parts == 0 {
		return math.Inf(1)
	}
	part := float64(e.spec.CapacityTokens) / float64(e.parts)
	if !urgent {
		part *= 1 - r.held
	}
	margin := r.margin / math.Sqrt(float64(e.parts))
	return e.top(p, &lengths.Profile{}, 0, margin) / part
}

// observe takes a report. What it shows above all known work is believed for
// a while: it is the work of entries that are gone or were not heard of.
func (e *endpoint) observe(r Report) {
	if !r.ReportedAt.After(e.report.ReportedAt) {
		return
	}
	e.report = r
	e.unexplained = max(float64(r.UsedTokens)-e.own.Mean[0]-e.peers[0], 0)
}

// freshFor is how long a report is good enough to send work to another data
// centre by.
const freshFor = 5 * time.Second

func (e *endpoint) fresh(now time.Time) bool {
	return e.spec.CapacityTokens == 0 || now.Sub(e.report.ReportedAt) <= freshFor
}

// sharers is among how many entries the room that a report shows is split, where
// nobody has a part. All that read the report see the same room.
const sharers = 3

// shared gives the fill up to which this entry may go on its own, if the last
// report left room below a limit.
func (e *endpoint) shared(limit float64) float64 {
	if e.spec.CapacityTokens == 0 {
		return limit
	}
	reported := float64(e.report.UsedTokens) / float64(e.spec.CapacityTokens)
	return reported + (limit-reported)/sharers
}

// observePeers takes a report as the sum of all entries' work. What isn't this
// entry's own is the others', and is projected to grow as the own work is.
func (e *endpoint) observePeers(r Report) {
	if !r.ReportedAt.After(e.report.ReportedAt) {
		return
	}
	e.report = r
	held := max(float64(r.UsedTokens)-e.own.Mean[0], 0)
	for i := range e.peers {
		e.peers[i] = held * e.growth(i)
	}
	e.peersRunning = max(r.Running+r.Waiting-e.ownRunning, 0)
}

// assumedGrowth is the projected growth while there is no own work to go by.
const assumedGrowth = 1.1

func (e *endpoint) growth(horizon int) float64 {
	if horizon == 0 {
		return 1
	}
	if e.own.Mean[0] <= 0 {
		return assumedGrowth
	}
	return e.own.Mean[horizon] / e.own.Mean[0]
}

// extra returns the load that no share accounts for.
func (e *endpoint) extra(now time.Time) float64 {
	age := now.Sub(e.report.ReportedAt)
	if e.unexplained == 0 || age > unexplainedFor {
		return 0
	}
	return e.unexplained * (1 - float64(age)/float64(unexplainedFor))
}

func (e *endpoint) observeGap(gap time.Duration) {
	s := gap.Seconds()
	if e.gap == 0 {
		e.gap = s
		return
	}
	e.gap += gapSmoothing * (s - e.gap)
}
