package contain

import "github.com/bridgehoist/bridgehoist/pkg/quarantine"

// Registry registers gauges whose values are read at collection time.
type Registry interface {
	Gauge(name, help string, read func() float64)
}

// Gauges registers a gauge for each quarantine status except Unknown: the number of requests in
// it.
func Gauges(r Registry, g *Guard) {
	help := map[quarantine.Status]string{
		quarantine.Suspected: "Requests under which some endpoints ended.",
		quarantine.Isolated:  "Requests that run apart, since it isn't clear which of them crashes endpoints.",
		quarantine.HalfOpen:  "Requests that crashed endpoints and may be tried again.",
		quarantine.Contained: "Requests that crash endpoints and are refused.",
	}
	for status, text := range help {
		r.Gauge("requests_"+status.String(), text, func() float64 { return float64(g.Counts()[status]) })
	}
}
