package stream

import (
	"bytes"
	"strconv"
)

// Splitter cuts the bytes of an event stream into whole events, so that a
// stream that breaks off within an event passes no part of it on.
//
// It also reads the ids of the events, which must rise: an event that was there
// already, or one that comes after a gap, can then be told.
type Splitter struct {
	rest []byte
	last int
	seen bool
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// maxEventBytes bounds one event.
const maxEventBytes = 256 << 10

// Feed takes bytes as they come and returns the events that are now whole, as
// one run of bytes, and their number. The bytes are valid until the next call.
func (s *Splitter) Feed(data []byte) (events []byte, count int) {
	s.rest = append(s.rest, data...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 {
		return nil, 0
	}
	events = bytes.Clone(s.rest[:end+len(eventEnd)])
	s.rest = append(s.rest[:0], s.rest[end+len(eventEnd):]...)
	for event := range bytes.SplitSeq(events, eventEnd) {
		if len(event) == 0 {
			continue
		}
		count++
		if id, ok := eventID(event); ok {
			s.last = id
			s.seen = true
		}
	}
	return events, count
}

// Partial reports whether an event has begun and not ended.
func (s *Splitter) Partial() bool { return len(bytes.TrimSpace(s.rest)) > 0 }

// TooLong reports whether an event is larger than any may be.
func (s *Splitter) TooLong() bool { return len(s.rest) > maxEventBytes }

// LastID returns the id of the last whole event, if one had an id.
func (s *Splitter) LastID() (int, bool) { return s.last, s.seen }

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
