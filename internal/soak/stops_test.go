package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// queuedCallers is how many callers send a stream to one gateway at the same time. Three engines
	// run 24 requests, so that some of them wait at the gateway.
	queuedCallers = 60
	// queuedPrefill is how long engines read the prompt of each, so that the grace period ends before
	// all have run.
	queuedPrefill = 5 * time.Second
	// queuedFor is for how long they do.
	queuedFor = 6 * time.Second
	// lossSlack is the time within which a connection may close while a request is on its way.
	lossSlack = 200 * time.Millisecond
)

// maxPiecePause is the longest pause between two pieces of a request.
const maxPiecePause = 120 * time.Millisecond

// piecewise is a connection of a caller that writes requests in pieces.
type piecewise struct {
	net.Conn
	rand *rand.Rand
}

// Write implements net.Conn.
func (c piecewise) Write(b []byte) (int, error) {
	first, err := c.Conn.Write(b[:c.rand.IntN(len(b))])
	if err != nil {
		return first, err
	}
	time.Sleep(time.Duration(c.rand.Int64N(int64(maxPiecePause))))
	rest, err := c.Conn.Write(b[first:])
	return first + rest, err
}

// dialPiecewise opens connections on which requests are written in pieces.
func dialPiecewise(seed uint64) func(ctx context.Context, network, address string) (net.Conn, error) {
	var dialed atomic.Uint64
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return piecewise{nc, rand.New(rand.NewPCG(seed, dialed.Add(1)))}, nil
	}
}

// stopsUnderLoad stops a gateway that holds more requests than engines run.
var stopsUnderLoad = step{"planned stop under load", planned, func(w *world, r *rand.Rand) { w.stopUnderLoad(pick(r, w.gateways), r) }}

// stopPlans are drawn in turn by seeds of their own, written with an s behind the number.
var stopPlans = []plan{
	{"stops", append(named("configuration", "reload", "engine leaves", "planned stop"), stopsUnderLoad, stopsUnderLoad)},
	{"stops at all gateways", append(named("configuration", "reload"), stopsUnderLoad, step{"all stop", planned, func(w *world, r *rand.Rand) {
		for _, g := range w.gateways {
			g.term()
			time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
		}
	}})},
}

// wasRunningAtStop reports whether a stream ended because its gateway stopped, or its timeout passed, while an
// engine was running it.
func (w *world) wasRunningAtStop(r result) bool {
	if !w.drawn.stops || r.kind != kindStream || !w.arrived(r.id) {
		return false
	}
	return r.status == http.StatusGatewayTimeout || r.status == http.StatusOK && r.err != nil || r.elapsed >= callerTimeout
}

// arrived reports whether a request reached an endpoint, which may have read its prompt only.
func (w *world) arrived(id string) bool {
	for _, e := range w.endpoints {
		if !w.arrivedAt(id, e.ID).IsZero() {
			return true
		}
	}
	return false
}

// arrivedAt returns when a request last arrived at an endpoint; zero if it didn't.
func (w *world) arrivedAt(id, endpoint string) (at time.Time) {
	for _, e := range w.endpoints {
		if e.ID != endpoint {
			continue
		}
		for _, a := range e.Arrivals() {
			if a.RequestID == id {
				at = a.At
			}
		}
	}
	return at
}

func (w *world) stopUnderLoad(g *gateway, r *rand.Rand) {
	for _, e := range w.engines {
		e.SetPace(queuedPrefill, streamEvents)
	}
	w.after(queuedFor, func() {
		for _, e := range w.servers() {
			e.SetPace(0, streamEvents)
		}
	})
	for range queuedCallers {
		w.pending.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
			res := g.call(client, kindStream)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.results = append(w.results, res)
		})
	}
	time.Sleep(time.Duration(100+r.IntN(1500)) * time.Millisecond)
	g.term()
	// Signals that arrive while the process stops.
	for range r.IntN(3) {
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		g.signal(pick(r, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}))
	}
}
