package gateway

import (
	"math/rand/v2"
	"time"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/notices"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/readership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// announcePrompt announces to the entries of an engine's data centre that a prompt is sent there. The
// returned function announces that the engine has prefilled it.
func (g *Gateway) announcePrompt(to fleet.Endpoint, promptTokens int) (prefilled func()) {
	if g.notices == nil || g.cfg.Without.has(mechNotices) {
		return func() {}
	}
	p := g.notices.AnnouncePrompt(to.DataCenter, peering.InstanceHash(to.Instance()), promptTokens)
	g.metrics.Notices.WithLabelValues("told").Add(float64(p.Notified))
	g.metrics.Notices.WithLabelValues("left_out").Add(float64(p.Skipped))
	return func() { p.AnnouncePrefilled(g.beliefs.OwnEngineSpeed(to.Instance())) }
}

// speedEvent is the event of an answer after which the speed of its engine is announced to peers: the
// first ones show the time to the first token and the time between events.
const speedEvent = 8

// onEvents announces the speed of an engine to the entries of its data centre, after the eighth event
// of an answer and when a transient slowdown begins or ends.
func (g *Gateway) onEvents(at fleet.Endpoint, before, events int) {
	if at.Type != fleet.Engine || g.notices == nil || g.cfg.Without.has(mechNotices) {
		return
	}
	speed := g.beliefs.EngineSpeedNotice(at.Instance(), before < speedEvent && events >= speedEvent)
	if speed == nil {
		return
	}
	notified, skipped := g.notices.AnnounceSpeed(at.DataCenter, speed)
	g.metrics.Notices.WithLabelValues("speeds_told").Add(float64(notified))
	g.metrics.Notices.WithLabelValues("speeds_left_out").Add(float64(skipped))
}

// onSpeed applies another entry's observation of an engine's speed.
func (g *Gateway) onSpeed(instanceHash uint32, speed *peerv1.EngineSpeed) {
	g.metrics.Notices.WithLabelValues("speeds_heard").Inc()
	g.beliefs.ApplyEngineSpeed(instanceHash, speed)
}

// onPromptSent records that another entry has sent a prompt to an engine.
func (g *Gateway) onPromptSent(instanceHash uint32, tokens int) {
	g.metrics.Notices.WithLabelValues("heard").Inc()
	g.beliefs.PromptSent(instanceHash, tokens)
}

// onPromptPrefilled records that an engine has prefilled a prompt of another entry.
func (g *Gateway) onPromptPrefilled(instanceHash uint32, tokens int) {
	g.metrics.Notices.WithLabelValues("read_heard").Inc()
	g.beliefs.PromptPrefilled(instanceHash, tokens)
}

// announceLoads sends the loads of the local engines to an entry of each other data centre. In a small
// fleet it does nothing, since there prompts and their prefills are announced to all entries.
func (g *Gateway) announceLoads() {
	if g.notices == nil || g.small.Load() || g.cfg.Without.has(mechLoadNews) {
		return
	}
	notified := g.notices.AnnounceLoads(g.vm.DataCenter, g.beliefs.LocalLoads(rand.IntN), rand.IntN)
	g.metrics.Notices.WithLabelValues("loads_told").Add(float64(notified))
}

// onLoads applies the loads of the engines of another data centre.
func (g *Gateway) onLoads(l *peerv1.Loads) {
	g.metrics.Notices.WithLabelValues("loads_heard").Inc()
	g.beliefs.SetRemoteLoads(l)
}

// adaptToSize adapts the scheduler's sample sizes and the recipients of notices to the number of entries.
func (g *Gateway) adaptToSize() {
	entries := 1
	g.beliefs.WithView(func(v *membership.View) { entries += len(v.Members(clock.Now())) })
	small := entries <= smallView
	g.small.Store(small)
	if g.notices != nil {
		g.notices.SetPeers(g.beliefs.NoticeAddresses(clock.Now()), small)
	}
	local, remote := localOfMany, remoteOfMany
	if small {
		local, remote = localOfFew, remoteOfFew
	}
	g.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { s.SetSampleSizes(local, remote) })
}

// announceReservations announces to the entries of a data centre which room at its engines is
// reserved for generations that are to be copied there.
func (g *Gateway) announceReservations(dataCenter string, reservations []notices.Reservation) notices.SentReservations {
	if g.notices == nil || g.cfg.Without.has(mechNotices) {
		return notices.SentReservations{}
	}
	sent := g.notices.AnnounceReservations(dataCenter, reservations)
	g.metrics.ReservationNotices.WithLabelValues("sent").Add(float64(sent.Notified))
	g.metrics.ReservationNotices.WithLabelValues("skipped").Add(float64(sent.Skipped))
	return sent
}

// onReservations applies the reservations that another entry has announced.
func (g *Gateway) onReservations(reservations []notices.Reservation) {
	if g.cfg.Without.has(mechMoveReservations) {
		return
	}
	g.metrics.ReservationNotices.WithLabelValues("received").Inc()
	ignored := g.beliefs.ApplyReservations(reservations)
	g.metrics.ReservationNotices.WithLabelValues("ignored").Add(float64(ignored))
	for _, r := range reservations {
		if r.State == notices.ReservationCopied {
			g.evacuator.RunMoved(r.Run)
		}
	}
}

// announceReader announces to the entries of the own data centre whether this entry reads the store.
func (g *Gateway) announceReader(state readership.State) {
	if g.notices != nil {
		g.metrics.Notices.WithLabelValues("reader_told").Add(float64(g.notices.AnnounceReader(g.vm.DataCenter, g.vm.VM, readerStates[state])))
	}
}

// readerStates are the states on the wire.
var readerStates = map[readership.State]peerv1.ReaderState{
	readership.Stopped: peerv1.ReaderState_READER_STATE_STOPPED,
	readership.Asking:  peerv1.ReaderState_READER_STATE_ASKING,
	readership.Reading: peerv1.ReaderState_READER_STATE_READING,
}

// onReader applies the announcement of another reader of the store.
func (g *Gateway) onReader(vm string, state peerv1.ReaderState) {
	g.metrics.Notices.WithLabelValues("reader_heard").Inc()
	for known, wire := range readerStates {
		if g.readers != nil && wire == state {
			g.readers.Observe(clock.Now(), vm, known)
		}
	}
}

func (g *Gateway) onInvalidNotice(kind string) {
	g.metrics.ReservationNotices.WithLabelValues("invalid").Inc()
	g.log.Debug("notice ignored", "kind", kind)
}

// countReservations registers the metrics of what became of reservations, those of peers included.
func (g *Gateway) countReservations() {
	for name, read := range map[string]func(scheduler.ReservationCounts) int{
		"made":     func(c scheduler.ReservationCounts) int { return c.Made },
		"released": func(c scheduler.ReservationCounts) int { return c.Released },
		"reported": func(c scheduler.ReservationCounts) int { return c.Reported },
		"expired":  func(c scheduler.ReservationCounts) int { return c.Expired },
	} {
		g.metrics.Total("reservations_"+name+"_total", "Reservations of room for generations that were "+name+".", func() (count float64) {
			g.dispatcher.ViewScheduler(func(_ time.Time, s *scheduler.Scheduler) { count = float64(read(s.ReservationCounts())) })
			return count
		})
	}
}
