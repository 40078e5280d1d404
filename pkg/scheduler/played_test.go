package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
	"github.com/bridgehoist/bridgehoist/pkg/table"
)

// The engines of the played load: each reads one prompt after the other, urgent ones
// first, and makes the answers it has begun beside it.
const (
	playedReadRate = 7000.0
	playedStep     = 10 * time.Millisecond
	playedAnswer   = 6 * time.Second
)

// call is one request of the played load, with what its caller got.
type call struct {
	id      scheduler.ID
	prompt  float64
	row     table.Row
	arrived time.Time
	begun   time.Time
	refused time.Time
}

func (c *call) urgent() bool { return c.row.Priority >= scheduler.UrgentPriority }

func (c *call) inTime() bool {
	return !c.begun.IsZero() && c.begun.Sub(c.arrived) <= c.row.Objective
}

// playedEngine reads prompts.
type playedEngine struct {
	spec    fleet.Endpoint
	waiting []*call
	reading *call
	left    float64
	running map[*call]time.Time
	// inTurn says that it reads prompts in the order in which they came.
	inTurn bool
}

// next takes the prompt that is read next.
func (e *playedEngine) next() {
	best := -1
	for i, c := range e.waiting {
		if best < 0 || c.urgent() && !e.waiting[best].urgent() && !e.inTurn {
			best = i
		}
	}
	if best < 0 {
		return
	}
	e.reading = e.waiting[best]
	e.left = e.reading.prompt
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
}

func (e *playedEngine) report(now time.Time) scheduler.Report {
	used := 0.0
	for c := range e.running {
		used += c.prompt
	}
	return scheduler.Report{Endpoint: e.spec.ID, Incarnation: 1, At: now, UsedTokens: int(used),
		CapacityTokens: e.spec.CapacityTokens, Running: len(e.running), Waiting: len(e.waiting)}
}

// played is a load on some entries before some engines, in virtual time.
type played struct {
	now     time.Time
	rng     *rand.Rand
	entries []*scheduler.Scheduler
	engines []*playedEngine
	calls   []*call
	byEntry []map[scheduler.ID]*call
	// readRate is how many prompt tokens an engine reads a second.
	readRate float64
}

const playedEntries = 3

func newPlayed(version string, seed uint64) *played {
	p := &played{now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), readRate: playedReadRate}
	var specs []fleet.Endpoint
	for i := range 6 {
		spec := engine(fmt.Sprintf("e%d", i), "dc0")
		spec.CapacityTokens = 200_000 // Reading is what is short here.
		spec.MaxRunning = 200
		specs = append(specs, spec)
		p.engines = append(p.engines, &playedEngine{spec: spec, running: map[*call]time.Time{}})
	}
	for i := range playedEntries {
		cfg := scheduler.Version(version)
		cfg.DataCenter = "dc0"
		cfg.Rand = rand.New(rand.NewPCG(seed, uint64(i)))
		cfg.LocalSampleSize = 4
		s := scheduler.New(cfg)
		s.SetEndpoints(p.now, specs)
		p.entries = append(p.entries, s)
		p.byEntry = append(p.byEntry, map[scheduler.ID]*call{})
	}
	return p
}

var (
	longRow = table.Row{Target: "m", Weight: 1, Priority: 6, MaxInFlight: 1000, MaxQueued: 1000,
		Objective: 1800 * time.Millisecond, MaxQueueTime: 20 * time.Second, Timeout: 39 * time.Second}
	shortRow = table.Row{Target: "m", Weight: 1, Priority: 9, MaxInFlight: 1000, MaxQueued: 1000,
		Objective: 1500 * time.Millisecond, MaxQueueTime: 3 * time.Second, Timeout: 6 * time.Second}
)

// play runs the load, at a rate of each kind a second that may change.
func (p *played) play(length time.Duration, rate func(at time.Duration) float64) {
	begun := p.now
	for step := 0; p.now.Sub(begun) < length; step++ {
		for _, row := range []table.Row{longRow, shortRow} {
			if p.rng.Float64() < rate(p.now.Sub(begun))*playedStep.Seconds() {
				p.arrive(row)
			}
		}
		for i := range p.entries {
			p.pump(i)
		}
		for i, e := range p.engines {
			p.work(e)
			if step%120 == i {
				for _, s := range p.entries {
					s.Report(p.now, e.report(p.now))
				}
			}
		}
		p.now = p.now.Add(playedStep)
	}
}

func (p *played) arrive(row table.Row) {
	prompt := 2200.0
	if row.Priority < scheduler.UrgentPriority {
		prompt = 3000
	}
	c := &call{id: scheduler.ID(len(p.calls) + 1), prompt: prompt, row: row, arrived: p.now}
	p.calls = append(p.calls, c)
	at := p.rng.IntN(len(p.entries))
	err := p.entries[at].Submit(p.now, scheduler.Request{ID: c.id, Kind: row.Target, Row: row, PromptTokens: int(prompt), Arrived: p.now})
	if err != nil {
		c.refused = p.now
		return
	}
	p.byEntry[at][c.id] = c
}

// pump carries out what an entry decides, and tells the others of prompts.
func (p *played) pump(entry int) {
	actions := p.entries[entry].Next(p.now)
	for _, r := range actions.Refusals {
		p.byEntry[entry][r.ID].refused = p.now
	}
	for _, d := range actions.Dispatches {
		c := p.byEntry[entry][d.ID]
		for _, e := range p.engines {
			if e.spec.ID == d.Endpoint.ID {
				e.waiting = append(e.waiting, c)
			}
		}
		for i, other := range p.entries {
			if i != entry {
				other.PromptSent(p.now, d.Endpoint.ID, int(c.prompt))
			}
		}
	}
}

// work reads and answers for one step.
func (p *played) work(e *playedEngine) {
	for c, until := range e.running {
		if !p.now.Before(until) {
			delete(e.running, c)
			p.tell(c, func(s *scheduler.Scheduler) { s.Finish(p.now, c.id, scheduler.Result{Complete: true, Generated: 500}) })
		}
	}
	if e.reading == nil {
		e.next()
	}
	if e.reading == nil {
		return
	}
	e.left -= p.readRate * playedStep.Seconds()
	if e.left > 0 {
		return
	}
	c := e.reading
	e.reading = nil
	c.begun = p.now
	e.running[c] = p.now.Add(playedAnswer)
	p.tell(c, func(s *scheduler.Scheduler) { s.Progress(p.now, c.id, 1) })
	for i, s := range p.entries {
		if p.byEntry[i][c.id] == nil {
			s.PromptRead(p.now, e.spec.ID, int(c.prompt))
		}
	}
}

// tell calls the entry that has sent a request.
func (p *played) tell(c *call, do func(*scheduler.Scheduler)) {
	for i, calls := range p.byEntry {
		if calls[c.id] != nil {
			do(p.entries[i])
		}
	}
}

// got sums up what the callers of one kind got.
type got struct{ asked, inTime, late, refused int }

func (p *played) got(urgent bool) got {
	var g got
	for _, c := range p.calls {
		if c.urgent() != urgent {
			continue
		}
		g.asked++
		switch {
		case !c.refused.IsZero():
			g.refused++
		case c.inTime():
			g.inTime++
		default:
			g.late++
		}
	}
	return g
}

func (p *played) anyPressed() bool {
	return slices.ContainsFunc(p.entries, func(s *scheduler.Scheduler) bool { return s.Pressed(p.now) })
}

// expectNobodyHeld checks that who is refused has not waited for it.
func (p *played) expectNobodyHeld(g *WithT) {
	for _, c := range p.calls {
		if !c.refused.IsZero() {
			g.Expect(c.refused.Sub(c.arrived)).To(BeNumerically("<=", c.row.Objective/8))
		}
	}
}
