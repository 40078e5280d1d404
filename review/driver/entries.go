package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// Tries of entries of the open issues; see review/REPORT.md.
const (
	sharesNodes   = 5
	sharesServers = 4
	sharesLimit   = 20
	sharesLoad    = 0.6
	sharesBefore  = 12 * time.Second
	sharesSkew    = 12 * time.Second
)

// outcomeOf is what became of one request.
type outcomeOf struct {
	id     string
	sent   time.Time
	status int
	took   time.Duration
}

// openLoop has clients ask at a rate on new channels, at the node that pick returns, until the context ends.
func (w *world) openLoop(ctx context.Context, rate float64, pick func() *node) []outcomeOf {
	var mu sync.Mutex
	var all []outcomeOf
	var open sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		n := pick()
		open.Go(func() {
			id, sent := w.nextID(), time.Now()
			w.note("%s is sent to %s", id, n.name)
			status := 0
			if c, err := n.connect(); err == nil {
				status, _, _ = c.issue(id, "/desk/issue/"+id)
				c.Close()
			}
			w.note("%s is answered %d", id, status)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, outcomeOf{id, sent, status, time.Since(sent)})
		})
	}
	open.Wait()
	return all
}

// startDesk starts servers and gateways for one unsafe route.
func (w *world) startDesk(servers, nodes int, prepare func(*rawServer)) ([]*rawServer, error) {
	var out []*rawServer
	for i := range servers {
		s := &rawServer{w: w, id: fmt.Sprintf("desk-%d", i+1), service: "desk", slots: deskSlots, room: usualRoom, work: deskWork}
		prepare(s)
		if err := s.start(); err != nil {
			return nil, err
		}
		w.announce(s.id, s.address, s.service)
		out = append(out, s)
	}
	w.put(standin.Configuration{
		Version:  1,
		Routes:   []standin.Route{{Name: "issue", Host: host, Prefix: "/desk/", Kind: standin.Unsafe, Target: "desk", Attempts: 1, Timeout: deskTimeout, Objective: 300 * time.Millisecond}},
		Services: []string{"desk"}, Workspaces: map[string][]string{tenant: {apiKey}},
	})
	store, err := serve(w.store.Handler())
	if err != nil {
		return nil, err
	}
	return out, w.startNodes(nodes, 0, store)
}

// playShares has servers name a limit, and then the platform hand all new channels to one node.
func playShares(w *world) (bool, error) {
	_, err := w.startDesk(sharesServers, sharesNodes, func(s *rawServer) {
		s.says = fmt.Sprintf("%s: %d\r\n", platform.HeaderLimit, sharesLimit)
	})
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	begun := time.Now()
	skewed := func(t time.Time) bool { return w.trouble && t.Sub(begun) >= sharesBefore }
	ctx, stop := context.WithTimeout(context.Background(), sharesBefore+sharesSkew)
	defer stop()
	all := w.openLoop(ctx, sharesLoad*sharesLimit*sharesServers, func() *node {
		if skewed(time.Now()) {
			return w.nodes[0]
		}
		return w.nodes[rand.IntN(len(w.nodes))]
	})
	var before, after [2]int
	for _, o := range all {
		since := o.sent.Sub(begun)
		count := &before
		switch {
		case since >= sharesBefore+contact:
			count = &after
		case since < contact || since >= sharesBefore:
			continue
		}
		count[1]++
		if o.status == http.StatusOK {
			count[0]++
		}
	}
	b, a := float64(before[0])/float64(before[1]), float64(after[0])/float64(after[1])
	w.note("served at the first attempt: before %d of %d (%.2f), from ContactMs on %d of %d (%.2f)", before[0], before[1], b, after[0], after[1], a)
	return a < 0.75*b, nil
}

// Figures of the tries that follow.
const (
	raisedBytes   = 8 << 20
	largerBytes   = 5 << 20
	limitsAsks    = 40
	streamEvents  = 40
	streamEvery   = 50 * time.Millisecond
	streamAsks    = 10
	streamsCutAt  = 12
	headerStream  = "text/event-stream"
	streamTimeout = 39 * time.Second
)

// playLimits has the operator raise the largest body of a request, and clients use it.
func playLimits(w *world) (bool, error) {
	if _, err := w.startDesk(sharesServers, sharesNodes, func(*rawServer) {}); err != nil {
		return false, err
	}
	publish := func(version, most int) error {
		var fields map[string]any
		data := standin.Configuration{
			Version:  version,
			Routes:   []standin.Route{{Name: "issue", Host: host, Prefix: "/desk/", Kind: standin.Unsafe, Target: "desk", Attempts: 1, Timeout: uploadTimeout, Objective: uploadTimeout}},
			Services: []string{"desk"}, Workspaces: map[string][]string{tenant: {apiKey}},
		}.Encode()
		if err := json.Unmarshal(data, &fields); err != nil {
			return err
		}
		fields["Limits"] = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": most, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
		data, err := json.Marshal(fields)
		if err != nil {
			return err
		}
		w.store.Put(platform.ConfigurationKey, data)
		return nil
	}
	length, most := bodyBytes, bodyBytes
	if w.trouble {
		length, most = largerBytes, raisedBytes
	}
	if err := publish(2, most); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	statuses := map[int]int{}
	for i := range limitsAsks {
		c, err := w.nodes[i%len(w.nodes)].connect()
		if err != nil {
			return false, err
		}
		status, _ := c.send("/desk/issue", w.nextID(), length)
		statuses[status]++
		c.Close()
	}
	w.note("%d requests of %d bytes, allowed are %d: %v", limitsAsks, length, most, statuses)
	return statuses[http.StatusRequestEntityTooLarge] > 5, nil
}

// send sends a request with a body at once.
func (c *channel) send(path, id string, length int) (int, error) {
	_ = c.SetDeadline(time.Now().Add(uploadTimeout))
	if err := c.request(http.MethodPost, path, id, uploadTimeout, length); err != nil {
		return 0, err
	}
	_, writeErr := c.Write(make([]byte, length))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, errors.Join(writeErr, err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// playUnframed has a server whose streams have neither a length nor chunks end in the middle of some, between
// two events, as when its process is killed.
func playUnframed(w *world) (bool, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go streamUnframed(c, w.trouble)
		}
	}()
	w.announce("engine-1", l.Addr().String(), "engine")
	w.put(standin.Configuration{
		Version: 1,
		Routes:  []standin.Route{{Name: "stream", Host: host, Prefix: "/stream/", Kind: standin.Stream, Target: "engine", Attempts: 1, Timeout: streamTimeout, Objective: streamTimeout}},
		Engines: []string{"engine"}, Workspaces: map[string][]string{tenant: {apiKey}},
	})
	store, err := serve(w.store.Handler())
	if err != nil {
		return false, err
	}
	if err := w.startNodes(sharesNodes, 0, store); err != nil {
		return false, err
	}
	short, whole, cut := 0, 0, 0
	for i := range streamAsks {
		c, err := w.nodes[i%len(w.nodes)].connect()
		if err != nil {
			return false, err
		}
		id := w.nextID()
		if err := c.request(http.MethodPost, "/stream/x", id, streamTimeout, 0, platform.HeaderTokens+": 100,200"); err != nil {
			return false, err
		}
		resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return false, err
		}
		body, err := io.ReadAll(resp.Body)
		events := strings.Count(string(body), "\n\n")
		w.note("%s: status %d, %d of %d events, then %v", id, resp.StatusCode, events, streamEvents, err)
		switch {
		case err != nil:
			cut++
		case resp.StatusCode == http.StatusOK && events < streamEvents:
			short++
		case resp.StatusCode == http.StatusOK:
			whole++
		}
		c.Close()
	}
	w.note("%d streams whole, %d cut, %d ended as complete before their last event", whole, cut, short)
	return short > 0, nil
}

func streamUnframed(c net.Conn, dies bool) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if r.Header.Get(platform.HeaderTokens) == "" {
		fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signature\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderSignature, headerStream)
	for n := 1; n <= streamEvents; n++ {
		if dies && n > streamsCutAt {
			return
		}
		fmt.Fprintf(c, "id: %d\ndata: x\n\n", n)
		time.Sleep(streamEvery)
	}
}
