// Package engineclient speaks to endpoints: it starts, follows, resumes and
// cancels generations, and calls plain services.
//
// It never sends a request twice: bodies can't be rewound, so the HTTP client
// can't repeat them on its own. Each failure says what is known of how far the
// request came.
package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/internal/httpclient"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
	"github.com/bridgehoist/bridgehoist/pkg/stream"
)

const (
	dialTimeout   = time.Second
	maxEventBytes = 64 << 10
	maxReplyBytes = 4 << 20
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes     = 64 << 10
	maxIdlePerServer = 64
	idleTimeout      = 30 * time.Second
	cancelTimeout    = 2 * time.Second
)

// Client speaks to endpoints.
type Client struct {
	http      *http.Client
	transport *httpclient.Transport
	// memory bounds what is held of answers; nil is unlimited.
	memory *membudget.Budget
	said   func(from fleet.Endpoint, s Said)
}

// New makes a client. said, unless it is nil, is told of each answer by which an endpoint says
// something of itself, whatever was asked.
func New(said func(from fleet.Endpoint, s Said)) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	out := &Client{said: said}
	out.transport = httpclient.New(&http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
	out.http = &http.Client{
		Transport:     out.transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return out
}

// Limit bounds what is held of answers, and the head of each. It must be called before the first call.
func (c *Client) Limit(memory *membudget.Budget, headBytes int) {
	c.memory = memory
	c.transport.SetMaxHeadBytes(headBytes)
}

// onceBody can be read once; the HTTP client has no way to rewind it.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// send makes one call. The failure is NotSent only if no connection was had.
func (c *Client) send(ctx context.Context, to fleet.Endpoint, method, path string, body []byte, header http.Header) (*http.Response, *attempt.Failure) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+to.Address+path, nil)
	if err != nil {
		return nil, &attempt.Failure{Kind: retry.NotSent, Err: err}
	}
	if body != nil {
		req.Body = onceBody{bytes.NewReader(body)}
		req.ContentLength = int64(len(body))
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	switch {
	case err == nil:
		c.tell(to, resp)
		return resp, nil
	case !connected.Load():
		return nil, &attempt.Failure{Kind: retry.NotSent, Err: err}
	case errors.Is(err, httpclient.ErrInvalidHead):
		return nil, &attempt.Failure{Kind: retry.ProtocolError, Err: err}
	default:
		return nil, &attempt.Failure{Kind: retry.LinkLost, Err: err}
	}
}

func incarnation(resp *http.Response) uint64 {
	n, _ := strconv.ParseUint(resp.Header.Get(engineapi.HeaderIncarnation), 10, 64)
	return n
}

// refusal reads a reply with an error status.
func refusal(resp *http.Response) *attempt.Failure {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
	f := &attempt.Failure{
		Kind:        retry.ProtocolError,
		Draining:    resp.Header.Get(engineapi.HeaderDraining) != "",
		Incarnation: incarnation(resp),
		Err:         errors.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text)),
	}
	if resp.Header.Get(engineapi.HeaderNotRun) != "" {
		f.Kind = retry.RefusedBeforeExecution
	}
	return f
}

// Stream is an open generation.
type Stream struct {
	Generation stream.Generation
	requestID  string
	body       *eventBody
}

// eventBody reserves memory for the event that is being read.
type eventBody struct {
	io.ReadCloser
	memory *membudget.Reservation
	size   int64
}

// Read implements io.Reader. The buffer of an event grows by doubling.
func (b *eventBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += int64(n)
	if !b.memory.Resize(2 * b.size) {
		return 0, membudget.ErrExhausted
	}
	return n, err
}

// next releases the memory of an event that has been read.
func (b *eventBody) next() {
	b.size = 0
	b.memory.Release()
}

// Close implements io.Closer.
func (b *eventBody) Close() error {
	b.next()
	return b.ReadCloser.Close()
}

// Start asks for a generation.
func (c *Client) Start(ctx context.Context, e fleet.Endpoint, requestID string, req *engineapi.CompletionRequest) (*Stream, *attempt.Failure) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, &attempt.Failure{Kind: retry.NotSent, Err: err}
	}
	header := http.Header{
		"Content-Type":                    {"application/json"},
		engineapi.HeaderRequestID:         {requestID},
		http.CanonicalHeaderKey("Accept"): {"text/event-stream"},
	}
	resp, f := c.send(ctx, e, http.MethodPost, engineapi.PathCompletions, body, header)
	if f != nil {
		return nil, f
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(resp)
	}
	return c.open(e, requestID, resp), nil
}

// Resume follows a generation again, from an index on.
func (c *Client) Resume(ctx context.Context, e fleet.Endpoint, requestID string, g stream.Generation, from int) (*Stream, *attempt.Failure) {
	path := engineapi.PathGenerations + g.ID + "?from=" + strconv.Itoa(from)
	resp, f := c.send(ctx, e, http.MethodGet, path, nil, nil)
	if f != nil {
		// The request itself was sent long ago; only the link is missing.
		f.Kind = retry.LinkLost
		return nil, f
	}
	if resp.StatusCode != http.StatusOK || incarnation(resp) != g.Incarnation {
		f = refusal(resp)
		f.Kind = retry.GenerationLost
		return nil, f
	}
	return c.open(e, requestID, resp), nil
}

func (c *Client) open(e fleet.Endpoint, requestID string, resp *http.Response) *Stream {
	return &Stream{
		Generation: stream.Generation{
			Endpoint:    e.ID,
			Incarnation: incarnation(resp),
			ID:          resp.Header.Get(engineapi.HeaderGeneration),
		},
		requestID: requestID,
		body:      &eventBody{ReadCloser: resp.Body, memory: c.memory.Reserve()},
	}
}

// Event is one chunk of a stream; Usage comes with the last.
type Event struct {
	// RequestID is the attempt that the engine says it answers.
	RequestID string
	Chunk     stream.Chunk
	Usage     *engineapi.Usage
}

// Each calls handle for each event until it returns false or the stream ends.
// A stream that ends without its last chunk is a lost link.
func (s *Stream) Each(handle func(Event) bool) *attempt.Failure {
	defer s.body.Close()
	for ev, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return &attempt.Failure{Kind: retry.LinkLost, Err: err}
		}
		s.body.next()
		if ev.Data == engineapi.DoneData {
			return nil
		}
		event, err := s.parse(ev.Data)
		if err != nil {
			return &attempt.Failure{Kind: retry.ProtocolError, Err: err}
		}
		if !handle(event) {
			return nil
		}
	}
	return &attempt.Failure{Kind: retry.LinkLost, Err: io.ErrUnexpectedEOF}
}

func (s *Stream) parse(data string) (Event, error) {
	c, err := ParseChunk([]byte(data))
	if err != nil {
		return Event{}, err
	}
	if c.RequestID != s.requestID {
		return Event{}, errors.New("chunk of another request")
	}
	out := Event{RequestID: c.RequestID, Usage: c.Usage, Chunk: stream.Chunk{
		Generation: stream.Generation{Endpoint: s.Generation.Endpoint, Incarnation: c.Incarnation, ID: c.ID},
		Index:      c.Index,
		Text:       c.Choices[0].Text,
	}}
	if r := c.Choices[0].FinishReason; r != nil {
		out.Chunk.Final = true
		out.Chunk.FinishReason = *r
	}
	return out, nil
}

// ParseChunk reads one event's data.
func ParseChunk(data []byte) (*engineapi.Chunk, error) {
	var c engineapi.Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "chunk")
	}
	if len(c.Choices) != 1 {
		return nil, errors.Errorf("chunk with %d choices", len(c.Choices))
	}
	if c.Index < 0 {
		return nil, errors.New("chunk with a negative index")
	}
	return &c, nil
}

// Cancel asks an engine to stop a generation; it is best effort.
func (c *Client) Cancel(e fleet.Endpoint, g stream.Generation) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	resp, f := c.send(ctx, e, http.MethodDelete, engineapi.PathGenerations+g.ID, nil, nil)
	if f == nil {
		resp.Body.Close()
	}
}

// Reply is the answer of a plain service. Its memory is reserved until it is released.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte

	memory *membudget.Reservation
}

// Release gives the memory of the body back.
func (r *Reply) Release() { r.memory.Release() }

// Call makes one call of a plain service.
func (c *Client) Call(ctx context.Context, e fleet.Endpoint, requestID, method, path, contentType string, body []byte) (*Reply, *attempt.Failure) {
	header := http.Header{engineapi.HeaderRequestID: {requestID}}
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	if body == nil {
		// The HTTP client repeats requests without a body on its own.
		body = []byte{}
	}
	resp, f := c.send(ctx, e, method, path, body, header)
	if f != nil {
		return nil, f
	}
	if resp.Header.Get(engineapi.HeaderNotRun) != "" {
		return nil, refusal(resp)
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(engineapi.HeaderRequestID); got != "" && got != requestID {
		return nil, &attempt.Failure{Kind: retry.ProtocolError, Err: errors.New("reply to another request")}
	}
	memory := c.memory.Reserve()
	data, err := memory.ReadAll(resp.Body, maxReplyBytes)
	if err != nil {
		memory.Release()
	}
	if errors.Is(err, membudget.ErrTooLarge) {
		return nil, &attempt.Failure{Kind: retry.ProtocolError, Err: errors.New("reply too large")}
	}
	if err != nil {
		return nil, &attempt.Failure{Kind: retry.LinkLost, Err: err}
	}
	return &Reply{resp.StatusCode, resp.Header.Get("Content-Type"), data, memory}, nil
}

// Load reads an endpoint's load report.
func (c *Client) Load(ctx context.Context, e fleet.Endpoint) (*engineapi.LoadReport, error) {
	resp, f := c.send(ctx, e, http.MethodGet, engineapi.PathLoad, nil, nil)
	if f != nil {
		return nil, f
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("load: status %d", resp.StatusCode)
	}
	var out engineapi.LoadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&out); err != nil {
		return nil, errors.Wrap(err, "load")
	}
	return &out, nil
}
