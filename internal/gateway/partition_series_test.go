package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// series plays partitions of entries from endpoints, in series and overlapping with changes of the
// configuration, leaving engines, planned stops and failing endpoints, while callers call every entry
// over kept connections.
type series struct {
	*partitionedWorld
	random *rand.Rand
	// undo ends what was begun.
	undo    sync.WaitGroup
	callers sync.WaitGroup

	engines, desks []*standin.Endpoint
	serial         int

	mu      sync.Mutex
	results []callResult
}

func (s *series) later(after time.Duration, f func()) {
	s.undo.Go(func() {
		time.Sleep(after)
		f()
	})
}

func (s *series) shortTime() time.Duration {
	return 200*time.Millisecond + time.Duration(s.random.Int64N(int64(2500*time.Millisecond)))
}

// call makes requests at an entry until it has stopped or done is closed.
func (s *series) call(done chan struct{}, e *entry, name, path string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-e.leaving:
			return
		case <-time.After(20 * time.Millisecond):
		}
		r := e.callOnce(client, fmt.Sprintf("%s-%s-%d", e.vm.VM, name, n), path, 3*time.Second)
		s.mu.Lock()
		s.results = append(s.results, r)
		s.mu.Unlock()
	}
}

// step does one thing of the plan.
func (s *series) step(done chan struct{}) {
	r := s.random
	states := []partition{resetPartition, silentPartition, newRefused}
	switch r.IntN(10) {
	case 0, 1, 2, 3:
		s.partitionFor(s.entries[r.IntN(len(s.entries))], states[r.IntN(len(states))], s.shortTime())
	case 4:
		state, lasts := states[r.IntN(len(states))], s.shortTime()
		for _, e := range s.entries {
			if r.IntN(4) > 0 {
				s.partitionFor(e, state, lasts)
			}
		}
	case 5:
		s.publish()
	case 6:
		s.replaceEngine()
	case 7:
		e := slices.Concat(s.engines, s.desks)[r.IntN(len(s.engines)+len(s.desks))]
		e.SetRefusing(true)
		s.later(s.shortTime()/4, func() { e.SetRefusing(false) })
	case 8:
		e := s.engines[r.IntN(len(s.engines))]
		e.CutAfter(2)
		s.later(s.shortTime()/4, func() { e.CutAfter(0) })
	case 9:
		s.replaceEntry(done)
	}
}

func (s *series) partitionFor(e *entry, state partition, lasts time.Duration) {
	links := s.links[e]
	links.set(state)
	s.later(lasts, func() { links.set(connected) })
}

func (s *series) replaceEngine() {
	i := s.random.IntN(len(s.engines))
	old := s.engines[i]
	s.serial++
	s.engines[i] = s.endpoint(fmt.Sprintf("engine-new-%d", s.serial), "engine")
	s.announceIn(old, "engine", "dc-0", true)
}

// replaceEntry stops an entry as planned and starts another.
func (s *series) replaceEntry(done chan struct{}) {
	i := s.random.IntN(len(s.entries))
	old := s.entries[i]
	old.stopWithoutCallers()
	s.serial++
	vm := s.settings(fmt.Sprintf("vm-new-%d", s.serial))
	vm.DataCenter = old.vm.DataCenter
	for _, e := range s.entries {
		if e != old {
			vm.Seeds = append(vm.Seeds, e.vm.Peers)
		}
	}
	before := slices.Delete(slices.Clone(s.entries), i, i+1)
	e := s.start(vm)
	s.entries = append(before, e)
	s.callEntry(done, e.waitReady())
}

// stopWithoutCallers stops an entry; its callers end first, as those of a balancer that has seen it unready.
func (e *entry) stopWithoutCallers() {
	close(e.leaving)
	e.stop()
}

func (s *series) callEntry(done chan struct{}, e *entry) {
	for name, path := range map[string]string{"plain": "/plain/x", "safe": "/safe/x", "stream": "/stream/x", "resumable": "/resumable/x"} {
		s.callers.Go(func() { s.call(done, e, name, path) })
	}
}

func TestRequestsOverPartitionsInSeries(t *testing.T) {
	seeds := 3
	if n, _ := strconv.Atoi(os.Getenv("PARTITION_SEEDS")); n > 0 {
		seeds = n
	}
	places := make(chan struct{}, 3)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			s := &series{partitionedWorld: newPartitionedWorld(t), random: rand.New(rand.NewPCG(seed, 55))}
			for _, e := range s.byID() {
				if strings.HasPrefix(e.ID, "engine") {
					s.engines = append(s.engines, e)
				} else {
					s.desks = append(s.desks, e)
				}
			}
			s.play(8 * time.Second)
			s.check()
			s.expectRecovered()
		})
	}
}

// byID returns the endpoints in the order of their ids.
func (s *series) byID() []*standin.Endpoint {
	var all []*standin.Endpoint
	for _, e := range s.endpoints {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *standin.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func (s *series) play(lasts time.Duration) {
	done := make(chan struct{})
	for _, e := range s.entries {
		s.callEntry(done, e)
	}
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		s.step(done)
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	}
	s.undo.Wait()
	close(done)
	s.callers.Wait()
}

// check holds what callers got against what ran.
func (s *series) check() {
	runs := map[string][]standin.Run{}
	for _, run := range s.ledger.Runs() {
		runs[run.RequestID] = append(runs[run.RequestID], run)
	}
	counts := map[string]int{}
	for _, r := range s.results {
		counts[fmt.Sprint(r.status, r.err != nil)]++
		s.checkOne(r, runs[r.id])
	}
	s.t.Logf("%d requests by status and whether they broke off: %v; delegated and refused by peers: %d", len(s.results), counts, len(s.logs.with("delegation refused")))
}

func (s *series) checkOne(r callResult, runs []standin.Run) {
	bad := func(what string) {
		s.t.Errorf("%s %s: %s; status %d, body %q, error %v, runs %+v\n%s", r.path, r.id, what, r.status, r.body, r.err, runs,
			strings.Join(s.logs.with("request="+r.id+" "), "\n"))
	}
	first := 0
	for _, run := range runs {
		if run.From == 1 {
			first++
		}
	}
	want := wholeBody(r.id, r.path)
	repeatable := strings.HasPrefix(r.path, "/safe/") || strings.HasPrefix(r.path, "/resumable/")
	switch {
	case !repeatable && first > 1:
		bad("ran twice")
	case (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) && len(runs) > 0:
		bad("was said not to have run, and ran")
	case r.status == http.StatusOK && r.err == nil && (r.body != want || r.signature == ""):
		bad("isn't the whole signed answer")
	case r.status == http.StatusOK && r.err != nil && !strings.HasPrefix(want, r.body):
		bad("is not a part of its own answer")
	case r.status == http.StatusUnauthorized || r.status == http.StatusForbidden || r.status == http.StatusNotFound:
		bad("was denied")
	}
}

// expectRecovered expects that every entry is ready, serves by its own links, and that nothing runs on.
func (s *series) expectRecovered() {
	for _, e := range s.entries {
		s.g.Eventually(e.ready, eventually).Should(BeTrue(), e.vm.VM)
		n := 0
		s.g.Eventually(func() []string {
			n++
			id := fmt.Sprintf("after-%s-%d", e.vm.VM, n)
			if a := e.call(id, http.MethodPost, "/plain/x", nil); a.status != http.StatusOK {
				return []string{fmt.Sprint(a.status)}
			}
			return s.logs.with("request="+id+" ", "delegat")
		}, eventually).Should(BeEmpty(), e.vm.VM)
	}
	for _, e := range s.byID() {
		s.g.Eventually(e.Running, eventually).Should(BeZero(), e.ID)
	}
}
