package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/enginespeed"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Condition handled here: the engines of the own data centre are full, and other data centres have
// free capacity. An entry of a large fleet is notified only of the prompts that go to engines of
// its own data centre. If engines of unknown load counted as empty, those of other data centres
// would attract too much: with 100 entries and 43 engines, of which two fifths were leaving, they
// received 70% of the long prompts, and 47% of the answers that started there were late (19%
// elsewhere). So entries publish the load of their data centre's engines to those of other data
// centres, and send to a remote engine only while a recent report of it is known.

// maxRemoteReportAge is the age at which the report of an engine of another data centre is stale.
// Reports arrive twice a second on average, so that few engines are excluded while the data
// centres are connected. Prompts are processed within half a second, so a much older report
// doesn't show the current backlog.
const maxRemoteReportAge = 3 * time.Second

// Load is the load of an engine, as it is published to other data centres.
type Load struct {
	Report
	// PendingPrefillTokens counts the prompt tokens that all entries have sent to the engine and
	// that it has presumably not processed.
	PendingPrefillTokens int
	// Speed is what is known of the engine's speed; zero if nothing is.
	Speed enginespeed.Observation
}

// LocalLoads returns the loads of the engines of the own data centre that are not leaving and
// have a recent report, for entries of other data centres.
func (s *Scheduler) LocalLoads(now time.Time) []Load {
	var loads []Load
	for _, e := range s.endpoints {
		if e.spec.DataCenter != s.cfg.DataCenter || e.spec.CapacityTokens == 0 || e.leaving || !e.loadKnown(now) {
			continue
		}
		loads = append(loads, Load{
			Report:               e.report,
			PendingPrefillTokens: int(s.prefillBacklog(now, e)),
			Speed:                s.KnownEngineSpeed(now, e.spec.Instance()),
		})
	}
	return loads
}

// Idle reports whether an engine has presumably no work: the last report shows none, and no prompt
// of this entry or announced by a peer is running or pending there.
func (s *Scheduler) Idle(now time.Time, instance fleet.Instance) bool {
	e := s.endpointOf(instance)
	return e != nil && !e.report.ReportedAt.IsZero() && e.report.Running == 0 && e.report.Waiting == 0 &&
		e.ownRunning == 0 && e.peersRunning == 0 && s.pendingPrefillTokens(now, e) == 0
}

// SetRemoteLoad applies the load of an engine of another data centre, as published by an entry
// there. Its pending prefill tokens include those of this entry, which are subtracted. The
// rest stays constant until the next load arrives: while the engine processes prompts, peers send
// it others.
func (s *Scheduler) SetRemoteLoad(now time.Time, l Load) {
	e := s.endpointOf(l.Instance())
	if e == nil || e.spec.DataCenter == s.cfg.DataCenter {
		return
	}
	s.Report(now, l.Report)
	e.remoteLoadAt = now
	if s.speeds != nil && l.Speed != (enginespeed.Observation{}) {
		s.speeds.Apply(now, l.Instance(), e.speedTarget(), l.Speed)
	}
	e.peerPendingPrefill.replace(now, max(float64(l.PendingPrefillTokens)-e.ownPendingPrefill, 0))
}

// loadKnown reports whether the last report of an engine is recent. It is always true for plain
// services, which report no load.
func (e *endpoint) loadKnown(now time.Time) bool {
	return e.spec.CapacityTokens == 0 || now.Sub(e.report.ReportedAt) <= maxRemoteReportAge
}

// remoteCandidates returns the engines of other data centres that a prompt may be sent to: those
// whose load is known, or all if every endpoint of the own data centre is leaving. The slice is
// valid until the next call.
func (s *Scheduler) remoteCandidates(now time.Time, t *target) []*endpoint {
	if !s.cfg.RequireRemoteReports || !t.hasLocalEngine() {
		return t.remoteEngines
	}
	if s.learnsEngineSpeed() {
		return t.recentKnownRemotes(now)
	}
	s.knownRemotes = appendKnown(s.knownRemotes[:0], now, t.remoteEngines)
	return s.knownRemotes
}

// appendKnown appends the engines whose load is known.
func appendKnown(known []*endpoint, now time.Time, engines []*endpoint) []*endpoint {
	for _, e := range engines {
		if e.loadKnown(now) {
			known = append(known, e)
		}
	}
	return known
}

// recentKnownRemotes returns the engines of other data centres whose load was known at most
// minBacklogRefresh ago. With 1,200 engines, looking at all of them takes a quarter of a decision.
func (t *target) recentKnownRemotes(now time.Time) []*endpoint {
	if t.knownRemotesAt.IsZero() || now.Sub(t.knownRemotesAt) >= minBacklogRefresh {
		t.knownRemotesAt = now
		t.knownRemotes = appendKnown(t.knownRemotes[:0], now, t.remoteEngines)
	}
	return t.knownRemotes
}

// remoteLoadUnknown reports whether an engine of another data centre is excluded because its
// load is unknown.
func (s *Scheduler) remoteLoadUnknown(now time.Time, e *endpoint) bool {
	return s.cfg.RequireRemoteReports && e.spec.DataCenter != s.cfg.DataCenter && !e.loadKnown(now)
}

// hasLocalEngine reports whether the own data centre has an endpoint that is not leaving.
func (t *target) hasLocalEngine() bool {
	for _, list := range [...][]*endpoint{t.homes, t.local} {
		for _, e := range list {
			if !e.leaving {
				return true
			}
		}
	}
	return false
}
