package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

// largeBodies: many users come at once, each with a body of the largest size that the configuration allows.
func largeBodies(w *world) error {
	const (
		bodyBytes = 4194304
		users     = 48
	)
	store, storeAt, err := w.newStore(200)
	if err != nil {
		return err
	}
	lookup := route{name: "r-lookup", prefix: "/lookup/", kind: "unsafe", service: "yard-desk", timeout: 3000, aim: 150, priority: 2, maxAttempts: 1}
	store.Put(platform.ConfigurationKey, configuration(7, 24, true, map[string]string{tenant: apiKey}, lookup))
	desk, err := w.newServer(110, "i-desk-1", "yard-desk", zones[0], 24, 100)
	if err != nil {
		return err
	}
	desk.quiet, desk.brief, desk.work = true, true, 300*time.Millisecond
	desk.publish(store, "ready")
	w.newGateways(2, storeAt)
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	g := w.gateways[0]
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	lost, killed := 0, false
	var most int64
	all.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-g.ended:
				return
			case <-time.After(10 * time.Millisecond):
			}
			n := g.rss()
			most = max(most, n)
			if n > memoryMB*1e6 {
				killed = true
				w.logf("%s holds %.1f MB of %d and is killed, as the platform does", g.name, float64(n)/1e6, memoryMB)
				_ = g.cmd.Process.Signal(syscall.SIGKILL)
				return
			}
		}
	})
	for range 8 {
		all.Go(func() { w.keepAsking(g, desk, stop, func() { mu.Lock(); lost++; mu.Unlock() }) })
	}
	time.Sleep(2 * time.Second)
	size := 600
	if w.trouble {
		size = bodyBytes
	}
	w.logf("%d users come at once, each with a body of %d bytes", users, size)
	for range users {
		all.Go(func() {
			c, err := open(g.callers())
			if err != nil {
				return
			}
			defer c.Close()
			a := w.send(context.Background(), c, call{method: http.MethodPost, path: "/lookup/scan", body: strings.Repeat("x", size), limit: 3 * time.Second})
			w.logf("client: %s, body of %d bytes, sent at %.3f to %s: %s", a.id, size, a.sent.Sub(w.begun).Seconds(), g.name, a.text())
		})
	}
	time.Sleep(6 * time.Second)
	close(stop)
	all.Wait()
	w.logf("%s held %.1f MB at most", g.name, float64(most)/1e6)
	if lost > 3 {
		w.breaks("LOST: %s closed %d kept channels without an answer to requests that it had passed on to a sound server (over its memory: %v)", g.name, lost, killed)
	}
	return nil
}
