package truncation

import "testing"

// uploads is how often each answer is asked for, and uploadBytes the size of the requests.
const (
	uploads     = 16
	uploadBytes = 4 << 20
)

var answersToUploads = map[string]scriptedAnswer{
	"late reset":               {text: ok + "{}\r\n" + part, end: lateReset},
	"immediate reset":          {text: ok + "{}\r\n" + part, end: immediateReset},
	"close with unread bytes":  {text: ok + "{}\r\n" + part, end: closeUnread},
	"error, late reset":        {text: serverError + "{}\r\n" + part, end: lateReset},
	"HTTP/1.0, late reset":     {text: ok10 + "{}\r\n" + part, end: lateReset},
	"stream, late reset":       {text: ok + "{}" + eventType + "\r\n" + partOfStream, end: lateReset, stream: true},
	"stream, immediate reset":  {text: ok + "{}" + eventType + "\r\n" + partOfStream, end: immediateReset, stream: true},
	"half of a length":         {text: ok + "{}Content-Length: 8\r\n\r\n" + part, end: lateReset},
	"half of the chunks":       {text: ok + "{}" + chunks + "\r\n4\r\npart\r\n", end: lateReset},
	"length, late reset":       {text: ok + "{}" + lengthOfPart + "\r\n" + part, end: lateReset, whole: true},
	"chunks, late reset":       {text: ok + "{}" + chunks + "\r\n" + chunkedPart, end: lateReset, whole: true},
	"FIN after the upload":     {text: ok + "{}\r\n" + part, end: finAfterUpload, whole: true},
	"stream, FIN after upload": {text: ok + "{}" + eventType + "\r\n" + partOfStream, end: finAfterUpload, stream: true, whole: true},
	"half-close, read on":      {text: ok + "{}\r\n" + part, end: halfClose, whole: true},
	"stream, half-close":       {text: ok + "{}" + eventType + "\r\n" + partOfStream, end: halfClose, stream: true, whole: true},
}

// TestAnAnswerThatIsResetDuringItsUploadIsNotWhole guards against parts of answers without a length passed on as whole.
func TestAnAnswerThatIsResetDuringItsUploadIsNotWhole(t *testing.T) {
	sendAll(t, callers, answersToUploads, uploads, uploadBytes)
}

// TestADelegatedAnswerThatIsResetDuringItsUploadIsNotWhole guards against the same where a peer has got the answer.
func TestADelegatedAnswerThatIsResetDuringItsUploadIsNotWhole(t *testing.T) {
	delegated := func(p *process) string { return p.delegate(t) }
	sendAll(t, delegated, answersToUploads, uploads/4, uploadBytes/2)
}
