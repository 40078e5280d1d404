package peering

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/membudget"
)

// Messages of peers are read whole. Their memory, before and after decompression, is reserved in a
// budget, so that a peer that sends without end fails alone.

// maxResponseHeaderBytes bounds the head of a peer's response.
const maxResponseHeaderBytes = 64 << 10

// limitBodies reserves memory for what is read of the bodies of calls, until the calls have ended. A call
// for which there is none fails with connect.CodeResourceExhausted before it is handled.
func limitBodies(next http.Handler, memory *membudget.Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := memory.Reserve()
		defer held.Release()
		body := r.Body
		rest := func() {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
			_, _ = io.CopyN(io.Discard, body, maxMessageBytes)
		}
		r.Body = readCloser{exhaustedReader{held.CountReader(decompressed(r), maxMessageBytes), rest}, body}
		next.ServeHTTP(w, r)
	})
}

// decompressed returns the decompressed body of a request, which isn't marked as compressed any more: a decompressor of
// connect holds its memory only until it has ended.
func decompressed(r *http.Request) io.Reader {
	const header = "Content-Encoding"
	if r.Header.Get(header) != gzipName {
		return r.Body
	}
	r.Header.Del(header)
	r.ContentLength = -1
	return &gzipBody{src: r.Body}
}

// gzipBody decompresses what is read of src.
type gzipBody struct {
	src io.Reader
	z   *gzip.Reader
}

// Read implements io.Reader.
func (b *gzipBody) Read(p []byte) (n int, err error) {
	if b.z == nil {
		if b.z, err = gzip.NewReader(b.src); err != nil {
			return 0, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	return b.z.Read(p)
}

// restTimeout bounds the time to read the rest of a body for which there is no memory.
const restTimeout = 500 * time.Millisecond

// exhaustedReader tells the other side that there is no memory. It reads the rest of the body first: a
// connection that is closed with unread bytes is reset, and the response may be lost.
type exhaustedReader struct {
	io.Reader
	discardRest func()
}

// Read implements io.Reader.
func (r exhaustedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, membudget.ErrExhausted) {
		r.discardRest()
	}
	if errors.Is(err, membudget.ErrExhausted) || errors.Is(err, membudget.ErrTooLarge) {
		err = connect.NewError(connect.CodeResourceExhausted, err)
	}
	return n, err
}

type readCloser struct {
	io.Reader
	io.Closer
}

// gzipName is the name of the compression in the protocol.
const gzipName = "gzip"

// decompressWithin is the option that decompresses messages within a budget.
func decompressWithin(memory *membudget.Budget) connect.Option {
	return withGzip{connect.WithCompression(gzipName, newDecompressor(memory), newCompressor), connect.WithAcceptCompression(gzipName, newDecompressor(memory), newCompressor)}
}

// withGzip applies to both sides.
type withGzip struct {
	connect.HandlerOption
	connect.ClientOption
}

func newCompressor() connect.Compressor { return gzip.NewWriter(io.Discard) }

func newDecompressor(memory *membudget.Budget) func() connect.Decompressor {
	return func() connect.Decompressor { return &decompressor{memory: memory.Reserve()} }
}

// decompressor reserves memory for what it has decompressed, until it is closed.
type decompressor struct {
	gzip.Reader
	memory *membudget.Reservation
	size   int64
}

// Read implements io.Reader.
func (d *decompressor) Read(p []byte) (int, error) {
	n, err := d.Reader.Read(p)
	d.size += int64(n)
	if !d.memory.Resize(2 * d.size) {
		return 0, membudget.ErrExhausted
	}
	return n, err
}

// Reset implements connect.Decompressor.
func (d *decompressor) Reset(r io.Reader) error {
	d.release()
	return d.Reader.Reset(r)
}

// Close implements connect.Decompressor.
func (d *decompressor) Close() error {
	d.release()
	return d.Reader.Close()
}

func (d *decompressor) release() {
	d.size = 0
	d.memory.Release()
}

// LimitMessages is the option of clients whose responses are decompressed and decoded within a budget. What arrives is
// bounded by LimitResponses.
func LimitMessages(memory *membudget.Budget) connect.ClientOption {
	return connect.WithClientOptions(connect.WithReadMaxBytes(maxMessageBytes), decompressWithin(memory), decodeWithin(memory))
}

// LimitResponses returns a transport that reserves memory for what is read of each response, until its
// body is closed or, for a call with a messageMemory, until the next message.
func LimitResponses(base http.RoundTripper, memory *membudget.Budget) http.RoundTripper {
	return limitedTransport{base, memory}
}

type limitedTransport struct {
	base   http.RoundTripper
	memory *membudget.Budget
}

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	message, ok := r.Context().Value(messageKey{}).(*messageMemory)
	if !ok {
		message = &messageMemory{}
	}
	message.held = t.memory.Reserve()
	resp.Body = &limitedBody{resp.Body, message}
	return resp, nil
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t limitedTransport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// messageMemory is the memory of the message that is being read of a stream.
type messageMemory struct {
	held *membudget.Reservation
	size int64
}

type messageKey struct{}

// next releases the memory of a message that has been handled.
func (m *messageMemory) next() {
	m.size = 0
	if m.held != nil {
		m.held.Release()
	}
}

func withMessageMemory(ctx context.Context) (context.Context, *messageMemory) {
	m := &messageMemory{}
	return context.WithValue(ctx, messageKey{}, m), m
}

type limitedBody struct {
	io.ReadCloser
	message *messageMemory
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	// The buffer of the message grows by doubling.
	b.message.size += int64(n)
	if b.message.size > maxMessageBytes {
		return 0, errors.Wrap(membudget.ErrTooLarge, "response of a peer")
	}
	if !b.message.held.Resize(2 * b.message.size) {
		return 0, errors.Wrap(membudget.ErrExhausted, "response of a peer")
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	b.message.next()
	return b.ReadCloser.Close()
}
