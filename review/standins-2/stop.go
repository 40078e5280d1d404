package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

// stopWithQueue: a gateway gets SIGTERM while requests wait in it for a place at busy model servers.
//
// LOST, planned work: a process has read a whole request and the channel ends without a complete answer,
// later than LossSlackMs after its last byte. Not counted: the server broke off, the time limit or the
// route's timeout was reached, or a server was still at work in the last sixth of GraceS on a request that
// was sent no later than 3 s after the SIGTERM.
func stopWithQueue(w *world) error {
	const (
		grace     = 8 * time.Second
		lossSlack = 200 * time.Millisecond
		limit     = 39 * time.Second
	)
	store, storeAt, err := w.newStore(200)
	if err != nil {
		return err
	}
	reports := route{name: "r-report", prefix: "/report/", kind: "streaming", service: "kiln-scribe", timeout: 39000, aim: 1800, priority: 0, maxAttempts: 1}
	store.Put(platform.ConfigurationKey, configuration(7, 4, false, map[string]string{tenant: apiKey}, reports))
	var engines []*server
	for i, id := range []string{"i-engine-1", "i-engine-2"} {
		e, err := w.newServer(100+i, id, "kiln-scribe", zones[i], 4, 12)
		if err != nil {
			return err
		}
		// A long report: some 22 s.
		e.events, e.every, e.prefill = 220, 100*time.Millisecond, 200*time.Millisecond
		e.publish(store, "ready")
		engines = append(engines, e)
	}
	w.newGateways(2, storeAt)
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	stopped := w.gateways[0]
	for i := range 24 {
		g := stopped
		if i%4 == 3 {
			g = w.gateways[1]
		}
		all.Go(func() {
			c, err := open(g.callers())
			if err != nil {
				w.logf("no channel to %s: %v", g.name, err)
				return
			}
			defer c.Close()
			a := w.send(context.Background(), c, call{method: http.MethodPost, path: "/report/a", body: "crew notes", limit: limit, prompt: 1000, most: 880})
			w.logf("client: %s, sent at %.3f to %s: %s", a.id, a.sent.Sub(w.begun).Seconds(), g.name, a.text())
			if g == stopped {
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			}
		})
		time.Sleep(120 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	term := time.Now()
	if w.trouble {
		w.signal(stopped, syscall.SIGTERM)
		select {
		case <-stopped.ended:
		case <-time.After(time.Until(term.Add(grace))):
			w.signal(stopped, syscall.SIGKILL)
		}
	}
	all.Wait()
	if !w.trouble {
		term = time.Time{}
	}
	for _, a := range answers {
		if a.status != 0 && a.err == nil || a.timedOut() || a.at.Sub(a.sent) >= limit {
			continue
		}
		if w.trouble && (a.sent.After(term.Add(3*time.Second)) || a.at.After(term.Add(grace+time.Second))) {
			continue
		}
		passed, atWork := false, false
		for _, e := range engines {
			_, arrived := e.at(e.arrived, a.id)
			passed = passed || arrived
			_, began := e.at(e.began, a.id)
			atWork = atWork || began
		}
		if atWork {
			w.logf("not counted: a server was at work on %s", a.id)
			continue
		}
		if passed || a.at.Sub(a.sent) > lossSlack {
			w.breaks("LOST: %s was read whole, reached a server: %v, and its channel ended %.3f s after SIGTERM, %.3f s after it was sent, without an answer: %s",
				a.id, passed, a.at.Sub(term).Seconds(), a.at.Sub(a.sent).Seconds(), a.text())
		}
	}
	return nil
}
