package truncation

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/platform"
)

// Headers by which callers tell endpoints what to answer.
const (
	headerAnswer = "Test-Answer"
	headerCut    = "Test-Cut"
	headerReset  = "Test-Reset"
	headerClose  = "Test-Close"
)

// run is one request that has reached an endpoint.
type run struct {
	// kept says that its connection had carried another request.
	kept bool
	// sent is what was sent of the answer.
	sent int
}

// ledger holds the runs of each request.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

// add records a run and returns how many there were before.
func (l *ledger) add(id string, r run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
	return len(l.runs[id]) - 1
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// serve starts an endpoint and returns its address.
func (l *ledger) serve(t *testing.T) string {
	listener := freeport.Listen(t)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serveConn(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (l *ledger) serveConn(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for kept := false; ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == platform.PathReport {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		if !l.answer(c, req, kept) {
			return
		}
		kept = true
	}
}

// answer writes an answer. It cuts the first to a request as it was told to, and returns false to close the
// connection.
func (l *ledger) answer(c *net.TCPConn, req *http.Request, kept bool) (keep bool) {
	id := req.Header.Get(platform.HeaderRequestID)
	last, _ := strconv.Atoi(req.Header.Get(platform.HeaderResumeFrom))
	text := answers[req.Header.Get(headerAnswer)].text(id, last)
	if req.Header.Get(headerClose) != "" {
		text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
	}
	cut, err := strconv.Atoi(req.Header.Get(headerCut))
	if err != nil || l.add(id, run{kept: kept, sent: cut}) > 0 {
		_, _ = io.WriteString(c, text)
		return err != nil && req.Header.Get(headerClose) == ""
	}
	_, _ = io.WriteString(c, text[:cut])
	if req.Header.Get(headerReset) != "" {
		_ = c.SetLinger(0)
	}
	return false
}
