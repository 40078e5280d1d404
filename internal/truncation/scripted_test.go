package truncation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
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

// scriptedAnswer is how an endpoint answers a request.
type scriptedAnswer struct {
	// text is the answer; the request's own lines are added at each {}.
	text string
	end  string
	// stream says that the request is for a stream, and whole that the answer is one.
	stream, whole bool
}

// scriptedEndpoint gives the answers that requests ask for by name.
type scriptedEndpoint struct {
	answers map[string]scriptedAnswer
	// reached holds the IDs of the requests that have come.
	reached sync.Map
}

// answer answers one request. The connection is closed afterwards.
func (e *scriptedEndpoint) answer(c *net.TCPConn) {
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
	answer := e.answers[req.Header.Get(headerAnswer)]
	if answer.end == finAfterUpload {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(answer.text, "{}", ownLines(id)))
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
func (e *scriptedEndpoint) serve(t *testing.T) string { return freeport.Serve(t, e.answer) }

// sendAll sends some requests for each of the answers to an address of a gateway. Endpoints whose answers fail get no
// requests for a while, so that the requests go to those of all workers in turn.
func sendAll(t *testing.T, address func(*process) string, answers map[string]scriptedAnswer, requests, bodyBytes int) {
	e := &scriptedEndpoint{answers: answers}
	to := address(start(t, e.serve))
	worker := 0
	for _, name := range slices.Sorted(maps.Keys(answers)) {
		services := []string{"plain", "safe"}
		if answers[name].stream {
			services = []string{"stream"}
		}
		for _, service := range services {
			t.Run(name+", "+service, func(t *testing.T) {
				var all errgroup.Group
				all.SetLimit(concurrentUploads)
				for range requests {
					w := worker % workers
					worker++
					all.Go(func() error { return trySending(to, e, name, service, w, bodyBytes) })
				}
				if err := all.Wait(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// trySending sends requests until one reaches an endpoint, and returns what is wrong with what its caller gets.
func trySending(to string, e *scriptedEndpoint, name, service string, worker, bodyBytes int) error {
	answer := e.answers[name]
	header := map[string]string{headerAnswer: name}
	if answer.stream {
		header[platform.HeaderTokens], header["Model"] = "100,50", "m"
	}
	end := time.Now().Add(timeout)
	for try := 0; time.Now().Before(end); try++ {
		id := fmt.Sprintf("%x-%s-%d-%d", name, service, worker, try)
		c := &caller{address: to}
		got := c.send(id, fmt.Sprint("key", worker), fmt.Sprintf("/%s/%d/x", service, worker), header, bytes.Repeat([]byte("b"), bodyBytes))
		c.close()
		_, reached := e.reached.Load(id)
		if !reached && got.status == http.StatusServiceUnavailable {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		whole := got.err == nil && got.signature != ""
		switch {
		case got.status == 0:
			return fmt.Errorf("no answer: %w", got.err)
		case whole != answer.whole:
			return fmt.Errorf("whole: %v, want %v: %+v", whole, answer.whole, got)
		case outcome.StatusMeansNotRun(got.status):
			return fmt.Errorf("status %d for a request that may have run: %+v", got.status, got)
		}
		return nil
	}
	return fmt.Errorf("%s: no endpoint got the request", name)
}
