package upstream

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/membudget"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

const (
	// maxIdlePerEndpoint bounds the kept connections to one endpoint.
	maxIdlePerEndpoint = 32
	// defaultMaxIdle is for how long a connection is kept without use.
	defaultMaxIdle = 8 * time.Second
	// writeAtOnce is the size up to which a body is written before the answer is
	// read. Larger ones are written beside it, as an endpoint may answer before it
	// has read all.
	writeAtOnce = 32 << 10
	// maxStrayAnswers bounds the answers to other requests, and the informational ones, that are skipped.
	maxStrayAnswers = 4
	// maxStrayBytes bounds the body of one of them.
	maxStrayBytes = 4 << 20
	// defaultHeadBytes bounds the head of an answer unless MaxHeadBytes is set.
	defaultHeadBytes = 16 << 10
	// maxHeadFields bounds the fields of a head. In memory each takes far more than its bytes.
	maxHeadFields = 256
	// sweepInterval is the time between two searches for idle connections that endpoints have closed, or
	// have sent something on that nobody reads.
	sweepInterval = 5 * time.Second
)

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	// Dial opens the connections. Tests may replace it before the first use.
	Dial Dialer
	// MaxHeadBytes bounds the status line and the fields of an answer; zero is defaultHeadBytes. Memory
	// bounds what is read whole of answers; nil is unlimited. Neither may change after the first use.
	MaxHeadBytes int
	Memory       *membudget.Budget

	protocol Protocol
	hooks    Hooks

	mu sync.Mutex
	// idle are the connections by the life of the endpoint that they were made to: an
	// answer on one must be that of the process which got the request, and no request is
	// lost on one whose peer has gone without a word.
	idle map[fleet.Instance][]*conn
	// listed, if set, reports whether connections to a life are worth keeping.
	listed func(fleet.Instance) bool
}

// NewPool makes an empty pool.
func NewPool(p Protocol, h Hooks) *Pool {
	return &Pool{Dial: dialEndpoint, protocol: p, hooks: h, idle: map[fleet.Instance][]*conn{}}
}

func (p *Pool) dialed() {
	if p.hooks.Dialed != nil {
		p.hooks.Dialed()
	}
}

func (p *Pool) admit(to fleet.Endpoint, s Sending) error {
	if p.hooks.Admit == nil {
		return nil
	}
	return p.hooks.Admit(to, s)
}

func (p *Pool) answered(from fleet.Endpoint, sent time.Time, status int, a Answer) {
	if p.hooks.Answered != nil {
		p.hooks.Answered(from, sent, status, a)
	}
}

// Keep closes the idle connections to lives of endpoints that are no longer listed, and
// from now on those in use when their answers end.
func (p *Pool) Keep(listed func(fleet.Instance) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = listed
	for life, conns := range p.idle {
		if listed(life) {
			continue
		}
		for _, c := range conns {
			c.Close()
		}
		delete(p.idle, life)
	}
}

// Run closes idle connections that are no longer usable, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	for pause.For(ctx, sweepInterval) {
		p.sweep()
	}
}

func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for life, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if c.usable(now, defaultMaxIdle) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		clear(conns[len(kept):])
		p.idle[life] = kept
		if len(kept) == 0 {
			delete(p.idle, life)
		}
	}
}

// take returns a kept connection that is usable and that fits, or nil.
func (p *Pool) take(life fleet.Instance, fits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	conns := p.idle[life]
	for i := len(conns) - 1; i >= 0; i-- {
		c := conns[i]
		if !fits(c) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		p.idle[life] = conns
		if c.usable(now, defaultMaxIdle) {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *Pool) put(life fleet.Instance, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed != nil && !p.listed(life) || len(p.idle[life]) >= maxIdlePerEndpoint {
		c.Close()
		return
	}
	p.idle[life] = append(p.idle[life], c)
}

// Response is an answer whose body is still to be read. It must be closed.
type Response struct {
	Answer
	Status int
	// Length of the body, or -1 if it isn't known.
	Length int64
	// Closing says that the endpoint closes the connection after the answer.
	Closing bool
	// Framed says that the end of the body can be told from a broken connection.
	Framed bool

	pool     *Pool
	life     fleet.Instance
	conn     *conn
	body     io.ReadCloser
	release  func() bool
	upload   *upload
	reusable bool
	ended    bool
}

// Do sends a request to an endpoint and reads the head of its answer. When the
// context ends the connection is closed, so that the endpoint stops its work. To an endpoint
// that wants nothing now not even a connection is opened.
func (p *Pool) Do(ctx context.Context, e fleet.Endpoint, r *Request, s Sending) (*Response, *attempt.Failure) {
	if err := p.admit(e, s); err != nil {
		return nil, &attempt.Failure{Kind: retry.NotSent, Paused: true, Err: err}
	}
	for {
		if ctx.Err() != nil {
			return nil, &attempt.Failure{Kind: retry.NotSent, Err: context.Cause(ctx)}
		}
		c := p.take(e.Instance(), func(c *conn) bool { return c.mayCarry(r.ID) })
		kept := c != nil
		if !kept {
			var err error
			if c, err = p.Dial.open(ctx, e.Address); err != nil {
				return nil, &attempt.Failure{Kind: retry.NotSent, Err: err}
			}
			p.dialed()
		}
		resp, f := p.exchange(ctx, c, e, r, s)
		if f != nil && f.Kind == retry.NotSent && kept && ctx.Err() == nil {
			// The connection was dead before a byte was taken; the next one may not be.
			continue
		}
		return resp, f
	}
}

func (p *Pool) exchange(ctx context.Context, c *conn, e fleet.Endpoint, r *Request, s Sending) (*Response, *attempt.Failure) {
	release := context.AfterFunc(ctx, func() { c.Close() })
	c.carry(r.ID)
	fail := func(kind retry.Failure, err error) (*Response, *attempt.Failure) {
		release()
		c.Close()
		return nil, &attempt.Failure{Kind: kind, Err: err}
	}
	if ctx.Err() != nil {
		return fail(retry.NotSent, context.Cause(ctx))
	}
	sent := clock.Now()
	upload, err := p.write(c, r, s)
	if err != nil {
		return fail(retry.NotSent, err)
	}
	resp, err := p.answer(c, r, func(status int, a Answer) {
		if a.RequestID != r.ID {
			p.answered(e, time.Time{}, status, a)
			return
		}
		p.answered(e, sent, status, a)
	})
	if err != nil {
		return fail(kindOf(err), err)
	}
	resp.life = e.Instance()
	resp.release = release
	resp.upload = upload
	resp.reusable = resp.reusable && upload.complete()
	return resp, nil
}

// errNotAnAnswer says that the bytes on a connection are no answer.
var errNotAnAnswer = errors.New("not an answer in the protocol")

// kindOf tells a broken link from an endpoint that sent what makes no sense.
func kindOf(err error) retry.Failure {
	if errors.Is(err, errNotAnAnswer) {
		return retry.ProtocolError
	}
	return retry.LinkLost
}

// write sends the request, the end of a large one in the background. An error means that nothing has left.
func (p *Pool) write(c *conn, r *Request, s Sending) (*upload, error) {
	var buf bytes.Buffer
	p.head(&buf, r, s)
	if len(r.Body) <= writeAtOnce {
		buf.Write(r.Body)
	}
	n, err := c.Write(buf.Bytes())
	if n == 0 && err != nil {
		return nil, err
	}
	if err != nil || len(r.Body) <= writeAtOnce {
		return endedUpload(err), nil
	}
	return startUpload(func() error {
		_, err := c.Write(r.Body)
		return err
	}), nil
}

func (p *Pool) head(buf *bytes.Buffer, r *Request, s Sending) {
	h := r.Header.Clone()
	p.protocol.WriteRequest(h, s)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	buf.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer takes every write.
	_ = h.Write(buf)
	buf.WriteString("\r\n")
}

// answer reads heads until one is of the request; heard is told of each.
func (p *Pool) answer(c *conn, r *Request, heard func(status int, a Answer)) (*Response, error) {
	for range maxStrayAnswers {
		hr, err := p.readHead(c, r)
		if err != nil {
			return nil, err
		}
		if hr.StatusCode < http.StatusOK {
			continue
		}
		a := p.protocol.ReadAnswer(hr.StatusCode, hr.Header)
		heard(hr.StatusCode, a)
		if a.RequestID != r.ID && a.RequestID == "" && !c.anonymous {
			return nil, errors.Wrapf(errNotAnAnswer, "status %d without the ID of a request", hr.StatusCode)
		}
		if a.RequestID != r.ID {
			// A surplus answer to an earlier request on this connection.
			if err := discardStray(hr.Body); err != nil {
				return nil, err
			}
			continue
		}
		c.keep = keepAlive(hr.Header)
		framed := hr.ContentLength >= 0 || len(hr.TransferEncoding) > 0
		return &Response{
			Answer:   a,
			Status:   hr.StatusCode,
			Length:   hr.ContentLength,
			pool:     p,
			conn:     c,
			body:     hr.Body,
			Framed:   framed,
			Closing:  hr.Close,
			reusable: !hr.Close && framed && !c.exhausted(),
		}, nil
	}
	return nil, errors.Wrap(errNotAnAnswer, "too many answers to other requests")
}

// readHead reads the status line and the fields of the next answer. Nothing of a head that isn't valid is used.
func (p *Pool) readHead(c *conn, r *Request) (*http.Response, error) {
	c.beginHead(cmp.Or(p.MaxHeadBytes, defaultHeadBytes))
	defer c.endHead()
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	hr, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	switch {
	case c.headInvalid != nil:
		return nil, c.headInvalid
	case err != nil && c.headErr != nil:
		// The end of the connection leaves a line that is cut off, which is reported as a malformed one.
		return nil, errors.Wrap(c.headErr, "in the head of an answer")
	case err != nil:
		return nil, errors.Wrap(errNotAnAnswer, err.Error())
	case !c.head.Done():
		return nil, errors.Wrap(errNotAnAnswer, "the end of the head is unclear")
	}
	fields := 0
	for _, values := range hr.Header {
		fields += len(values)
	}
	if fields > maxHeadFields {
		return nil, errors.Wrapf(errNotAnAnswer, "a head of %d fields", fields)
	}
	return hr, nil
}

// discardStray reads the body of an answer to another request.
func discardStray(body io.Reader) error {
	n, err := io.CopyN(io.Discard, body, maxStrayBytes)
	switch {
	case err == io.EOF:
		return nil
	case err != nil:
		return err
	default:
		return errors.Wrapf(errNotAnAnswer, "an answer to another request is longer than %d bytes", n)
	}
}

// keepAlive reads for how long an endpoint keeps an idle connection.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(min(n, maxKeepSeconds)) * time.Second
		}
	}
	return 0
}

// maxKeepSeconds bounds what an endpoint says of that, so that it is in range as a time.
const maxKeepSeconds = 24 * 60 * 60

// Read reads the body. It returns io.EOF only at the end of a whole body, which may have to wait for the end of the
// upload if the body isn't framed.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err != io.EOF {
		return n, err
	}
	if !r.Framed {
		if err := r.upload.wait(); err != nil {
			return n, errors.Wrap(err, "the connection broke during the upload")
		}
	}
	r.ended = true
	return n, io.EOF
}

// discardTimeout bounds the wait for the rest of an answer that nobody wants: that of a
// refusal comes with its head. A body that isn't there is not awaited, since a repeat or
// the caller's next event waits meanwhile: an error whose body stayed open for 8 s held
// them for 8 s.
const discardTimeout = 20 * time.Millisecond

// maxDiscardBytes bounds what is read of such an answer.
const maxDiscardBytes = 64 << 10

// Discard ends the exchange without the answer. The connection stays good if the rest of
// the answer is short and there.
func (r *Response) Discard() {
	if !r.reusable {
		r.Close()
		return
	}
	if r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		// If it breaks off, the connection isn't kept.
		_, _ = io.CopyN(io.Discard, r, maxDiscardBytes)
	}
	if r.conn.SetReadDeadline(time.Time{}) != nil {
		r.reusable = false
	}
	r.Close()
}

// Close ends the exchange. The connection is kept if the body was read to its
// end and nothing follows it.
func (r *Response) Close() {
	cancelled := !r.release()
	if cancelled || !r.ended || !r.reusable || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		return
	}
	r.conn.lastUsed = clock.Now()
	r.pool.put(r.life, r.conn)
}
