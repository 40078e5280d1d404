package truncation

import (
	"fmt"
	"strings"
	"testing"
)

// inner is a whole answer in the place of a body.
const inner = ok + "{}Content-Length: 5\r\n\r\ninner"

// withLines returns an answer with more lines in its head.
func withLines(lines string) scriptedAnswer {
	return scriptedAnswer{text: ok + "{}" + lines + lengthOfPart + "\r\n" + part, end: finAfterUpload}
}

// withStatusLine returns an answer whose body is a whole answer.
func withStatusLine(line string) scriptedAnswer {
	return scriptedAnswer{text: line + "\r\n{}\r\n" + inner, end: finAfterUpload}
}

// answersWithHeads are answers by what is special about their heads.
func answersWithHeads() map[string]scriptedAnswer {
	answers := map[string]scriptedAnswer{
		"blank in Content-Length":    {text: ok + "{}Content-Length : 3\r\n\r\n" + part, end: finAfterUpload},
		"blank in Transfer-Encoding": {text: ok + "{}Transfer-Encoding : chunked\r\n\r\n" + chunkedPart, end: finAfterUpload},
		"informational with a blank": {text: "HTTP/1.1 103 Early Hints\r\nX Part: a\r\n\r\n" + inner, end: finAfterUpload},
		"surplus with a blank":       {text: strings.Replace(surplus, "\r\n", "\r\nX Part: a\r\n", 1) + inner, end: finAfterUpload},
		"refusal with a blank":       {text: "HTTP/1.1 503 Service Unavailable\r\n{}" + notRun + "X Part: a\r\n" + lengthOfPart + "\r\n" + part, end: finAfterUpload},
		"stream with a blank":        {text: ok + "{}" + eventType + "X Part: a\r\n\r\n" + partOfStream, end: finAfterUpload, stream: true},

		"folded field":  {text: ok + "{}X-Part: a\r\n b\r\n" + lengthOfPart + "\r\n" + part, end: finAfterUpload, whole: true},
		"no reason":     {text: "HTTP/1.1 200\r\n{}" + lengthOfPart + "\r\n" + part, end: finAfterUpload, whole: true},
		"obs-text":      {text: "HTTP/1.1 200 \xe4\r\n{}X-Part: \xe4\r\n" + lengthOfPart + "\r\n" + part, end: finAfterUpload, whole: true},
		"informational": {text: informational + inner, end: finAfterUpload, whole: true},
	}
	for _, status := range []string{"000", "099", "101", "600", "999", "20"} {
		answers["status "+status] = withStatusLine("HTTP/1.1 " + status + " Status")
	}
	for _, version := range []string{"HTTP/2.7", "HTTP/0.9", "http/1.1"} {
		answers[version] = withStatusLine(version + " 200 OK")
	}
	answers["control byte in the reason"] = withStatusLine("HTTP/1.1 200 O\x01K")
	for _, line := range []string{"X Part: a", "X-Part : a", "X-Part\t: a", ": a", "X\x01Part: a", "X\x00: a", "X-Part: \x01", "X-Part: a\rb", "X\x7f: a"} {
		answers[fmt.Sprintf("%q", line)] = withLines(line + "\r\n")
	}
	return answers
}

// TestAnAnswerWithAnInvalidHeadIsNotPassedOn guards against answers, refusals and lines of heads that aren't HTTP.
func TestAnAnswerWithAnInvalidHeadIsNotPassedOn(t *testing.T) {
	const requests = 2
	sendAll(t, callers, answersWithHeads(), requests, len(smallBody))
}
