package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// The deployment is of the size of the small sites: six machines with 134 MB, and no more clients than the
// site file has. A body has the size that Limits allows. Each channel carries a few requests.
const (
	memoryNodes   = 6
	memoryMB      = 134
	memoryServers = 9
	uploaders     = 60
	bodyBytes     = 4 << 20
	chunkBytes    = 64 << 10
	uploadTakes   = 2 * time.Second
	uploadWork    = 5 * time.Second
	uploadTimeout = 39 * time.Second
	// thinking is the longest rest between two requests. The first request of a channel is a small one.
	thinking    = 3 * time.Second
	smallBytes  = 1 << 10
	perChannel  = 2
	calmBefore  = 16 * time.Second
	skewLasts   = 12 * time.Second
	calmBetween = 8 * time.Second
	mostOf10    = 9
	// allowedLosses is how many such losses the rule LOST allows.
	allowedLosses = 3
)

type memoryCase struct {
	*world
	mu sync.Mutex
	// favoured is the node that gets most new channels; nil while they are spread.
	favoured *node
	// ran holds the requests that a server has begun to work on.
	ran map[string]bool
	// served and unserved count requests, lost those that a server worked on and whose channel ended
	// without an answer, and keptLost those of them that came on a kept channel, by machine.
	served, unserved, lost int
	keptLost               map[*node]int
}

func playMemory(w *world) (bool, error) {
	m := &memoryCase{world: w, ran: map[string]bool{}, keptLost: map[*node]int{}}
	for i := range memoryServers {
		address, err := serve(http.HandlerFunc(m.work))
		if err != nil {
			return false, err
		}
		w.announce(fmt.Sprintf("server-%d", i+1), address, "desk")
	}
	w.put(standin.Configuration{
		Version:  1,
		Routes:   []standin.Route{{Name: "upload", Host: host, Prefix: "/upload/", Kind: standin.Unsafe, Target: "desk", Attempts: 1, Timeout: uploadTimeout, Objective: uploadTimeout}},
		Services: []string{"desk"}, Workspaces: map[string][]string{tenant: {apiKey}},
	})
	store, err := serve(w.store.Handler())
	if err != nil {
		return false, err
	}
	if err := w.startNodes(memoryNodes, memoryMB, store); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.balance(ctx)
	var clients sync.WaitGroup
	for i := range uploaders {
		clients.Go(func() { m.client(ctx, i) })
	}
	time.Sleep(calmBefore)
	for i := range 2 {
		m.skew(i)
		time.Sleep(calmBetween)
	}
	stop()
	clients.Wait()
	most := 0
	for _, n := range w.nodes {
		n.mu.Lock()
		w.note("%s: ended %d times for its memory, most memory of a life %d MB, %d requests of kept channels passed on and lost", n.name, n.ends, n.peak*1024/1_000_000, m.keptLost[n])
		n.mu.Unlock()
		most = max(most, m.keptLost[n])
	}
	w.note("%d requests served, %d not; of %d a server had begun to work on them and the channel ended without an answer; most of them on kept channels of one machine: %d",
		m.served, m.unserved, m.lost, most)
	return most > allowedLosses, nil
}

// skew has the platform hand most new channels to one node for some seconds, to another once that
// one is out.
func (m *memoryCase) skew(first int) {
	if !m.trouble {
		time.Sleep(skewLasts)
		return
	}
	next := m.nodes[first]
	for end := time.Now().Add(skewLasts); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !next.isIn() {
			for _, n := range m.nodes {
				if n.isIn() {
					next = n
				}
			}
		}
		m.mu.Lock()
		if m.favoured != next {
			m.note("most new channels go to %s", next.name)
		}
		m.favoured = next
		m.mu.Unlock()
	}
	m.mu.Lock()
	m.favoured = nil
	m.mu.Unlock()
	m.note("new channels are spread")
}

func (m *memoryCase) pick(hash int) *node {
	m.mu.Lock()
	favoured := m.favoured
	m.mu.Unlock()
	if favoured != nil && rand.IntN(10) < mostOf10 {
		return favoured
	}
	var in []*node
	for _, n := range m.nodes {
		if n.isIn() {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		return m.nodes[hash%len(m.nodes)]
	}
	return in[hash%len(in)]
}

// client sends a few requests on each channel that it opens.
func (m *memoryCase) client(ctx context.Context, hash int) {
	time.Sleep(time.Duration(rand.Int64N(int64(uploadTakes + uploadWork + thinking))))
	for ctx.Err() == nil {
		n := m.pick(hash)
		c, err := n.connect()
		if err != nil {
			time.Sleep(time.Duration(rand.Int64N(int64(thinking))))
			continue
		}
		for i := 0; i < perChannel && ctx.Err() == nil; i++ {
			id := m.nextID()
			m.note("%s is sent to %s, request %d of its channel", id, n.name, i+1)
			length := bodyBytes
			if i == 0 {
				length = smallBytes
			}
			status, err := c.upload(id, length)
			m.note("%s: status %d, error %v", id, status, err)
			m.count(n, id, status, i > 0)
			time.Sleep(time.Duration(rand.Int64N(int64(thinking))))
			if err != nil {
				break
			}
		}
		c.Close()
	}
}

func (m *memoryCase) count(n *node, id string, status int, kept bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case status == http.StatusOK:
		m.served++
		return
	case status == 0 && m.ran[id]:
		m.lost++
		if kept {
			m.keptLost[n]++
		}
	}
	m.unserved++
}

// upload sends one request as fast as a client's link allows.
func (c *channel) upload(id string, length int) (int, error) {
	_ = c.SetDeadline(time.Now().Add(uploadTimeout))
	if err := c.request(http.MethodPost, "/upload/x", id, uploadTimeout, length); err != nil {
		return 0, err
	}
	chunk := make([]byte, chunkBytes)
	begun := time.Now()
	for sent := 0; sent < length; {
		time.Sleep(time.Until(begun.Add(uploadTakes * time.Duration(sent) / bodyBytes)))
		n, err := c.Write(chunk[:min(chunkBytes, length-sent)])
		if err != nil {
			return 0, err
		}
		sent += n
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// work reads a request and works on it for some seconds.
func (m *memoryCase) work(rw http.ResponseWriter, r *http.Request) {
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	m.mu.Lock()
	m.ran[id] = true
	m.mu.Unlock()
	m.note("%s runs, %d bytes", id, length)
	if length > smallBytes {
		time.Sleep(uploadWork)
	}
	rw.Header().Set(platform.HeaderRequestID, id)
	rw.Header().Set(platform.HeaderSignature, "signature")
	fmt.Fprintf(rw, "%d bytes", length)
}
