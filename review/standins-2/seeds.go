package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

// newSeeds: a machine starts with seeds that are stale. Its settings file gets live ones, which SIGHUP tells.
// Later a server in need names a limit in its answers.
//
// LIMIT: from ContactMs after a server first named its limit, it gets in some 4 s more than one and a
// half times what that allows, + 5 requests, summed over the machines that had passed on such an answer half a
// second before or earlier.
func newSeeds(w *world) error {
	const (
		limit   = 12.0
		contact = 3 * time.Second
		window  = 4 * time.Second
	)
	store, storeAt, err := w.newStore(200)
	if err != nil {
		return err
	}
	roster := route{name: "r-roster", prefix: "/roster/", kind: "safe", service: "yard-desk", timeout: 1500, aim: 150, priority: 2, maxAttempts: 2}
	store.Put(platform.ConfigurationKey, configuration(7, 24, true, map[string]string{tenant: apiKey}, roster))
	desk, err := w.newServer(100, "i-desk-1", "yard-desk", zones[0], 6, 12)
	if err != nil {
		return err
	}
	desk.quiet, desk.work = true, 10*time.Millisecond
	desk.publish(store, "ready")
	w.newGateways(3, storeAt)
	late := w.gateways[2]
	good := fmt.Sprintf(`"%s:8748", "%s:8748"`, w.gateways[0].ip, w.gateways[1].ip)
	for _, g := range w.gateways {
		g.seeds = good
	}
	if w.trouble {
		late.first = false
		late.seeds = fmt.Sprintf(`"%s.250:8748", "%s.251:8748", "%s.252:8748"`, w.net, w.net, w.net)
	}
	for _, g := range w.gateways {
		w.writeSettings(g)
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	late.seeds = good
	w.writeSettings(late)
	w.logf("the settings file of %s names live seeds", late.name)
	w.signal(late, syscall.SIGHUP)
	// Ten seconds are the longest wait between two tries of seeds.
	time.Sleep(15 * time.Second)
	desk.names(limit)
	w.logf("%s names a limit of %v requests a second from now on", desk.id, limit)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	passed := map[string]time.Time{}
	from := map[string]string{}
	var firstNamed time.Time
	var mu sync.Mutex
	for _, g := range w.gateways {
		for range 3 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(60 * time.Millisecond):
					}
					c, err := open(g.callers())
					if err != nil {
						continue
					}
					a := w.send(context.Background(), c, call{method: http.MethodGet, path: "/roster/crew", limit: 1500 * time.Millisecond})
					_ = c.Close()
					w.logf("client: %s, sent at %.3f to %s: %s", a.id, a.sent.Sub(w.begun).Seconds(), g.name, a.text())
					mu.Lock()
					from[a.id] = g.name
					if a.header.Get(platform.HeaderLimit) != "" {
						if firstNamed.IsZero() {
							firstNamed = a.at
						}
						if passed[g.name].IsZero() {
							passed[g.name] = a.at
						}
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(16 * time.Second)
	close(stop)
	callers.Wait()
	var arrivals []time.Time
	byGateway := map[string]int{}
	desk.mu.Lock()
	for id, at := range desk.arrived {
		g := from[id]
		if at.Sub(firstNamed) > contact && !passed[g].IsZero() && at.Sub(passed[g]) > 500*time.Millisecond {
			arrivals = append(arrivals, at)
			byGateway[g]++
		}
	}
	desk.mu.Unlock()
	slices.SortFunc(arrivals, time.Time.Compare)
	most, end := 0, 0
	for i, at := range arrivals {
		for end < len(arrivals) && arrivals[end].Sub(at) <= window {
			end++
		}
		most = max(most, end-i)
	}
	allowed := 1.5*limit*window.Seconds() + 5
	w.logf("%s got %d requests in the busiest %v, at most %.0f are allowed; of %d, by gateway: %v", desk.id, most, window, allowed, len(arrivals), byGateway)
	if float64(most) > allowed {
		w.breaks("LIMIT: %s got %d requests in %v, at most %.0f are allowed; by gateway: %v", desk.id, most, window, allowed, byGateway)
	}
	return nil
}
