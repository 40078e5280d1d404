package gateway

import (
	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
)

// DialEndpoints wraps the dialer of the connections to endpoints.
func (g *Gateway) DialEndpoints(wrap func(upstream.Dialer) upstream.Dialer) {
	g.pool.Dial = wrap(g.pool.Dial)
}

// Abort ends the requests whose response has not begun.
func (g *Gateway) Abort() { g.abort(shutdown.ErrStopping) }

// Members returns the VMs of the live peers.
func (g *Gateway) Members() (vms []string) {
	g.beliefs.WithView(func(v *membership.View) {
		for _, m := range v.Members(clock.Now()) {
			if m.Status == membership.Alive {
				vms = append(vms, m.VM)
			}
		}
	})
	return vms
}
