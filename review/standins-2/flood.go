package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

// memoryMB is the limit of a process, as in its settings; the platform kills one that goes over it.
const memoryMB = 134

// rss is the memory of a process in bytes.
func (g *gateway) rss() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return n << 10
		}
	}
	return 0
}

// notAnAnswer: a faulty model server sends bytes that are not an answer.
//
// A process goes over its memory and is killed. LOST: at any time, a machine in touch passes a request from a
// kept channel on to a sound server and closes that channel without an answer, more than three times. A process
// ending by itself counts as running the whole time.
func notAnAnswer(w *world) error {
	const (
		// bytesPerSecond is under half of the 1,000 Mbit/s of a machine's link.
		bytesPerSecond = 50 << 20
		oneIn          = 50
	)
	store, storeAt, err := w.newStore(200)
	if err != nil {
		return err
	}
	check := route{name: "r-check", prefix: "/check/", kind: "streaming", service: "kiln-scribe", timeout: 6000, aim: 1500, priority: 0, maxAttempts: 1}
	lookup := route{name: "r-lookup", prefix: "/lookup/", kind: "unsafe", service: "yard-desk", timeout: 1500, aim: 150, priority: 2, maxAttempts: 1}
	store.Put(platform.ConfigurationKey, configuration(7, 24, true, map[string]string{tenant: apiKey}, check, lookup))
	for i, id := range []string{"i-engine-1", "i-engine-2", "i-engine-3"} {
		e, err := w.newServer(100+i, id, "kiln-scribe", zones[i], 24, 72)
		if err != nil {
			return err
		}
		e.quiet, e.events, e.every, e.prefill = true, 3, 30*time.Millisecond, 50*time.Millisecond
		if i == 0 && w.trouble {
			var count atomic.Int64
			e.garble = func(rw http.ResponseWriter, id string) bool {
				if count.Add(1)%oneIn != 0 {
					return false
				}
				w.logf("%s sends bytes that are not an answer to %s", e.id, id)
				w.logf("%s: %d bytes were taken", e.id, flood(rw, bytesPerSecond))
				return true
			}
		}
		e.publish(store, "ready")
	}
	desk, err := w.newServer(110, "i-desk-1", "yard-desk", zones[0], 24, 24)
	if err != nil {
		return err
	}
	desk.quiet, desk.work = true, 300*time.Millisecond
	desk.publish(store, "ready")
	w.newGateways(2, storeAt)
	if err := w.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	lost := map[*gateway]int{}
	most := map[*gateway]int64{}
	killed := map[*gateway]bool{}
	for _, g := range w.gateways {
		all.Go(func() {
			// The platform kills a process that goes over its memory.
			for {
				select {
				case <-stop:
					return
				case <-g.ended:
					return
				case <-time.After(20 * time.Millisecond):
				}
				n := g.rss()
				mu.Lock()
				most[g] = max(most[g], n)
				mu.Unlock()
				if n > memoryMB*1e6 {
					mu.Lock()
					killed[g] = true
					mu.Unlock()
					w.logf("%s holds %.1f MB of %d and is killed, as the platform does", g.name, float64(n)/1e6, memoryMB)
					_ = g.cmd.Process.Signal(syscall.SIGKILL)
					return
				}
			}
		})
		for range 8 {
			all.Go(func() { w.keepAsking(g, desk, stop, func() { mu.Lock(); lost[g]++; mu.Unlock() }) })
		}
		all.Go(func() {
			for i := range 130 {
				select {
				case <-stop:
					return
				case <-g.ended:
					return
				case <-time.After(100 * time.Millisecond):
				}
				all.Go(func() {
					c, err := open(g.callers())
					if err != nil {
						return
					}
					defer c.Close()
					a := w.send(context.Background(), c, call{method: http.MethodPost, path: "/check/brick", body: "reading", limit: 6 * time.Second, prompt: 500, most: 12})
					if a.err != nil || a.status != http.StatusOK {
						w.logf("client: %s, check %d, sent at %.3f to %s: %s", a.id, i, a.sent.Sub(w.begun).Seconds(), g.name, a.text())
					}
				})
			}
		})
	}
	time.Sleep(22 * time.Second)
	close(stop)
	all.Wait()
	for _, g := range w.gateways {
		w.logf("%s held %.1f MB at most", g.name, float64(most[g])/1e6)
		if lost[g] > 3 {
			w.breaks("LOST: %s closed %d kept channels without an answer to requests that it had passed on to a sound server (over its memory: %v)", g.name, lost[g], killed[g])
		}
	}
	return nil
}

// keepAsking sends lookups on a kept channel until it is told to stop.
func (w *world) keepAsking(g *gateway, desk *server, stop <-chan struct{}, onLost func()) {
	c, err := open(g.callers())
	if err != nil {
		return
	}
	defer c.Close()
	for first := true; ; first = false {
		select {
		case <-stop:
			return
		default:
		}
		a := w.send(context.Background(), c, call{method: http.MethodPost, path: "/lookup/part", body: "7", limit: 1500 * time.Millisecond})
		if a.status != 0 && !c.closed {
			continue
		}
		_, ran := desk.at(desk.began, a.id)
		w.logf("client: %s, lookup on a kept channel, sent at %.3f to %s, run by %s: %v: %s", a.id, a.sent.Sub(w.begun).Seconds(), g.name, desk.id, ran, a.text())
		if a.status == 0 && ran && !first && !a.timedOut() {
			onLost()
		}
		return
	}
}

// flood writes bytes that are not an answer, at a rate, until the caller takes no more.
func flood(rw http.ResponseWriter, perSecond int) (taken int) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return 0
	}
	defer c.Close()
	const every = 20 * time.Millisecond
	part := []byte(strings.Repeat("\x00\x01weights", perSecond/9/int(time.Second/every)))
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(every) {
		n, err := c.Write(part)
		taken += n
		if err != nil {
			return taken
		}
	}
	return taken
}
