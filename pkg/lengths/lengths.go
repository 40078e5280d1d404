// Package lengths learns how long outputs are and projects the memory that
// running requests will need.
//
// # Design
//
// The length of an output is unknown until it ends, so the estimator learns
// from survival: for each bucket of a logarithmic scale it counts how many
// requests reached the bucket and how many ended in it. A request that is
// still running counts as having reached its buckets. When lengths shift
// upwards the estimate therefore follows while the first long requests run,
// not only after they have ended. Counts decay with each request that ends,
// so that old lengths are forgotten.
//
// Estimates of a workspace and kind lean on those of the kind over all
// workspaces while there are few requests, and these lean on a prior.
//
// A Profile projects memory: the tokens that a request is expected to hold now
// and after each of Horizons further steps, counting those that will have
// ended as zero. The sum of the profiles of an engine's requests, compared
// with its capacity at each horizon, says whether one more request fits. The
// sum of final lengths would hold room for requests that never run at the same
// time; the memory of the moment would not see growth that is sure to come.
//
// The package does no I/O; the caller serialises calls.
package lengths

import (
	"math"
)

// Horizons are the further decoding steps of a Profile.
var Horizons = [...]float64{0, 64, 256, 1024, 4096}

// Profile holds tokens for each of Horizons.
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

// Projection is what one request is expected to hold, with its variance.
type Projection struct {
	Mean     Profile
	Variance Profile
}

// Bound returns the projection of a request whose output is bounded: beyond the
// bound it holds nothing. A bound of zero is none.
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
	// bucketRatio is the ratio of neighbouring bucket bounds.
	bucketRatio = 1.3
	// buckets cover outputs up to about 100,000 tokens.
	numBuckets = 44
	// memory is the number of ended requests after which counts have decayed
	// to about a third.
	decayRequests = 150
	// lean is how many requests the estimate of a kind counts for in that of a
	// workspace, and leanPrior how many the prior counts for in that of a kind.
	parentWeight = 4
	priorWeight  = 1
	// PriorHazard is the share of outputs that end in each bucket from priorFrom
	// tokens on, as assumed while nothing is known. From 0.231 on the expected
	// length is finite. Before priorFrom few are assumed to end.
	PriorHazard            = 0.25
	priorHazardMinTokens   = 64
	shortOutputPriorHazard = 0.03
	// maxChanges to a settled group, one with so many requests, go by before its
	// survival is computed anew.
	maxStaleChanges      = 16
	staleReadMinRequests = 32
	// rescaleAt keeps the growing weights of forward decay within range.
	maxDecayWeight = 1e9
)

var bucketBounds = makeBucketBounds()

func makeBucketBounds() [numBuckets + 1]float64 {
	var b [numBuckets + 1]float64
	for i := 1; i <= numBuckets; i++ {
		b[i] = math.Max(b[i-1]+1, math.Pow(bucketRatio, float64(i)))
	}
	return b
}

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

// Key groups requests whose lengths are alike.
type Key struct{ Workspace, Kind string }

// group counts survival for one key, or for a kind over all workspaces.
type group struct {
	parent         *group
	priorHazard    float64
	weight         float64
	reached        [numBuckets]float64
	ended          [numBuckets]float64
	cachedSurvival [numBuckets + 1]float64
	// changes counts those that surv doesn't show yet.
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

// survival returns the chance, by bucket bound, that an output is longer.
func (g *group) survival() *[numBuckets + 1]float64 {
	if g.changesSinceCached == 0 || g.changesSinceCached < maxStaleChanges && g.reached[0] > staleReadMinRequests*g.weight {
		return &g.cachedSurvival
	}
	g.cachedSurvival[0] = 1
	for b := range numBuckets {
		g.cachedSurvival[b+1] = g.cachedSurvival[b] * (1 - g.hazard(b))
	}
	g.changesSinceCached = 0
	return &g.cachedSurvival
}

// longer gives the chance that an output is longer than tokens, by linear
// interpolation within a bucket.
func survivalAt(s *[numBuckets + 1]float64, tokens float64) float64 {
	b := bucketIndex(int(tokens))
	if b == numBuckets-1 && tokens >= bucketBounds[numBuckets] {
		return s[numBuckets]
	}
	fraction := (tokens - bucketBounds[b]) / (bucketBounds[b+1] - bucketBounds[b])
	return s[b] + fraction*(s[b+1]-s[b])
}

// Estimator learns lengths per key.
type Estimator struct {
	kinds       map[string]*group
	keys        map[Key]*group
	priorHazard float64
}

// MaxKeys bounds the keys kept apart; further ones share their kind's group.
const MaxKeys = 4096

// New makes an estimator that knows only the prior.
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

// Run follows one request. The zero value is not usable; see Start.
type Tracker struct {
	group  *group
	bucket int
}

// Start counts a request that begins to decode.
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

// Advance counts the buckets that a request has newly reached, and reports
// whether there were any.
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

// End counts a request whose output was complete with this many tokens. A
// request that was cut short must not be counted.
func (r *Tracker) End(length int) {
	r.Advance(length)
	r.group.recordEnded(r.bucket)
	if r.group.parent != nil {
		r.group.parent.recordEnded(r.bucket)
	}
}

// Project gives the memory that a request is expected to hold.
func (e *Estimator) Project(k Key, prompt, generated int) Projection {
	return project(e.group(k), prompt, generated)
}

// Project gives the memory that a running request is expected to hold.
func (r *Tracker) Project(prompt, generated int) Projection {
	return project(r.group, prompt, generated)
}

func project(g *group, prompt, generated int) Projection {
	s := g.survival()
	reachedNow := max(survivalAt(s, float64(generated)), 1e-9)
	var projection Projection
	for i, h := range Horizons {
		running := min(survivalAt(s, float64(generated)+h)/reachedNow, 1)
		tokens := float64(prompt+generated) + h
		projection.Mean[i] = running * tokens
		projection.Variance[i] = running * (1 - running) * tokens * tokens
	}
	return projection
}

// Remaining gives the expected number of tokens still to come.
func (e *Estimator) Remaining(k Key, generated int) float64 {
	s := e.group(k).survival()
	reachedNow := max(survivalAt(s, float64(generated)), 1e-9)
	b := bucketIndex(generated)
	currentBucket := (bucketBounds[b+1] - float64(generated)) * (reachedNow + s[b+1]) / 2
	sum := currentBucket
	for i := b + 1; i < numBuckets; i++ {
		sum += (bucketBounds[i+1] - bucketBounds[i]) * (s[i] + s[i+1]) / 2
	}
	return sum / reachedNow
}
