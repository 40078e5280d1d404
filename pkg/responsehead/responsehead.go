// Package responsehead decides whether the head of an HTTP/1 response is valid.
//
// net/http reads more than RFC 9110 and RFC 9112 allow: any three digits as a status, HTTP/2.7, names of fields that
// hold blanks. A blank before the colon hides a field from those that look for its name, so that a body is read by
// another framing than the server's, or a field is passed on that says something else to the next reader. What such a
// head says can't be believed, so clients check a head before they use any of it, and close the connection if it isn't
// valid.
//
// Values that only net/http interprets are left to it: it rejects lengths that aren't numbers or that differ, and
// transfer codings other than chunked.
package responsehead

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Statuses of valid responses (RFC 9110, section 15), and the one that needs a request for another protocol, which
// no client here sends (section 15.2.2).
const (
	minStatus                = 100
	minFinalStatus           = 200
	maxStatus                = 599
	statusSwitchingProtocols = 101
	statusNoContent          = 204
	statusNotModified        = 304
)

// Head is what a valid head says of its response.
type Head struct {
	Status int
	// Framed says that the end of the body can be told from the end of the connection, or that there is no body.
	Framed bool
}

// IsFinalStatus reports whether a response with a status ends an exchange.
func IsFinalStatus(status int) bool { return minFinalStatus <= status && status <= maxStatus }

// Informational reports whether the head of another response follows.
func (h Head) Informational() bool { return h.Status < minFinalStatus }

// Length returns the length of the head that data begins with, including the empty line that ends it; zero if the head
// isn't complete.
func Length(data []byte) int {
	for rest := data; bytes.IndexByte(rest, '\n') >= 0; {
		var line []byte
		if line, rest = cutLine(rest); len(line) == 0 {
			return len(data) - len(rest)
		}
	}
	return 0
}

// Parse reads a whole head. The error says why it isn't valid.
func Parse(data []byte) (Head, error) {
	if Length(data) != len(data) {
		return Head{}, errors.New("a head that isn't complete")
	}
	line, rest := cutLine(data)
	h, version10, err := parseStatusLine(line)
	if err != nil {
		return Head{}, err
	}
	h.Framed = h.Informational() || h.Status == statusNoContent || h.Status == statusNotModified
	for first := true; ; first = false {
		if line, rest = cutLine(rest); len(line) == 0 {
			return h, nil
		}
		name, err := parseFieldLine(line, first)
		if err != nil {
			return Head{}, err
		}
		coded := bytes.EqualFold(name, transferEncoding)
		if coded && version10 {
			// RFC 9112, section 6.1: the framing of such a response is faulty.
			return Head{}, errors.New("a transfer coding in a response of HTTP/1.0")
		}
		h.Framed = h.Framed || coded || bytes.EqualFold(name, contentLength)
	}
}

// The fields that frame a body.
var (
	transferEncoding = []byte("Transfer-Encoding")
	contentLength    = []byte("Content-Length")
)

// cutLine returns the first line of data without its end, and what follows. A line may also end with LF only (RFC 9112,
// section 2.2).
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// parseStatusLine reads a line like "HTTP/1.1 200 OK" (RFC 9112, section 4). Some servers omit the blank before an empty
// reason.
func parseStatusLine(line []byte) (h Head, version10 bool, err error) {
	const protocol = "HTTP/1."
	const versionLength, statusLength = len(protocol) + 1, 3
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if len(version) != versionLength || !bytes.HasPrefix(version, []byte(protocol)) || !isDigit(version[len(protocol)]) {
		return Head{}, false, errors.Errorf("a version other than HTTP/1: %.40q", line)
	}
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(status) != statusLength || !all(status, isDigit) {
		return Head{}, false, errors.Errorf("a status line without a status: %.40q", line)
	}
	if !all(reason, isTextByte) {
		return Head{}, false, errors.Errorf("a control character in a status line: %.40q", line)
	}
	// Three digits are a number.
	h.Status, _ = strconv.Atoi(string(status))
	if h.Status < minStatus || h.Status > maxStatus || h.Status == statusSwitchingProtocols {
		return Head{}, false, errors.Errorf("an invalid status: %s", status)
	}
	return h, version[len(protocol)] == '0', nil
}

// parseFieldLine returns the name of a field (RFC 9112, section 5), empty if the line continues the value of the field
// before it.
func parseFieldLine(line []byte, first bool) (name []byte, err error) {
	value := line
	if continued := line[0] == ' ' || line[0] == '\t'; !continued {
		var found bool
		name, value, found = bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 || !all(name, isTokenByte) {
			return nil, errors.Errorf("an invalid name of a field: %.40q", line)
		}
	} else if first {
		return nil, errors.Errorf("a blank before the first field: %.40q", line)
	}
	if !all(value, isTextByte) {
		return nil, errors.Errorf("a control character in a field: %.40q", line)
	}
	return name, nil
}

func all(text []byte, is func(byte) bool) bool {
	for _, b := range text {
		if !is(b) {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isTextByte reports whether a byte may be in a value or a reason (RFC 9110, section 5.5; RFC 9112, section 4).
func isTextByte(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

// isTokenByte reports whether a byte may be in a name (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || isDigit(b) || b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
