package contain

import "github.com/bridgehoist/bridgehoist/pkg/quarantine"

// Registry takes gauges that are read when they are asked for.
type Registry interface {
	Gauge(name, help string, read func() float64)
}

// Gauges registers how many requests are held to each standing.
func Gauges(r Registry, g *Guard) {
	help := map[quarantine.Status]string{
		quarantine.Suspected: "Requests under which some endpoints ended.",
		quarantine.Isolated:  "Requests that run apart, since it isn't clear which of them crashes endpoints.",
		quarantine.HalfOpen:  "Requests that crashed endpoints and may be tried again.",
		quarantine.Contained: "Requests that crash endpoints and are refused.",
	}
	for standing, text := range help {
		r.Gauge("requests_"+standing.String(), text, func() float64 { return float64(g.Counts()[standing]) })
	}
}
