package main

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

// readersRestarted: the processes that read the platform's store are killed at one moment and started again a
// second later, and the operator takes a key away meanwhile.
//
// CONFIG: machines in touch handle a request sent later than ConfigApplyMs after a version's confirmation in a
// way only an older version allows (running it with a dropped key). The machines that are judged are those
// that nothing befell.
func readersRestarted(w *world) error {
	const (
		configApply = 2 * time.Second
		downFor     = time.Second
		contact     = 3 * time.Second
		dropped     = "wsjnbanfqasnmgkcuyj8"
		// mostKilled is the share of machines that may be killed at once.
		mostKilled = 0.6
	)
	store := newStandInStore()
	roster := route{name: "r-roster", prefix: "/roster/", kind: "safe", service: "yard-desk", timeout: 1500, aim: 150, priority: 2, maxAttempts: 2}
	store.Put(platform.ConfigurationKey, configuration(7, 24, true, map[string]string{tenant: apiKey, "sobo114": dropped}, roster))
	for i, id := range []string{"i-desk-1", "i-desk-2"} {
		s, err := w.newServer(100+i, id, "yard-desk", zones[i], 6, 12)
		if err != nil {
			return err
		}
		s.quiet, s.work = true, 10*time.Millisecond
		s.publish(store, "ready")
	}
	w.newGatewaysIn([]string{zones[0], zones[0], zones[0], zones[0], zones[0], zones[1], zones[1], zones[1], zones[2]}, "")
	for _, g := range w.gateways {
		address, err := w.listen(200, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			g.asked.Add(1)
			store.Handler().ServeHTTP(rw, r)
		}))
		if err != nil {
			return err
		}
		g.store = address
		w.writeSettings(g)
	}
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	for _, g := range w.gateways {
		g.asked.Store(0)
	}
	time.Sleep(7 * time.Second)
	var readers, others []*gateway
	for _, g := range w.gateways {
		w.logf("%s in %s made %d calls to the store in 7 s", g.name, g.zone, g.asked.Load())
		if g.asked.Load() > 0 {
			readers = append(readers, g)
		} else {
			others = append(others, g)
		}
	}
	if len(others) == 0 || float64(len(readers)) > mostKilled*float64(len(w.gateways)) {
		return errCantRun
	}
	stop := make(chan struct{})
	var probes sync.WaitGroup
	var mu sync.Mutex
	seen := map[*gateway][]answer{}
	for _, g := range others {
		probes.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				c, err := open(g.callers())
				if err != nil {
					continue
				}
				a := w.send(context.Background(), c, call{method: http.MethodGet, path: "/roster/crew", limit: 1500 * time.Millisecond, key: dropped})
				_ = c.Close()
				w.logf("client: %s, sent at %.3f to %s with the key: %s", a.id, a.sent.Sub(w.begun).Seconds(), g.name, a.text())
				mu.Lock()
				seen[g] = append(seen[g], a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(contact)
	if w.trouble {
		for _, g := range readers {
			g.first = false
			w.writeSettings(g)
			w.signal(g, syscall.SIGKILL)
		}
	}
	time.Sleep(100 * time.Millisecond)
	store.Put(platform.ConfigurationKey, configuration(8, 24, true, map[string]string{tenant: apiKey}, roster))
	confirmed := time.Now()
	w.logf("the store confirms version 8, without the key")
	if w.trouble {
		time.Sleep(downFor - 100*time.Millisecond)
		for _, g := range readers {
			<-g.ended
			if err := w.start(g); err != nil {
				return err
			}
			w.logf("%s is started again", g.name)
		}
	}
	time.Sleep(time.Until(confirmed.Add(9 * time.Second)))
	close(stop)
	probes.Wait()
	for _, g := range others {
		late := 0
		var last answer
		first := slices.IndexFunc(seen[g], func(a answer) bool { return a.status == http.StatusUnauthorized })
		for _, a := range seen[g] {
			if a.status == http.StatusOK && a.sent.Sub(confirmed) > configApply {
				late++
				last = a
			}
		}
		if late > 0 {
			w.breaks("CONFIG: %s ran %d requests with the dropped key that were sent more than %v after the confirmation, the last %.3f s after",
				g.name, late, configApply, last.sent.Sub(confirmed).Seconds())
		}
		if first >= 0 {
			w.logf("%s refused the key for the first time to a request sent %.3f s after the confirmation", g.name, seen[g][first].sent.Sub(confirmed).Seconds())
		}
	}
	return nil
}
