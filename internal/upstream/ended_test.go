package upstream_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// lateConn stays open until the test ends, as if whoever closes it came late, and counts what is written.
type lateConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c lateConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

func (c lateConn) Close() error { return nil }

// TestARequestThatHasEndedIsNotSent guards against requests that are sent on a connection which is about to be closed.
func TestARequestThatHasEndedIsNotSent(t *testing.T) {
	for name, endsWhileDialing := range map[string]bool{"kept connection": false, "new connection": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := listen(t, func(c net.Conn, next func() string) {
				for id := next(); id != ""; id = next() {
					_, _ = io.WriteString(c, answer(id, "ok"))
				}
			})
			pool := newPool()
			ctx, end := context.WithCancel(t.Context())
			var writes atomic.Int64
			dial := pool.Dial
			pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				c, err := dial(ctx, address)
				g.Expect(err).NotTo(HaveOccurred())
				t.Cleanup(func() { _ = c.Close() })
				if endsWhileDialing {
					end()
				}
				return lateConn{c, &writes}, nil
			}
			if !endsWhileDialing {
				g.Expect(do(pool, p.endpoint, "a")).To(Equal("ok"))
				end()
			}
			sent := writes.Load()
			_, f := pool.Do(ctx, p.endpoint, request("ended"), upstream.Sending{Endpoint: p.endpoint.ID})
			g.Expect(f).NotTo(BeNil())
			g.Expect(f.Kind).To(Equal(retry.NotSent))
			g.Expect(writes.Load()).To(Equal(sent))
		})
	}
}
