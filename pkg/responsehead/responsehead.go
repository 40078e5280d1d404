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

// position is what the next byte of a head is a part of.
type position int

const (
	statusLine position = iota
	// fieldStart is the first byte of a line after the status line.
	fieldStart
	fieldName
	fieldValue
	end
)

// prefixBytes is how much of a status line and of a name is looked at: more than those that mean something have.
const prefixBytes = 20

// Parser reads a head as it arrives. It holds none of it but the beginning of a line. The zero value is ready for use.
type Parser struct {
	at   position
	head Head
	// version10 says that the response is one of HTTP/1.0.
	version10 bool
	// prefix is the beginning of the status line, or of the name of a field.
	prefix [prefixBytes]byte
	length int
	// fields says that there has been a field, and cr that the last byte was a CR.
	fields, cr bool
}

// Done reports whether the head has ended.
func (p *Parser) Done() bool { return p.at == end }

// Head returns what the head says, once it has ended.
func (p *Parser) Head() Head { return p.head }

// Feed reads the next bytes up to the end of the head, and returns how many belong to it. The error says why the head isn't
// valid; the parser can't be used after one.
func (p *Parser) Feed(data []byte) (n int, err error) {
	for n < len(data) && !p.Done() && err == nil {
		b := data[n]
		n++
		switch {
		case b == '\n':
			// A line may also end with LF only (RFC 9112, section 2.2).
			p.cr = false
			err = p.endLine()
		case p.cr:
			err = errors.New("a CR within a line")
		case b == '\r':
			p.cr = true
		default:
			err = p.next(b)
		}
	}
	return n, err
}

// next reads a byte that ends no line.
func (p *Parser) next(b byte) error {
	blank := b == ' ' || b == '\t'
	switch p.at {
	case fieldStart:
		p.length = 0
		if blank && !p.fields {
			return errors.New("a blank before the first field")
		}
		if blank {
			// The line continues the value before (RFC 9112, section 5.2).
			p.at = fieldValue
			return nil
		}
		p.at = fieldName
		return p.next(b)
	case fieldName:
		if b == ':' && p.length > 0 {
			p.at = fieldValue
			return p.endName()
		}
		if !isTokenByte(b) {
			return errors.Errorf("%q in the name of a field", b)
		}
		p.append(b)
	case statusLine:
		p.append(b)
		fallthrough
	default:
		if !isTextByte(b) {
			return errors.Errorf("the control character %q", b)
		}
	}
	return nil
}

// append adds a byte to the prefix while there is room.
func (p *Parser) append(b byte) {
	if p.length < len(p.prefix) {
		p.prefix[p.length] = b
	}
	p.length++
}

func (p *Parser) endLine() error {
	switch p.at {
	case statusLine:
		p.at = fieldStart
		return p.readStatusLine(string(p.prefix[:min(p.length, len(p.prefix))]))
	case fieldStart:
		p.at = end
	case fieldName:
		return errors.New("a line that isn't a field")
	case fieldValue:
		p.at = fieldStart
	}
	return nil
}

// readStatusLine reads the beginning of a line like "HTTP/1.1 200 OK" (RFC 9112, section 4). Some servers omit the blank
// before an empty reason.
func (p *Parser) readStatusLine(line string) error {
	const protocol = "HTTP/1."
	minor, rest, _ := strings.Cut(strings.TrimPrefix(line, protocol), " ")
	if !strings.HasPrefix(line, protocol) || len(minor) != 1 || !isDigit(minor[0]) {
		return errors.Errorf("a version other than HTTP/1: %q", line)
	}
	status, _, _ := strings.Cut(rest, " ")
	number, err := strconv.ParseUint(status, 10, 16)
	if err != nil || len(status) != 3 {
		return errors.Errorf("a status line without a status: %q", line)
	}
	p.head.Status, p.version10 = int(number), minor == "0"
	if p.head.Status < minStatus || p.head.Status > maxStatus || p.head.Status == statusSwitchingProtocols {
		return errors.Errorf("an invalid status: %s", status)
	}
	p.head.Framed = p.head.Informational() || p.head.Status == statusNoContent || p.head.Status == statusNotModified
	return nil
}

// The names of the fields that frame a body.
var (
	transferEncoding = []byte("Transfer-Encoding")
	contentLength    = []byte("Content-Length")
)

func (p *Parser) endName() error {
	p.fields = true
	name := p.prefix[:min(p.length, len(p.prefix))]
	coded := bytes.EqualFold(name, transferEncoding)
	if coded && p.version10 {
		// RFC 9112, section 6.1: the framing of such a response is faulty.
		return errors.New("a transfer coding in a response of HTTP/1.0")
	}
	p.head.Framed = p.head.Framed || coded || bytes.EqualFold(name, contentLength)
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isTextByte reports whether a byte may be in a value or a reason (RFC 9110, section 5.5; RFC 9112, section 4).
func isTextByte(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

// isTokenByte reports whether a byte may be in a name (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || isDigit(b) || b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
