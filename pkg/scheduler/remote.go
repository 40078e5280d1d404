package scheduler

import (
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// The load that this file answers: the engines of the own data centre are full, and other
// data centres have room. An entry of a large fleet is told of the prompts that go to the
// engines of its own data centre only. Taken for empty because nothing is known of them,
// the engines of the others drew 70 in 100 long prompts while two fifths of all engines
// were leaving, and of those that began there 47 in 100 began late (19 in 100 of the
// others; 100 entries, 43 engines). So each entry is told now and then how busy the
// engines of the other data centres are, and sends there only by such news.

// remoteKnownFor is how old the news of an engine of another data centre may be. Entries
// tell theirs twice a second on average, so that it is seldom missed while the data
// centres reach each other; much older news says nothing of prompts that are read within
// half a second.
const remoteKnownFor = 3 * time.Second

// Load is how busy an engine is.
type Load struct {
	Report
	// Unread counts the prompt tokens that it was sent and is taken not to have read.
	Unread int
}

// Loads tells the loads of the engines of the own data centre that may get new work, for
// entries of other data centres.
func (s *Scheduler) Loads(now time.Time) []Load {
	var out []Load
	for _, e := range s.endpoints {
		if e.spec.DataCenter != s.cfg.DataCenter || e.spec.CapacityTokens == 0 || e.leaving || !e.known(now) {
			continue
		}
		out = append(out, Load{Report: e.report, Unread: int(s.backlog(now, e))})
	}
	return out
}

// Idle reports whether an engine is taken to hold no work: the last report shows none, and neither
// this entry nor one that told it has sent anything since.
func (s *Scheduler) Idle(now time.Time, l fleet.Instance) bool {
	e := s.live(l)
	return e != nil && !e.report.At.IsZero() && e.report.Running == 0 && e.report.Waiting == 0 &&
		e.ownRunning == 0 && e.peersRunning == 0 && s.unreadOf(now, e) == 0
}

// TakeLoad takes what an entry of another data centre tells of an engine there. It knows
// the prompts that all entries have sent there, this one's too. Until the next news they
// count as they are: others send there as well while the engine reads.
func (s *Scheduler) TakeLoad(now time.Time, l Load) {
	e := s.live(l.Life())
	if e == nil || e.spec.DataCenter == s.cfg.DataCenter {
		return
	}
	s.Report(now, l.Report)
	e.othersUnread.replace(now, max(float64(l.Unread)-e.unread, 0))
}

// known reports whether the last report of an engine says how busy it is now.
func (e *endpoint) known(now time.Time) bool {
	return e.spec.CapacityTokens == 0 || now.Sub(e.report.At) <= remoteKnownFor
}

// remoteChoices lists the engines of other data centres that a prompt may go to: those
// whose load is known, or all if the own data centre has none that stays.
func (s *Scheduler) remoteChoices(now time.Time, t *target) []*endpoint {
	if !s.cfg.KnownRemotes || !t.staysLocal() {
		return t.remoteEngines
	}
	s.known = s.known[:0]
	for _, e := range t.remoteEngines {
		if e.known(now) {
			s.known = append(s.known, e)
		}
	}
	return s.known
}

// unknownRemote reports whether nothing is known of an engine of another data centre.
func (s *Scheduler) unknownRemote(now time.Time, e *endpoint) bool {
	return s.cfg.KnownRemotes && e.spec.DataCenter != s.cfg.DataCenter && !e.known(now)
}

// staysLocal reports whether an engine of the own data centre takes new work.
func (t *target) staysLocal() bool {
	for _, list := range [...][]*endpoint{t.homes, t.local} {
		for _, e := range list {
			if !e.leaving {
				return true
			}
		}
	}
	return false
}
