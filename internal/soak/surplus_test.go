package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// maxRepeated bounds the answers that are sent once more.
const maxRepeated = 1 << 10

// repeater holds the answer to the request before on one connection of a proxy. It takes an answer as all
// that comes between two requests.
type repeater struct {
	mu              sync.Mutex
	before, current []byte
	begun           bool
}

// request notes that a request passes.
func (r *repeater) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun {
		r.before, r.current, r.begun = r.current, nil, false
	}
}

// answer notes a part of an answer, and returns the answer before if this part begins one and that was short.
func (r *repeater) answer(part []byte) (before []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.begun && len(r.before) <= maxRepeated {
		before = r.before
	}
	r.begun = true
	if len(r.current) <= maxRepeated {
		r.current = append(r.current, part...)
	}
	return before
}

var surplusSteps = []step{
	{"surplus answers", fault, func(w *world, r *rand.Rand) { w.spoil(pick(r, w.proxies), repeat, short(r)) }},
	{"surplus answers of all", fault, func(w *world, r *rand.Rand) {
		d := short(r)
		for _, p := range w.proxies {
			w.spoil(p, repeat, d)
		}
	}},
	{"surplus answers of full endpoints", fault, func(w *world, r *rand.Rand) {
		d := short(r)
		for _, p := range w.proxies {
			w.spoil(p, repeat, 2*d)
		}
		for _, e := range w.servers() {
			if r.IntN(2) == 0 {
				w.full(e, short(r)/4)
			}
		}
	}},
}

// surplusPlans are drawn in turn by seeds of their own, written with a u behind the number.
var surplusPlans = []plan{
	{"surplus answers", append(named("endpoint full", "engine leaves", "configuration", "stream cut"), slices.Concat(surplusSteps, surplusSteps)...)},
	{"all, and surplus answers", append(slices.Clone(steps), slices.Concat(surplusSteps, surplusSteps)...)},
}
