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
func (p Projection) Bound(generated, most int) Projection {
	if most <= 0 {
		return p
	}
	for i, h := range Horizons {
		if i > 0 && float64(generated)+h > float64(most) {
			p.Mean[i], p.Variance[i] = 0, 0
		}
	}
	return p
}

const (
	// bucketRatio is the ratio of neighbouring bucket bounds.
	bucketRatio = 1.3
	// buckets cover outputs up to about 100,000 tokens.
	buckets = 44
	// memory is the number of ended requests after which counts have decayed
	// to about a third.
	memory = 150
	// lean is how many requests the estimate of a kind counts for in that of a
	// workspace, and leanPrior how many the prior counts for in that of a kind.
	lean      = 4
	leanPrior = 1
	// PriorHazard is the share of outputs that end in each bucket from priorFrom
	// tokens on, as assumed while nothing is known. From 0.231 on the expected
	// length is finite. Before priorFrom few are assumed to end.
	PriorHazard      = 0.25
	priorFrom        = 64
	priorHazardBelow = 0.03
	// maxChanges to a settled group, one with so many requests, go by before its
	// survival is computed anew.
	maxChanges = 16
	settled    = 32
	// rescaleAt keeps the growing weights of forward decay within range.
	rescaleAt = 1e9
)

var bounds = makeBounds()

func makeBounds() [buckets + 1]float64 {
	var b [buckets + 1]float64
	for i := 1; i <= buckets; i++ {
		b[i] = math.Max(b[i-1]+1, math.Pow(bucketRatio, float64(i)))
	}
	return b
}

func bucketOf(tokens int) int {
	lo, hi := 0, buckets-1
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if bounds[mid] <= float64(tokens) {
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
	parent  *group
	prior   float64
	weight  float64
	reached [buckets]float64
	ended   [buckets]float64
	surv    [buckets + 1]float64
	// changes counts those that surv doesn't show yet.
	changes int
}

func newGroup(parent *group, prior float64) *group {
	return &group{parent: parent, prior: prior, weight: 1, changes: maxChanges}
}

func (g *group) reach(b int) {
	g.reached[b] += g.weight
	g.changes++
}

func (g *group) end(b int) {
	g.ended[b] += g.weight
	g.weight *= 1 + 1.0/memory
	g.changes++
	if g.weight > rescaleAt {
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
		return min((ended+leanPrior*g.priorAt(b))/(reached+leanPrior), 1)
	}
	return min((ended+lean*g.parent.hazard(b))/(reached+lean), 1)
}

func (g *group) priorAt(b int) float64 {
	if bounds[b] < priorFrom {
		return priorHazardBelow
	}
	return g.prior
}

// survival returns the chance, by bucket bound, that an output is longer.
func (g *group) survival() *[buckets + 1]float64 {
	if g.changes == 0 || g.changes < maxChanges && g.reached[0] > settled*g.weight {
		return &g.surv
	}
	g.surv[0] = 1
	for b := range buckets {
		g.surv[b+1] = g.surv[b] * (1 - g.hazard(b))
	}
	g.changes = 0
	return &g.surv
}

// longer gives the chance that an output is longer than tokens, by linear
// interpolation within a bucket.
func longer(s *[buckets + 1]float64, tokens float64) float64 {
	b := bucketOf(int(tokens))
	if b == buckets-1 && tokens >= bounds[buckets] {
		return s[buckets]
	}
	part := (tokens - bounds[b]) / (bounds[b+1] - bounds[b])
	return s[b] + part*(s[b+1]-s[b])
}

// Estimator learns lengths per key.
type Estimator struct {
	kinds map[string]*group
	keys  map[Key]*group
	prior float64
}

// MaxKeys bounds the keys kept apart; further ones share their kind's group.
const MaxKeys = 4096

// New makes an estimator that knows only the prior.
func New(priorHazard float64) *Estimator {
	return &Estimator{kinds: map[string]*group{}, keys: map[Key]*group{}, prior: priorHazard}
}

func (e *Estimator) kind(name string) *group {
	g := e.kinds[name]
	if g == nil {
		g = newGroup(nil, e.prior)
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
	g := newGroup(kind, e.prior)
	e.keys[k] = g
	return g
}

// Run follows one request. The zero value is not usable; see Start.
type Run struct {
	group  *group
	bucket int
}

// Start counts a request that begins to decode.
func (e *Estimator) Start(k Key) Run {
	r := Run{group: e.group(k)}
	r.reach(0)
	return r
}

func (r *Run) reach(b int) {
	r.group.reach(b)
	if r.group.parent != nil {
		r.group.parent.reach(b)
	}
}

// Advance counts the buckets that a request has newly reached, and reports
// whether there were any.
func (r *Run) Advance(generated int) bool {
	b := bucketOf(generated)
	if b <= r.bucket {
		return false
	}
	for i := r.bucket + 1; i <= b; i++ {
		r.reach(i)
	}
	r.bucket = b
	return true
}

// End counts a request whose output was complete with this many tokens. A
// request that was cut short must not be counted.
func (r *Run) End(length int) {
	r.Advance(length)
	r.group.end(r.bucket)
	if r.group.parent != nil {
		r.group.parent.end(r.bucket)
	}
}

// Project gives the memory that a request is expected to hold.
func (e *Estimator) Project(k Key, prompt, generated int) Projection {
	return project(e.group(k), prompt, generated)
}

// Project gives the memory that a running request is expected to hold.
func (r *Run) Project(prompt, generated int) Projection {
	return project(r.group, prompt, generated)
}

func project(g *group, prompt, generated int) Projection {
	s := g.survival()
	now := max(longer(s, float64(generated)), 1e-9)
	var out Projection
	for i, h := range Horizons {
		alive := min(longer(s, float64(generated)+h)/now, 1)
		held := float64(prompt+generated) + h
		out.Mean[i] = alive * held
		out.Variance[i] = alive * (1 - alive) * held * held
	}
	return out
}

// Remaining gives the expected number of tokens still to come.
func (e *Estimator) Remaining(k Key, generated int) float64 {
	s := e.group(k).survival()
	now := max(longer(s, float64(generated)), 1e-9)
	b := bucketOf(generated)
	first := (bounds[b+1] - float64(generated)) * (now + s[b+1]) / 2
	sum := first
	for i := b + 1; i < buckets; i++ {
		sum += (bounds[i+1] - bounds[i]) * (s[i] + s[i+1]) / 2
	}
	return sum / now
}
