package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

const (
	runFor        = 5 * time.Second
	gateways      = 3
	callersEach   = 3
	minRequests   = 50
	maxAttempts   = 2
	streamEvents  = 25
	eventEvery    = 8 * time.Millisecond
	workTime      = 25 * time.Millisecond
	leaveBound    = 3 * time.Second
	readyTimeout  = 20 * time.Second
	callerTimeout = 10 * time.Second
	host          = "h.example"
	apiKey        = "key"
)

// Kinds of requests.
const (
	kindPlain  = "plain"
	kindSafe   = "safe"
	kindStream = "stream"
)

type world struct {
	t     *testing.T
	rand  *rand.Rand
	begun time.Time
	dir   string

	store      *standin.Store
	storeProxy *proxy
	ledger     *standin.Ledger
	engines    []*standin.Endpoint
	desks      []*standin.Endpoint
	proxies    []*proxy
	gateways   []*gateway
	version    int
	// faulty says that something happened that wasn't planned.
	faulty bool
	// pending are faults that still have to end.
	pending sync.WaitGroup

	mu        sync.Mutex
	endpoints map[string]*standin.Endpoint
	left      map[string]time.Time
	results   []result
	versions  map[string]int
	serial    int
}

// result is what a caller got.
type result struct {
	id, kind, gateway string
	status            int
	body, want        string
	signature         string
	err               error
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, seed)), begun: time.Now(), dir: t.TempDir(), store: standin.New(), ledger: &standin.Ledger{},
		endpoints: map[string]*standin.Endpoint{}, left: map[string]time.Time{}, versions: map[string]int{},
	}
	server := httptest.NewServer(w.store.Handler())
	t.Cleanup(server.Close)
	w.storeProxy = w.proxied(strings.TrimPrefix(server.URL, "http://"))
	for i := range 3 {
		w.engines = append(w.engines, w.endpoint(fmt.Sprintf("engine-%d", i), "engine"))
		w.desks = append(w.desks, w.endpoint(fmt.Sprintf("desk-%d", i), "desk"))
	}
	w.nextVersion()
	var seedsOf []string
	for i := range gateways {
		g := w.newGateway(i, seedsOf)
		seedsOf = append(seedsOf, g.vm.Peers)
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		g.start()
	}
	for _, g := range w.gateways {
		g.waitReady()
	}
	return w
}

func (w *world) proxied(target string) *proxy {
	p, stop, err := newProxy(target)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(stop)
	return p
}

func (w *world) endpoint(id, target string) *standin.Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	p := w.proxied(l.Addr().String())
	e := &standin.Endpoint{ID: id, Address: p.address, Events: streamEvents, Every: eventEvery, Work: workTime, Ledger: w.ledger, Peers: w.at}
	server := &http.Server{Handler: e.Handler()}
	go func() { _ = server.Serve(l) }()
	w.t.Cleanup(func() { server.Close() })
	w.mu.Lock()
	w.endpoints[e.Address] = e
	w.proxies = append(w.proxies, p)
	w.mu.Unlock()
	w.store.Put(platform.EndpointPrefix+id, standin.Record(e, target, "dc", false))
	return e
}

func (w *world) at(address string) *standin.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[address]
}

// nextVersion publishes a configuration whose route /v/N/ is its own.
func (w *world) nextVersion() {
	w.mu.Lock()
	w.version++
	w.mu.Unlock()
	route := func(name, prefix, kind, target string, attempts int) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: prefix, Kind: kind, Target: target, Attempts: attempts, Timeout: callerTimeout}
	}
	w.store.Put(platform.ConfigurationKey, standin.Configuration{
		Version: w.version,
		Routes: []standin.Route{
			route(kindPlain, "/plain/", standin.Unsafe, "desk", maxAttempts),
			route(kindSafe, "/safe/", standin.Safe, "desk", maxAttempts),
			route(kindStream, "/stream/", standin.Stream, "engine", maxAttempts),
			route("version", fmt.Sprintf("/v/%d/", w.version), standin.Unsafe, "desk", 1),
		},
		Engines: []string{"engine"}, Services: []string{"desk"}, Workspaces: map[string][]string{"w": {apiKey}},
	}.Encode())
}

// leave makes an engine announce its leaving, and puts another in its place.
func (w *world) leave(e *standin.Endpoint) {
	w.mu.Lock()
	w.left[e.ID] = time.Now()
	w.serial++
	id := fmt.Sprintf("engine-new-%d", w.serial)
	w.mu.Unlock()
	next := w.endpoint(id, "engine")
	w.store.Put(platform.EndpointPrefix+e.ID, standin.Record(e, "engine", "dc", true))
	for i := range w.engines {
		if w.engines[i] == e {
			w.engines[i] = next
		}
	}
}

// after undoes a fault later.
func (w *world) after(d time.Duration, undo func()) {
	w.pending.Go(func() {
		time.Sleep(d)
		undo()
	})
}

func (w *world) fault(p *proxy, m mode, d time.Duration) {
	p.set(m)
	w.after(d, func() { p.set(pass) })
}

// resetAll resets the connections to most endpoints, a few times in a row.
func (w *world) resetAll(r *rand.Rand) {
	w.mu.Lock()
	proxies := append([]*proxy(nil), w.proxies...)
	w.mu.Unlock()
	for range 3 {
		for _, p := range proxies {
			if r.IntN(3) > 0 {
				p.set(reset)
				p.set(pass)
			}
		}
		time.Sleep(workTime)
	}
}

func (w *world) refuse(d time.Duration) {
	w.store.SetMode(standin.Mode{Down: true})
	w.after(d, func() { w.store.SetMode(standin.Mode{}) })
}

func (w *world) full(e *standin.Endpoint, d time.Duration) {
	e.SetRefusing(true)
	w.after(d, func() { e.SetRefusing(false) })
}

func (w *world) cut(e *standin.Endpoint, d time.Duration) {
	e.CutAfter(streamEvents / 2)
	w.after(d, func() { e.CutAfter(0) })
}

// gateway is one process, and those that follow it.
type gateway struct {
	w    *world
	vm   platform.Settings
	file string

	mu   sync.Mutex
	cmd  *exec.Cmd
	life int
	// ended is closed when the process of this life has ended.
	ended chan struct{}
	// restarting says that the next process is about to be started.
	restarting bool
	over       bool
}

func (w *world) newGateway(i int, seeds []string) *gateway {
	port := freeport.Port(w.t)
	g := &gateway{w: w, file: filepath.Join(w.dir, fmt.Sprintf("vm-%d.json", i)), vm: platform.Settings{
		VM: fmt.Sprintf("vm-%d", i), DataCenter: "dc", Seeds: seeds, Store: w.storeProxy.address, FirstStart: true,
		PortLow: port, PortHigh: port,
		Callers: freeport.Address(w.t), Readiness: freeport.Address(w.t), Peers: freeport.Address(w.t),
		Bounds: platform.Bounds{Grace: 8 * time.Second, Drain: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 58},
	}}
	if err := os.WriteFile(g.file, standin.SettingsFile(g.vm), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(g.end)
	return g
}

func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.over {
		return
	}
	g.life++
	g.restarting = false
	cmd := exec.Command(gatewayBinary, "-drain-delay", "300ms")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+g.file)
	out, err := os.OpenFile(g.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		g.w.t.Error(err)
		return
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		g.w.t.Error(err)
		return
	}
	ended := make(chan struct{})
	g.cmd, g.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(ended)
	}()
}

// restart waits for the end of a process and starts the next one, once: the stop
// and the kill of one process may overlap.
func (g *gateway) restart(ended chan struct{}) {
	<-ended
	g.mu.Lock()
	first := g.ended == ended && !g.restarting
	g.restarting = g.restarting || first
	g.mu.Unlock()
	if first {
		g.start()
	}
}

// end kills the process for good.
func (g *gateway) end() {
	g.mu.Lock()
	g.over = true
	cmd, ended := g.cmd, g.ended
	g.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
	if data, err := os.ReadFile(g.file + ".log"); err == nil && bytes.Contains(data, []byte("invariant violated")) || bytes.Contains(data, []byte("panic:")) {
		g.w.t.Errorf("%s: a broken invariant or a panic:\n%s", g.vm.VM, data)
	}
	if dir := os.Getenv("SOAK_LOGS"); dir != "" {
		_ = os.Rename(g.file+".log", filepath.Join(dir, filepath.Base(g.file)+".log"))
	}
}

// signal sends a signal to the process of now.
func (g *gateway) signal(s syscall.Signal) (ended chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
	return g.ended
}

func (g *gateway) hup() { g.signal(syscall.SIGHUP) }

func (g *gateway) kill() {
	ended := g.signal(syscall.SIGKILL)
	g.w.pending.Go(func() { g.restart(ended) })
}

func (g *gateway) term() {
	ended := g.signal(syscall.SIGTERM)
	g.w.pending.Go(func() { g.restart(ended) })
}

func (g *gateway) pause(d time.Duration) {
	g.signal(syscall.SIGSTOP)
	g.w.after(d, func() { g.signal(syscall.SIGCONT) })
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.vm.Readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) waitReady() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.ready() {
			return
		}
	}
	g.w.t.Fatalf("%s doesn't become ready", g.vm.VM)
}

// callers call every gateway until stop is called; each keeps its connections as
// long as the process is there.
func (w *world) callers() (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, g := range w.gateways {
		for n := range callersEach {
			r := rand.New(rand.NewPCG(w.rand.Uint64(), uint64(n)))
			all.Go(func() { g.callUntil(done, r) })
		}
		all.Go(func() { g.watchVersions(done) })
	}
	return func() {
		close(done)
		all.Wait()
	}
}

func (g *gateway) callUntil(done chan struct{}, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout}
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

func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	return fmt.Sprintf("r%d", w.serial)
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
	res := result{id: g.w.nextID(), kind: kind, gateway: g.vm.VM}
	path := "/" + kind + "/x"
	req := g.request(res.id, path)
	res.want = "POST " + path + " body"
	if kind == kindStream {
		req.Header.Set(platform.HeaderTokens, "100,50")
		res.want = ""
		for n := 1; n <= streamEvents; n++ {
			res.want += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, res.id, n)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		res.err = err
		return res
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	res.status, res.body, res.err = resp.StatusCode, string(body), err
	res.signature = resp.Header.Get(platform.HeaderSignature)
	if res.status != http.StatusOK {
		// The text of a refusal is the system's own.
		res.body = ""
	}
	return res
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
			resp, err := client.Do(g.request(g.w.nextID(), fmt.Sprintf("/v/%d/", version)))
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
		}
	}
}
