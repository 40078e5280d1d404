package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

// graceStop is one planned stop of a gateway whose callers send at every moment of its grace period.
type graceStop struct {
	grace, drainDelay time.Duration
	// runTime is the mean run time of requests, whose logarithm has a standard deviation of 1.
	runTime time.Duration
	callers int
	// warmUp is how many requests of each kind run before.
	warmUp int
	// silent endpoints begin streams and don't go on.
	silent bool
	// gateways is how many stop at the same time.
	gateways int
}

// abort returns when the gateway begins to answer what is left, counted from its signal.
func (s graceStop) abort() time.Duration {
	return s.grace - min(700*time.Millisecond, s.grace/4) - min(500*time.Millisecond, s.grace/4)
}

// graceCaller sends one or two requests on a connection of its own.
type graceCaller struct {
	kind string
	// at is when it begins to send, counted from the signal.
	at time.Duration
	// kept connections are opened before the signal, and used ones have had a request.
	kept, used bool
	// pieces says that the request is written in pieces, and awaited that its body is sent once it is asked for.
	pieces, awaited bool
	// pipelined says that a second request follows at once.
	pipelined bool
	rand      *rand.Rand
}

func (c graceCaller) String() string {
	return fmt.Sprintf("%s kept=%v used=%v pieces=%v awaited=%v pipelined=%v", c.kind, c.kept, c.used, c.pieces, c.awaited, c.pipelined)
}

// graceResult is what became of one request of a graceCaller. Times are counted from the signal.
type graceResult struct {
	caller      graceCaller
	id          string
	sent, ended time.Duration
	status      int
	err         error
	// last says that the response asks for the end of the connection.
	last bool
}

// drawScale gives the factors of run times by request: logarithmically normal with a mean of 1.
func drawScale(r *http.Request) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.Header.Get(platform.HeaderRequestID))
	draw := rand.New(rand.NewPCG(h.Sum64(), 1))
	return math.Exp(draw.NormFloat64() - 0.5)
}

// drawGraceCaller draws a caller. Idle connections are closed after the drain delay, so that few callers begin later. Half of them send close to one of the moments at which the gateway changes its ways.
func (s graceStop) drawGraceCaller(r *rand.Rand) graceCaller {
	const near = 300 * time.Millisecond
	c := graceCaller{
		kind: pick(r, []string{kindPlain, kindSafe, kindStream}), at: time.Duration(r.Int64N(int64(s.drainDelay + time.Second))),
		kept: r.IntN(4) > 0, used: r.IntN(2) == 0, pieces: r.IntN(3) > 0, awaited: r.IntN(6) == 0, pipelined: r.IntN(6) == 0,
		rand: rand.New(rand.NewPCG(r.Uint64(), 1)),
	}
	if r.IntN(2) == 0 {
		moment := pick(r, []time.Duration{0, s.drainDelay, s.drainDelay, s.drainDelay + time.Second, s.abort(), s.abort() + 500*time.Millisecond})
		c.at = max(0, moment+time.Duration(r.Int64N(int64(2*near)))-near)
	}
	return c
}

// pieceGap is the longest pause between two pieces of a request.
const pieceGap = 800 * time.Millisecond

// write sends a request, perhaps in pieces.
func (c graceCaller) write(nc net.Conn, answers *bufio.Reader, id string) error {
	const body = "body"
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", c.kind, host,
		platform.HeaderRequestID, id, platform.HeaderAPIKey, apiKey, platform.HeaderWait, callerTimeout.Milliseconds(), len(body))
	if c.kind == kindStream {
		head += platform.HeaderTokens + ": 100,50\r\n"
	}
	if c.awaited {
		head += "Expect: 100-continue\r\n"
	}
	head += "\r\n"
	parts := []string{head + body}
	switch {
	case c.awaited:
		parts = []string{head, body}
	case c.pieces:
		cut := c.rand.IntN(len(head))
		parts = []string{head[:cut], head[cut:], body[:2], body[2:]}
	}
	for i, part := range parts {
		if i > 0 && c.awaited {
			// The response may come without the body having been asked for.
			_ = nc.SetReadDeadline(time.Now().Add(callerTimeout))
			if next, err := answers.Peek(len("HTTP/1.1 100")); err != nil || !bytes.HasSuffix(next, []byte("100")) {
				return nil
			}
			if _, err := http.ReadResponse(answers, nil); err != nil {
				return err
			}
		} else if i > 0 {
			time.Sleep(time.Duration(c.rand.Int64N(int64(pieceGap))))
		}
		if _, err := io.WriteString(nc, part); err != nil {
			return err
		}
	}
	return nil
}

// read reads a response.
func (r *graceResult) read(answers *bufio.Reader) {
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	r.status, r.last = resp.StatusCode, resp.Close
	_, r.err = io.ReadAll(resp.Body)
}

// play sends the requests of a caller, and returns what became of them.
func (c graceCaller) play(g *gateway, signalled func() time.Time) (results []graceResult) {
	var nc net.Conn
	var answers *bufio.Reader
	dial := func() error {
		var err error
		if nc, err = net.Dial("tcp", g.vm.Callers); err == nil {
			_ = nc.SetDeadline(time.Now().Add(time.Minute))
			answers = bufio.NewReader(nc)
		}
		return err
	}
	if c.kept {
		if err := dial(); err != nil {
			return []graceResult{{caller: c, err: err}}
		}
		defer nc.Close()
		if c.used {
			first := graceCaller{kind: kindSafe, rand: c.rand}
			_ = first.write(nc, answers, g.nextID())
			var r graceResult
			if r.read(answers); r.err != nil {
				return []graceResult{{caller: c, err: r.err}}
			}
		}
	}
	begun := signalled()
	time.Sleep(time.Until(begun.Add(c.at)))
	if !c.kept {
		if err := dial(); err != nil {
			return nil
		}
		defer nc.Close()
	}
	ids := []string{g.nextID()}
	if c.pipelined && !c.awaited {
		ids = append(ids, g.nextID())
	}
	sent := make(chan time.Duration, len(ids))
	write := func() {
		defer close(sent)
		for _, id := range ids {
			if c.write(nc, answers, id) != nil {
				return
			}
			sent <- time.Since(begun)
		}
	}
	if c.awaited {
		write()
	} else {
		go write()
	}
	for _, id := range ids {
		r := graceResult{caller: c, id: id, sent: math.MaxInt64}
		r.read(answers)
		r.ended = time.Since(begun)
		if r.status == 0 {
			// The caller notices when it has written the rest.
			_ = nc.Close()
		}
		if at, ok := <-sent; ok {
			r.sent = at
		}
		results = append(results, r)
		if r.err != nil || r.last {
			break
		}
	}
	return results
}

// graceSilence is for how long a silent endpoint doesn't answer.
const graceSilence = time.Hour

// graceRun is what became of a stop. Times are counted from the signal.
type graceRun struct {
	w       *world
	results []graceResult
	// closed is when a new connection was refused for the first time, and ended when the process ended.
	closed, ended time.Duration
}

// awaitClosed returns when the gateway refuses connections.
func (g *gateway) awaitClosed() time.Time {
	for {
		nc, err := net.Dial("tcp", g.vm.Callers)
		if err != nil {
			return time.Now()
		}
		nc.Close()
		time.Sleep(10 * time.Millisecond)
	}
}

// run stops gateways, and returns what became of each.
func (s graceStop) run(t *testing.T, number uint64) []graceRun {
	w := newWorldWithGrace(t, seed{number: number}, s.grace, func(store http.Handler) http.Handler { return store },
		"-drain-delay", s.drainDelay.String(), "-body-timeout", "5s")
	for _, e := range w.servers() {
		e.Work, e.Every, e.Prefill, e.Scale = s.runTime, s.runTime*4/5/streamEvents, s.runTime/5, drawScale
	}
	stopping := w.gateways[:s.gateways]
	var all sync.WaitGroup
	for i := range s.warmUp {
		for _, kind := range []string{kindPlain, kindSafe, kindStream} {
			all.Go(func() { stopping[i%len(stopping)].call(&http.Client{Timeout: callerTimeout}, kind) })
		}
	}
	all.Wait()
	if s.silent {
		for _, e := range w.servers() {
			e.Scale = func(r *http.Request) float64 {
				if f := drawScale(r); f < 1.5 {
					return f
				}
				return float64(graceSilence / s.runTime)
			}
		}
	}
	begun := make(chan struct{})
	var at time.Time
	signalled := func() time.Time { <-begun; return at }
	var mu sync.Mutex
	runs := make([]graceRun, len(stopping))
	for i := range s.callers {
		c := s.drawGraceCaller(w.rand)
		i %= len(stopping)
		all.Go(func() {
			got := c.play(stopping[i], signalled)
			mu.Lock()
			defer mu.Unlock()
			runs[i].results = append(runs[i].results, got...)
		})
	}
	// All kept connections have been opened and used once.
	time.Sleep(2 * time.Second)
	at = time.Now()
	for i, g := range stopping {
		ended := g.signal(syscall.SIGTERM)
		all.Go(func() {
			select {
			case <-ended:
			case <-time.After(s.grace):
				t.Errorf("%s still runs %v after its signal", g.vm.VM, s.grace)
				<-ended
			}
			runs[i].w, runs[i].ended = w, time.Since(at)
			if code := g.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("%s ended with %d", g.vm.VM, code)
			}
		})
		all.Go(func() { runs[i].closed = g.awaitClosed().Sub(at) })
	}
	close(begun)
	all.Wait()
	return runs
}

// check holds what became of the requests against what callers are promised.
func (s graceStop) check(t *testing.T, run graceRun) (counts map[string]int) {
	counts = map[string]int{}
	for _, r := range run.results {
		ran := run.w.arrived(r.id)
		bad := func(format string, args ...any) {
			t.Errorf("%s (%v): %s; sent %v, ended %v, status %d, error %v, ran %v", r.id, r.caller, fmt.Sprintf(format, args...), r.sent, r.ended, r.status, r.err, ran)
			counts["BAD "+fmt.Sprintf(format, args...)]++
		}
		late := r.sent > run.closed
		key := r.caller.kind + " " + strconv.Itoa(r.status)
		if r.err != nil {
			key += " broken off"
		}
		if late {
			key += " late"
		}
		counts[key]++
		switch {
		case r.status == http.StatusOK && r.err == nil:
		case r.status == http.StatusServiceUnavailable && r.err == nil:
			if ran {
				bad("was called not run, and ran")
			}
		case r.status == 0 && !ran:
			if r.sent < math.MaxInt64 && r.ended-r.sent > lossSlack {
				bad("has no answer")
			}
		case r.status == 0:
			bad("ran and has no answer")
		case late:
			bad("was taken after the drain delay and not served")
		case r.ended < s.abort()-lossSlack:
			bad("ended before its time")
		}
	}
	return counts
}

// TestRequestsAtEveryMomentOfTheGracePeriod guards against requests that a stopping process takes and doesn't serve.
// SOAK_STOPS=N runs N stops with the usual grace period, of fresh seeds.
func TestRequestsAtEveryMomentOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	stop := graceStop{grace: 4 * time.Second, drainDelay: 1500 * time.Millisecond, runTime: 600 * time.Millisecond, callers: 200, warmUp: 10, gateways: 1}
	seeds := []uint64{1}
	if n, _ := strconv.Atoi(os.Getenv("SOAK_STOPS")); n > 0 {
		stop = graceStop{grace: usualGrace, drainDelay: 3 * time.Second, runTime: 1500 * time.Millisecond, callers: 300, warmUp: 20, gateways: 1}
		seeds = nil
		for range n {
			seeds = append(seeds, rand.Uint64())
		}
	}
	total := map[string]int{}
	for i, number := range seeds {
		t.Run(strconv.FormatUint(number, 10), func(t *testing.T) {
			stop.silent = i%3 == 2
			stop.gateways = 1
			if i%4 == 3 {
				stop.gateways = gateways
			}
			for _, run := range stop.run(t, number) {
				counts := stop.check(t, run)
				for key, n := range counts {
					total[key] += n
				}
				t.Logf("closed after %v, ended after %v, %v", run.closed, run.ended, counts)
			}
		})
	}
	t.Logf("all stops: %v", total)
}
