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

// Entries gossip the load of engines: the home entries of an engine poll it, and all other
// entries use their reports. A report contains the number of waiting requests besides the memory
// in use, since prompts can wait for seconds at a slow engine while half its memory is free. With
// the memory alone, entries treated an engine with 26,000 waiting prompt tokens as if it had
// 7,000, and 18% of the long answers started late (100 entries, 43 engines, two fifths of them
// leaving).

const (
	// utilizationSteps is the number of steps that encode a memory utilization of 1. Utilizations
	// up to 2 are encoded.
	utilizationSteps = 64
	// ageStep is the resolution of encoded report ages.
	ageStep = 20 * time.Millisecond
)

// InstanceHash identifies an endpoint instance in four bytes, so that a report of one instance is
// not applied to another: hashes of unlisted instances are ignored. For an unknown incarnation
// the hash is that of the endpoint ID alone, as entries of earlier versions compute it for all
// endpoints.
func InstanceHash(instance fleet.Instance) uint32 {
	name := instance.Endpoint
	if instance.HasIncarnation() {
		name += "\x00" + strconv.FormatUint(instance.Incarnation, 10)
	}
	return uint32(xxhash.Sum64String(name))
}

// encodeLoads encodes the reports of engines with a known capacity, in the order of their IDs.
func encodeLoads(now time.Time, reports map[string]scheduler.Report) *peerv1.Loads {
	loads := &peerv1.Loads{}
	for _, id := range slices.Sorted(maps.Keys(reports)) {
		if rep := reports[id]; rep.CapacityTokens > 0 {
			appendLoad(loads, now, rep)
		}
	}
	return loads
}

func appendLoad(loads *peerv1.Loads, now time.Time, rep scheduler.Report) {
	utilization := float64(rep.UsedTokens) / float64(rep.CapacityTokens)
	loads.Endpoints = append(loads.Endpoints, InstanceHash(rep.Instance()))
	loads.Fills = append(loads.Fills, byte(min(max(utilization, 0), 2)*utilizationSteps))
	loads.Running = append(loads.Running, toByte(rep.Running))
	loads.Waiting = append(loads.Waiting, toByte(rep.Waiting))
	loads.Ages = append(loads.Ages, toByte(int(now.Sub(rep.ReportedAt)/ageStep)))
}

func toByte(n int) byte { return byte(min(max(n, 0), math.MaxUint8)) }

// hasEqualLengths reports whether all arrays have one element per endpoint. Unread, the pending
// prefill tokens, may be empty.
func hasEqualLengths(l *peerv1.Loads) bool {
	n := len(l.GetEndpoints())
	for _, array := range [][]byte{l.GetFills(), l.GetRunning(), l.GetWaiting(), l.GetAges()} {
		if len(array) != n {
			return false
		}
	}
	return len(l.GetUnread()) == 0 || len(l.GetUnread()) == n
}

// decodeReport decodes the i-th report of loads whose arrays have equal lengths.
func decodeReport(now time.Time, e fleet.Endpoint, l *peerv1.Loads, i int) scheduler.Report {
	utilization := float64(l.GetFills()[i]) / utilizationSteps
	return scheduler.Report{
		Endpoint:       e.ID,
		Incarnation:    e.Incarnation,
		ReportedAt:     now.Add(-time.Duration(l.GetAges()[i]) * ageStep),
		UsedTokens:     int(utilization * float64(e.CapacityTokens)),
		CapacityTokens: e.CapacityTokens,
		Running:        int(l.GetRunning()[i]),
		Waiting:        int(l.GetWaiting()[i]),
	}
}

// endpointByHash returns the endpoint whose listed instance has the given InstanceHash, or nil.
// The caller holds the lock and must not modify the endpoint.
func (cs *ClusterState) endpointByHash(hash uint32) *fleet.Endpoint {
	i, known := cs.indexByHash[hash]
	if !known {
		return nil
	}
	return &cs.list.Endpoints[i]
}

// forEachReport calls apply with the index and report of each listed instance in loads whose
// arrays have equal lengths.
func (cs *ClusterState) forEachReport(now time.Time, l *peerv1.Loads, apply func(i int, r scheduler.Report)) {
	for i, hash := range l.GetEndpoints() {
		if e := cs.endpointByHash(hash); e != nil {
			apply(i, decodeReport(now, *e, l, i))
		}
	}
}

// applyLoads applies the reports of a peer about engines that this entry does not poll itself.
func (cs *ClusterState) applyLoads(now time.Time, p scheduler.Policy, l *peerv1.Loads) {
	if !hasEqualLengths(l) {
		return
	}
	cs.forEachReport(now, l, func(_ int, r scheduler.Report) {
		if !cs.homeEndpoints[r.Endpoint] {
			p.Report(now, r)
		}
	})
}

// maxLoadsPerMessage bounds the engines in one load datagram so that it is not fragmented, at 15
// bytes per engine, 4 of which are its speed. Entries of larger data centres send a part of the
// engines at a time.
const maxLoadsPerMessage = 90

// LocalLoads returns the loads of the engines of the own data centre, to be sent to other data
// centres. If there are more than maxLoadsPerMessage, pick, which returns a number in [0, n),
// selects the first engine.
func (cs *ClusterState) LocalLoads(pick func(n int) int) *peerv1.Loads {
	loads := &peerv1.Loads{}
	cs.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		for _, l := range selectLoads(s.LocalLoads(now), pick) {
			appendLoad(loads, now, l.Report)
			loads.Unread = append(loads.Unread, uint32(l.PendingPrefillTokens))
			appendSpeed(loads, l.Speed)
		}
	})
	return loads
}

// selectLoads returns at most maxLoadsPerMessage loads from the picked one on, wrapping around.
func selectLoads(loads []scheduler.Load, pick func(n int) int) []scheduler.Load {
	if len(loads) <= maxLoadsPerMessage {
		return loads
	}
	start := pick(len(loads))
	return slices.Concat(loads[start:], loads[:start])[:maxLoadsPerMessage]
}

// SetRemoteLoads applies the loads of the engines of another data centre, received from an entry
// there.
func (cs *ClusterState) SetRemoteLoads(l *peerv1.Loads) {
	if !hasEqualLengths(l) || len(l.GetUnread()) == 0 {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.dispatcher.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) {
		cs.forEachReport(now, l, func(i int, r scheduler.Report) {
			s.SetRemoteLoad(now, scheduler.Load{Report: r, PendingPrefillTokens: int(l.GetUnread()[i]), Speed: decodeLoadSpeed(l, i)})
		})
	})
}
