package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// keptConnections is a transport to handlers of the same process that keeps idle connections as
// http.Transport does. Open connections can be silenced: they lose everything that is sent on them,
// without a reset, while new connections work.
type keptConnections struct {
	serve inProcess
	// maxIdlePerHost and maxIdle bound the idle connections; maxIdle is without effect if zero.
	maxIdlePerHost, maxIdle int

	mu sync.Mutex
	// idle holds the idle connections, the longest idle first.
	idle []*keptConnection
	// active are the connections with a request on them.
	active map[*keptConnection]bool
}

type keptConnection struct {
	host   string
	silent bool
}

func newKeptConnections(serve inProcess, maxIdlePerHost, maxIdle int) *keptConnections {
	return &keptConnections{serve: serve, maxIdlePerHost: maxIdlePerHost, maxIdle: maxIdle, active: map[*keptConnection]bool{}}
}

// RoundTrip implements http.RoundTripper. A connection is kept only after a response.
func (k *keptConnections) RoundTrip(r *http.Request) (*http.Response, error) {
	c, reused := k.take(r.URL.Host)
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Reused: reused})
	}
	if k.isSilent(c) {
		return k.timeOut(c, r)
	}
	resp, err := k.serve.RoundTrip(r)
	if k.isSilent(c) {
		return k.timeOut(c, r)
	}
	k.release(c, err == nil)
	return resp, err
}

func (k *keptConnections) timeOut(c *keptConnection, r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	k.release(c, false)
	return nil, r.Context().Err()
}

func (k *keptConnections) take(host string) (c *keptConnection, reused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c = &keptConnection{host: host}
	for i, idle := range slices.Backward(k.idle) {
		if idle.host == host {
			c, reused = idle, true
			k.idle = slices.Delete(k.idle, i, i+1)
			break
		}
	}
	k.active[c] = true
	return c, reused
}

func (k *keptConnections) release(c *keptConnection, keep bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.active, c)
	ofHost := 0
	for _, idle := range k.idle {
		if idle.host == c.host {
			ofHost++
		}
	}
	if !keep || ofHost >= k.maxIdlePerHost {
		return
	}
	k.idle = append(k.idle, c)
	if k.maxIdle > 0 && len(k.idle) > k.maxIdle {
		k.idle = k.idle[1:]
	}
}

func (k *keptConnections) isSilent(c *keptConnection) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return c.silent
}

// silence silences all open connections.
func (k *keptConnections) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.active {
		c.silent = true
	}
	for _, c := range k.idle {
		c.silent = true
	}
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (k *keptConnections) CloseIdleConnections() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle = nil
}

// silenceKinds are the arguments of playedFleet.silence.
var silenceKinds = []string{"store", "peers", "all", "one entry"}

// silence silences open connections of all entries, or of one: those to the store, those to peers,
// or both.
func (f *playedFleet) silence(which string) {
	disturb(&f.disturbed, 0)
	one := f.entries[f.random.IntN(len(f.entries))]
	for _, e := range f.entries {
		if which == "one entry" && e != one {
			continue
		}
		if which != "peers" {
			e.storeConnections.silence()
		}
		if which != "store" {
			e.peerConnections.silence()
		}
	}
}

// Kept connections that fell silent were found one by one, each by a timeout of an exchange.
func TestConfigurationsInForceAfterOpenConnectionsFallSilent(t *testing.T) {
	more, _ := strconv.Atoi(os.Getenv("FLEET_SEEDS"))
	for _, size := range []struct{ entries, dataCenters, seeds int }{{3, 1, 4}, {9, 3, 4}, {85, 3, 1}} {
		for _, which := range silenceKinds {
			for seed := range uint64(max(size.seeds, more)) {
				t.Run(fmt.Sprintf("%d entries, %s, seed %d", size.entries, which, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f := newPlayedFleet(t, seed, size.entries, size.dataCenters)
						f.playSilences(which)
					})
				})
			}
		}
	}
}

// playSilences silences connections every few seconds, while about one configuration a second is
// published.
func (f *playedFleet) playSilences(which string) {
	const silences, period, publishOneIn = 4, 9 * time.Second, 40
	for range int(period / fleetStep) {
		f.step(false)
	}
	for range silences {
		f.silence(which)
		for range int(period / fleetStep) {
			f.step(false)
			if f.random.IntN(publishOneIn) == 0 {
				f.publish()
			}
		}
	}
}

func TestFleetsFollowARestoredStoreOverSilentConnections(t *testing.T) {
	more, _ := strconv.Atoi(os.Getenv("FLEET_SEEDS"))
	for _, size := range []struct{ entries, dataCenters, seeds int }{{3, 1, 4}, {9, 3, 4}, {85, 3, 1}} {
		for seed := range uint64(max(size.seeds, more)) {
			t.Run(fmt.Sprintf("%d entries, seed %d", size.entries, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newPlayedFleet(t, seed, size.entries, size.dataCenters)
					f.silencing = true
					f.play(30 * time.Second)
				})
			})
		}
	}
}
