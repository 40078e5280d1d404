// Package httpserver runs HTTP servers whose connections are bounded and whose stop drops no request.
//
// http.Server.Shutdown closes a connection without a response if it reads a request on it after the shutdown
// has begun. Drain answers such requests: it closes the listener and the idle connections, and the others after
// their responses.
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Config holds the settings of a Server.
type Config struct {
	// HTTP is the server to run. Its ConnState and ConnContext are set by this package, and its Handler is wrapped.
	HTTP *http.Server
	// TLS, if set, is the configuration of encrypted connections.
	TLS *tls.Config
	// MaxConnections bounds the open connections; zero is unlimited. OnConnectionClosed, if set, is called
	// for each that is closed since there were too many.
	MaxConnections     int
	OnConnectionClosed func()
	// OnLateRequest, if set, is called for each request that is read on a connection which the server closes.
	OnLateRequest func(*http.Request, CloseReason)
	// OnEnd is called if the listener ends by an error.
	OnEnd func(error)
}

// Server is a running HTTP server.
type Server struct {
	http        *http.Server
	listener    net.Listener
	connections *connections
	// closing is why the server closes connections at present; empty if it doesn't.
	closing atomic.Value
}

// CloseReason tells why a server closes a connection.
type CloseReason string

// The reasons.
const (
	// CloseLimit makes room for another connection.
	CloseLimit CloseReason = "limit"
	// CloseDrain closes a connection without a request during a drain.
	CloseDrain CloseReason = "drain"
	// CloseServer closes a connection with the server.
	CloseServer CloseReason = "server"
)

// conn records why the server closes it.
type conn struct {
	net.Conn
	server  *Server
	closing atomic.Value
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if why := c.server.closing.Load(); why != nil && why != CloseReason("") {
		c.closing.CompareAndSwap(nil, why)
	}
	return c.Conn.Close()
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, server: l.server}, nil
}

// CloseWrite is called by http.Server before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// connOf returns the connection below one of http.Server.
func connOf(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	return c.(*conn)
}

// connKey is the key of the connection in the contexts of requests.
type connKey struct{}

// reportLate tells of the requests of connections that the server closes.
func (s *Server) reportLate(next http.Handler, report func(*http.Request, CloseReason)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if why, ok := r.Context().Value(connKey{}).(*conn).closing.Load().(CloseReason); ok {
				report(r, why)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// Start serves on a listener.
func Start(l net.Listener, cfg Config) *Server {
	s := &Server{http: cfg.HTTP, connections: newConnections(cfg.MaxConnections, cfg.OnConnectionClosed)}
	l = listener{l, s}
	if cfg.TLS != nil {
		l = tls.NewListener(l, cfg.TLS)
	}
	s.listener = l
	s.http.ConnState = s.connections.changed
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	if cfg.OnLateRequest != nil {
		s.http.Handler = s.reportLate(s.http.Handler, cfg.OnLateRequest)
	}
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && cfg.OnEnd != nil {
			cfg.OnEnd(err)
		}
	}()
	return s
}

// Drain accepts no more connections and returns when no request is left, or with an error when ctx ends. Requests
// that arrive meanwhile on open connections are served.
func (s *Server) Drain(ctx context.Context) error {
	_ = s.listener.Close()
	s.closing.Store(CloseDrain)
	s.http.SetKeepAlivesEnabled(false)
	s.closing.Store(CloseReason(""))
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.connections.inUse(time.Now()) {
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

// Close closes all connections.
func (s *Server) Close() error {
	s.closing.Store(CloseServer)
	return s.http.Close()
}
