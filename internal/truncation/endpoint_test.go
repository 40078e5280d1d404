package truncation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/platform"
)

// Headers by which callers tell endpoints what to answer.
const (
	headerAnswer = "Test-Answer"
	headerCut    = "Test-Cut"
	headerEnd    = "Test-End"
	headerClose  = "Test-Close"
)

// How an answer that is cut off ends.
const (
	fin     = "FIN"
	reset   = "RST"
	silence = "silence"
)

// run is one request that has reached an endpoint.
type run struct {
	// kept says that its connection had carried another request.
	kept bool
	// sent is what was sent of the answer.
	sent int
	// closed is closed once its connection is, if that is to be.
	closed chan struct{}
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

// of returns the runs of a request once the connections that end with them are closed. Before that the gateway may send
// the next request on one of them, which is lost unread then.
func (l *ledger) of(id string) []run {
	l.mu.Lock()
	runs := l.runs[id]
	l.mu.Unlock()
	for _, r := range runs {
		<-r.closed
	}
	return runs
}

// serve starts an endpoint and returns its address.
func (l *ledger) serve(t *testing.T) string { return freeport.Serve(t, l.serveConn) }

func (l *ledger) serveConn(c *net.TCPConn) {
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

// answer writes an answer and returns whether the connection is kept. It cuts the first to a request as it was told to,
// and closes the connection then.
func (l *ledger) answer(c *net.TCPConn, req *http.Request, kept bool) (keep bool) {
	id := req.Header.Get(platform.HeaderRequestID)
	last, _ := strconv.Atoi(req.Header.Get(platform.HeaderResumeFrom))
	kind := answers[req.Header.Get(headerAnswer)]
	text := kind.text(id, last)
	if req.Header.Get(headerClose) != "" {
		text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
	}
	cut, err := strconv.Atoi(req.Header.Get(headerCut))
	if err != nil {
		_, _ = io.WriteString(c, text)
		return req.Header.Get(headerClose) == ""
	}
	closed := make(chan struct{})
	defer close(closed)
	if l.add(id, run{kept: kept, sent: cut, closed: closed}) > 0 {
		_, _ = io.WriteString(c, text)
		return !kind.unframed
	}
	_, _ = io.WriteString(c, text[:cut])
	switch req.Header.Get(headerEnd) {
	case reset:
		_ = c.SetLinger(0)
	case silence:
		// The gateway closes the connection.
		_, _ = io.Copy(io.Discard, c)
	}
	c.Close()
	if cut == len(text) {
		awaitClosing(c)
	}
	return false
}

// awaitClosing waits until the other side's kernel has got the end of a connection that is closed: it may arrive later
// on a busy machine, and the gateway takes the connection for an idle one until then.
func awaitClosing(c *net.TCPConn) {
	const established = "0100007F:%04X 0100007F:%04X 01 "
	other := fmt.Sprintf(established, c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
	for {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil || !bytes.Contains(table, []byte(other)) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
