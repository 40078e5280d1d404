// Package lengths estimates output lengths and projects the memory that running
// requests need.
//
// # Design
//
// The length of an output is unknown until it ends, so the estimator is a life
// table: for each bucket of a logarithmic scale it counts the requests that
// reached the bucket and those that ended in it, which gives a hazard per bucket
// and the survival function. A running request is a censored observation: it
// counts in the buckets that it has reached. When outputs become longer, the
// estimate therefore rises while the first long requests are still running.
// Counts decay exponentially with each completed request, so that recent lengths
// weigh most.
//
// The estimate for a workspace and kind is shrunk towards that of the kind over
// all workspaces while there are few requests, and the latter towards a prior.
//
// A Profile projects memory: the expected number of tokens that a request holds
// now and after each of Horizons further decoding steps, where a request that
// has ended holds none. The sum of the profiles of an engine's requests,
// compared with its capacity at each horizon, decides whether one more request
// fits. Summing final lengths instead would reserve memory for requests that
// never run at the same time; comparing current memory alone would ignore the
// growth that is certain to come.
//
// The package does no I/O. Its types are not safe for concurrent use.
package lengths

import (
	"math"
)

// Horizons are the numbers of further decoding steps for which a Profile has a
// value.
var Horizons = [...]float64{0, 64, 256, 1024, 4096}

// Profile holds one value for each of Horizons, such as a number of tokens.
type Profile [len(Horizons)]float64

// Add returns the sum of two profiles.
func (p Profile) Add(q Profile) Profile {
	for i := range p {
		p[i] += q[i]
	}
	return p
}

// Sub returns the difference of two profiles.
func (p Profile) Sub(q Profile) Profile {
	for i := range p {
		p[i] -= q[i]
	}
	return p
}

// Max returns the largest value.
func (p Profile) Max() float64 {
	m := p[0]
	for _, v := range p[1:] {
		m = max(m, v)
	}
	return m
}

// Projection is the mean and variance of the tokens that a request, or several,
// will hold.
type Projection struct {
	// Mean is the expected number of tokens.
	Mean Profile
	// Variance is the variance, in tokens squared.
	Variance Profile
}

// Bound limits the output of a request that has produced generated tokens to
// maxOutput tokens: at horizons beyond the limit the request holds no memory. A
// maxOutput of zero or less is no limit.
func (p Projection) Bound(generated, maxOutput int) Projection {
	if maxOutput <= 0 {
		return p
	}
	for i, h := range Horizons {
		if i > 0 && float64(generated)+h > float64(maxOutput) {
			p.Mean[i], p.Variance[i] = 0, 0
		}
	}
	return p
}

const (
	// bucketRatio is the ratio of the bounds of adjacent buckets.
	bucketRatio = 1.3
	// numBuckets covers outputs of up to about 100,000 tokens.
	numBuckets = 44
	// decayRequests is the number of completed requests after which counts have
	// decayed to about a third.
	decayRequests = 150
	// parentWeight is the number of requests that the estimate of a kind counts
	// for in that of a workspace and kind; priorWeight is the number that the
	// prior counts for in the estimate of a kind.
	parentWeight = 4
	priorWeight  = 1
	// PriorHazard is the prior share of outputs that end in each bucket from
	// priorHazardMinTokens on. The expected length is finite from 0.231 on, where
	// survival falls faster than bucketRatio widens the buckets. In buckets below
	// priorHazardMinTokens, where few outputs are assumed to end, the prior is
	// shortOutputPriorHazard.
	PriorHazard            = 0.25
	priorHazardMinTokens   = 64
	shortOutputPriorHazard = 0.03
	// A group with more than cacheMinRequests requests caches its survival function
	// and recomputes it only after maxStaleChanges changes.
	maxStaleChanges  = 16
	cacheMinRequests = 32
	// maxDecayWeight is the weight at which counts are rescaled. Forward decay
	// increases the weight with each completed request, so that it would overflow.
	maxDecayWeight = 1e9
)

var bucketBounds = makeBucketBounds()

// makeBucketBounds returns the lower bounds of all buckets in tokens, followed by
// the upper bound of the last.
func makeBucketBounds() [numBuckets + 1]float64 {
	var b [numBuckets + 1]float64
	for i := 1; i <= numBuckets; i++ {
		b[i] = math.Max(b[i-1]+1, math.Pow(bucketRatio, float64(i)))
	}
	return b
}

// bucketIndex returns the bucket of an output length; the last bucket takes all
// longer ones.
func bucketIndex(tokens int) int {
	lo, hi := 0, numBuckets-1
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if bucketBounds[mid] <= float64(tokens) {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return lo
}

// Key identifies a group of requests with similar output lengths.
type Key struct{ Workspace, Kind string }

// group is the life table of one key, or of a kind over all workspaces.
type group struct {
	// parent is the group of the kind; nil in that group itself.
	parent      *group
	priorHazard float64
	// weight is what a new observation adds to a count. It grows with each
	// completed request, which decays older counts in relation to new ones.
	weight float64
	// reached and ended are the weighted numbers of requests that reached a bucket
	// and that ended in it.
	reached [numBuckets]float64
	ended   [numBuckets]float64
	// cachedSurvival is the survival function as of changesSinceCached changes
	// ago.
	cachedSurvival     [numBuckets + 1]float64
	changesSinceCached int
}

func newGroup(parent *group, priorHazard float64) *group {
	return &group{parent: parent, priorHazard: priorHazard, weight: 1, changesSinceCached: maxStaleChanges}
}

func (g *group) recordReached(b int) {
	g.reached[b] += g.weight
	g.changesSinceCached++
}

func (g *group) recordEnded(b int) {
	g.ended[b] += g.weight
	g.weight *= 1 + 1.0/decayRequests
	g.changesSinceCached++
	if g.weight > maxDecayWeight {
		g.rescale()
	}
}

func (g *group) rescale() {
	for i := range g.reached {
		g.reached[i] /= g.weight
		g.ended[i] /= g.weight
	}
	g.weight = 1
}

// hazard returns the probability that an output which reaches the bucket ends in
// it, shrunk towards the parent's estimate or the prior.
func (g *group) hazard(b int) float64 {
	reached := g.reached[b] / g.weight
	ended := g.ended[b] / g.weight
	if g.parent == nil {
		return min((ended+priorWeight*g.priorHazardAt(b))/(reached+priorWeight), 1)
	}
	return min((ended+parentWeight*g.parent.hazard(b))/(reached+parentWeight), 1)
}

func (g *group) priorHazardAt(b int) float64 {
	if bucketBounds[b] < priorHazardMinTokens {
		return shortOutputPriorHazard
	}
	return g.priorHazard
}

// survival returns the survival function: for each of bucketBounds, the
// probability that an output is longer.
func (g *group) survival() *[numBuckets + 1]float64 {
	if g.changesSinceCached == 0 || g.changesSinceCached < maxStaleChanges && g.reached[0] > cacheMinRequests*g.weight {
		return &g.cachedSurvival
	}
	g.cachedSurvival[0] = 1
	for b := range numBuckets {
		g.cachedSurvival[b+1] = g.cachedSurvival[b] * (1 - g.hazard(b))
	}
	g.changesSinceCached = 0
	return &g.cachedSurvival
}

// survivalAt returns the probability that an output is longer than tokens, by
// linear interpolation within a bucket.
func survivalAt(s *[numBuckets + 1]float64, tokens float64) float64 {
	b := bucketIndex(int(tokens))
	if b == numBuckets-1 && tokens >= bucketBounds[numBuckets] {
		return s[numBuckets]
	}
	fraction := (tokens - bucketBounds[b]) / (bucketBounds[b+1] - bucketBounds[b])
	return s[b] + fraction*(s[b+1]-s[b])
}

// Estimator estimates output lengths per key from observed requests.
type Estimator struct {
	kinds       map[string]*group
	keys        map[Key]*group
	priorHazard float64
}

// MaxKeys limits the number of keys with a group of their own. Further keys use
// the group of their kind.
const MaxKeys = 4096

// New returns an estimator without observations. It assumes that priorHazard is
// the share of outputs that end in each bucket; see PriorHazard.
func New(priorHazard float64) *Estimator {
	return &Estimator{kinds: map[string]*group{}, keys: map[Key]*group{}, priorHazard: priorHazard}
}

func (e *Estimator) kind(name string) *group {
	g := e.kinds[name]
	if g == nil {
		g = newGroup(nil, e.priorHazard)
		e.kinds[name] = g
	}
	return g
}

func (e *Estimator) group(k Key) *group {
	if g := e.keys[k]; g != nil {
		return g
	}
	kind := e.kind(k.Kind)
	if len(e.keys) >= MaxKeys {
		return kind
	}
	g := newGroup(kind, e.priorHazard)
	e.keys[k] = g
	return g
}

// Tracker records the progress of one request. Use Start to make one; the zero
// value is not usable.
type Tracker struct {
	group *group
	// bucket is the last bucket that the request has reached.
	bucket int
}

// Start records that a request begins to decode.
func (e *Estimator) Start(k Key) Tracker {
	r := Tracker{group: e.group(k)}
	r.recordReached(0)
	return r
}

func (r *Tracker) recordReached(b int) {
	r.group.recordReached(b)
	if r.group.parent != nil {
		r.group.parent.recordReached(b)
	}
}

// Advance records that the request has produced generated tokens in total. It
// reports whether the request has reached a new bucket.
func (r *Tracker) Advance(generated int) bool {
	b := bucketIndex(generated)
	if b <= r.bucket {
		return false
	}
	for i := r.bucket + 1; i <= b; i++ {
		r.recordReached(i)
	}
	r.bucket = b
	return true
}

// End records an output that is complete with length tokens. It must not be
// called for a truncated output, whose full length is unknown.
func (r *Tracker) End(length int) {
	r.Advance(length)
	r.group.recordEnded(r.bucket)
	if r.group.parent != nil {
		r.group.parent.recordEnded(r.bucket)
	}
}

// Project returns the projected memory of a request whose prompt has prompt tokens
// and which has produced generated output tokens.
func (e *Estimator) Project(k Key, prompt, generated int) Projection {
	return project(e.group(k), prompt, generated)
}

// Project returns the projected memory of the tracked request.
func (r *Tracker) Project(prompt, generated int) Projection {
	return project(r.group, prompt, generated)
}

func project(g *group, prompt, generated int) Projection {
	s := g.survival()
	currentSurvival := max(survivalAt(s, float64(generated)), 1e-9)
	var projection Projection
	for i, h := range Horizons {
		running := min(survivalAt(s, float64(generated)+h)/currentSurvival, 1)
		tokens := float64(prompt+generated) + h
		projection.Mean[i] = running * tokens
		projection.Variance[i] = running * (1 - running) * tokens * tokens
	}
	return projection
}

// Remaining returns the expected number of further output tokens of a request that
// has produced generated tokens.
func (e *Estimator) Remaining(k Key, generated int) float64 {
	s := e.group(k).survival()
	currentSurvival := max(survivalAt(s, float64(generated)), 1e-9)
	b := bucketIndex(generated)
	currentBucket := (bucketBounds[b+1] - float64(generated)) * (currentSurvival + s[b+1]) / 2
	sum := currentBucket
	for i := b + 1; i < numBuckets; i++ {
		sum += (bucketBounds[i+1] - bucketBounds[i]) * (s[i] + s[i+1]) / 2
	}
	return sum / currentSurvival
}
