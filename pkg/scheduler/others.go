package scheduler

import "time"

// The load that this file answers: several entries fill the same engines, and a burst
// fills them within a second. Each entry knows its own work exactly; of the others' it
// has the engine's last report, and what they have told of prompts since. Work that a
// report shows is believed until the next one comes: it doesn't fade, since most of it
// runs for many seconds.

// reportLag is how much older than its arrival a report is. An engine makes it some
// hundred milliseconds before it answers (PROTOCOL, requests); about half a second was
// measured.
const reportLag = 500 * time.Millisecond

// toldPrompt is a prompt that another entry has sent.
type toldPrompt struct {
	at     time.Time
	tokens float64
}

// maxTold bounds the prompts that are remembered of one engine: those of a second.
const maxTold = 64

// toldOf remembers a prompt that no report shows yet.
func (e *endpoint) toldOf(now time.Time, tokens int) {
	if len(e.told) >= maxTold {
		e.told = append(e.told[:0], e.told[1:]...)
	}
	e.told = append(e.told, toldPrompt{now, float64(tokens)})
	for horizon := range e.peers {
		e.peers[horizon] += float64(tokens)
	}
	e.peersRunning++
}

// observeOthers takes a report: what isn't this entry's own is the others', besides
// the prompts that were told after the report was made.
func (e *endpoint) observeOthers(r Report) {
	if !r.ReportedAt.After(e.report.ReportedAt) {
		return
	}
	e.report = r
	made := r.ReportedAt.Add(-reportLag)
	for len(e.told) > 0 && e.told[0].at.Before(made) {
		e.told = e.told[1:]
	}
	later := 0.0
	for _, p := range e.told {
		later += p.tokens
	}
	held := max(float64(r.UsedTokens)-(e.own.Mean[0]-e.unread), 0)
	for horizon := range e.peers {
		e.peers[horizon] = held*e.growth(horizon) + later
	}
	e.peersRunning = max(r.Running+r.Waiting-e.ownRunning, 0) + len(e.told)
}
