package soak

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

const (
	// gatewaysAtSize and callersAtSize are the numbers of the plan at the limits' size, and crowd is how many callers
	// have a request open at one gateway, which is more than it takes.
	gatewaysAtSize = 12
	crowd          = 1100
	// hostCallersEach is how many callers keep a connection to each gateway.
	hostCallersEach = 10
	// lateCallers is how many callers open a connection as a gateway stops, and send their request at any time of
	// the grace period.
	lateCallers = 24
	// shortGrace and shortLasts are the grace period and the length of a run with a short drain delay, longLasts
	// is the length of one with the default.
	shortGrace = 5 * time.Second
	shortLasts = 3 * time.Second
	longLasts  = 14 * time.Second
	// earlyInStop is how long after SIGTERM a request may be sent that a process may cut if its server still works
	// on it in the last sixth of the grace period.
	earlyInStop = 3 * time.Second
	// long is how much longer than the others some runs take; a few take 2 to 6 s.
	long = 400 * time.Millisecond
	// longSuffix ends the ids of requests that take 2 to 6 s.
	longSuffix = "-long"
)

// hostPlan is what a seed with an h behind its number plays.
type hostPlan struct {
	plan
	// disturbed says that processes start under conditions, and that stops and restarts overlap.
	disturbed bool
	gateways  int
}

var plannedOnHost = []step{
	{"planned stop", planned, func(w *world, r *rand.Rand) { w.stopWithLateCallers(pick(r, w.gateways), r) }},
	{"stops in series", planned, func(w *world, r *rand.Rand) {
		for _, g := range w.gateways {
			w.stopWithLateCallers(g, r)
			time.Sleep(below(r, 1500*time.Millisecond))
		}
	}},
	{"all stop", planned, func(w *world, r *rand.Rand) {
		for _, g := range w.gateways {
			w.stopWithLateCallers(g, r)
		}
	}},
}

var aroundOnHost = []step{
	{"stops in quick succession", planned, func(w *world, r *rand.Rand) {
		g := pick(r, w.gateways)
		for range 3 {
			g.term()
			time.Sleep(below(r, time.Second))
		}
	}},
	{"reloads", planned, func(w *world, r *rand.Rand) {
		for range 5 {
			pick(r, w.gateways).hup()
			time.Sleep(below(r, 40*time.Millisecond))
		}
	}},
	{"settings rewritten", planned, func(w *world, r *rand.Rand) {
		g := pick(r, w.gateways)
		w.t.Logf("          %s", g.spoilSettings(r))
		if r.IntN(2) == 0 {
			g.hup()
		}
		after := rand.New(rand.NewPCG(r.Uint64(), 0))
		w.after(below(r, maxSettingsBad), func() {
			g.writeSettings(after)
			if after.IntN(2) == 0 {
				g.hup()
			}
		})
	}},
}

// faultsOnHost hit all gateways at the same time.
var faultsOnHost = []step{
	{"all killed", fault, func(w *world, _ *rand.Rand) {
		for _, g := range w.gateways {
			g.kill()
		}
	}},
	{"all paused", fault, func(w *world, r *rand.Rand) {
		for _, g := range w.gateways {
			g.pause(short(r))
		}
	}},
}

// crowdStep opens more requests at a gateway than it takes.
var crowdStep = step{"crowd", fault, func(w *world, r *rand.Rand) {
	g := pick(r, w.gateways)
	for range crowd {
		w.pending.Go(func() { w.callOnce(g, &net.Dialer{}, kindStream) })
	}
}}

// hostPlans are drawn in turn by seeds of their own, written with an h behind the number; of each plan every
// second run has the default drain delay.
var hostPlans = []hostPlan{
	{plan{"planned stops only", append(named("configuration", "reload", "engine leaves"), plannedOnHost...)}, false, gateways},
	{plan{"planned stops on a disturbed host", slices.Concat(named("configuration", "engine leaves"), plannedOnHost, aroundOnHost)}, true, gateways},
	{plan{"all on a disturbed host", slices.Concat(steps, floodSteps, plannedOnHost, aroundOnHost, faultsOnHost)}, true, gateways},
	{plan{"at the limits' size", slices.Concat(floodSteps, plannedOnHost, aroundOnHost, []step{crowdStep, crowdStep, crowdStep})}, true, gatewaysAtSize},
}

func hostPlanOf(s seed) hostPlan { return hostPlans[s.number%uint64(len(hostPlans))] }

// drawHost sets what follows from a seed with an h; it returns the number of gateways.
func (w *world) drawHost() int {
	p := hostPlanOf(w.drawn)
	w.disturbed = p.disturbed
	w.longGrace = w.drawn.number/uint64(len(hostPlans))%2 == 1
	return p.gateways
}

func (w *world) drainFlags() []string {
	if w.longGrace {
		return nil
	}
	return []string{"-drain-delay", "300ms"}
}

// hostLasts returns how long a run draws steps.
func (w *world) hostLasts() time.Duration {
	if w.longGrace {
		return longLasts
	}
	return shortLasts
}

// mayDisturb reports whether conditions may begin.
func (w *world) mayDisturb() bool {
	return w.disturbed && !w.settled.Load()
}

// stopWithLateCallers stops a gateway to which callers have just connected that send late.
func (w *world) stopWithLateCallers(g *gateway, r *rand.Rand) {
	var dialed sync.WaitGroup
	for range lateCallers {
		wait := below(r, g.vm.Bounds.Grace)
		kind := pick(r, []string{kindPlain, kindSafe, kindStream})
		dialed.Add(1)
		w.pending.Go(func() {
			nc, err := net.DialTimeout("tcp", g.vm.Callers, time.Second)
			dialed.Done()
			if err != nil {
				return
			}
			w.callLate(g, nc, kind, wait)
		})
	}
	dialed.Wait()
	g.term()
	for range r.IntN(3) {
		time.Sleep(below(r, 100*time.Millisecond))
		g.signal(pick(r, []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}))
	}
}

// callLate sends requests on a connection: half of the callers one after a while, the others one right after another until
// the connection ends, of which a quarter run for 2 to 6 s.
func (w *world) callLate(g *gateway, nc net.Conn, kind string, wait time.Duration) {
	if wait.Nanoseconds()%2 == 0 {
		time.Sleep(wait)
		w.callOnce(g, dialedBefore{nc}, kind)
		return
	}
	transport := &http.Transport{DialContext: dialedBefore{nc}.DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callerTimeout}
	r := rand.New(rand.NewPCG(uint64(wait), 0))
	for end := time.Now().Add(g.vm.Bounds.Grace); time.Now().Before(end); {
		id := g.nextID()
		if r.IntN(4) == 0 {
			id += longSuffix
		}
		res := g.callAs(client, id, kind)
		w.mu.Lock()
		w.results = append(w.results, res)
		w.mu.Unlock()
		if res.err != nil {
			return
		}
	}
}

type dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dialedBefore hands out a connection that is open.
type dialedBefore struct{ nc net.Conn }

// DialContext implements dialer.
func (d dialedBefore) DialContext(context.Context, string, string) (net.Conn, error) {
	return d.nc, nil
}

// callOnce sends one request on a connection of its own.
func (w *world) callOnce(g *gateway, d dialer, kind string) {
	transport := &http.Transport{DialContext: d.DialContext}
	defer transport.CloseIdleConnections()
	res := g.call(&http.Client{Transport: transport, Timeout: callerTimeout}, kind)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, res)
}

// unevenWriter writes late.
type unevenWriter struct {
	http.ResponseWriter
	ctx   context.Context
	pause time.Duration
}

// Unwrap lets http.ResponseController find the writer.
func (u *unevenWriter) Unwrap() http.ResponseWriter { return u.ResponseWriter }

// Write implements http.ResponseWriter.
func (u *unevenWriter) Write(b []byte) (int, error) {
	select {
	case <-time.After(u.pause):
	case <-u.ctx.Done():
	}
	return u.ResponseWriter.Write(b)
}

// uneven makes some of a server's runs take much longer than the mean.
func (w *world) uneven(h http.Handler) http.Handler {
	if !w.drawn.host {
		return h
	}
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(platform.HeaderRequestID)
		defer func() { w.workEnded.Store(id, time.Now()) }()
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(id))
		var longer time.Duration
		switch n := hash.Sum32() % 50; {
		case n == 0 || strings.HasSuffix(id, longSuffix):
			longer = 2*time.Second + time.Duration(hash.Sum32()%4000)*time.Millisecond
		case n < 5:
			longer = long
		}
		if r.Header.Get(platform.HeaderTokens) != "" {
			longer /= streamEvents
		}
		if longer == 0 {
			h.ServeHTTP(rw, r)
			return
		}
		h.ServeHTTP(&unevenWriter{rw, r.Context(), longer}, r)
	})
}

// lossOnHost tells how a request was lost beside planned work only; "" if it wasn't.
func (w *world) lossOnHost(r result) string {
	g := w.gatewayOf(r)
	sent, end := r.begun.Add(r.elapsed-r.answered), r.begun.Add(r.elapsed)
	stop, stopping := g.stopBefore(end)
	switch {
	case r.err == nil && (r.status == http.StatusOK || r.status == http.StatusServiceUnavailable):
		return ""
	case r.err == nil && r.status == http.StatusGatewayTimeout && stopping:
		return ""
	case r.err == nil:
		return "failed"
	case !w.arrived(r.id) && r.answered <= lossSlack:
		// It crossed the end of its connection.
		return ""
	case r.elapsed >= callerTimeout && w.arrived(r.id):
		// Its caller gave up while a server had it.
		return ""
	}
	stops := g.stopsEndedAt(sent, end)
	if stopping {
		stops = append(stops, stop)
	}
	if at, ok := w.workEnded.Load(r.id); ok && slices.ContainsFunc(stops, func(stop time.Time) bool {
		return !sent.After(stop.Add(earlyInStop)) && !at.(time.Time).Before(stop.Add(g.vm.Bounds.Grace*5/6))
	}) {
		return ""
	}
	how := "sent in calm"
	if stopping {
		how = "sent " + sent.Sub(stop).Round(time.Second).String() + " after SIGTERM"
	}
	if g.endedByItself(sent, end) {
		return "with a process that ended by itself"
	}
	return how
}

// endedByItself reports whether a process of the gateway ended by itself at a time that ran when a request was sent.
func (g *gateway) endedByItself(sent, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.host.processes, func(p *process) bool {
		return p.endedByItself() != "" && p.begun.Before(sent) && p.endedAt.Sub(at).Abs() < lossSlack
	})
}

// stopsEndedAt returns when processes of the gateway were told to stop that ran when a request was sent and ended at a time.
// The next process may have been told to stop by then too.
func (g *gateway) stopsEndedAt(sent, at time.Time) (stops []time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.host.processes {
		if told := p.toldToStop(); !told.IsZero() && p.begun.Before(sent) && p.endedAt.Sub(at).Abs() < lossSlack {
			stops = append(stops, told)
		}
	}
	return stops
}

// stopBefore returns when a process of the gateway was told to stop, the last time within the grace period before a time.
func (g *gateway) stopBefore(at time.Time) (stop time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.host.processes {
		told := p.toldToStop()
		gone := !p.endedAt.IsZero() && at.Sub(p.endedAt) > lossSlack
		if !gone && !told.IsZero() && told.Before(at) && at.Sub(told) <= g.vm.Bounds.Grace+lossSlack && told.After(stop) {
			stop, ok = told, true
		}
	}
	return stop, ok
}

func (w *world) gatewayOf(r result) *gateway {
	return w.gateways[slices.IndexFunc(w.gateways, func(g *gateway) bool { return g.vm.VM == r.gateway })]
}

// checkServing holds that each gateway serves again once nothing disturbs it.
func (w *world) checkServing() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	for _, g := range w.gateways {
		served := false
		for end := time.Now().Add(readyTimeout); !served && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			served = g.ready() && g.call(client, kindSafe).status == http.StatusOK
		}
		if !served {
			w.t.Errorf("%s doesn't serve within %v of the last disturbance; its log:\n%s", g.vm.VM, readyTimeout, tail(g.newest().log))
		}
	}
}

// checkLosses holds that no request was lost beside planned work only.
func (w *world) checkLosses() {
	counts, first, late := map[string]int{}, map[string]result{}, map[string]int{}
	for _, r := range w.results {
		g := w.gatewayOf(r)
		sent := r.begun.Add(r.elapsed - r.answered)
		if stop, stopping := g.stopBefore(sent); stopping && sent.Sub(stop) > earlyInStop && r.answered > 0 {
			if late[r.key()]++; w.arrived(r.id) {
				late["passed on"]++
			}
		}
		if how := w.lossOnHost(r); how != "" {
			if counts[how]++; counts[how] == 1 {
				first[how] = r
			}
		}
	}
	w.t.Logf("sent later than %v after SIGTERM: %v", earlyInStop, late)
	w.t.Logf("lost: %v", counts)
	for how, r := range first {
		if w.harm < fault {
			w.t.Errorf("%d requests were lost %s, such as %s %s: status %d, error %v, begun %v, answered after %v, runs %+v", counts[how], how, r.kind, r.id,
				r.status, r.err, r.begun, r.answered, w.ledger.Of(r.id))
		}
	}
}
