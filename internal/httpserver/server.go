// Package httpserver runs HTTP servers whose connections are bounded and whose stop drops no request.
//
// http.Server closes connections that it holds for idle, among them those on which a request has just been read,
// and http.Server.Shutdown also drops requests that it reads after its begin. Here a request that has been read on a
// connection is either served and its response written, or not passed to the handler at all: see connections.
//
// A response that begins before the body of its request has been read is written at once, where http.Server waits for up
// to 256 KiB of it. If the rest hasn't arrived, the connection is closed after it.
package httpserver

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/membudget"
)

// Config holds the settings of a Server.
type Config struct {
	// HTTP is the server to run. Its ConnState and ConnContext are set by this package, and its Handler is wrapped.
	HTTP *http.Server
	// TLS, if set, is the configuration of encrypted connections.
	TLS *tls.Config
	// MaxConnections bounds the open connections; zero is unlimited.
	MaxConnections int
	// HeadMemory bounds what the heads of all requests take, from when they arrive until their responses have been
	// written; nil is unlimited.
	HeadMemory *membudget.Budget
	// OnHeadRefused, if set, is called for each head that exceeds its bounds.
	OnHeadRefused func()
	// OnConnectionClosed, if set, is called for each connection that is closed since there are too many.
	OnConnectionClosed func()
	// OnLateRequest, if set, is called for each request that was read when its connection had been closed with the
	// server. The handler doesn't get it.
	OnLateRequest func(*http.Request)
	// OnAcceptError, if set, is called for each error of the listener, which goes on.
	OnAcceptError func(error)
}

// Server is a running HTTP server.
type Server struct {
	cfg         Config
	listener    net.Listener
	connections *connections
}

// connKey is the key of the connection in the contexts of requests.
type connKey struct{}

// Start serves on a listener.
func Start(l net.Listener, cfg Config) *Server {
	s := &Server{cfg: cfg, connections: newConnections(cfg.MaxConnections, cfg.OnConnectionClosed)}
	s.connections.headerTimeout, s.connections.idleTimeout = cfg.HTTP.ReadHeaderTimeout, cfg.HTTP.IdleTimeout
	s.connections.heads, s.connections.encrypted, s.connections.onHeadRefused = cfg.HeadMemory, cfg.TLS != nil, cfg.OnHeadRefused
	s.listener = listener{l, s.connections, cfg.OnAcceptError}
	if cfg.TLS != nil {
		// The handshake has a time of its own, which http.Server sets as well.
		s.connections.idleTimeout = 0
		s.listener = tls.NewListener(s.listener, cfg.TLS)
	}
	cfg.HTTP.ConnState = s.connections.changed
	cfg.HTTP.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	cfg.HTTP.Handler = s.admit(cfg.HTTP.Handler)
	// It returns when the listener is closed.
	go func() { _ = cfg.HTTP.Serve(s.listener) }()
	return s
}

// admit drops the requests of connections that have been closed with the server, and refuses those whose context has
// ended before.
func (s *Server) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*conn)
		if s.connections.phase(c) == closed {
			if s.cfg.OnLateRequest != nil {
				s.cfg.OnLateRequest(r)
			}
			panic(http.ErrAbortHandler)
		}
		if r.Context().Err() != nil {
			// A read that timed out ends the contexts of all requests of its connection.
			CloseAfter(w, true)
			http.Error(w, "the connection is closing", http.StatusServiceUnavailable)
			return
		}
		s.connections.handles(c, !r.ProtoAtLeast(1, 1))
		body := trackBody(r)
		begun := false
		begin := func() {
			begun = true
			CloseAfter(w, !c.finishBody(body) || s.connections.isDraining())
		}
		// http.Server looks at the body of its own copy.
		r = r.WithContext(r.Context())
		r.Body = body
		next.ServeHTTP(BeforeResponse(w, begin), r)
		if !begun {
			begin()
		}
		s.connections.returned(c)
	})
}

// trackedBody records whether the body has been read to its end.
type trackedBody struct {
	io.ReadCloser
	// awaited says that the client sends the body only once it is read.
	awaited, ended bool
}

func trackBody(r *http.Request) *trackedBody {
	return &trackedBody{ReadCloser: r.Body, awaited: r.Header.Get("Expect") != "", ended: r.Body == http.NoBody}
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// maxRestBytes bounds what is read of the rest of a body, so that its connection can be kept.
const maxRestBytes = 256 << 10

// finishBody reads what has arrived of the rest of a body, and reports whether that was all. Otherwise the connection
// must be closed after the response.
func (c *conn) finishBody(body *trackedBody) (whole bool) {
	if body.ended {
		return true
	}
	if !body.awaited {
		_ = c.SetReadDeadline(time.Now().Add(arrivedTimeout))
		_, _ = io.CopyN(io.Discard, body, maxRestBytes)
	}
	if !body.ended {
		c.all.leaveBody(c)
		return false
	}
	// http.Server reads on for the end of the connection.
	_ = c.SetReadDeadline(time.Time{})
	return true
}

// Drain accepts no more connections and returns when no request is left, or with an error when ctx ends. Requests
// that arrive meanwhile on open connections are served.
func (s *Server) Drain(ctx context.Context) error {
	_ = s.listener.Close()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.connections.drain(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// drainPoll is the interval at which Drain looks for connections in use.
const drainPoll = 20 * time.Millisecond

// Limit changes how many connections there may be. Idle ones beyond it are closed.
func (s *Server) Limit(connections int) { s.connections.limit(connections, time.Now()) }

// Close closes all connections. Requests that it cuts were begun before; no other begins after it.
func (s *Server) Close() error {
	_ = s.listener.Close()
	s.connections.close()
	return s.cfg.HTTP.Close()
}
