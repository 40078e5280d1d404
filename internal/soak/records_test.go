package soak

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// mostBad is the most records that the other writer writes at a time.
const mostBad = 6

// trap is a server that nothing may be sent to: only records that name no endpoint to
// use lead there.
type trap struct {
	address string

	mu sync.Mutex
	// seen counts the requests by the id that they were meant for.
	seen map[string]int
}

func (t *trap) start(tb testing.TB) {
	t.seen = map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(t.serve))
	tb.Cleanup(server.Close)
	t.address = strings.TrimPrefix(server.URL, "http://")
}

func (t *trap) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen[r.Header.Get(platform.HeaderInstance)]++
	w.WriteHeader(http.StatusInternalServerError)
}

// check holds that nothing was sent there.
func (t *trap) check(tb testing.TB) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, count := range t.seen {
		tb.Errorf("%d requests were sent to what the bad record %q names", count, id)
	}
}

// badRecords writes records as another writer may, and deletes some of them. The id of
// each tells what is wrong with it.
func (w *world) badRecords(r *rand.Rand) {
	bad := standin.BadRecords(pick(r, []string{"engine", "desk"}), w.trap.address)
	for range 1 + r.IntN(mostBad) {
		one := pick(r, bad)
		key := platform.EndpointPrefix + "bad-" + url.QueryEscape(one.Wrong)
		if r.IntN(5) == 0 {
			w.store.Delete(key)
			continue
		}
		w.t.Logf("          %s", one.Wrong)
		w.store.Put(key, one.Value)
	}
}
