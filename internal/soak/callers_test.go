package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

// callers call every gateway until stop is called; each keeps its connections as
// long as the process is there.
func (w *world) callers() (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, g := range w.gateways {
		each := callersEach
		if w.drawn.host {
			each = hostCallersEach
		}
		for n := range each {
			r := rand.New(rand.NewPCG(w.rand.Uint64(), uint64(n)))
			all.Go(func() { g.callUntil(done, r) })
		}
		// Of two processes of one VM it can't be told which has answered.
		if !w.drawn.host {
			all.Go(func() { g.watchVersions(done) })
		}
	}
	return func() {
		close(done)
		all.Wait()
	}
}

func (g *gateway) callUntil(done chan struct{}, r *rand.Rand) {
	transport := &http.Transport{}
	if g.w.drawn.stops || g.w.drawn.host {
		transport.DialContext = dialPiecewise(r.Uint64())
	}
	client := &http.Client{Transport: transport, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(r.IntN(60)) * time.Millisecond):
		}
		res := g.call(client, pick(r, []string{kindPlain, kindSafe, kindStream}))
		g.w.mu.Lock()
		g.w.results = append(g.w.results, res)
		g.w.mu.Unlock()
	}
}

// nextID names a request; the name tells the gateway that is called.
func (g *gateway) nextID() string {
	g.w.mu.Lock()
	defer g.w.mu.Unlock()
	g.w.serial++
	return fmt.Sprintf("%s-%d", g.vm.VM, g.w.serial)
}

func (g *gateway) request(id, path string) *http.Request {
	// A body that can't be rewound keeps the client from sending again by itself.
	req, err := http.NewRequest(http.MethodPost, "http://"+g.vm.Callers+path, io.MultiReader(strings.NewReader("body")))
	if err != nil {
		panic(err) // The address is a constant of the run.
	}
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAPIKey, apiKey)
	req.Header.Set(platform.HeaderWait, fmt.Sprint(callerTimeout.Milliseconds()))
	return req
}

func (g *gateway) call(client *http.Client, kind string) result {
	return g.callAs(client, g.nextID(), kind)
}

// newCall makes a request, and what its caller should get.
func (g *gateway) newCall(id, kind string) (*http.Request, result) {
	res := result{id: id, kind: kind, gateway: g.vm.VM, begun: time.Now()}
	path := "/" + kind + "/x"
	req := g.request(id, path)
	res.want = "POST " + path + " body"
	if kind == kindStream {
		req.Header.Set(platform.HeaderTokens, "100,50")
		res.want = ""
		for n := 1; n <= streamEvents; n++ {
			res.want += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, res.id, n)
		}
	}
	if g.w.drawn.parts {
		g.w.mu.Lock()
		req.Header.Set(platform.HeaderPromptParts, soundParts(g.w.serial))
		g.w.mu.Unlock()
	}
	return req, res
}

// callAs sends a request with an id.
func (g *gateway) callAs(client *http.Client, id, kind string) (res result) {
	req, res := g.newCall(id, kind)
	begun := res.begun
	var connected time.Time
	// Another goroutine writes the request.
	var wrote atomic.Int64
	defer func() {
		res.elapsed = time.Since(begun)
		if !connected.IsZero() {
			res.connected = time.Since(connected)
		}
		if after := time.Duration(wrote.Load()); after > 0 {
			res.answered = res.elapsed - after
		}
	}()
	traced := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = time.Now() }, WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err == nil {
			wrote.Store(int64(time.Since(begun)))
		}
	}})
	resp, err := client.Do(req.WithContext(traced))
	if err != nil {
		res.err = err
		return res
	}
	res.read(resp)
	return res
}

// read reads the answer.
func (r *result) read(resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err = resp.StatusCode, string(body), err
	r.signature = resp.Header.Get(platform.HeaderSignature)
	if r.status != http.StatusOK {
		r.quarantined = strings.Contains(r.body, "quarantine")
		// The text of a refusal is the system's own.
		r.body = ""
	}
}

// watchVersions looks which configuration a process has in force.
func (g *gateway) watchVersions(done chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout}
	for {
		select {
		case <-done:
			return
		case <-time.After(40 * time.Millisecond):
		}
		g.mu.Lock()
		life := g.life
		g.mu.Unlock()
		g.w.mu.Lock()
		newest := g.w.version
		g.w.mu.Unlock()
		for version := newest; version > 0 && version > newest-2; version-- {
			sent := time.Now()
			resp, err := client.Do(g.request(g.nextID(), fmt.Sprintf("/v/%d/", version)))
			if err != nil {
				break
			}
			resp.Body.Close()
			g.mu.Lock()
			same := g.life == life
			g.mu.Unlock()
			if resp.StatusCode == http.StatusOK && same {
				g.w.sawVersion(g, life, version)
			}
			if resp.StatusCode == http.StatusNotFound {
				g.w.sawNone(g, version, sent)
			}
		}
	}
}
