// Package httpserver runs HTTP servers whose connections are bounded and whose stop drops no request.
//
// http.Server.Shutdown closes a connection without a response if it reads a request on it after the shutdown
// has begun. Drain answers such requests: it closes the listener and the idle connections, and the others after
// their responses.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Config holds the settings of a Server.
type Config struct {
	// HTTP is the server to run. ConnState is set by this package.
	HTTP *http.Server
	// MaxConnections bounds the open connections; zero is unlimited. OnConnectionClosed, if set, is called
	// for each that is closed since there were too many.
	MaxConnections     int
	OnConnectionClosed func()
	// OnEnd is called if the listener ends by an error.
	OnEnd func(error)
}

// Server is a running HTTP server.
type Server struct {
	http        *http.Server
	listener    net.Listener
	connections *connections
}

// Start serves on a listener.
func Start(l net.Listener, cfg Config) *Server {
	s := &Server{http: cfg.HTTP, listener: l, connections: newConnections(cfg.MaxConnections, cfg.OnConnectionClosed)}
	s.http.ConnState = s.connections.changed
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
	s.http.SetKeepAlivesEnabled(false)
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
func (s *Server) Close() error { return s.http.Close() }
