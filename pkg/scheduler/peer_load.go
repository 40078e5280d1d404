package scheduler

import "time"

// Overload handled here: several entries send to the same engines, and a burst uses up their
// memory within a second. An entry's own load is exact; the peers' load is estimated from the
// engine's last report and the prompts that peers have announced since. Load in a report counts
// in full until the next report, since most requests run for many seconds.

// reportLag is the assumed age of a report on arrival: about half a second, which includes some
// hundred milliseconds between making the report and answering with it.
const reportLag = 500 * time.Millisecond

// peerPrompt is a prompt that a peer has announced as sent to an engine.
type peerPrompt struct {
	announcedAt time.Time
	tokens      float64
}

// maxUnreportedPrompts bounds the announced prompts kept per engine: those of about a second.
const maxUnreportedPrompts = 64

// recordPeerPrompt adds a peer's prompt that no report shows yet to the peer load. The oldest
// one is dropped beyond maxUnreportedPrompts.
func (e *endpoint) recordPeerPrompt(now time.Time, tokens int) {
	if len(e.unreportedPrompts) >= maxUnreportedPrompts {
		e.unreportedPrompts = append(e.unreportedPrompts[:0], e.unreportedPrompts[1:]...)
	}
	e.unreportedPrompts = append(e.unreportedPrompts, peerPrompt{now, float64(tokens)})
	for horizon := range e.peerLoad {
		e.peerLoad[horizon] += float64(tokens)
	}
	e.peersRunning++
}

// observeReportWithNotices records a report. Load that isn't this entry's own is peer load,
// to which the prompts are added that peers announced after the report was made.
func (e *endpoint) observeReportWithNotices(r Report) {
	if !r.ReportedAt.After(e.report.ReportedAt) {
		return
	}
	e.report = r
	madeAt := r.ReportedAt.Add(-reportLag)
	for len(e.unreportedPrompts) > 0 && e.unreportedPrompts[0].announcedAt.Before(madeAt) {
		e.unreportedPrompts = e.unreportedPrompts[1:]
	}
	unreportedTokens := 0.0
	for _, p := range e.unreportedPrompts {
		unreportedTokens += p.tokens
	}
	peerTokens := max(float64(r.UsedTokens)-(e.ownProjection.Mean[0]-e.ownPendingPrefill), 0)
	for horizon := range e.peerLoad {
		e.peerLoad[horizon] = peerTokens*e.projectedGrowth(horizon) + unreportedTokens
	}
	e.peersRunning = max(r.Running+r.Waiting-e.ownRunning, 0) + len(e.unreportedPrompts)
}

// queuedPromptTokens returns the tokens of the peers' prompts that the engine has yet to process and
// that the peer load doesn't contain: those announced before the last report was made.
func (e *endpoint) queuedPromptTokens(now time.Time) float64 {
	unreported := 0.0
	for _, p := range e.unreportedPrompts {
		unreported += p.tokens
	}
	return max(e.peerPendingPrefill.total(now)-unreported, 0)
}
