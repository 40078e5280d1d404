package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	streamEvents  = 50
	eventEvery    = 8 * time.Millisecond
	workTime      = 25 * time.Millisecond
	leaveBound    = 3 * time.Second
	readyTimeout  = 20 * time.Second
	callerTimeout = 10 * time.Second
	erring        = time.Second
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
	seed  uint64
	drawn seed
	rand  *rand.Rand
	begun time.Time
	dir   string
	// flags are those of all gateways, besides the usual ones.
	flags []string
	// grace is the grace period of all gateways.
	grace time.Duration

	store      *standin.Store
	storeProxy *proxy
	ledger     *standin.Ledger
	engines    []*standin.Endpoint
	desks      []*standin.Endpoint
	proxies    []*proxy
	gateways   []*gateway
	version    int
	// harm is the worst that was done.
	harm harm
	plan string
	// pending are faults that still have to end.
	pending sync.WaitGroup

	mu        sync.Mutex
	endpoints map[string]*standin.Endpoint
	left      map[life]time.Time
	results   []result
	versions  map[string]int
	serial    int

	// throttling holds the endpoints that ask for something at present, and limits all the
	// times in which one named a limit.
	throttling map[*standin.Endpoint]bool
	limits     []statedLimit
	// closings are the times in which the far data centre is closed.
	closings []closing

	// crashed are when endpoints ended under requests, by their paths or crashing parts.
	crashed map[string][]time.Time
	// withPart maps the requests with a crashing part to it.
	withPart map[string]string

	writing sync.Mutex
	written written

	// trap stands behind the records of the other writer.
	trap trap
	// again holds the endpoints that were started again and are in use.
	again map[string]bool

	// settled says that the run draws no more conditions.
	settled atomic.Bool
	// disturbed says that processes start under conditions, longGrace that they have the default drain delay.
	disturbed, longGrace bool
	// workEnded holds when servers stopped working on requests, by their ids.
	workEnded sync.Map
}

// result is what a caller got.
type result struct {
	id, kind, gateway string
	status            int
	body, want        string
	signature         string
	quarantined       bool
	err               error
	// elapsed is the time from sending the request to the end of its answer.
	elapsed time.Duration
	// connected is that from getting a connection; zero if there was none.
	connected time.Duration
	begun     time.Time
	// answered is the time from having sent the whole request to the end of its answer; zero if it wasn't sent.
	answered time.Duration
}

func newWorld(t *testing.T, s seed) *world {
	return newWorldOver(t, s, func(store http.Handler) http.Handler { return store })
}

// usualGrace is the grace period of gateways.
const usualGrace = 8 * time.Second

// newWorldOver is newWorld with a wrapper of the store and flags of the gateways.
func newWorldOver(t *testing.T, s seed, wrap func(http.Handler) http.Handler, flags ...string) *world {
	return newWorldWithGrace(t, s, usualGrace, wrap, flags...)
}

func newWorldWithGrace(t *testing.T, s seed, grace time.Duration, wrap func(http.Handler) http.Handler, flags ...string) *world {
	w := &world{
		t: t, flags: flags, grace: grace, seed: s.number, drawn: s, rand: rand.New(rand.NewPCG(s.number, s.number)), begun: time.Now(), dir: t.TempDir(), store: standin.New(), ledger: &standin.Ledger{},
		endpoints: map[string]*standin.Endpoint{}, left: map[life]time.Time{}, versions: map[string]int{}, again: map[string]bool{},
		crashed: map[string][]time.Time{}, withPart: map[string]string{}, throttling: map[*standin.Endpoint]bool{}, written: written{values: map[string][]byte{}},
	}
	server := httptest.NewServer(wrap(w.store.Handler()))
	t.Cleanup(server.Close)
	w.trap.start(t)
	w.storeProxy = w.proxied(strings.TrimPrefix(server.URL, "http://"))
	for i := range 3 {
		w.engines = append(w.engines, w.endpoint(fmt.Sprintf("engine-%d", i)))
		w.desks = append(w.desks, w.endpoint(fmt.Sprintf("desk-%d", i)))
	}
	w.nextVersion()
	var seedsOf []string
	count := gateways
	if s.host {
		count = w.drawHost()
	}
	for i := range count {
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
	p, stop := newProxy(freeport.Listen(w.t), target)
	w.t.Cleanup(stop)
	return p
}

// endpoint starts an endpoint of the service that its id begins with.
func (w *world) endpoint(id string) *standin.Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	p := w.proxied(l.Addr().String())
	e := &standin.Endpoint{ID: id, Address: p.address, Events: streamEvents, Every: eventEvery, Work: workTime, Ledger: w.ledger, Peers: w.at, CopyTakes: copies}
	e.SetBorn(now())
	w.fragile(e)
	server := &http.Server{Handler: w.uneven(e.Handler()), ConnState: e.ConnState}
	go func() { _ = server.Serve(l) }()
	w.t.Cleanup(func() { server.Close() })
	w.mu.Lock()
	w.endpoints[e.Address] = e
	w.proxies = append(w.proxies, p)
	w.mu.Unlock()
	w.announce(e, false)
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
		// With a lower objective requests are refused that can't begin in time on a busy machine.
		return standin.Route{Name: name, Host: host, Prefix: prefix, Kind: kind, Target: target, Attempts: attempts, Timeout: callerTimeout, Objective: callerTimeout}
	}
	w.put(platform.ConfigurationKey, standin.Configuration{
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
func (w *world) leave(e *standin.Endpoint) *standin.Endpoint {
	w.mu.Lock()
	w.serial++
	id := fmt.Sprintf("engine-new-%d", w.serial)
	w.mu.Unlock()
	next := w.endpoint(id)
	w.announceLeave(e)
	for i := range w.engines {
		if w.engines[i] == e {
			w.engines[i] = next
		}
	}
	return next
}

// servers lists the endpoints that are in use.
func (w *world) servers() []*standin.Endpoint { return slices.Concat(w.engines, w.desks) }
