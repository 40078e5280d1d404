package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/lengths"
	"github.com/bridgehoist/bridgehoist/pkg/limits"
	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// Scheduler is the policy of the entries.
type Scheduler struct {
	cfg       Config
	endpoints []*endpoint
	byID      map[string]*endpoint
	estimator *lengths.Estimator
	queues    map[string]*queue
	running   map[ID]*item
	inFlight  *limits.Counter
	queued    *limits.Counter
	shares    map[string][]Share
	leaving   map[string]bool
	homes     map[string]int
	targets   map[string]*target
	// dataCenters holds a breaker for each other data centre.
	dataCenters map[string]*retry.Breaker
	// reported are engines of other data centres with a fresh report.
	reported []*endpoint
	// known are the engines of other data centres whose load is known, for one decision.
	known []*endpoint
	// runTimes holds how long requests of a kind run; see runtime.go.
	runTimes map[string]time.Duration
	// apart are the requests that are kept apart; see apart.go.
	apart []quarantine.KeptApart
	// rank is the entry's place among all, from zero.
	rank, entries int
	// pressure is what endpoints say of how much they take.
	pressure *backpressure.Set
	// pressedAt is when a request was last refused or had to wait for a full engine.
	pressedAt time.Time
	gap       float64
	gapAt     time.Time
	free      []*item

	request    routing.Request
	candidates []routing.Candidate
	actions    Actions
	displaced  []Refusal
}

var _ Policy = (*Scheduler)(nil)

// New makes a scheduler without endpoints.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg:         cfg,
		byID:        map[string]*endpoint{},
		homes:       map[string]int{},
		targets:     map[string]*target{},
		dataCenters: map[string]*retry.Breaker{},
		runTimes:    map[string]time.Duration{},
		estimator:   lengths.New(cfg.PriorHazard),
		queues:      map[string]*queue{},
		running:     map[ID]*item{},
		inFlight:    limits.New(),
		queued:      limits.New(),
		shares:      map[string][]Share{},
		leaving:     map[string]bool{},
		pressure:    backpressure.New(),
	}
}

// InFlight is the counter of the table's max_in_flight, for the exchange.
func (s *Scheduler) InFlight() *limits.Counter { return s.inFlight }

// Queued is the counter of the table's max_queued, for the exchange.
func (s *Scheduler) Queued() *limits.Counter { return s.queued }

// Backpressure is what endpoints say of how much they take, for the exchange.
func (s *Scheduler) Backpressure() *backpressure.Set { return s.pressure }

// SetEndpoints implements Policy.
func (s *Scheduler) SetEndpoints(now time.Time, endpoints []fleet.Endpoint) {
	old := s.byID
	s.byID = make(map[string]*endpoint, len(endpoints))
	s.endpoints = s.endpoints[:0:0]
	for i, spec := range endpoints {
		e := old[spec.ID]
		before := fleet.Endpoint{}
		if e != nil {
			before = e.spec
		}
		if e == nil || e.spec.Incarnation != spec.Incarnation {
			// Another life: it holds nothing, and what was known of the one before, its leave
			// too, says nothing of it. Requests of the one before keep that and end with it.
			e = &endpoint{}
			delete(s.leaving, spec.ID)
		}
		e.spec = spec
		e.index = i
		e.learnCold(now, before)
		e.leaving = s.leaving[spec.ID] || spec.Closed
		e.parts = s.homes[spec.ID]
		s.byID[spec.ID] = e
		s.endpoints = append(s.endpoints, e)
	}
	for id, e := range old {
		if s.byID[id] != e {
			e.gone = true
		}
	}
	s.pressure.Listed(now, func(l fleet.Instance) bool { return s.live(l) != nil })
	clear(s.targets)
	s.sumShares()
}

// live finds an endpoint in one of its lives, or returns nil if the list shows another.
func (s *Scheduler) live(l fleet.Instance) *endpoint {
	e := s.byID[l.Endpoint]
	if e == nil || e.spec.Incarnation != l.Incarnation {
		return nil
	}
	return e
}

// SetLeaving implements Policy.
func (s *Scheduler) SetLeaving(id string, leaving bool) {
	if leaving {
		s.leaving[id] = true
	} else {
		delete(s.leaving, id)
	}
	e := s.byID[id]
	if e == nil {
		return
	}
	leaving = leaving || e.spec.Closed
	if e.leaving != leaving {
		e.leaving = leaving
		s.forgetApart()
	}
}

// SetChoices changes how many endpoints of the own and of other data centres one
// decision compares. It does harm to compare many that little is known of: entries
// with the same late news all choose the same.
func (s *Scheduler) SetChoices(local, remote int) {
	if s.cfg.CompareAll {
		return
	}
	s.cfg.LocalChoices = max(local, 1)
	s.cfg.RemoteChoices = max(remote, 1)
}

// SetHome says that the entry is one of so many home entries of an endpoint, or
// with zero that it is none. Home entries split the endpoint's memory in equal
// parts: within its part an entry needs no news of the others, so that stale
// news can't make all of them send at once. Beyond its part, and elsewhere, it
// sends only while the endpoint looks no fuller than BorrowFill.
func (s *Scheduler) SetHome(id string, parts int) {
	if parts == 0 {
		delete(s.homes, id)
	} else {
		s.homes[id] = parts
	}
	if e := s.byID[id]; e != nil && e.parts != parts {
		e.parts = parts
		clear(s.targets)
	}
}

func (s *Scheduler) queue(target string) *queue {
	q := s.queues[target]
	if q == nil {
		q = &queue{typical: math.NaN()}
		s.queues[target] = q
	}
	return q
}

func limitKey(r *Request) limits.Key { return limits.Key{Workspace: r.Workspace, Kind: r.Kind} }

func lengthKey(r *Request) lengths.Key { return lengths.Key{Workspace: r.Workspace, Kind: r.Kind} }

// Progress implements Policy.
func (s *Scheduler) Progress(now time.Time, id ID, generated int) {
	it := s.running[id]
	if it == nil || generated <= it.generated {
		return
	}
	if !it.lastToken.IsZero() {
		it.endpoint.observeGap(now.Sub(it.lastToken) / time.Duration(generated-it.generated))
	}
	if it.generated == 0 {
		s.answered(now, it.endpoint)
		s.noteStart(now, it)
		it.begun()
	}
	it.lastToken = now
	moved := generated/reprojectEvery != it.generated/reprojectEvery
	it.generated = generated
	if it.run.Advance(generated) || moved {
		it.endpoint.take(it, -1)
		it.projection = it.run.Project(it.req.PromptTokens, generated).Bound(generated, it.req.MaxTokens)
		it.endpoint.take(it, 1)
	}
}

// Move implements Policy.
func (s *Scheduler) Move(id ID, life fleet.Instance) {
	it, to := s.running[id], s.live(life)
	if it == nil || to == nil || it.endpoint == to {
		return
	}
	it.begun()
	it.endpoint.take(it, -1)
	it.endpoint.ownRunning--
	it.endpoint = to
	it.lastToken = time.Time{}
	to.take(it, 1)
	to.ownRunning++
}

// Finish implements Policy.
func (s *Scheduler) Finish(now time.Time, id ID, res Result) {
	it := s.running[id]
	if it == nil {
		return
	}
	delete(s.running, id)
	s.inFlight.Release(limitKey(&it.req))
	it.begun()
	e := it.endpoint
	e.take(it, -1)
	e.ownRunning--
	if e.ownRunning == 0 {
		e.own = lengths.Projection{}
	}
	if res.Complete && it.req.PromptTokens > 0 && !s.cfg.ForgetLengths {
		it.run.End(res.Generated)
	}
	if res.Complete {
		s.ran(now, it)
	}
	s.ended(now, e, res)
	s.release(it)
}

// Report implements Policy.
func (s *Scheduler) Report(_ time.Time, r Report) {
	e := s.live(r.Life())
	if e == nil {
		return
	}
	if s.cfg.OthersFromReports {
		e.observeOthers(r)
		return
	}
	if !s.cfg.PeersFromReports {
		e.observe(r)
		return
	}
	e.observePeers(r)
	if e.spec.DataCenter != s.cfg.DataCenter && len(s.reported) < maxReported && !slices.Contains(s.reported, e) {
		s.reported = append(s.reported, e)
	}
}

// PromptSent records that another entry has sent a prompt to an engine; see unread.go.
// Without a rate of reading nothing is recorded.
func (s *Scheduler) PromptSent(now time.Time, endpoint string, tokens int) {
	if e := s.byID[endpoint]; e != nil {
		e.sent(now, tokens, s.readRate(e.spec.Targets[0]))
		s.countPrompt(now, e, tokens)
		if s.cfg.OthersFromReports {
			e.toldOf(now, tokens)
		}
		if s.cfg.ToldReads {
			e.othersUnread.add(now, tokens)
		}
	}
}

// PromptRead records that an engine has read a prompt of another entry.
func (s *Scheduler) PromptRead(now time.Time, endpoint string, tokens int) {
	if e := s.byID[endpoint]; e != nil {
		e.othersUnread.remove(now, tokens)
	}
}

// SetShares implements Policy.
func (s *Scheduler) SetShares(_ time.Time, vm string, shares []Share) {
	if s.cfg.PeersFromReports {
		return
	}
	for _, sh := range s.shares[vm] {
		if e := s.byID[sh.Endpoint]; e != nil {
			e.peers = e.peers.Sub(sh.Projected)
			e.peersRunning -= sh.Running
		}
	}
	if shares == nil {
		delete(s.shares, vm)
		return
	}
	s.shares[vm] = shares
	s.addShares(shares)
}

func (s *Scheduler) addShares(shares []Share) {
	for _, sh := range shares {
		if e := s.byID[sh.Endpoint]; e != nil {
			e.peers = e.peers.Add(sh.Projected)
			e.peersRunning += sh.Running
		}
	}
}

// sumShares counts anew what peers have said of their work. What reports have shown
// of it stays.
func (s *Scheduler) sumShares() {
	if s.cfg.PeersFromReports || s.cfg.OthersFromReports {
		return
	}
	for _, e := range s.endpoints {
		e.peers = lengths.Profile{}
		e.peersRunning = 0
	}
	for _, shares := range s.shares {
		s.addShares(shares)
	}
}

// Shares implements Policy.
func (s *Scheduler) Shares() []Share {
	var out []Share
	for _, e := range s.endpoints {
		if e.ownRunning > 0 {
			out = append(out, Share{e.spec.ID, e.ownRunning, e.own.Mean})
		}
	}
	return out
}
