package upstream_test

import (
	"context"
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

// TestARequestThatHasEndedIsNotSent guards against requests that are sent on a connection which is about to be closed.
func TestARequestThatHasEndedIsNotSent(t *testing.T) {
	g := NewWithT(t)
	p := listen(t, func(c net.Conn, next func() string) {
		for id := next(); id != ""; id = next() {
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	pool := newPool()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		g.Expect(do(pool, p.endpoint, "a")).To(Equal("ok"))
		_, f := pool.Do(ctx, p.endpoint, request("ended"), upstream.Sending{Endpoint: p.endpoint.ID})
		g.Expect(f).NotTo(BeNil())
		g.Expect(f.Kind).To(Equal(retry.NotSent))
	}
	requests, _ := p.seen()
	g.Expect(requests).NotTo(ContainElement("ended"))
}

// TestARequestThatEndsWhileItsConnectionOpensIsNotSent guards against the same on new connections.
func TestARequestThatEndsWhileItsConnectionOpensIsNotSent(t *testing.T) {
	g := NewWithT(t)
	p := listen(t, func(_ net.Conn, next func() string) { next() })
	for range 100 {
		pool := newPool()
		ctx, cancel := context.WithCancel(t.Context())
		dial := pool.Dial
		pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dial(ctx, address)
			cancel()
			return c, err
		}
		_, f := pool.Do(ctx, p.endpoint, request("ended"), upstream.Sending{Endpoint: p.endpoint.ID})
		g.Expect(f).NotTo(BeNil())
		g.Expect(f.Kind).To(Equal(retry.NotSent))
	}
}
