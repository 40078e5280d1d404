package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/httpapi"
	"github.com/bridgehoist/bridgehoist/internal/httpclient"
	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/standin"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
)

// Client plays the callers behind a balancer: each attempt goes to the next
// entry in turn.
type Client struct {
	entries []string
	http    *http.Client
	turn    atomic.Uint64
	// tag makes the requests of a run different from those of others.
	tag string
}

const (
	callTimeout = 5 * time.Minute
	// maxAttempts of a request with a ticket whose fate is unknown.
	maxAttempts  = 3
	attemptPause = 100 * time.Millisecond
	maxEvent     = 64 << 10
)

// NewClient makes a client of entries given as http://IP:port.
func NewClient(entries []string, tag string) *Client {
	return &Client{
		entries: entries,
		tag:     tag,
		http:    &http.Client{Timeout: callTimeout, Transport: httpclient.New(&http.Transport{MaxIdleConnsPerHost: 256})},
	}
}

func (c *Client) entry() string {
	n := c.turn.Add(1)
	return c.entries[n%uint64(len(c.entries))]
}

// APIKey gives the key of a workspace in the demo.
func APIKey(workspace string) string { return "key-" + workspace }

// Run sends the arrivals at their times and returns the records of all.
func (c *Client) Run(ctx context.Context, arrivals []Arrival) []Record {
	records := make([]Record, len(arrivals))
	start := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		select {
		case <-time.After(time.Until(start.Add(a.At))):
		case <-ctx.Done():
			return records[:i]
		}
		wg.Go(func() { records[i] = c.send(i, a) })
	}
	wg.Wait()
	return records
}

// request is one request with what its answer must be.
type request struct {
	arrival Arrival
	body    []byte
	path    string
	hash    string
	want    string
}

func (c *Client) make(i int, a Arrival) request {
	id := fmt.Sprintf("%s-%s-%d ", c.tag, a.Kind.Name, i)
	if a.Kind.Model == "" {
		body := fmt.Appendf(nil, `{"id":%q}`, id)
		return request{a, body, httpapi.PathServices + a.Kind.Name + "/check", standin.TextHash(string(body)), ""}
	}
	prompt := id + standin.MarkLength(a.OutputTokens)
	prompt += strings.Repeat("clay", max(a.PromptTokens-len(prompt)/4, 0))
	body, _ := json.Marshal(engineapi.CompletionRequest{Model: a.Kind.Model, Prompt: prompt, Stream: a.Kind.Stream})
	return request{a, body, httpapi.PathCompletions, standin.TextHash(prompt), standin.Answer(prompt)}
}

// send makes the attempts of one request. One whose fate is unknown is sent
// again through another entry with the same ticket.
func (c *Client) send(i int, a Arrival) Record {
	req := c.make(i, a)
	rec := Record{Kind: a.Kind.Name, Weight: a.Kind.Weight, Hash: req.hash, Ticket: a.Kind.Ticket}
	ticket := ""
	if a.Kind.Ticket {
		ticket = c.ticket(a.Workspace)
	}
	start := time.Now()
	for rec.Attempts < maxAttempts {
		rec.Attempts++
		again := c.attempt(&rec, req, &ticket, start)
		if !again {
			break
		}
		time.Sleep(attemptPause)
	}
	return rec
}

func (c *Client) ticket(workspace string) string {
	req, _ := http.NewRequest(http.MethodPost, c.entry()+httpapi.PathTickets, nil)
	req.Header.Set("Authorization", "Bearer "+APIKey(workspace))
	resp, err := c.http.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var t httpapi.Tickets
	if json.NewDecoder(resp.Body).Decode(&t) != nil || len(t.Tickets) == 0 {
		return ""
	}
	return t.Tickets[0]
}

// attempt sends the request once and fills the record; true asks for another.
func (c *Client) attempt(rec *Record, req request, ticket *string, start time.Time) bool {
	hr, _ := http.NewRequest(http.MethodPost, c.entry()+req.path, bytes.NewReader(req.body))
	hr.GetBody = nil
	hr.Header.Set("Authorization", "Bearer "+APIKey(req.arrival.Workspace))
	hr.Header.Set(httpapi.HeaderKind, req.arrival.Kind.Name)
	if *ticket != "" {
		hr.Header.Set(httpapi.HeaderTicket, *ticket)
	}
	resp, err := c.http.Do(hr)
	if err != nil {
		rec.Class = MayHaveRun
		rec.Detail = err.Error()
		return *ticket != ""
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(rec, resp, ticket)
	}
	p := progress{start: start, last: start}
	if err := read(rec, req, resp, &p); err != nil {
		rec.Detail = err.Error()
		if rec.Class == "" {
			rec.Class = Broken
		}
	}
	rec.Stall, rec.FirstToken, rec.Gaps = p.stall, p.first, p.gaps
	return false
}

// refused reads an error answer. A request that needs a ticket gets it here.
func refused(rec *Record, resp *http.Response, ticket *string) bool {
	var body httpapi.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		rec.Class = Broken
		rec.Detail = "bad error body: " + err.Error()
		return false
	}
	rec.Class = Class(body.Error.Type)
	rec.Code = body.Error.Code
	rec.Detail = body.Error.Message
	if rec.Code == string(outcome.CodeTicketRequired) {
		*ticket = resp.Header.Get(httpapi.HeaderTicket)
		return *ticket != ""
	}
	return false
}

// progress measures the gaps of one answer.
type progress struct {
	start, last  time.Time
	first, stall time.Duration
	gaps         []time.Duration
}

func (p *progress) token() {
	now := time.Now()
	gap := now.Sub(p.last)
	p.last = now
	if p.first == 0 {
		p.first = now.Sub(p.start)
	} else {
		p.gaps = append(p.gaps, gap)
	}
	if gap > job.StallThreshold {
		p.stall += gap
	}
}

func read(rec *Record, req request, resp *http.Response, p *progress) error {
	switch {
	case req.want == "":
		return readService(rec, req, resp, p)
	case req.arrival.Kind.Stream:
		return readStream(rec, req, resp, p)
	default:
		return readWhole(rec, req, resp, p)
	}
}

func readService(rec *Record, req request, resp *http.Response, p *progress) error {
	var a standin.ServiceAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return err
	}
	p.token()
	if a.Echo != req.hash {
		return errors.Errorf("answer of another request: %s", a.Echo)
	}
	rec.Class = Answered
	return nil
}

func readWhole(rec *Record, req request, resp *http.Response, p *progress) error {
	var a httpapi.Completion
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return err
	}
	p.token()
	if len(a.Choices) != 1 || a.Choices[0].Text != req.want {
		return errors.New("not the whole answer to this request")
	}
	rec.Class = Answered
	if a.Usage != nil {
		rec.Preemptions = a.Usage.Preemptions
	}
	return nil
}

func readStream(rec *Record, req request, resp *http.Response, p *progress) error {
	var text strings.Builder
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return cut(rec, err, text.String(), req.want)
		}
		if ev.Type == httpapi.EventError {
			return streamError(rec, ev.Data, text.String(), req.want)
		}
		if ev.Data == engineapi.DoneData {
			return checkText(rec, text.String(), req.want)
		}
		var c httpapi.Completion
		if err := json.Unmarshal([]byte(ev.Data), &c); err != nil {
			return err
		}
		if c.Usage != nil {
			rec.Preemptions = c.Usage.Preemptions
			continue
		}
		p.token()
		text.WriteString(c.Choices[0].Text)
	}
	return errors.New("a clean end without the last event")
}

// cut is a connection that broke, as when the entry was killed. The caller can
// tell that the answer isn't whole; what came must be a part of the right one.
func cut(rec *Record, err error, got, want string) error {
	if !strings.HasPrefix(want, got) {
		return errors.New("a part of another answer")
	}
	rec.Class = Incomplete
	rec.Code = err.Error()
	return nil
}

func checkText(rec *Record, got, want string) error {
	if got != want {
		return errors.Errorf("the answer differs: %d bytes, want %d", len(got), len(want))
	}
	rec.Class = Answered
	return nil
}

// streamError reads the event that ends a stream which failed; what came
// before must still be a part of the right answer.
func streamError(rec *Record, data, got, want string) error {
	var body httpapi.ErrorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return err
	}
	if !strings.HasPrefix(want, got) {
		return errors.New("a part of another answer")
	}
	rec.Class = Class(body.Error.Type)
	rec.Code = body.Error.Code
	return nil
}

// Runs adds up how often each request ran at the given stand-ins.
func Runs(standins []string) (map[string]int, error) {
	client := &http.Client{Timeout: callTimeout, Transport: httpclient.New(&http.Transport{DisableKeepAlives: true})}
	total := map[string]int{}
	for _, s := range standins {
		resp, err := client.Get(s + "/control/runs")
		if err != nil {
			return nil, errors.Wrap(err, "runs")
		}
		var runs map[string]int
		err = json.NewDecoder(resp.Body).Decode(&runs)
		resp.Body.Close()
		if err != nil {
			return nil, errors.Wrap(err, "runs")
		}
		for k, n := range runs {
			total[k] += n
		}
	}
	return total, nil
}
