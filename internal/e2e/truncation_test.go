package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

const chunked = "Transfer-Encoding: chunked\r\n"

// truncatedAnswers are those that are cut off, by name: the status line and the framing of an answer, and how it is
// asked for. Of resumed ones that to the first resumption is cut. Invalid ones are never passed on.
var truncatedAnswers = map[string]struct {
	status, framing, kind            string
	stream, ticket, resumed, invalid bool
}{
	"plain":          {status: "HTTP/1.1 200 OK", framing: chunked, kind: "again"},
	"stream":         {status: "HTTP/1.1 200 OK", framing: chunked, kind: "again", stream: true},
	"unframed":       {status: "HTTP/1.1 200 OK", kind: "again", stream: true},
	"ticket":         {status: "HTTP/1.1 200 OK", framing: chunked, kind: "once", ticket: true},
	"resumed":        {status: "HTTP/1.1 200 OK", framing: chunked, kind: "once", ticket: true, stream: true, resumed: true},
	"service":        {status: "HTTP/1.1 200 OK", framing: "Content-Length: 16\r\n", kind: "signer-check"},
	"coded-HTTP/1.0": {status: "HTTP/1.0 200 OK", framing: chunked, kind: "signer-check", invalid: true},
}

// truncation is one answer that is cut off. The prompt tells it to the endpoint.
type truncation struct {
	Answer string
	N, At  int
	Reset  bool
}

func (tr truncation) prompt() string {
	return fmt.Sprintf("%s %05d %05d %-5t", tr.Answer, tr.N, tr.At, tr.Reset)
}

// tokens returns the tokens of the answer from a position on.
func (tr truncation) tokens(from int) (tokens []string) {
	for n := from; n < 2; n++ {
		tokens = append(tokens, fmt.Sprintf("%d-%05d ", n, tr.N))
	}
	return tokens
}

// truncatingEndpoint is an engine and a service.
type truncatingEndpoint struct {
	mu sync.Mutex
	// of holds the truncations by request ID. runs and answers count by prompt, lengths are those of whole answers.
	of                     map[string]truncation
	runs, answers, lengths map[string]int
}

func (e *truncatingEndpoint) serve(c *net.TCPConn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		switch {
		case req.URL.Path == engineapi.PathLoad:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		case req.Method == http.MethodDelete:
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		default:
			text, whole, reset := e.answer(req, body)
			_, _ = io.WriteString(c, text)
			if reset {
				_ = c.SetLinger(0)
			}
			// Whole answers leave the connection open: the entry may send its next request there.
			if !whole {
				return
			}
		}
	}
}

func (e *truncatingEndpoint) answer(req *http.Request, body []byte) (text string, whole, reset bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	requestID, from := req.Header.Get(engineapi.HeaderRequestID), 0
	if req.Method == http.MethodGet {
		requestID = path.Base(req.URL.Path)
		from, _ = strconv.Atoi(req.URL.Query().Get("from"))
	} else {
		var r engineapi.CompletionRequest
		if json.Unmarshal(body, &r) != nil {
			r.Prompt = string(body)
		}
		var tr truncation
		_, _ = fmt.Sscanf(r.Prompt, "%s %d %d %t", &tr.Answer, &tr.N, &tr.At, &tr.Reset)
		e.of[requestID] = tr
		e.runs[r.Prompt]++
	}
	tr := e.of[requestID]
	prompt, kind := tr.prompt(), truncatedAnswers[tr.Answer]
	e.answers[prompt]++
	parts := tr.tokens(from)
	if kind.kind != "signer-check" {
		for n, token := range parts {
			parts[n] = event(requestID, from+n, token, nil)
		}
		stop := engineapi.FinishStop
		parts = append(parts, event(requestID, len(tr.tokens(0)), "", &stop), "data: "+engineapi.DoneData+"\n\n")
	}
	text = kind.status + "\r\n" + engineapi.HeaderRequestID + ": " + requestID + "\r\n" +
		engineapi.HeaderGeneration + ": " + requestID + "\r\n" + kind.framing + "\r\n"
	for _, part := range parts {
		if kind.framing == chunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		text += part
	}
	if kind.framing == chunked {
		text += "0\r\n\r\n"
	}
	at, nth := tr.At, e.answers[prompt]
	if kind.resumed {
		nth--
	}
	switch {
	case nth == 0:
		at = strings.Index(text, "\n\n") + 2
	case nth == 1:
		e.lengths[tr.Answer] = len(text)
	default:
		at = len(text)
	}
	whole = at >= len(text)
	return text[:min(at, len(text))], whole && kind.framing != "" && !kind.invalid, tr.Reset && nth == 1
}

func event(id string, index int, text string, reason *string) string {
	data, _ := json.Marshal(engineapi.Chunk{ID: id, RequestID: id, Index: index, Choices: []engineapi.Choice{{Text: text, FinishReason: reason}}})
	return "data: " + string(data) + "\n\n"
}

// try sends the request of a truncation, and returns what is wrong with what its caller gets.
func (e *truncatingEndpoint) try(c *cluster, tr truncation, worker int) (fault string, a answer) {
	kind, want := truncatedAnswers[tr.Answer], strings.Join(tr.tokens(0), "")
	r := call{kind: fmt.Sprintf("%s-%d", kind.kind, worker), prompt: tr.prompt(), stream: kind.stream}
	if kind.ticket {
		r.ticket = c.send(0, call{kind: "lining-check", prompt: "ask"}).ticket
	}
	var runs, length int
	// A request may be refused while its endpoints' circuit breakers are open.
	for try := 0; try < 200 && runs == 0; try++ {
		if a = c.send(0, r); a.outcome == "not_run" {
			sleepMS(20)
		}
		e.mu.Lock()
		runs, length = e.runs[r.prompt], e.lengths[tr.Answer]
		e.mu.Unlock()
	}
	switch {
	case a.err != nil:
		return "no answer", a
	case runs == 0:
		return "no run", a
	case runs > 1 && kind.kind == "once":
		return "too many runs", a
	case a.outcome == "not_run":
		return "called not run, and has run", a
	case a.outcome == "complete" && (a.text != want || kind.invalid):
		return "a part, or an invalid answer, is passed on as whole", a
	case !strings.HasPrefix(want, a.text):
		return "a part that isn't its own", a
	case a.outcome != "complete" && !kind.invalid && (kind.resumed || tr.At >= length):
		return "a whole answer isn't passed on", a
	}
	if kind.ticket {
		again := c.send(0, r)
		e.mu.Lock()
		defer e.mu.Unlock()
		if again.outcome != a.outcome || a.outcome == "complete" && again.text != want || e.runs[r.prompt] != runs {
			return "the repeat gets another answer", again
		}
	}
	return "", a
}

// TestAnAnswerOfAnEngineCutAtAnyByteIsNotWhole guards against parts of answers that callers of our own interface take
// for whole, and second runs.
func TestAnAnswerOfAnEngineCutAtAnyByteIsNotWhole(t *testing.T) {
	const workers = 24
	c := newCluster(t, 0, 1, "-stall-timeout", "20s")
	e := &truncatingEndpoint{of: map[string]truncation{}, runs: map[string]int{}, answers: map[string]int{}, lengths: map[string]int{}}
	table := tableText
	for n := range workers * 4 {
		l := freeport.Listen(t)
		t.Cleanup(func() { l.Close() })
		go func() {
			for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
				go e.serve(conn.(*net.TCPConn))
			}
		}()
		w := n / 4
		endpoint := fleet.Endpoint{
			ID: fmt.Sprint("cut-", n), Type: fleet.Engine, DataCenter: "hall", Address: l.Addr().String(), State: fleet.Live,
			Targets: []string{fmt.Sprint("model-", w)}, CapacityTokens: 16_000, MaxRunning: 64,
		}
		if n%4 >= 2 {
			endpoint.Type, endpoint.Targets = fleet.Service, []string{fmt.Sprint("service-", w)}
		}
		if n%4 == 0 {
			table += fmt.Sprintf("*,again-%[1]d,model-%[1]d,20,3,64,400,20s,30s,yes\n*,once-%[1]d,model-%[1]d,20,3,64,400,20s,30s,no\n"+
				"*,signer-check-%[1]d,service-%[1]d,20,3,64,400,20s,30s,yes\n", w)
		}
		c.list.Endpoints = append(c.list.Endpoints, endpoint)
	}
	list, err := json.Marshal(c.list)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.control(c.platform, "values/fleet", list)
	c.publishTable(table)
	whole := func(name string, w int) truncation { return truncation{Answer: name, N: 90_000 + w, At: 90_000} }
	for w := range workers {
		for name := range truncatedAnswers {
			c.g.Eventually(func() string { a, _ := e.try(c, whole(name, w), w); return a }, patience, "20ms").Should(BeEmpty(), name)
		}
	}
	var all []truncation
	for name, length := range e.lengths {
		if truncatedAnswers[name].invalid {
			continue
		}
		for at := range length + 1 {
			for _, reset := range []bool{false, true} {
				all = append(all, truncation{name, len(all), at, reset && at < length})
			}
		}
	}
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for n := w; n < len(all); n += workers {
				if fault, a := e.try(c, all[n], w); fault != "" {
					t.Errorf("%q: %s: %+v", all[n].prompt(), fault, a)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d cuts", len(all))
}
