package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/gateway"
	"github.com/bridgehoist/bridgehoist/internal/logging"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

const (
	// eventually bounds waits; nothing depends on how long they take.
	eventually = "20s"
	apiKey     = "key-1"
	// defaultGrace is the grace period of entries.
	defaultGrace = 20 * time.Second
)

// world is a store, endpoints and gateways on loopback.
type world struct {
	t      *testing.T
	g      *WithT
	store  *standin.Store
	url    string
	ledger *standin.Ledger
	logs   *lines

	// entries are the gateways in the order of their starts.
	entries []*entry

	// grace is the grace period of entries that start.
	grace time.Duration

	// prepare, if set, is called with each gateway before it runs.
	prepare func(*entry, *gateway.Gateway)

	mu        sync.Mutex
	endpoints map[string]*standin.Endpoint
	config    standin.Configuration
	// announced is the revision of the newest record that was announced.
	announced uint64
}

// lines collects what gateways log.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

// shownBytes bounds what is shown of the logs of a failed test: its end.
const shownBytes = 64 << 10

// end returns the newest of what was logged.
func (l *lines) end() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.buf.Bytes()
	return string(all[max(0, len(all)-shownBytes):])
}

// with lists the lines that hold all of some words.
func (l *lines) with(words ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.SplitSeq(l.buf.String(), "\n") {
		all := true
		for _, w := range words {
			all = all && strings.Contains(line, w)
		}
		if all && line != "" {
			out = append(out, line)
		}
	}
	return out
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, g: NewWithT(t), store: standin.New(), ledger: &standin.Ledger{}, logs: &lines{}, grace: defaultGrace, endpoints: map[string]*standin.Endpoint{}}
	server := httptest.NewServer(w.store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("what the gateways logged:\n%s", w.logs.end())
		}
	})
	w.url = server.URL
	w.config = standin.Configuration{
		Routes: []standin.Route{
			route("plain", "/plain/", standin.Unsafe, "desk", 1),
			route("safe", "/safe/", standin.Safe, "desk", 2),
			route("stream", "/stream/", standin.Stream, "engine", 1),
			resumable(route("resumable", "/resumable/", standin.Stream, "engine", 2)),
		},
		Engines:    []string{"engine"},
		Services:   []string{"desk"},
		Workspaces: map[string][]string{"w": {apiKey}},
	}
	w.publish()
	return w
}

func route(name, prefix, kind, target string, attempts int) standin.Route {
	return standin.Route{Name: name, Host: "h.example", Prefix: prefix, Kind: kind, Target: target, Attempts: attempts, Timeout: 20 * time.Second}
}

func resumable(r standin.Route) standin.Route {
	r.Resumable = true
	return r
}

// publish sends the configuration as the operators do.
func (w *world) publish() {
	w.config.Version++
	w.store.Put(platform.ConfigurationKey, w.config.Encode())
}

// endpoint starts an endpoint of a service and announces it.
func (w *world) endpoint(id, service string) *standin.Endpoint {
	return w.serve(id, service, 0, nil)
}

// endpointBorn starts an endpoint that tells its start, and announces it.
func (w *world) endpointBorn(id, service string, born uint64) *standin.Endpoint {
	return w.serve(id, service, born, nil)
}

// wrapped starts an engine that speaks through a wrapper, and announces it.
func (w *world) wrapped(id string, wrap wrapper) *standin.Endpoint {
	return w.serve(id, "engine", 0, wrap)
}

func (w *world) serve(id, service string, born uint64, wrap wrapper) *standin.Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.g.Expect(err).NotTo(HaveOccurred())
	e := &standin.Endpoint{ID: id, Address: l.Addr().String(), Events: 5, Every: 2 * time.Millisecond, Ledger: w.ledger, Peers: w.at}
	e.SetBorn(born)
	handler := e.Handler()
	if wrap != nil {
		handler = wrap(handler)
	}
	server := &http.Server{Handler: handler, ConnState: e.ConnState}
	go func() { _ = server.Serve(l) }()
	w.t.Cleanup(func() { server.Close() })
	w.mu.Lock()
	w.endpoints[e.Address] = e
	w.mu.Unlock()
	w.announce(e, service, false)
	return e
}

func (w *world) at(address string) *standin.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[address]
}

func (w *world) announce(e *standin.Endpoint, target string, leaving bool) {
	w.announceIn(e, target, "dc", leaving)
}

// announceIn writes the record of an endpoint in a data centre.
func (w *world) announceIn(e *standin.Endpoint, target, dataCenter string, leaving bool) {
	record := standin.Record(e, target, dataCenter, leaving)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announced = w.store.Put(platform.EndpointPrefix+e.ID, record)
}

// awaitAnnounced waits until a gateway has a list with the newest record in force. Changes in
// quick succession may come as one list.
func (w *world) awaitAnnounced() {
	w.mu.Lock()
	newest := fmt.Sprintf("revision=%d ", w.announced)
	w.mu.Unlock()
	w.g.Eventually(func() []string { return w.logs.with("value in force", "name=fleet", newest) }, eventually).ShouldNot(BeEmpty())
}

// entry is a running gateway.
type entry struct {
	w       *world
	vm      platform.Settings
	stop    context.CancelFunc
	stopped chan error
	gw      *gateway.Gateway
	// leaving is closed when the entry's callers are to end.
	leaving chan struct{}
}

func (w *world) settings(name string, seeds ...string) platform.Settings {
	return platform.Settings{
		VM: name, DataCenter: "dc",
		Callers: freeport.Address(w.t), Readiness: freeport.Address(w.t), Peers: freeport.Address(w.t),
		Seeds: seeds, Store: w.url, FirstStart: true,
		Bounds: platform.Bounds{Grace: w.grace, RetryRatio: 0.2, RetrySlack: 58},
	}
}

func (w *world) start(vm platform.Settings, flags ...string) *entry {
	var cfg gateway.Config
	set := settings.New("test")
	cfg.Register(set)
	all := append([]string{"-drain-delay", "50ms", "-exchange-every", "50ms", "-poll-every", "50ms", "-poll-idle", "50ms", "-watch-wait", "500ms"}, flags...)
	w.g.Expect(set.Read(all)).To(Succeed())
	cfg.Check(set)
	w.g.Expect(set.Err()).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{w: w, vm: vm, stop: cancel, stopped: make(chan error, 1), leaving: make(chan struct{})}
	w.entries = append(w.entries, e)
	gw := gateway.New(cfg, vm, logging.New(w.logs, "gateway", vm.VM))
	e.gw = gw
	if w.prepare != nil {
		w.prepare(e, gw)
	}
	go func() {
		err := gw.Run(ctx, nil)
		if err != nil {
			fmt.Fprintf(w.logs, "%s ended: %v\n", vm.VM, err)
		}
		e.stopped <- err
	}()
	w.t.Cleanup(func() {
		cancel()
		select {
		case <-e.stopped:
		case <-time.After(30 * time.Second):
			w.t.Error("the gateway doesn't stop")
		}
	})
	return e
}

// scrape reads the metrics of a gateway; it is empty if they can't be had.
func scrape(port int) string {
	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", port))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

func (e *entry) ready() bool {
	resp, err := http.Get("http://" + e.vm.Readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) waitReady() *entry {
	e.w.g.Eventually(e.ready, eventually).Should(BeTrue())
	return e
}

type answer struct {
	status int
	body   string
	header http.Header
	// err says that the answer broke off.
	err error
	// closes says that the answer asks to close the connection.
	closes bool
}

// request makes a caller's request.
func (e *entry) request(ctx context.Context, id, method, path string, header map[string]string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.vm.Callers+path, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderAPIKey, apiKey)
	req.Header.Set(platform.HeaderWait, "20000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return req, nil
}

// call sends one request.
func (e *entry) call(id, method, path string, header map[string]string) answer {
	req, err := e.request(context.Background(), id, method, path, header)
	if err != nil {
		return answer{err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(body), resp.Header, err, resp.Close}
}

func (e *entry) stream(id string) answer { return e.streamAfter(id, "/stream/x", "") }

// streamAfter asks for a stream, from an event on unless that is empty.
func (e *entry) streamAfter(id, path, last string) answer {
	header := map[string]string{platform.HeaderTokens: "100,50", "Model": "m"}
	if last != "" {
		header[platform.HeaderResumeFrom] = last
	}
	return e.call(id, http.MethodPost, path, header)
}

// begin sends a streaming request and gives its answer when it has ended.
func (e *entry) begin(id string) <-chan answer {
	got := make(chan answer, 1)
	go func() { got <- e.stream(id) }()
	return got
}

// events is the whole stream of a request.
func events(id string, count int) string { return eventsAfter(id, 0, count) }

// eventsAfter is what follows an event of a stream.
func eventsAfter(id string, last, count int) string {
	var b strings.Builder
	for n := last + 1; n <= count; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return b.String()
}

func freeportNobodyListensAt(t *testing.T) string { return freeport.Address(t) }
