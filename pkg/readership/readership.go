// Package readership decides which entries of a data centre read the platform's store.
//
// # Design
//
// The highest-ranked entries of a data centre are its readers. The others receive what is published
// from them. A record of the membership tells too late that a reader is gone, and a reader that has
// started again has a new record before it reads. So readers announce several times a second that they
// read, and only while the store answers them; otherwise they announce that they ask it. An entry that
// gets announcements of too few readers becomes one, unless maxAsking times as many ask already, so that a store
// that is away isn't called by all. Those of lower rank wait longer before they do, so that a few take over and
// not all. A reader stops once enough others of higher rank announce themselves.
//
//	        too few readers announced for the delay of its rank
//	[listening] ------------------------------------------> [reading]
//	     ^                                                      |
//	     +---------- enough of higher rank announced -----------+
//
// Announcements may be lost, so that for a moment more entries than necessary read, but never fewer.
//
// The package does no I/O. Times are arguments.
package readership

import (
	"maps"
	"sync"
	"time"
)

// State is what an entry announces.
type State int

// The states.
const (
	// Stopped means that the entry doesn't read the store.
	Stopped State = iota
	// Asking means that it calls the store, which has not answered yet or no longer does.
	Asking
	// Reading means that the store answers it.
	Reading
)

const (
	// maxAsking bounds the entries that call the store, as a multiple of Config.Readers.
	maxAsking = 2
	// maxStaggered is the number of higher-ranked entries up to which each delays an entry.
	maxStaggered = 8
	// maxAnnouncements bounds the stored announcements.
	maxAnnouncements = 64
	// startTimeouts is the time after the start, in timeouts, after which an entry has received the
	// announcements of all readers.
	startTimeouts = 2
)

// Config holds the settings of a Set.
type Config struct {
	// Readers is how many readers a data centre needs.
	Readers int
	// Timeout is how long an announcement counts.
	Timeout time.Duration
	// Stagger is how much later an entry takes over for each entry of higher rank, up to maxStaggered.
	Stagger time.Duration
	// Above reports whether an entry ranks higher than this one.
	Above func(vm string) bool
}

// announcement is the last one of an entry.
type announcement struct {
	at    time.Time
	state State
	above bool
}

// Set holds the readers of the data centre of one entry. It is safe for concurrent use.
type Set struct {
	cfg     Config
	changed chan struct{}

	mu sync.Mutex
	// announcements holds the last announcement of each entry that reads or asks.
	announcements map[string]announcement
	// startedAt is the time of the first decision, and shortSince since when too few readers have
	// announced themselves; zero if enough have.
	startedAt, shortSince time.Time
}

// New returns an empty set.
func New(cfg Config) *Set {
	return &Set{cfg: cfg, changed: make(chan struct{}, 1), announcements: map[string]announcement{}}
}

// Changed receives a value when an entry has announced that it no longer reads.
func (s *Set) Changed() <-chan struct{} { return s.changed }

// Observe records the announcement of another entry.
func (s *Set) Observe(now time.Time, vm string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	before, known := s.announcements[vm]
	switch {
	case state == Stopped:
		delete(s.announcements, vm)
	case known || len(s.announcements) < maxAnnouncements:
		s.announcements[vm] = announcement{now, state, s.cfg.Above(vm)}
	}
	if !known || state >= before.state {
		return
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Set) expire(now time.Time) {
	maps.DeleteFunc(s.announcements, func(_ string, a announcement) bool { return now.Sub(a.at) >= s.cfg.Timeout })
}

// Role is what an entry does at a moment.
type Role struct {
	Reads bool
	// First is set if no reader of higher rank has announced itself.
	First bool
	// Recheck is the time after which a listening entry must decide again, unless Changed receives a
	// value before.
	Recheck time.Duration
}

// Decide returns the role of an entry that reads at present, or doesn't, and above which higherRanked
// live entries rank.
func (s *Set) Decide(now time.Time, reads bool, higherRanked int) Role {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.expire(now)
	reading, asking := s.count(false)
	readingAbove, askingAbove := s.count(true)
	role := Role{First: readingAbove == 0}
	switch {
	case higherRanked < s.cfg.Readers, reads && !s.enough(readingAbove, askingAbove):
		role.Reads = true
		return role
	case reads || s.enough(reading, asking):
		s.shortSince = time.Time{}
		role.Recheck = s.nextExpiry(now)
		return role
	}
	if s.shortSince.IsZero() {
		s.shortSince = now
	}
	due := s.shortSince.Add(s.cfg.Stagger * time.Duration(min(higherRanked, maxStaggered)))
	if settled := s.startedAt.Add(startTimeouts * s.cfg.Timeout); due.Before(settled) {
		due = settled
	}
	role.Recheck = max(due.Sub(now), 0)
	if role.Recheck == 0 {
		s.shortSince = time.Time{}
		role.Reads = true
	}
	return role
}

// count returns how many entries read, and how many read or ask; with above, only those of higher rank.
func (s *Set) count(above bool) (reading, asking int) {
	for _, a := range s.announcements {
		if above && !a.above {
			continue
		}
		asking++
		if a.state == Reading {
			reading++
		}
	}
	return reading, asking
}

// enough reports whether so many entries that read, and that read or ask, are enough.
func (s *Set) enough(reading, asking int) bool {
	return reading >= s.cfg.Readers || asking >= maxAsking*s.cfg.Readers
}

// nextExpiry returns the time until the first announcement no longer counts.
func (s *Set) nextExpiry(now time.Time) time.Duration {
	next := s.cfg.Timeout
	for _, a := range s.announcements {
		next = min(next, a.at.Add(s.cfg.Timeout).Sub(now))
	}
	return max(next, 0)
}
