package httpserver

import (
	"bytes"

	"github.com/bridgehoist/bridgehoist/internal/membudget"
)

// http.Server bounds the bytes of a head, but not its fields. In memory a field takes far more than the few bytes that it
// may consist of. So both are counted as they arrive.

const (
	// maxHeadLines bounds the lines of a head.
	maxHeadLines = 256
	// lineBytes is what a field takes besides its bytes: its place in the map and in the list of its values.
	lineBytes = 160
	// copies is how often the bytes of a head are held: as they are read, and as fields.
	copies = 2
)

// Responses to heads that exceed their bounds.
const (
	tooManyFields = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noHeadMemory  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// headGuard bounds the head of one request.
type headGuard struct {
	memory       *membudget.Reservation
	bytes, lines int
	// ended is set once its last line has arrived, and blank while the line that arrives is empty.
	ended, blank bool
	// led says that an empty line came first. It may be the last one of a head that began before the response to the
	// request before, so that what follows is a body.
	led bool
}

// take counts bytes of the head, or of what follows it. If they exceed a bound, refusal is the response. The lines of an
// encrypted head aren't counted.
func (h *headGuard) take(data []byte, encrypted bool) (refusal string) {
	if h.ended {
		return ""
	}
	if h.lines > maxHeadLines {
		return tooManyFields
	}
	h.bytes += len(data)
	if !encrypted {
		h.countLines(data)
	}
	switch {
	case h.lines > maxHeadLines && !h.led:
		return tooManyFields
	case !h.memory.Resize(int64(copies*h.bytes + lineBytes*h.lines)):
		return noHeadMemory
	}
	return ""
}

func (h *headGuard) countLines(data []byte) {
	for len(data) > 0 && !h.ended {
		end := bytes.IndexByte(data, '\n')
		line := data
		if end >= 0 {
			line = data[:end]
		}
		h.blank = h.blank && len(bytes.TrimRight(line, "\r")) == 0
		if end < 0 {
			return
		}
		// Empty lines may precede the first.
		h.ended = h.blank && h.lines > 0
		h.led = h.led || h.blank && h.lines == 0
		if !h.blank {
			h.lines++
		}
		h.blank = true
		data = data[end+1:]
	}
}

// next begins with the head of the next request.
func (h *headGuard) next() {
	h.memory.Release()
	*h = headGuard{memory: h.memory, blank: true}
}
