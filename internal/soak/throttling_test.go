package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/window"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// Times of throttling endpoints.
const (
	throttleFor = 6 * time.Second
	// keptAfter is how long after an endpoint first named a limit it is kept, and toldAfter how
	// long after a gateway has passed on such an answer it counts.
	keptAfter   = 3 * time.Second
	toldAfter   = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// pauseSlack is how many requests may reach an endpoint while it wants a pause.
	pauseSlack = 2
	drainBound = 2 * time.Second
	// closedFor is how long a data centre is closed, and closedBound after what time its
	// endpoints get nothing any more.
	closedFor   = 4 * time.Second
	closedBound = 2 * time.Second
	// homeOfGateways is the data centre of all gateways and most endpoints, and farDataCenter,
	// where endpoints throttle, that of the last ones.
	homeOfGateways = "dc"
	farDataCenter  = "far"
)

// planThrottling has throttling endpoints, and nothing that excuses a gateway.
const planThrottling = "throttling endpoints"

// closes is a step of plans with an endpoint in the far data centre.
var closes = step{"data centre closes", planned, func(w *world, _ *rand.Rand) { w.closeFar() }}

var throttlingSteps = []step{
	{"desk names a limit", planned, func(w *world, r *rand.Rand) { w.nameLimit(pick(r, w.desks), r) }},
	{"desk wants pauses", planned, func(w *world, r *rand.Rand) { w.wantPauses(pick(r, w.desks), r) }},
	{"desk leaves by its answers", planned, func(w *world, r *rand.Rand) { w.leaveByAnswers(w.desks, r) }},
	closes,
	{"engine leaves by its answers", planned, func(w *world, r *rand.Rand) { w.leaveByAnswers(w.engines, r) }},
}

var throttlingOfAll = append(slices.Clone(throttlingSteps), []step{
	{"endpoint names a limit", fault, func(w *world, r *rand.Rand) { w.nameLimit(pick(r, w.servers()), r) }},
	{"endpoint wants pauses", fault, func(w *world, r *rand.Rand) { w.wantPauses(pick(r, w.servers()), r) }},
}...)

// throttlingPlans are drawn in turn by seeds of their own, written with an n behind the number.
var throttlingPlans = []plan{
	{planThrottling, append(named("configuration", "reload", "bad records", "engine leaves"), throttlingSteps...)},
	{"all, and throttling endpoints", append(slices.Clone(steps), throttlingOfAll...)},
}

// statedLimit is one time in which an endpoint names a limit.
type statedLimit struct {
	endpoint  *standin.Endpoint
	from, to  time.Time
	perSecond float64
}

// beginThrottling marks an endpoint as throttling, or returns false if it is already.
func (w *world) beginThrottling(e *standin.Endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.throttling[e] {
		return false
	}
	w.throttling[e] = true
	return true
}

func (w *world) endThrottling(e *standin.Endpoint) {
	e.SetAsks(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.throttling, e)
}

// nameLimit has an endpoint name a limit in all of its answers for a time.
func (w *world) nameLimit(e *standin.Endpoint, r *rand.Rand) {
	if !w.beginThrottling(e) {
		return
	}
	perSecond := 0.5 + 8*r.Float64()
	e.SetAsks(http.Header{platform.HeaderLimit: {fmt.Sprintf("%.1f", perSecond)}})
	stated := statedLimit{endpoint: e, from: time.Now(), to: time.Now().Add(throttleFor), perSecond: perSecond}
	w.mu.Lock()
	w.limits = append(w.limits, stated)
	w.mu.Unlock()
	w.after(throttleFor, func() { w.endThrottling(e) })
}

// wantPauses has an endpoint refuse all requests for a moment, each with a time to come back.
func (w *world) wantPauses(e *standin.Endpoint, r *rand.Rand) {
	if !w.beginThrottling(e) {
		return
	}
	e.SetAsks(http.Header{platform.HeaderRetryAfter: {fmt.Sprintf("%.1f", 1+2*r.Float64())}})
	e.SetRefusing(true)
	w.after(short(r)/4, func() {
		e.SetRefusing(false)
		w.endThrottling(e)
	})
}

// leaveByAnswers has an endpoint say in its answers alone that it leaves, and starts another in
// its place.
func (w *world) leaveByAnswers(among []*standin.Endpoint, r *rand.Rand) {
	i := r.IntN(len(among))
	leaving := among[i]
	if !w.beginThrottling(leaving) {
		return
	}
	w.mu.Lock()
	w.serial++
	id := fmt.Sprintf("%s-new-%d", target(leaving), w.serial)
	delete(w.again, leaving.ID)
	w.mu.Unlock()
	among[i] = w.endpoint(id)
	leaving.SetAsks(http.Header{platform.HeaderLeaving: {"1"}})
}

// dataCenterOf is the data centre of an endpoint.
func (w *world) dataCenterOf(e *standin.Endpoint) string {
	if (w.drawn.throttling || w.drawn.restores) && strings.HasSuffix(e.ID, "-2") && !strings.Contains(e.ID, "new") {
		return farDataCenter
	}
	return homeOfGateways
}

// closeFar has the operators close the far data centre for a time, unless it is closed.
func (w *world) closeFar() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.closings); n > 0 && time.Now().Before(w.closings[n-1].to) {
		return
	}
	w.put(platform.ClosingPrefix+farDataCenter, []byte(`{}`))
	w.closings = append(w.closings, closing{time.Now(), time.Now().Add(closedFor)})
	w.after(closedFor, func() { w.put(platform.ClosingPrefix+farDataCenter, nil) })
}

// closing is a time in which a data centre is closed.
type closing struct{ from, to time.Time }

// checkClosings holds that endpoints of a closed data centre get nothing, unless the store was
// restored shortly before.
func (w *world) checkClosings(e *standin.Endpoint, arrivals []standin.Arrival) {
	if w.dataCenterOf(e) != farDataCenter {
		return
	}
	for _, a := range arrivals {
		for _, c := range w.closings {
			if a.At.After(c.from.Add(closedBound)) && a.At.Before(c.to) && w.calm(a.At) {
				w.t.Errorf("%s reached %s %v after its data centre was closed", a.RequestID, e.ID, a.At.Sub(c.from))
			}
		}
	}
}

// checkThrottling holds that what endpoints said bound each gateway that was told.
func (w *world) checkThrottling() {
	if w.plan == planRestores {
		for _, e := range w.endpoints {
			w.checkClosings(e, e.Arrivals())
		}
	}
	if w.plan != planThrottling {
		return
	}
	kept := 0
	for _, e := range w.endpoints {
		arrivals := e.Arrivals()
		w.checkLeaveByAnswers(e, arrivals)
		w.checkClosings(e, arrivals)
		kept += w.checkPauses(e, arrivals)
	}
	for _, n := range w.limits {
		w.checkLimit(n)
	}
	w.t.Logf("%d limits, %d pauses, %d closings", len(w.limits), kept, len(w.closings))
}

func (w *world) checkLeaveByAnswers(e *standin.Endpoint, arrivals []standin.Arrival) {
	told := map[string]time.Time{}
	for _, a := range arrivals {
		g := gatewayOf(a.RequestID)
		if at, was := told[g]; was && a.At.Sub(at) > drainBound {
			w.t.Errorf("%s reached %s %v after an answer had told %s that it leaves", a.RequestID, e.ID, a.At.Sub(at), g)
		}
		if _, was := told[g]; !was && a.Asks.Get(platform.HeaderLeaving) != "" {
			told[g] = a.At.Add(workTime)
		}
	}
}

func (w *world) checkPauses(e *standin.Endpoint, arrivals []standin.Arrival) (pauses int) {
	for i, a := range arrivals {
		seconds, err := strconv.ParseFloat(a.Asks.Get(platform.HeaderRetryAfter), 64)
		if err != nil || !a.Refused {
			continue
		}
		pauses++
		from, to := a.At.Add(toldAfter), a.At.Add(time.Duration(seconds*float64(time.Second)))
		came := 0
		for _, b := range arrivals[i+1:] {
			if gatewayOf(b.RequestID) == gatewayOf(a.RequestID) && b.At.After(from) && b.At.Before(to) {
				came++
			}
		}
		if came > pauseSlack {
			w.t.Errorf("%s wanted a pause of %.1f s from %s and got %d requests", e.ID, seconds, gatewayOf(a.RequestID), came)
		}
	}
	return pauses
}

func (w *world) checkLimit(n statedLimit) {
	told := map[string]time.Time{}
	var counted []time.Time
	for _, a := range n.endpoint.Arrivals() {
		if a.At.Before(n.from) || a.At.After(n.to) {
			continue
		}
		g := gatewayOf(a.RequestID)
		if at, was := told[g]; was && a.At.Sub(at) >= toldAfter && a.At.Sub(n.from) >= keptAfter {
			counted = append(counted, a.At)
		}
		if _, was := told[g]; !was {
			told[g] = a.At.Add(workTime)
		}
	}
	allowed := limitFactor*n.perSecond*limitWindow.Seconds() + limitSlack
	if most := window.MaxCount(counted, limitWindow); float64(most) > allowed {
		w.t.Errorf("%s named %.1f a second and got %d in %v of %v", n.endpoint.ID, n.perSecond, most, limitWindow, slices.Sorted(maps.Keys(told)))
	}
}
