package stream

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// Splitter splits the bytes of a server-sent event stream into complete events, so
// that no part of an event is passed on if the stream breaks within it.
//
// It also checks the event ids, which rise by one: events that were passed on before
// are dropped, and a gap is an error. Events without ids are passed on unchecked as long
// as no event of the stream had an id.
//
//	[reading] --BeginContinuation--> [awaiting continuation] --event lastID+1--> [reading]
//	                                             \--any other event--> ErrNotContinuation
//
// The zero value is ready for use. A Splitter is not safe for concurrent use.
type Splitter struct {
	// buffer holds the bytes of an incomplete event.
	buffer []byte
	// lastID is the id of the last accepted event; hasID is set if there is one.
	lastID int
	hasID  bool
	// awaitingContinuation is set from the start of a continuation until its first
	// event.
	awaitingContinuation bool
}

// eventTerminator ends an event.
var eventTerminator = []byte("\n\n")

// maxEventBytes is the maximum size of an incomplete event.
const maxEventBytes = 256 << 10

// Errors of a stream.
var (
	// ErrEventTooLong means that an event exceeds the maximum size.
	ErrEventTooLong = errors.New("stream: an event is too long")
	// ErrEventGap means that an event id is higher than the next expected one.
	ErrEventGap = errors.New("stream: events are missing")
	// ErrNoEventID means that an event has no id although an earlier one had.
	ErrNoEventID = errors.New("stream: an event has no id")
	// ErrNotContinuation means that the first event of a continuation doesn't follow
	// the last event. It belongs to another generation, whose events must not be
	// joined to those of the first.
	ErrNotContinuation = errors.New("stream: not the rest")
)

// Feed adds received bytes. It returns the concatenated events that are complete
// and new, and their number. The bytes are valid until the next call. If err is
// not nil, the events before the fault are returned with it.
func (s *Splitter) Feed(data []byte) (events []byte, count int, err error) {
	s.buffer = append(s.buffer, data...)
	for {
		end := bytes.Index(s.buffer, eventTerminator)
		if end < 0 {
			break
		}
		event := s.buffer[:end+len(eventTerminator)]
		s.buffer = s.buffer[end+len(eventTerminator):]
		isNew, acceptErr := s.accept(event)
		if acceptErr != nil {
			return events, count, acceptErr
		}
		if isNew {
			events = append(events, event...)
			count++
		}
	}
	if len(s.buffer) > maxEventBytes {
		return events, count, ErrEventTooLong
	}
	return events, count, nil
}

// accept checks the id of a complete event. It returns false if the event was passed
// on before.
func (s *Splitter) accept(event []byte) (isNew bool, err error) {
	id, ok := eventID(event)
	if !ok && s.hasID {
		return false, ErrNoEventID
	}
	if !ok {
		return true, nil
	}
	if s.awaitingContinuation && id != s.lastID+1 {
		return false, errors.Wrapf(ErrNotContinuation, "event %d after %d", id, s.lastID)
	}
	s.awaitingContinuation = false
	switch {
	case s.hasID && id <= s.lastID:
		return false, nil
	case s.hasID && id > s.lastID+1:
		return false, ErrEventGap
	}
	s.lastID = id
	s.hasID = true
	return true, nil
}

// ResumeAfter begins a continuation of a stream of which the caller has received all
// events up to id.
func (s *Splitter) ResumeAfter(id int) {
	s.lastID = id
	s.hasID = true
	s.BeginContinuation()
}

// BeginContinuation makes the following bytes a continuation of the stream from another
// source. It discards an incomplete event; if the events have ids, the next event must
// be the one after the last.
func (s *Splitter) BeginContinuation() {
	s.DiscardPartial()
	s.awaitingContinuation = s.hasID
}

// AwaitingContinuation reports whether a continuation with event ids has begun and none
// of its events has been received.
func (s *Splitter) AwaitingContinuation() bool { return s.awaitingContinuation }

// DiscardPartial discards an incomplete event, for a stream that another source
// continues.
func (s *Splitter) DiscardPartial() { s.buffer = nil }

// Buffered returns the size in bytes of what is held of an incomplete event.
func (s *Splitter) Buffered() int { return cap(s.buffer) }

// HasPartial reports whether an incomplete event has been received.
func (s *Splitter) HasPartial() bool { return len(bytes.TrimSpace(s.buffer)) > 0 }

// LastID returns the id of the last accepted event. It returns false if no event had
// an id.
func (s *Splitter) LastID() (int, bool) { return s.lastID, s.hasID }

var idField = []byte("id:")

// eventID returns the numeric id of an event. It returns false if there is none.
func eventID(event []byte) (int, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		return id, err == nil
	}
	return 0, false
}
