package controllers

import (
	"context"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/pkg/readership"
)

// This file announces whether a ValueWatcher reads the platform, for package readership. It counts as reading
// from the first answer to a watcher on, and only while the next answer isn't overdue: a process that has
// just started, or was paused, must not keep others from reading.

// answerSlack is how much later than expected an answer of the platform may come before the entry no longer
// counts as one that the platform answers.
const answerSlack = 500 * time.Millisecond

// setWatching announces that the entry begins to watch the platform, or stops.
func (c *ValueWatcher) setWatching(watching bool) {
	c.announceMu.Lock()
	defer c.announceMu.Unlock()
	c.watching = watching
	c.announceChange()
}

// recordAnswer records whether the platform has answered a watcher, and within which time the next answer is
// due.
func (c *ValueWatcher) recordAnswer(answered bool, within time.Duration) {
	c.announceMu.Lock()
	defer c.announceMu.Unlock()
	c.answeredUntil = time.Time{}
	if answered {
		c.answeredUntil = clock.Now().Add(within)
	}
	c.announceChange()
}

// extendAnswer gives the platform time to answer, if it answered before.
func (c *ValueWatcher) extendAnswer(within time.Duration) {
	c.announceMu.Lock()
	defer c.announceMu.Unlock()
	if !c.answeredUntil.IsZero() {
		c.answeredUntil = clock.Now().Add(within)
	}
}

// announceReading announces the state of a watcher until ctx ends.
func (c *ValueWatcher) announceReading(ctx context.Context) {
	for pause.For(ctx, c.AnnounceInterval) {
		c.announceMu.Lock()
		if state := c.state(); state != readership.Stopped {
			c.announce(state)
		}
		c.announceMu.Unlock()
	}
}

// state returns the state to announce. announceMu must be held.
func (c *ValueWatcher) state() readership.State {
	switch {
	case !c.watching || c.retired:
		return readership.Stopped
	case clock.Now().Before(c.answeredUntil):
		return readership.Reading
	default:
		return readership.Asking
	}
}

// announceChange announces the state if it has changed. announceMu must be held.
func (c *ValueWatcher) announceChange() {
	if state := c.state(); state != c.announced {
		c.announce(state)
	}
}

func (c *ValueWatcher) announce(state readership.State) {
	c.announced = state
	if c.Announce != nil {
		c.Announce(state)
	}
}

// Retire announces that the entry is about to stop, so that others replace it. It watches on until its
// context ends.
func (c *ValueWatcher) Retire() {
	c.announceMu.Lock()
	defer c.announceMu.Unlock()
	c.retired = true
	c.announceChange()
}
