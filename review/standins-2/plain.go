package main

import (
	"context"
	"net/http"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

// lastTenant: the operator takes the last tenant away.
//
// CONFIG: machines in touch handle a request sent later than ConfigApplyMs after a version's confirmation in a
// way only an older version allows (running it with a dropped key). ROUTE: a request runs with a key that no
// configuration has ever held.
func lastTenant(w *world) error {
	const configApply = 2 * time.Second
	store, storeAt, err := w.newStore(200)
	if err != nil {
		return err
	}
	charge := route{name: "r-charge", prefix: "/charge/", kind: "unsafe", service: "yard-desk", timeout: 1500, aim: 150, priority: 2, maxAttempts: 1}
	store.Put(platform.ConfigurationKey, configuration(7, 24, true, map[string]string{tenant: apiKey}, charge))
	desk, err := w.newServer(100, "i-desk-1", "yard-desk", zones[0], 6, 12)
	if err != nil {
		return err
	}
	desk.work = 10 * time.Millisecond
	desk.publish(store, "ready")
	w.newGateways(3, storeAt)
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	try := func(g *gateway, key string) answer {
		c, err := open(g.callers())
		if err != nil {
			return answer{err: err}
		}
		defer c.Close()
		a := w.send(context.Background(), c, call{method: http.MethodPost, path: "/charge/seat", body: "1", limit: 1500 * time.Millisecond, key: key})
		w.logf("client: %s, sent at %.3f to %s with the key %s: %s", a.id, a.sent.Sub(w.begun).Seconds(), g.name, key, a.text())
		return a
	}
	const never = "aaaabbbbccccddddeeee"
	for _, g := range w.gateways {
		if a := try(g, apiKey); a.status != http.StatusOK {
			return errCantRun
		}
		if a := try(g, never); a.status != http.StatusUnauthorized {
			return errCantRun
		}
	}
	tenants := map[string]string{}
	if !w.trouble {
		tenants["sobo114"] = "wsjnbanfqasnmgkcuyj8"
	}
	store.Put(platform.ConfigurationKey, configuration(8, 24, true, tenants, charge))
	confirmed := time.Now()
	w.logf("the store confirms version 8, without the tenant %s; %d are left", tenant, len(tenants))
	time.Sleep(configApply + 500*time.Millisecond)
	for _, g := range w.gateways {
		for _, key := range []string{apiKey, never} {
			a := try(g, key)
			if began, ran := desk.at(desk.began, a.id); ran {
				rule := "CONFIG: a dropped key"
				if key == never {
					rule = "ROUTE: a key that no configuration has ever held"
				}
				w.breaks("%s: %s ran at %s %.3f s after the confirmation, sent to %s", rule, a.id, desk.id, began.Sub(confirmed).Seconds(), g.name)
			}
		}
	}
	return nil
}

// ranAnd503: a server fails some of the requests that it has begun to work on with an answer 503 of its own.
//
// REFUSED: a request that isn't idempotent has run, yet is answered 429 or 503 (or 408, 421).
func ranAnd503(w *world) error {
	store, storeAt, err := w.newStore(200)
	if err != nil {
		return err
	}
	charge := route{name: "r-charge", prefix: "/charge/", kind: "unsafe", service: "yard-desk", timeout: 1500, aim: 150, priority: 2, maxAttempts: 1}
	store.Put(platform.ConfigurationKey, configuration(7, 24, true, map[string]string{tenant: apiKey}, charge))
	var desks []*server
	for i, id := range []string{"i-desk-1", "i-desk-2", "i-desk-3"} {
		d, err := w.newServer(100+i, id, "yard-desk", zones[i], 6, 12)
		if err != nil {
			return err
		}
		d.work = 20 * time.Millisecond
		d.publish(store, "ready")
		desks = append(desks, d)
	}
	w.newGateways(3, storeAt)
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for i := range 150 {
		if w.trouble && i == 30 {
			w.logf("%s fails 0.4 of its requests from now on", desks[0].id)
			desks[0].fails(0.4, http.StatusServiceUnavailable)
		}
		g := w.gateways[i%len(w.gateways)]
		c, err := open(g.callers())
		if err != nil {
			return err
		}
		a := w.send(context.Background(), c, call{method: http.MethodPost, path: "/charge/seat", body: "1", limit: 1500 * time.Millisecond})
		_ = c.Close()
		w.logf("client: %s, sent at %.3f to %s: %s", a.id, a.sent.Sub(w.begun).Seconds(), g.name, a.text())
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			continue
		}
		for _, d := range desks {
			if _, ran := d.at(d.began, a.id); ran {
				w.breaks("REFUSED: %s ran at %s and was answered %d, Retry-After %q", a.id, d.id, a.status, a.header.Get("Retry-After"))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
