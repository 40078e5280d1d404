package stream

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// Splitter cuts the bytes of an event stream into whole events, so that a
// stream that breaks off within an event passes no part of it on.
//
// It also reads the ids of the events, which rise by one. Events that were there already
// are left out, and a gap is an error. Events without ids are passed on as they are while
// none has had one.
//
//	[begun] --Continue--> [at the seam] --event after the last--> [begun]
//	                            \--any other event--> ErrNotTheRest
type Splitter struct {
	buffer []byte
	lastID int
	hasID  bool
	// seam says that a continuation has begun, of which no event has come yet.
	awaitingContinuation bool
}

// eventEnd ends an event.
var eventTerminator = []byte("\n\n")

// maxEventBytes bounds one event.
const maxEventBytes = 256 << 10

// Errors of a stream.
var (
	// ErrEventTooLong says that an event is larger than any may be.
	ErrEventTooLong = errors.New("stream: an event is too long")
	// ErrEventGap says that events are missing.
	ErrEventGap = errors.New("stream: events are missing")
	// ErrNoEventID says that an event has no id though those before it had.
	ErrNoEventID = errors.New("stream: an event has no id")
	// ErrNotTheRest says that a continuation doesn't go on after the last event: another
	// generation has begun, whose events must not be joined to those of the first.
	ErrNotContinuation = errors.New("stream: not the rest")
)

// Feed takes bytes as they come and returns the events that are now whole and
// new, as one run of bytes, and their number. The bytes are valid until the next
// call.
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

// ResumeAfter says that the caller has all events up to one already, so that what comes is
// a continuation.
func (s *Splitter) ResumeAfter(id int) {
	s.lastID = id
	s.hasID = true
	s.BeginContinuation()
}

// Continue says that what comes now is the continuation of the stream from elsewhere: half
// an event of before is forgotten, and the first event must be the one after the last.
func (s *Splitter) BeginContinuation() {
	s.DiscardPartial()
	s.awaitingContinuation = s.hasID
}

// AtSeam reports whether a continuation has begun of which no event has come yet.
func (s *Splitter) AwaitingContinuation() bool { return s.awaitingContinuation }

// Reset forgets an event that has begun, since the stream goes on elsewhere.
func (s *Splitter) DiscardPartial() { s.buffer = nil }

// Partial reports whether an event has begun and not ended.
func (s *Splitter) HasPartial() bool { return len(bytes.TrimSpace(s.buffer)) > 0 }

// LastID returns the id of the last whole event, if one had an id.
func (s *Splitter) LastID() (int, bool) { return s.lastID, s.hasID }

var idField = []byte("id:")

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
