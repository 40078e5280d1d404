package truncation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/platform"
)

const (
	uploadBytes  = 4 << 20
	requestsEach = 16
	// concurrentUploads is how many uploads the gateway has memory for.
	concurrentUploads = 4
	// resetDelay is the time from an answer to its late reset.
	resetDelay = 50 * time.Millisecond

	lengthOfPart = "Content-Length: 4\r\n"
	part         = "part"
	chunkedPart  = "4\r\npart\r\n0\r\n\r\n"
	partOfStream = "id: 1\ndata: x\n\n"
	serverError  = "HTTP/1.1 500 Internal Server Error\r\n"
)

// How the connection of an answer to an upload ends.
const (
	lateReset      = "late reset"
	immediateReset = "immediate reset"
	closeUnread    = "close with unread bytes"
	halfClose      = "half-close, then read on"
	finAfterUpload = "FIN after the upload"
)

// uploadAnswer is how an endpoint answers an upload.
type uploadAnswer struct {
	// text is the answer; the request's own lines are added at {}.
	text string
	end  string
	// stream says that the request is for a stream, and whole that the answer is one.
	stream, whole bool
}

var uploadAnswers = map[string]uploadAnswer{
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

// uploadEndpoint holds the IDs of the requests that have reached an endpoint.
type uploadEndpoint struct{ reached sync.Map }

// answer answers one upload as its header asks for, and ends the connection.
func (e *uploadEndpoint) answer(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	if req.URL.Path == platform.PathReport {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
		return
	}
	id := req.Header.Get(platform.HeaderRequestID)
	e.reached.Store(id, true)
	answer := uploadAnswers[req.Header.Get(headerAnswer)]
	if answer.end == finAfterUpload {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(c, strings.Replace(answer.text, "{}", ownLines(id), 1))
	switch answer.end {
	case lateReset:
		time.Sleep(resetDelay)
		_ = c.SetLinger(0)
	case immediateReset:
		_ = c.SetLinger(0)
	case halfClose:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	}
}

// serve starts an endpoint and returns its address.
func (e *uploadEndpoint) serve(t *testing.T) string {
	listener := freeport.Listen(t)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.answer(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// TestAnAnswerThatIsResetDuringItsUploadIsNotWhole guards against parts of answers without a length passed on as whole.
func TestAnAnswerThatIsResetDuringItsUploadIsNotWhole(t *testing.T) {
	e := &uploadEndpoint{}
	p := start(t, e.serve)
	for name, answer := range uploadAnswers {
		services := []string{"plain", "safe"}
		if answer.stream {
			services = []string{"stream"}
		}
		for _, service := range services {
			t.Run(name+", "+service, func(t *testing.T) {
				var all errgroup.Group
				all.SetLimit(concurrentUploads)
				for n := range requestsEach {
					all.Go(func() error { return tryUpload(p, e, name, service, n) })
				}
				if err := all.Wait(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// tryUpload sends requests until one reaches an endpoint, and returns what is wrong with what its caller gets.
func tryUpload(p *process, e *uploadEndpoint, name, service string, n int) error {
	answer := uploadAnswers[name]
	header := map[string]string{headerAnswer: name}
	if answer.stream {
		header[platform.HeaderTokens], header["Model"] = "100,50", "m"
	}
	for try := range maxTries {
		id := fmt.Sprintf("%s-%s-%d-%d", strings.ReplaceAll(name, " ", "-"), service, n, try)
		c := &caller{address: p.vm.Callers}
		got := c.send(id, fmt.Sprint("key", n), fmt.Sprintf("/%s/%d/x", service, n), header, bytes.Repeat([]byte("b"), uploadBytes))
		c.close()
		_, reached := e.reached.Load(id)
		if !reached && got.status == http.StatusServiceUnavailable {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		whole := got.err == nil && got.signature != ""
		switch {
		case got.status == 0:
			return fmt.Errorf("%s: no answer: %w", id, got.err)
		case whole != answer.whole:
			return fmt.Errorf("%s: whole: %v, want %v: %+v", id, whole, answer.whole, got)
		case outcome.StatusMeansNotRun(got.status):
			return fmt.Errorf("%s: status %d for a request that may have run: %+v", id, got.status, got)
		}
		return nil
	}
	return fmt.Errorf("%s: no endpoint got the request", name)
}
