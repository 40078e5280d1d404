package peering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// homed is a policy that splits endpoints among their home entries.
type homed interface {
	SetHome(endpoint string, parts int)
}

// HomeEntries is among how many entries of its data centre the memory of an
// engine is split by default.
const HomeEntries = 3

// homesEvery is how often the home entries are computed anew.
const homesEvery = 2 * time.Second

// Polled takes a load report that this entry has read itself. One of another life than the
// list shows tells of nothing but a leave: it is late, or the list is, and then its load
// comes with the next.
func (b *Beliefs) Polled(r scheduler.Report, draining bool) {
	b.mu.Lock()
	if b.homes[r.Endpoint] && b.isListed(r.Instance()) {
		b.reports[r.Endpoint] = r
		b.readAt[r.Endpoint] = clock.Now()
		b.newReports = true
	}
	b.mu.Unlock()
	b.dispatcher.Update(func(now time.Time, p scheduler.Policy) { p.Report(now, r) })
	if draining {
		b.Leave(drain.Leave{Endpoint: r.Endpoint, Incarnation: r.Incarnation}, SourceEndpoint)
	}
}

// isListed reports whether the list shows a life. The caller holds the lock.
func (b *Beliefs) isListed(l fleet.Instance) bool {
	if b.list == nil {
		return false
	}
	e, listed := b.list.Endpoint(l.Endpoint)
	return listed && e.Instance() == l
}

// spillPolls bounds the endpoints of other data centres whose load is read for
// one target while requests wait for it.
const spillPolls = 4

// ToPoll lists the endpoints that this entry reads the load of: the engines
// that it is a home entry of and, while requests wait, a few of other data
// centres, where work may go that has no room here.
func (b *Beliefs) ToPoll(now time.Time) []fleet.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.list == nil {
		return nil
	}
	b.renewHomes(now)
	var out []fleet.Endpoint
	for _, e := range b.list.Endpoints {
		switch {
		case e.Type != fleet.Engine || !b.homes[e.ID]:
			b.forgetReport(e.ID)
		case !b.stillIdle(now, e.Instance()):
			out = append(out, e)
		}
	}
	for _, target := range b.waitingTargets() {
		out = append(out, b.spillTargets(target)...)
	}
	return out
}

// IdleReadEvery is how often an engine is read by default that is taken to hold no work. News of
// prompts is lost now and then.
const IdleReadEvery = 10 * time.Second

// SetIdleReadEvery sets another interval than IdleReadEvery.
func (b *Beliefs) SetIdleReadEvery(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idleReadEvery = d
}

// stillIdle reports whether an engine needn't be read: it held no work when this entry read it, and
// nobody has told of any since. The report then holds as of now, so that reads grow with the work
// and not with the engines.
func (b *Beliefs) stillIdle(now time.Time, l fleet.Instance) (idle bool) {
	read, known := b.readAt[l.Endpoint]
	r, held := b.reports[l.Endpoint]
	if !known || !held || r.Instance() != l || now.Sub(read) >= b.idleReadEvery {
		return false
	}
	b.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		if idle = s.Idle(now, l); idle {
			r.ReportedAt = now
			s.Report(now, r)
		}
	})
	if idle {
		b.reports[l.Endpoint] = r
		b.newReports = true
	}
	return idle
}

func (b *Beliefs) forgetReport(endpoint string) {
	if _, held := b.reports[endpoint]; held {
		delete(b.reports, endpoint)
		delete(b.readAt, endpoint)
		b.newReports = true
	}
}

func (b *Beliefs) waitingTargets() (out []string) {
	b.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { out = s.WaitingTargets() })
	return out
}

// spillTargets picks engines of other data centres, always the same ones for
// this entry, and others for other entries.
func (b *Beliefs) spillTargets(target string) []fleet.Endpoint {
	self := b.view.Self()
	own := xxhash.Sum64String("spill/" + self.GetVm())
	type ranked struct {
		rank uint64
		at   int
	}
	var first []ranked
	for i := range b.list.Endpoints {
		e := &b.list.Endpoints[i]
		if e.Type != fleet.Engine || e.DataCenter == self.GetDataCenter() || !slices.Contains(e.Targets, target) {
			continue
		}
		r := ranked{membership.RendezvousScoreOfHashes(xxhash.Sum64String(e.ID), own), i}
		at, _ := slices.BinarySearchFunc(first, r, func(x, y ranked) int { return cmp.Compare(x.rank, y.rank) })
		if at < spillPolls {
			first = slices.Insert(first, at, r)
			first = first[:min(len(first), spillPolls)]
		}
	}
	var out []fleet.Endpoint
	for _, r := range first {
		out = append(out, b.list.Endpoints[r.at])
	}
	return out
}

// PromptSent takes the news that another entry has sent a prompt to an engine.
func (b *Beliefs) PromptSent(lifeHash uint32, tokens int) {
	b.onPrompt(lifeHash, func(now time.Time, c promptCounter, id string) { c.PromptSent(now, id, tokens) })
}

// PromptRead takes the news that an engine has read a prompt of another entry.
func (b *Beliefs) PromptRead(lifeHash uint32, tokens int) {
	b.onPrompt(lifeHash, func(now time.Time, c promptCounter, id string) { c.PromptPrefilled(now, id, tokens) })
}

func (b *Beliefs) onPrompt(lifeHash uint32, take func(now time.Time, c promptCounter, id string)) {
	// Held until it is counted: the endpoint may start again meanwhile.
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.lifeOf(lifeHash)
	if e == nil {
		return
	}
	b.dispatcher.View(func(now time.Time, p scheduler.Policy) {
		if c, ok := p.(promptCounter); ok {
			take(now, c, e.ID)
		}
	})
}

// promptCounter is a policy that counts what engines have still to read.
type promptCounter interface {
	PromptSent(now time.Time, endpoint string, tokens int)
	PromptPrefilled(now time.Time, endpoint string, tokens int)
}

// NoticeAddresses lists where the other live entries take notices, by data centre.
func (b *Beliefs) NoticeAddresses(now time.Time) map[string][]netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string][]netip.AddrPort{}
	for _, m := range b.view.Members(now) {
		address, err := netip.ParseAddrPort(m.Record.GetNoticeAddress())
		if err != nil || m.Status != membership.Alive {
			// It takes none, or it may be gone.
			continue
		}
		out[m.DataCenter] = append(out[m.DataCenter], address)
	}
	return out
}

// Assigned reports whether this entry does a shared job of its data centre.
func (b *Beliefs) Assigned(now time.Time, name string, count int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Assigned(now, name, count)
}

// ReadersAbove counts the live entries of the data centre that rank above this one for a job on
// the platform's store, and those of them that are known to do it: they have been heard lately,
// and have not told that they lost the store.
func (b *Beliefs) ReadersAbove(now time.Time, job string, lately time.Duration) (all, reading int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.HigherRanked(now, job, func(m membership.Member) bool {
		return m.Age < lately && !m.Record.GetStoreLost()
	})
}

// LocalSize counts the live entries of the data centre, this one included.
func (b *Beliefs) LocalSize(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.LocalSize(now)
}

// renewHomes tells the scheduler now and then which endpoints this entry is a
// home entry of.
func (b *Beliefs) renewHomes(now time.Time) {
	if b.list == nil || now.Sub(b.homesAt) < homesEvery {
		return
	}
	b.homesAt = now
	ranking := b.view.Ranking(now)
	clear(b.homes)
	b.dispatcher.View(func(_ time.Time, p scheduler.Policy) {
		h, ok := p.(homed)
		for _, e := range b.list.Endpoints {
			parts := b.partsOf(&e, ranking)
			if parts > 0 {
				b.homes[e.ID] = true
			}
			if ok {
				h.SetHome(e.ID, parts)
			}
		}
	})
}

// partsOf says among how many entries an endpoint is split; zero if this entry
// is none of them. A plain service is split among all of the data centre.
func (b *Beliefs) partsOf(e *fleet.Endpoint, ranking membership.Ranking) int {
	if e.DataCenter != b.view.Self().GetDataCenter() {
		return 0
	}
	if e.Type == fleet.Service {
		return ranking.Size()
	}
	if !ranking.Assigned(e.ID, b.homeEntries) {
		return 0
	}
	return min(ranking.Size(), b.homeEntries)
}
