package truncation

import (
	"fmt"
	"strings"

	"github.com/bridgehoist/bridgehoist/platform"
)

// answerKind is an answer of an endpoint.
type answerKind struct {
	status int
	// before is what comes before the answer on the connection.
	before string
	// lines are those of the head; those of ownLines are added at {}.
	lines string
	body  func(id string, last int) string
	// bareLF says that the lines of the head end without CR, chunked that the body goes in chunks, unframed that
	// it ends with its connection, and refused that the head proves that nothing ran. Invalid answers are never
	// passed on.
	bareLF, chunked, unframed, refused, invalid bool
}

func plainBody(id string, _ int) string { return "answer to " + id }

func noBody(string, int) string { return "" }

func events(id string, last int) string {
	var b strings.Builder
	for n := last + 1; n <= 4; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return b.String()
}

const (
	signature = "signed"
	length    = "Content-Length: #\r\n"
	chunks    = "Transfer-Encoding: chunked\r\n"
	notRun    = platform.HeaderNotRun + ": 1\r\n"
	eventType = "Content-Type: text/event-stream\r\n"
)

// ownLines returns the fields with the request's ID and the signature.
func ownLines(id string) string {
	return platform.HeaderRequestID + ": " + id + "\r\n" + platform.HeaderSignature + ": " + signature + "\r\n"
}

const (
	ok            = "HTTP/1.1 200 OK\r\n"
	ok10          = "HTTP/1.0 200 OK\r\n"
	informational = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
)

// surplus is an answer to another request.
var surplus = ok + ownLines("other") + "Content-Length: 5\r\n\r\nother"

// answers are those that endpoints give to requests, by name.
var answers = map[string]answerKind{
	"length":               {status: 200, lines: ok + "{}" + length, body: plainBody},
	"length first":         {status: 200, lines: ok + length + "{}", body: plainBody},
	"length twice":         {status: 200, lines: ok + length + "{}" + length, body: plainBody},
	"chunked":              {status: 200, lines: ok + "{}" + chunks, body: plainBody, chunked: true},
	"chunked with length":  {status: 200, lines: ok + length + chunks + "{}", body: plainBody, chunked: true},
	"unframed":             {status: 200, lines: ok + "{}", body: plainBody, unframed: true},
	"bare LF":              {status: 200, lines: ok + "{}" + length, body: plainBody, bareLF: true},
	"HTTP/1.0":             {status: 200, lines: ok10 + "{}" + length, body: plainBody},
	"HTTP/1.0 unframed":    {status: 200, lines: ok10 + "{}", body: plainBody, unframed: true},
	"HTTP/1.0 in chunks":   {status: 200, lines: ok10 + "{}" + chunks, body: plainBody, chunked: true, invalid: true},
	"informational before": {status: 200, before: informational, lines: ok + "{}" + length, body: plainBody},
	"surplus before":       {status: 200, before: surplus, lines: ok + "{}" + length, body: plainBody},
	"other length":         {status: 200, lines: ok + "{}Content-Length: 1\r\n" + length, body: plainBody, invalid: true},
	"other coding":         {status: 200, lines: ok + "{}Transfer-Encoding: chun\r\n", body: plainBody, invalid: true},
	"no own lines":         {status: 200, lines: ok + length, body: plainBody, invalid: true},

	"no content":  {status: 204, lines: "HTTP/1.1 204 No Content\r\n{}", body: noBody},
	"not found":   {status: 404, lines: "HTTP/1.1 404 Not Found\r\n{}" + length, body: plainBody},
	"error":       {status: 500, lines: "HTTP/1.1 500 Internal Server Error\r\n{}" + length, body: plainBody},
	"refused":     {status: 503, lines: "HTTP/1.1 503 Service Unavailable\r\n{}" + notRun + length, body: plainBody, refused: true},
	"misdirected": {status: 421, lines: "HTTP/1.1 421 Misdirected Request\r\n{}" + length, body: plainBody, refused: true},

	"stream in chunks":   {status: 200, lines: ok + "{}" + eventType + chunks, body: events, chunked: true},
	"stream with length": {status: 200, lines: ok + "{}" + length + eventType, body: events},
	"unframed stream":    {status: 200, lines: ok + "{}" + eventType, body: events, unframed: true},
}

// head returns what comes before the body.
func (a answerKind) head(id string, last int) string {
	lines := strings.ReplaceAll(a.lines, "#", fmt.Sprint(len(a.body(id, last))))
	head := a.before + strings.ReplaceAll(lines, "{}", ownLines(id)) + "\r\n"
	if a.bareLF {
		return strings.ReplaceAll(head, "\r", "")
	}
	return head
}

// text returns the whole answer to a request, after an event if it is a stream.
func (a answerKind) text(id string, last int) string {
	body := a.body(id, last)
	if a.chunked {
		half := len(body) / 2
		body = fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	}
	return a.head(id, last) + body
}
