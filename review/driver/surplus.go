package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// One server with six slots, and clients that ask for somewhat more than it can do.
const (
	deskNodes   = 9
	deskSlots   = 6
	deskRoom    = 2
	deskWork    = 20 * time.Millisecond
	deskClients = 72
	deskPause   = 200 * time.Millisecond
	deskTimeout = 1500 * time.Millisecond
	// The site files have 0.03 of the answers of 0.6 of the servers followed by a late second one, for
	// 5 s.
	surplusOneIn  = 34
	surplusFor    = 5 * time.Second
	surplusPause  = 2 * time.Second
	surplusRounds = 12
)

// playSurplus has a full server send some of its answers once more, late.
func playSurplus(w *world) (bool, error) {
	s := &rawServer{w: w, id: "desk-1", slots: deskSlots, room: deskRoom, work: deskWork}
	if w.trouble {
		s.surplus = func(int) bool {
			since := time.Since(w.begun) % (surplusFor + surplusPause)
			return since < surplusFor && rand.IntN(surplusOneIn) == 0
		}
	}
	answers, err := w.playDesk(s, surplusRounds*(surplusFor+surplusPause))
	if err != nil {
		return false, err
	}
	refused, served, broken, twice := 0, 0, 0, 0
	for id, status := range answers {
		switch status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refused++
			if s.ran(id) > 0 {
				broken++
				w.note("BROKEN: %s was answered %d, and has run", id, status)
			}
		}
	}
	for thing, n := range s.done {
		if n > 1 {
			twice++
			w.note("%s was done %d times, as its client came back after a refusal", thing, n)
		}
	}
	w.note("%d requests, %d served, %d refused; %d of the refused ones have run; %d things were done more than once", len(answers), served, refused, broken, twice)
	return broken > 0, nil
}

// playDesk has clients with kept channels ask a plain service, and returns the status that each request
// was answered with; zero stands for no answer.
func (w *world) playDesk(s *rawServer, lasts time.Duration) (map[string]int, error) {
	if err := s.start(); err != nil {
		return nil, err
	}
	w.announce(s.id, s.address, "desk")
	// A sound server of another service, so that one of two servers is faulty.
	other := &rawServer{w: w, id: "other-1", slots: deskSlots, room: deskRoom, work: deskWork}
	if err := other.start(); err != nil {
		return nil, err
	}
	w.announce(other.id, other.address, "other")
	route := func(name, service string) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: "/" + service + "/", Kind: standin.Unsafe, Target: service, Attempts: 2, Timeout: deskTimeout, Objective: deskTimeout}
	}
	w.put(standin.Configuration{
		Version: 1, Routes: []standin.Route{route("issue", "desk"), route("other", "other")},
		Services: []string{"desk", "other"}, Workspaces: map[string][]string{tenant: {apiKey}},
	})
	store, err := serve(w.store.Handler())
	if err != nil {
		return nil, err
	}
	if err := w.startNodes(deskNodes, 0, store); err != nil {
		return nil, err
	}
	d := &deskClientsOf{world: w, answers: map[string]int{}}
	ctx, stop := context.WithTimeout(context.Background(), lasts)
	defer stop()
	var clients sync.WaitGroup
	for i := range deskClients {
		clients.Go(func() { d.client(ctx, w.nodes[i%len(w.nodes)], i) })
	}
	clients.Wait()
	// What was refused before may run later.
	time.Sleep(time.Second)
	return d.answers, nil
}

type deskClientsOf struct {
	*world
	mu      sync.Mutex
	answers map[string]int
}

// client wants one thing after the other done once. After a refusal, which promises that its request has
// not run, it comes back once, as told.
func (d *deskClientsOf) client(ctx context.Context, n *node, number int) {
	var c *channel
	ask := func(thing string) (status int, retryAfter time.Duration) {
		if c == nil {
			opened, err := n.connect()
			if err != nil {
				return 0, 0
			}
			c = opened
		}
		id := d.nextID()
		d.note("%s is sent to %s for %s", id, n.name, thing)
		status, retryAfter, keep := c.issue(id, thing)
		d.note("%s is answered %d", id, status)
		d.mu.Lock()
		d.answers[id] = status
		d.mu.Unlock()
		if !keep {
			c.Close()
			c = nil
		}
		return status, retryAfter
	}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * deskPause))))
		thing := fmt.Sprintf("/desk/issue/%d-%d", number, i)
		status, retryAfter := ask(thing)
		if status == http.StatusServiceUnavailable {
			time.Sleep(min(retryAfter, deskTimeout/3))
			ask(thing)
		}
	}
	if c != nil {
		c.Close()
	}
}

// issue sends one request that may run once at most, and reads its answer.
func (c *channel) issue(id, path string) (status int, retryAfter time.Duration, keep bool) {
	if c.request(http.MethodPost, path, id, deskTimeout, 0) != nil {
		return 0, 0, false
	}
	_ = c.SetReadDeadline(time.Now().Add(deskTimeout + time.Second))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, false
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get(platform.HeaderRetryAfter), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), !resp.Close
}
