package peering

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// How entries tell each other of the load of engines: one entry reads an engine, all
// others go by what it tells. It tells the requests that wait beside the memory in use:
// an engine that is slow, or whose memory is full, lets prompts wait for seconds while
// its memory looks half empty. By the memory alone entries sent to an engine with 26,000
// prompt tokens waiting as if there were 7,000, and 18 in 100 long answers began late
// (100 entries before 43 engines of which two fifths were leaving).

const (
	// fillSteps is the resolution of memory in use.
	fillSteps = 64
	// ageStep is the resolution of ages.
	ageStep = 20 * time.Millisecond
)

// LifeHash names a life of an endpoint in few bytes, so that what is told of one life
// can't be taken for another: a name that isn't of a listed life is nobody's. The life of an
// endpoint that tells no start is named by its id alone, as all were by entries of earlier
// versions.
func LifeHash(l fleet.Instance) uint32 {
	name := l.Endpoint
	if l.HasIncarnation() {
		name += "\x00" + strconv.FormatUint(l.Incarnation, 10)
	}
	return uint32(xxhash.Sum64String(name))
}

// loadsOut writes the reports of engines.
func loadsOut(now time.Time, reports map[string]scheduler.Report) *peerv1.Loads {
	out := &peerv1.Loads{}
	for _, id := range slices.Sorted(maps.Keys(reports)) {
		if rep := reports[id]; rep.CapacityTokens > 0 {
			appendLoad(out, now, rep)
		}
	}
	return out
}

func appendLoad(out *peerv1.Loads, now time.Time, rep scheduler.Report) {
	fill := float64(rep.UsedTokens) / float64(rep.CapacityTokens)
	out.Endpoints = append(out.Endpoints, LifeHash(rep.Instance()))
	out.Fills = append(out.Fills, byte(min(max(fill, 0), 2)*fillSteps))
	out.Running = append(out.Running, toByte(rep.Running))
	out.Waiting = append(out.Waiting, toByte(rep.Waiting))
	out.Ages = append(out.Ages, toByte(int(now.Sub(rep.ReportedAt)/ageStep)))
}

func toByte(n int) byte { return byte(min(max(n, 0), math.MaxUint8)) }

// complete reports whether all arrays have their parts; unread may be missing.
func complete(l *peerv1.Loads) bool {
	n := len(l.GetEndpoints())
	for _, part := range [][]byte{l.GetFills(), l.GetRunning(), l.GetWaiting(), l.GetAges()} {
		if len(part) != n {
			return false
		}
	}
	return len(l.GetUnread()) == 0 || len(l.GetUnread()) == n
}

// reportOf makes the report of the i-th engine of complete loads.
func reportOf(now time.Time, e fleet.Endpoint, l *peerv1.Loads, i int) scheduler.Report {
	part := float64(l.GetFills()[i]) / fillSteps
	return scheduler.Report{
		Endpoint:       e.ID,
		Incarnation:    e.Incarnation,
		ReportedAt:     now.Add(-time.Duration(l.GetAges()[i]) * ageStep),
		UsedTokens:     int(part * float64(e.CapacityTokens)),
		CapacityTokens: e.CapacityTokens,
		Running:        int(l.GetRunning()[i]),
		Waiting:        int(l.GetWaiting()[i]),
	}
}

// lifeOf finds the endpoint of which a listed life has a hash, or returns nil. The caller holds the
// lock and doesn't change it.
func (b *Beliefs) lifeOf(hash uint32) *fleet.Endpoint {
	i, known := b.byHash[hash]
	if !known {
		return nil
	}
	return &b.list.Endpoints[i]
}

// eachLoad gives the reports of complete loads about endpoints that are listed, with their
// places.
func (b *Beliefs) eachLoad(now time.Time, l *peerv1.Loads, take func(i int, r scheduler.Report)) {
	for i, hash := range l.GetEndpoints() {
		if e := b.lifeOf(hash); e != nil {
			take(i, reportOf(now, *e, l, i))
		}
	}
}

// applyLoads takes what a peer says of engines that this entry doesn't read itself.
func (b *Beliefs) applyLoads(now time.Time, p scheduler.Policy, l *peerv1.Loads) {
	if !complete(l) {
		return
	}
	b.eachLoad(now, l, func(_ int, r scheduler.Report) {
		if !b.homes[r.Endpoint] {
			p.Report(now, r)
		}
	})
}

// maxTold bounds the engines of one message about a data centre's loads, so that it fits
// a datagram: 12 bytes each. Larger data centres tell a part at a time.
const maxTold = 100

// Loads says how busy the engines of the own data centre are, for entries of others.
// pick, which gives a number below its argument, chooses a part if there are many.
func (b *Beliefs) Loads(pick func(below int) int) *peerv1.Loads {
	out := &peerv1.Loads{}
	b.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		for _, l := range part(s.LocalLoads(now), pick) {
			appendLoad(out, now, l.Report)
			out.Unread = append(out.Unread, uint32(l.PendingPrefillTokens))
		}
	})
	return out
}

// part returns at most maxTold of the loads.
func part(all []scheduler.Load, pick func(below int) int) []scheduler.Load {
	if len(all) <= maxTold {
		return all
	}
	first := pick(len(all))
	return slices.Concat(all[first:], all[:first])[:maxTold]
}

// TakeLoads takes what an entry of another data centre says of the engines there.
func (b *Beliefs) TakeLoads(l *peerv1.Loads) {
	if !complete(l) || len(l.GetUnread()) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		b.eachLoad(now, l, func(i int, r scheduler.Report) {
			s.SetRemoteLoad(now, scheduler.Load{Report: r, PendingPrefillTokens: int(l.GetUnread()[i])})
		})
	})
}
