// Package httpclient makes HTTP/1 transports that return responses only if their heads are valid, and bodies only as far
// as they are whole.
//
// It adds two checks to http.Transport, which doesn't make them:
//
//   - The head of each response is judged by package responsehead, informational ones too. A response without a valid
//     head is an error, and its connection is closed.
//   - A body that ends with its connection is whole only if the request was written without an error. Linux reports the
//     reset of a connection once, to whichever of its reader and its writer asks first. If the writer gets it, the reader
//     gets a clean end. So the end of such a body is held back until the request has been written (RFC 9112, section 8).
//
// Package upstream makes the same checks on connections of its own.
package httpclient

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// defaultMaxHeadBytes bounds the head of a response unless the transport has a limit.
const defaultMaxHeadBytes = 64 << 10

// ErrInvalidHead says that the head of a response isn't valid. The request may have run.
var ErrInvalidHead = errors.New("invalid head of a response")

// Transport is an http.RoundTripper. It is safe for concurrent use.
type Transport struct {
	base         *http.Transport
	maxHeadBytes int
}

// New makes a transport with the settings of base, which must not be used any more. Proxies and HTTP/2 aren't supported.
func New(base *http.Transport) *Transport {
	t := &Transport{base: base}
	t.SetMaxHeadBytes(cmp.Or(int(base.MaxResponseHeaderBytes), defaultMaxHeadBytes))
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, t.maxHeadBytes), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		encrypted, err := handshake(ctx, c, address, base.TLSClientConfig)
		if err != nil {
			// The handshake's error says more.
			_ = c.Close()
			return nil, err
		}
		return newConn(encrypted, t.maxHeadBytes), nil
	}
	return t
}

// handshake makes a TLS connection to the host of an address.
func handshake(ctx context.Context, c net.Conn, address string, settings *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if settings == nil {
		settings = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	settings = settings.Clone()
	settings.ServerName = cmp.Or(settings.ServerName, host)
	encrypted := tls.Client(c, settings)
	return encrypted, encrypted.HandshakeContext(ctx)
}

// SetMaxHeadBytes bounds the heads of a response, the informational ones included. It must be called before the first
// request.
func (t *Transport) SetMaxHeadBytes(n int) {
	t.maxHeadBytes, t.base.MaxResponseHeaderBytes = n, int64(n)
}

// RoundTrip implements http.RoundTripper. The error wraps ErrInvalidHead if the response has an invalid head.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// http.Transport tries another connection if a kept one turns out to be dead.
	var via atomic.Pointer[conn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn.(*conn)
			c.begin()
			via.Store(c)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { via.Load().requestWritten() },
	})
	resp, err := t.base.RoundTrip(r.WithContext(ctx))
	if via.Load() == nil {
		return nil, err
	}
	headErr := via.Load().checkHead()
	switch {
	case err == nil && headErr == nil:
		return resp, nil
	case err == nil:
		// Nothing of the response is used.
		_ = resp.Body.Close()
		return nil, headErr
	case errors.Is(headErr, ErrInvalidHead):
		return nil, headErr
	default:
		return nil, err
	}
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
