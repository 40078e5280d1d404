// Package soak runs the real gateway as separate processes on loopback, against
// stand-ins of the platform's store and endpoints, injects faults from outside by
// seed, and checks the promises from what callers and endpoints see.
//
// SOAK_SEEDS=N runs N fresh seeds and prints each; SOAK_SEED=S one of them again.
// Without either, the seeds in testdata/seeds.txt run, which ever failed, and one
// more. Faults come by seed, the timing of processes doesn't.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

var gatewayBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	gatewayBinary = filepath.Join(dir, "gateway")
	build := exec.Command("go", "build", "-o", gatewayBinary, "../../cmd/bridgehoist-gateway")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// seeds lists the seeds to run.
func seeds(t *testing.T) []uint64 {
	if s := os.Getenv("SOAK_SEED"); s != "" {
		one, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{one}
	}
	var out []uint64
	if n, _ := strconv.Atoi(os.Getenv("SOAK_SEEDS")); n > 0 {
		for range n {
			out = append(out, rand.Uint64())
		}
		return out
	}
	data, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		text, _, _ := strings.Cut(line, " ")
		if one, err := strconv.ParseUint(text, 10, 64); err == nil {
			out = append(out, one)
		}
	}
	return out
}

func TestSoak(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			w := newWorld(t, seed)
			w.run()
			w.check()
		})
	}
}

// step is one fault or change; planned ones must cost nobody an answer.
type step struct {
	name    string
	planned bool
	do      func(w *world, r *rand.Rand)
}

func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

func short(r *rand.Rand) time.Duration { return time.Duration(200+r.IntN(1000)) * time.Millisecond }

var steps = []step{
	{"configuration", true, func(w *world, _ *rand.Rand) { w.nextVersion() }},
	{"reload", true, func(w *world, r *rand.Rand) { pick(r, w.gateways).hup() }},
	{"planned stop", true, func(w *world, r *rand.Rand) { pick(r, w.gateways).term() }},
	{"engine leaves", true, func(w *world, r *rand.Rand) { w.leave(pick(r, w.engines)) }},
	{"kill", false, func(w *world, r *rand.Rand) { pick(r, w.gateways).kill() }},
	{"pause", false, func(w *world, r *rand.Rand) { pick(r, w.gateways).pause(short(r)) }},
	{"store", false, func(w *world, r *rand.Rand) { w.fault(w.storeProxy, mode(1+r.IntN(4)), short(r)) }},
	{"store refuses", false, func(w *world, r *rand.Rand) { w.refuse(short(r)) }},
	{"store forgets", false, func(w *world, _ *rand.Rand) { w.store.Forget() }},
	{"endpoint", false, func(w *world, r *rand.Rand) { w.fault(pick(r, w.proxies), mode(1+r.IntN(4)), short(r)) }},
	{"connections reset", false, func(w *world, r *rand.Rand) { w.resetAll(r) }},
	{"endpoint full", false, func(w *world, r *rand.Rand) { w.full(pick(r, append(w.engines, w.desks...)), short(r)) }},
	{"stream cut", false, func(w *world, r *rand.Rand) { w.cut(pick(r, w.engines), short(r)) }},
}

// run plays the faults of the seed while callers call.
func (w *world) run() {
	stop := w.callers()
	onlyPlanned := w.rand.IntN(4) == 0
	end := time.Now().Add(runFor)
	for time.Now().Before(end) {
		s := pick(w.rand, steps)
		if onlyPlanned && !s.planned {
			continue
		}
		w.t.Logf("%6d ms %s", time.Since(w.begun).Milliseconds(), s.name)
		w.faulty = w.faulty || !s.planned
		s.do(w, w.rand)
		time.Sleep(time.Duration(50+w.rand.IntN(500)) * time.Millisecond)
	}
	w.pending.Wait()
	stop()
}

// check holds the promises against what callers and endpoints have seen.
func (w *world) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.results) < minRequests {
		w.t.Errorf("only %d requests were made", len(w.results))
	}
	counts := map[string]int{}
	for _, r := range w.results {
		w.checkOne(r)
		counts[r.kind+" "+strconv.Itoa(r.status)]++
	}
	w.checkLeaves()
	w.t.Logf("%v", counts)
}

func (w *world) checkOne(r result) {
	runs := w.ledger.Of(r.id)
	first := 0
	for _, run := range runs {
		if run.From == 1 {
			first++
		}
	}
	bad := func(format string, args ...any) {
		w.t.Errorf("%s %s at %s: %s; status %d, body %q, error %v, runs %+v", r.kind, r.id, r.gateway,
			fmt.Sprintf(format, args...), r.status, r.body, r.err, runs)
	}
	switch {
	case r.kind != kindSafe && first > 1:
		bad("ran twice")
	case r.kind == kindSafe && first > maxAttempts:
		bad("ran more often than its route allows")
	case (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) && len(runs) > 0:
		bad("was called not run, and ran")
	case r.status == http.StatusOK && r.err == nil && r.body != r.want:
		bad("is not the whole own answer")
	case r.status == http.StatusOK && r.err == nil && r.signature == "":
		bad("has no signature")
	case r.err != nil && !strings.HasPrefix(r.want, r.body):
		bad("holds something else than a part of its own answer")
	case r.err != nil && r.kind == kindStream && r.body != "" && !strings.HasSuffix(r.body, "\n\n"):
		bad("broke off within an event")
	case !w.faulty && r.err != nil && r.status != 0:
		bad("was cut, though all that happened was planned")
	case !w.faulty && r.status != http.StatusOK && r.status != http.StatusServiceUnavailable && r.status != 0:
		bad("failed, though all that happened was planned")
	}
}

// checkLeaves finds requests that began at an endpoint long after it announced
// its leaving. Runs with faults have no bound.
func (w *world) checkLeaves() {
	if w.faulty {
		return
	}
	for _, run := range w.ledger.Runs() {
		if left, ok := w.left[run.Endpoint]; ok && run.From == 1 && run.At.Sub(left) > leaveBound {
			w.t.Errorf("%s began at %s %v after it announced its leaving", run.RequestID, run.Endpoint, run.At.Sub(left))
		}
	}
}

// sawVersion holds that no process goes back to an older configuration.
func (w *world) sawVersion(g *gateway, life, version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("%s/%d", g.vm.VM, life)
	if version < w.versions[key] {
		w.t.Errorf("%s went back from version %d to %d", key, w.versions[key], version)
	}
	w.versions[key] = max(version, w.versions[key])
}
