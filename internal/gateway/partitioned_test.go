package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/gateway"
	"github.com/bridgehoist/bridgehoist/internal/upstream"
	"github.com/bridgehoist/bridgehoist/platform"
)

// partition says what becomes of an entry's connections to endpoints.
type partition int

const (
	connected partition = iota
	// resetPartition resets open connections and refuses new ones.
	resetPartition
	// silentPartition loses everything, without a reset. TCP gives up after deadAfter.
	silentPartition
	// newRefused refuses new connections, while open ones work.
	newRefused
)

func (p partition) String() string {
	return [...]string{"connected", "reset", "silent", "new connections refused"}[p]
}

// deadAfter is TCP_USER_TIMEOUT of connections to endpoints.
const deadAfter = 3 * time.Second

// endpointLinks are the links of one entry to all endpoints.
type endpointLinks struct {
	dial upstream.Dialer

	mu    sync.Mutex
	state partition
	conns map[*linkConn]bool
}

func (l *endpointLinks) now() partition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *endpointLinks) set(state partition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	for c := range l.conns {
		switch state {
		case resetPartition:
			c.die(syscall.ECONNRESET)
		case silentPartition:
			c.silent.Store(true)
			time.AfterFunc(deadAfter, func() { c.die(syscall.ETIMEDOUT) })
		}
	}
}

func (l *endpointLinks) open(ctx context.Context, address string) (net.Conn, error) {
	switch l.now() {
	case resetPartition, newRefused:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case silentPartition:
		// 192.0.2.0/24 is reserved for documentation (RFC 5737); its packets go nowhere.
		return l.dial(ctx, "192.0.2.1:9")
	}
	nc, err := l.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: nc.(*net.TCPConn), links: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// controlLinks lets the test control the links of all entries that start from now on.
func (w *world) controlLinks() map[*entry]*endpointLinks {
	all := map[*entry]*endpointLinks{}
	w.prepare = func(e *entry, g *gateway.Gateway) {
		links := &endpointLinks{conns: map[*linkConn]bool{}}
		g.DialEndpoints(func(d upstream.Dialer) upstream.Dialer {
			links.dial = d
			return links.open
		})
		all[e] = links
	}
	return all
}

// linkConn is a connection to an endpoint.
type linkConn struct {
	*net.TCPConn
	links  *endpointLinks
	silent atomic.Bool
	death  atomic.Pointer[error]
}

// die ends the connection with an error of TCP.
func (c *linkConn) die(err error) {
	failure := error(&net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)})
	c.death.CompareAndSwap(nil, &failure)
	c.TCPConn.Close()
}

func (c *linkConn) result(n int, err error) (int, error) {
	if dead := c.death.Load(); dead != nil && err != nil {
		return n, *dead
	}
	return n, err
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || !c.silent.Load() {
			return c.result(n, err)
		}
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.silent.Load() && c.death.Load() == nil {
		return len(b), nil
	}
	return c.result(c.TCPConn.Write(b))
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}

// partitionedWorld is five entries in two data centres before endpoints in both.
type partitionedWorld struct {
	*world
	links map[*entry]*endpointLinks

	mu sync.Mutex
	// tries counts the callers' first tries by whether their entry was partitioned and by
	// whether they were served.
	tries map[bool]map[bool]int
	// statuses counts the failures at partitioned entries, by what callers saw.
	statuses map[string]int
}

func newPartitionedWorld(t *testing.T) *partitionedWorld {
	w := newWorld(t)
	p := &partitionedWorld{world: w, links: w.controlLinks()}
	for i := range 3 {
		for _, service := range []string{"engine", "desk"} {
			e := p.endpoint(fmt.Sprintf("%s-%d", service, i), service)
			p.announceIn(e, service, fmt.Sprintf("dc-%d", i%2), false)
		}
	}
	for i := range 5 {
		vm := p.settings(fmt.Sprintf("vm-%d", i))
		vm.DataCenter = fmt.Sprintf("dc-%d", i%2)
		for _, e := range p.entries {
			vm.Seeds = append(vm.Seeds, e.vm.Peers)
		}
		p.start(vm)
	}
	for _, e := range p.entries {
		e.waitReady()
	}
	return p
}

// callUntil sends requests to an entry over kept connections, each with a first try only.
func (p *partitionedWorld) callUntil(done chan struct{}, e *entry, name, path string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(30 * time.Millisecond):
		}
		before := p.links[e].now()
		outcome := e.callOnce(client, fmt.Sprintf("%s-%s-%d", e.vm.VM, name, n), path, 2*time.Second).outcome()
		if after := p.links[e].now(); after != before {
			continue
		}
		p.mu.Lock()
		if p.tries != nil {
			cut := before != connected
			p.tries[cut][outcome == "200"]++
			if cut && outcome != "200" {
				p.statuses[outcome]++
			}
		}
		p.mu.Unlock()
	}
}

// callResult is what a caller got.
type callResult struct {
	id, path  string
	status    int
	body      string
	signature string
	err       error
}

// callOnce makes one request that its caller gives up after wait.
func (e *entry) callOnce(client *http.Client, id, path string, wait time.Duration) callResult {
	r := callResult{id: id, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	header := map[string]string{platform.HeaderWait: fmt.Sprint(wait.Milliseconds())}
	if isStream(path) {
		header[platform.HeaderTokens], header["Model"] = "100,50", "m"
	}
	req, err := e.request(ctx, id, http.MethodPost, path, header)
	if err != nil {
		r.err = err
		return r
	}
	// A body that can't be rewound keeps the client from sending again by itself.
	req.Body, req.GetBody = io.NopCloser(io.MultiReader(strings.NewReader("body"))), nil
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err, r.signature = resp.StatusCode, string(body), err, resp.Header.Get(platform.HeaderSignature)
	return r
}

// outcome is the status of the response, or what went wrong.
func (r callResult) outcome() string {
	switch {
	case r.status == 0:
		return "no response"
	case r.err != nil:
		return "cut"
	case r.status == http.StatusOK && r.body != wholeBody(r.id, r.path):
		return "wrong body"
	}
	return fmt.Sprint(r.status)
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resumable/")
}

// wholeBody is the body of the whole answer to a request.
func wholeBody(id, path string) string {
	if isStream(path) {
		return events(id, 5)
	}
	return "POST " + path + " body"
}

// measureTries counts first tries for a time.
func (p *partitionedWorld) measureTries(lasts time.Duration) {
	p.mu.Lock()
	p.tries, p.statuses = map[bool]map[bool]int{false: {}, true: {}}, map[string]int{}
	p.mu.Unlock()
	time.Sleep(lasts)
}

// Requests at entries that had lost their links to all endpoints were refused.
func TestEntriesPartitionedFromEndpointsServe(t *testing.T) {
	const contact, measured = 3 * time.Second, 4 * time.Second
	for _, state := range []partition{resetPartition, silentPartition, newRefused} {
		for _, count := range []int{1, 3} {
			t.Run(fmt.Sprintf("%v, %d of 5", state, count), func(t *testing.T) {
				t.Parallel()
				p := newPartitionedWorld(t)
				done := make(chan struct{})
				var callers sync.WaitGroup
				for _, e := range p.entries {
					for name, path := range map[string]string{"plain": "/plain/x", "more": "/plain/x", "safe": "/safe/x", "stream": "/stream/x"} {
						callers.Go(func() { p.callUntil(done, e, name, path) })
					}
				}
				time.Sleep(time.Second)
				for _, e := range p.entries[:count] {
					p.links[e].set(state)
				}
				time.Sleep(contact)
				p.measureTries(measured)
				p.mu.Lock()
				tries, statuses := p.tries, p.statuses
				p.tries = nil
				p.mu.Unlock()
				close(done)
				callers.Wait()
				p.expectServed(tries, statuses)
				p.expectOnce()
			})
		}
	}
}

// expectServed checks the rule RECOVER of the users' platform.
func (p *partitionedWorld) expectServed(tries map[bool]map[bool]int, statuses map[string]int) {
	served, failed := tries[true][true], tries[true][false]
	others, othersFailed := tries[false][true], tries[false][false]
	p.t.Logf("partitioned entries served %d of %d first tries, the others %d of %d; failures %v", served, served+failed, others, others+othersFailed, statuses)
	p.g.Expect(others).To(BeNumerically(">", 100))
	share := float64(served) / float64(served+failed)
	othersShare := float64(others) / float64(others+othersFailed)
	allowed := 10 + (served+failed+others+othersFailed)/50
	if share < othersShare*2/3 && failed > allowed {
		p.t.Errorf("partitioned entries serve less than two thirds as often as the others, and %d first tries fail there, over %d", failed, allowed)
	}
}

// expectOnce checks that no request ran twice that may not.
func (p *partitionedWorld) expectOnce() {
	runs := map[string]int{}
	for _, run := range p.ledger.Runs() {
		if run.From == 1 {
			runs[run.RequestID]++
		}
	}
	for id, n := range runs {
		if n > 1 && !strings.Contains(id, "-safe-") {
			p.t.Errorf("%s ran %d times", id, n)
		}
	}
}

// An open breaker was probed by requests only, and an unready entry gets none.
func TestAnEntryIsReadyAgainWithoutRequestsOnceItsLinksAreBack(t *testing.T) {
	for _, delegation := range []bool{true, false} {
		t.Run(fmt.Sprintf("delegation %v", delegation), func(t *testing.T) {
			w := newWorld(t)
			links := w.controlLinks()
			for i := range 2 {
				w.announceIn(w.endpoint(fmt.Sprintf("desk-%d", i), "desk"), "desk", fmt.Sprintf("dc-%d", i), false)
			}
			var flags []string
			if !delegation {
				flags = []string{"-without", "delegation"}
			}
			vm := w.settings("vm-1")
			vm.DataCenter = "dc-0"
			cut := w.start(vm, flags...).waitReady()
			peer := w.start(w.settings("vm-2", vm.Peers), flags...).waitReady()
			w.g.Eventually(cut.gw.Members, eventually).Should(ContainElement(peer.vm.VM))
			links[cut].set(resetPartition)
			n := 0
			w.g.Eventually(func() bool {
				n++
				cut.call(fmt.Sprintf("r%d", n), http.MethodPost, "/plain/x", nil)
				return cut.ready()
			}, eventually).Should(BeFalse())
			links[cut].set(connected)
			w.g.Eventually(cut.ready, eventually).Should(BeTrue())
			a := cut.call("after", http.MethodPost, "/plain/x", nil)
			w.g.Expect(a.status, a.err).To(Equal(http.StatusOK))
			w.g.Expect(w.logs.with("request", "after", "delegat")).To(BeEmpty())
		})
	}
}
