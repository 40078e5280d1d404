package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// harm is what a step may cost callers.
type harm int

// The harms, the least first.
const (
	// harmless steps cost nobody an answer: each request is answered in full.
	harmless harm = iota
	// planned steps may close connections and refuse, but cut nothing.
	planned
	// fault steps may cost the answers that they hit.
	fault
)

// step is one fault or change.
type step struct {
	name string
	harm harm
	do   func(w *world, r *rand.Rand)
}

var steps = []step{
	{"configuration", harmless, func(w *world, _ *rand.Rand) { w.nextVersion() }},
	{"reload", harmless, func(w *world, r *rand.Rand) { pick(r, w.gateways).hup() }},
	{"engine leaves", harmless, func(w *world, r *rand.Rand) { w.leave(pick(r, w.engines)) }},
	{"bad records", harmless, func(w *world, r *rand.Rand) { w.badRecords(r) }},
	{"planned stop", planned, func(w *world, r *rand.Rand) { pick(r, w.gateways).term() }},
	{"kill", fault, func(w *world, r *rand.Rand) { pick(r, w.gateways).kill() }},
	{"pause", fault, func(w *world, r *rand.Rand) { pick(r, w.gateways).pause(short(r)) }},
	{"store", fault, func(w *world, r *rand.Rand) { w.spoil(w.storeProxy, mode(1+r.IntN(4)), short(r)) }},
	{"store refuses", fault, func(w *world, r *rand.Rand) { w.refuse(short(r)) }},
	{"store forgets", fault, func(w *world, _ *rand.Rand) { w.store.Forget() }},
	{"endpoint", fault, func(w *world, r *rand.Rand) { w.spoil(pick(r, w.proxies), mode(1+r.IntN(4)), short(r)) }},
	{"connections reset", fault, func(w *world, r *rand.Rand) { w.resetAll(r) }},
	{"endpoint full", fault, func(w *world, r *rand.Rand) { w.full(pick(r, w.servers()), short(r)) }},
	{"stream cut", fault, func(w *world, r *rand.Rand) { w.cut(pick(r, w.engines), short(r)) }},
	{"endpoint errs", fault, func(w *world, r *rand.Rand) { w.err(pick(r, w.servers()), r) }},
	{"endpoint starts again", fault, func(w *world, r *rand.Rand) { w.startAgain(pick(r, w.servers()), r) }},
	{"engine starts again while it leaves", fault, func(w *world, r *rand.Rand) { w.leaveAndStartAgain(r) }},
	{"engine leaves to those that err", fault, func(w *world, r *rand.Rand) { w.leaveToErring(r) }},
}

// plan is the steps that one run draws from.
type plan struct {
	name  string
	steps []step
}

// plans are drawn by seed, the first by those that divide by their number.
var plans = []plan{
	{"harmless", upTo(harmless)},
	{"planned", upTo(planned)},
	{"errors", named("endpoint errs", "engine leaves to those that err", "configuration", "bad records")},
	{"lives", named("endpoint starts again", "engine starts again while it leaves", "engine leaves", "configuration")},
	{"all", steps},
	{"all", steps},
	{"all", steps},
}

// crashes is a step of plans of its own, so that seeds go on drawing the steps that they drew.
var crashes = step{"requests that crash", fault, func(w *world, r *rand.Rand) { w.crashing(r) }}

// suspension is a step of such plans too.
var suspension = step{"suspension", fault, func(w *world, r *rand.Rand) { pick(r, w.gateways).suspend(r) }}

// planCrashes has requests that crash what runs them, and nothing that keeps gateways from
// telling each other.
const planCrashes = "crashes"

// crashPlans are drawn by seeds of their own, written with a c behind the number, whose
// quotient by the number of plans leaves four, six or seven when it is divided by eight. A
// seed without a c goes on playing what it played.
var crashPlans = map[uint64]plan{
	6: {planCrashes, append(named("configuration", "reload", "bad records"), crashes, crashes)},
	7: {"all, crashes and suspensions", append(slices.Clone(steps), crashes, crashes, crashes, suspension, suspension)},
	4: {"suspensions", append(named("configuration", "reload", "bad records", "engine leaves"), suspension, suspension)},
}

func planOf(s seed) plan {
	if s.host {
		return hostPlanOf(s).plan
	}
	if s.surplus {
		return surplusPlans[s.number%uint64(len(surplusPlans))]
	}
	if s.floods {
		return floodPlans[s.number%uint64(len(floodPlans))]
	}
	if s.stops {
		return stopPlans[s.number%uint64(len(stopPlans))]
	}
	if s.parts {
		return partPlans[s.number%uint64(len(partPlans))]
	}
	if s.restores {
		return restorePlans[s.number%uint64(len(restorePlans))]
	}
	if s.throttling {
		return throttlingPlans[s.number%uint64(len(throttlingPlans))]
	}
	count := uint64(len(plans))
	if p, ok := crashPlans[s.number/count%8]; ok && s.crashes {
		return p
	}
	return plans[s.number%count]
}

// upTo returns the steps that do no more than some harm.
func upTo(most harm) []step {
	var out []step
	for _, s := range steps {
		if s.harm <= most {
			out = append(out, s)
		}
	}
	return out
}

func named(names ...string) []step {
	var out []step
	for _, name := range names {
		for _, s := range steps {
			if s.name == name {
				out = append(out, s)
			}
		}
	}
	return out
}

func pick[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

func short(r *rand.Rand) time.Duration { return time.Duration(200+r.IntN(1000)) * time.Millisecond }

// run plays the faults of the seed while callers call.
func (w *world) run() {
	stop := w.callers()
	p := planOf(w.drawn)
	w.plan = p.name
	w.t.Logf("plan: %s", p.name)
	defer w.watchMemory()()
	lasts := runFor
	if w.drawn.throttling {
		lasts += throttleFor
	}
	if w.drawn.restores {
		lasts += restoresFor
		defer w.copyStore()()
	}
	if w.drawn.host {
		lasts = w.hostLasts()
	}
	end := time.Now().Add(lasts)
	for time.Now().Before(end) {
		s := pick(w.rand, p.steps)
		w.t.Logf("%6d ms %s", time.Since(w.begun).Milliseconds(), s.name)
		w.harm = max(w.harm, s.harm)
		s.do(w, w.rand)
		time.Sleep(time.Duration(50+w.rand.IntN(500)) * time.Millisecond)
	}
	w.settled.Store(true)
	w.pending.Wait()
	if w.drawn.host {
		w.checkServing()
	}
	w.checkUsedAgain()
	stop()
}
