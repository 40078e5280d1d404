package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// Three servers of six slots that can do 150 requests a second, and clients that ask for at most 60 in 100
// of that, and for ten seconds for at most 2.4 times as many: each waits for its answer first.
const (
	brittleNodes    = 6
	brittleServers  = 3
	brittleSlots    = 6
	usualRoom       = 24
	brittleRoom     = 2
	brittleWork     = 120 * time.Millisecond
	brittleRate     = 90
	brittleBurst    = 2.4
	brittleN        = 10
	brittleTimeout  = 1500 * time.Millisecond
	brittleAim      = 600 * time.Millisecond
	brittleBack     = 3 * time.Second
	contact         = 3 * time.Second
	burstFrom       = 14 * time.Second
	burstTo         = 24 * time.Second
	brittleFrom     = 8 * time.Second
	brittleEnds     = 28 * time.Second
	headerBrittle   = "Server-Brittle"
	brittleChannels = 75
)

// playBrittle has the servers of a service say that they are brittle during a burst.
func playBrittle(w *world) (bool, error) {
	var servers []*rawServer
	for i := range brittleServers {
		s := &rawServer{w: w, id: fmt.Sprintf("desk-%d", i+1), service: "desk", slots: brittleSlots, room: usualRoom, work: brittleWork}
		if err := s.start(); err != nil {
			return false, err
		}
		w.announce(s.id, s.address, s.service)
		servers = append(servers, s)
	}
	w.put(standin.Configuration{
		Version:  1,
		Routes:   []standin.Route{{Name: "issue", Host: host, Prefix: "/desk/", Kind: standin.Unsafe, Target: "desk", Attempts: 1, Timeout: brittleTimeout, Objective: brittleAim}},
		Services: []string{"desk"}, Workspaces: map[string][]string{tenant: {apiKey}},
	})
	store, err := serve(w.store.Handler())
	if err != nil {
		return false, err
	}
	if err := w.startNodes(brittleNodes, 0, store); err != nil {
		return false, err
	}
	begun := time.Now()
	at := func(d time.Duration) <-chan time.Time { return time.After(time.Until(begun.Add(d))) }
	statuses := map[int]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	for i := range brittleChannels {
		clients.Go(func() {
			var c *channel
			for ctx.Err() == nil {
				rate := float64(brittleRate)
				if since := time.Since(begun); since >= burstFrom && since < burstTo {
					rate *= brittleBurst
				}
				time.Sleep(time.Duration(rand.ExpFloat64() * brittleChannels / rate * float64(time.Second)))
				n := w.nodes[i%len(w.nodes)]
				if c == nil {
					if c, err = n.connect(); err != nil {
						c = nil
						continue
					}
				}
				id := w.nextID()
				w.note("%s is sent to %s", id, n.name)
				status, _, keep := c.issue(id, "/desk/issue/"+id)
				w.note("%s is answered %d", id, status)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				if !keep {
					c.Close()
					c = nil
				}
			}
		})
	}
	<-at(brittleFrom)
	if w.trouble {
		for _, s := range servers {
			s.setBrittle(brittleN)
		}
		w.note("the servers say that they are brittle: %d", brittleN)
	}
	<-at(brittleFrom + contact)
	if w.trouble {
		for _, s := range servers {
			s.setRoom(brittleRoom)
			s.setFragile()
		}
		w.note("the servers let fewer wait")
	}
	<-at(brittleEnds)
	for _, s := range servers {
		s.setBrittle(0)
		s.setRoom(usualRoom)
	}
	<-at(brittleEnds + 2*time.Second)
	stop()
	clients.Wait()
	falls, rejected, lost := 0, 0, 0
	for _, s := range servers {
		s.mu.Lock()
		falls += s.falls
		rejected += s.rejected
		lost += s.lost
		s.mu.Unlock()
	}
	w.note("%d requests served, %d refused, %d without an answer, others %v", statuses[http.StatusOK], statuses[http.StatusServiceUnavailable], statuses[0], statuses)
	w.note("%d falls of %d servers while brittle, %d requests rejected by them, %d cut while they ran", falls, brittleServers, rejected, lost)
	return float64(falls) > 2+0.1*brittleServers, nil
}

func (s *rawServer) setBrittle(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle = n
}

// setFragile has it fall over from now on.
func (s *rawServer) setFragile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fragile = true
}

func (s *rawServer) setRoom(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room = n
}

// brittleLine is the header by which it says that it is brittle.
func (s *rawServer) brittleLine() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.brittle == 0 {
		return ""
	}
	return headerBrittle + ": " + strconv.Itoa(s.brittle) + "\r\n"
}

// noteRejected counts a request that was turned away for want of room; a brittle server falls over under
// too many of them in a second.
func (s *rawServer) noteRejected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected++
	if s.brittle == 0 || !s.fragile || s.down {
		return
	}
	now := time.Now()
	s.rejections = append(s.rejections, now)
	for now.Sub(s.rejections[0]) > time.Second {
		s.rejections = s.rejections[1:]
	}
	if len(s.rejections) > s.brittle {
		s.fall()
	}
}

// fall ends the server's process: its channels close, and its address refuses others for some seconds. The
// caller holds the lock.
func (s *rawServer) fall() {
	s.falls++
	s.lost += s.held
	s.w.note("%s falls over: it turned %d requests away within a second; %d ran or waited there", s.id, len(s.rejections), s.held)
	s.down, s.rejections = true, nil
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	go func() {
		time.Sleep(brittleBack)
		if s.w.isEnding() {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down, s.held, s.free = false, 0, make(chan struct{}, s.slots)
		if err := s.listen(); err != nil {
			s.w.note("%s: %v", s.id, err)
			return
		}
		s.w.announce(s.id, s.address, s.service)
		s.w.note("%s is back", s.id)
	}()
}
