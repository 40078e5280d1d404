package gateway

import "github.com/bridgehoist/bridgehoist/internal/upstream"

// DialEndpoints wraps the dialer of the connections to endpoints.
func (g *Gateway) DialEndpoints(wrap func(upstream.Dialer) upstream.Dialer) {
	g.pool.Dial = wrap(g.pool.Dial)
}
