package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

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
		counts[r.key()]++
	}
	w.checkLeaves()
	w.checkCrashes()
	w.checkParts()
	if w.drawn.host {
		w.checkLosses()
		w.checkProcesses()
	}
	w.checkRefusedParts()
	w.checkThrottling()
	w.trap.check(w.t)
	for _, run := range w.ledger.Runs() {
		if run.From > 1 {
			counts["went on"]++
		}
	}
	w.t.Logf("%v", counts)
}

// key names what became of a request.
func (r result) key() string {
	key := r.kind + " " + strconv.Itoa(r.status)
	if r.err != nil && r.status != 0 {
		key += " cut"
	}
	return key
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
	case r.quarantined && !w.drawn.parts:
		bad("was refused as one that crashes endpoints, and crashes none")
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
	case r.status == http.StatusInternalServerError && r.signature == "":
		bad("is an error that no endpoint signed")
	case w.wasRunningAtStop(r):
	case w.drawn.host:
		// checkLosses holds the rest.
	case w.harm < fault && r.err != nil && r.status == 0 && (len(runs) > 0 || r.connected > lossSlack):
		bad("got no answer within %v, though all that happened was planned", r.connected)
	case w.harm < fault && r.err != nil && r.status != 0:
		bad("was cut, though all that happened was planned")
	case w.harm < fault && r.status != http.StatusOK && r.status != http.StatusServiceUnavailable && r.status != 0:
		bad("failed, though all that happened was planned")
	case w.harm == harmless && r.status != http.StatusOK:
		bad("was lost or refused, though nothing happened that does harm")
	}
}

// checkLeaves finds requests that began at an endpoint long after it announced
// its leaving. Runs with faults have no bound, nor has what follows a restore of the store.
func (w *world) checkLeaves() {
	if w.harm == fault {
		return
	}
	for _, run := range w.ledger.Runs() {
		at := run.At
		if w.drawn.stops || w.drawn.host {
			// Engines read prompts for longer than the bound, which is on the arrival of a request.
			at = w.arrivedAt(run.RequestID, run.Endpoint)
		}
		if left, ok := w.left[life{run.Endpoint, run.Born}]; ok && run.From == 1 && at.Sub(left) > leaveBound && w.calm(at) {
			w.t.Errorf("%s began at %s %v after it announced its leaving", run.RequestID, run.Endpoint, at.Sub(left))
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
