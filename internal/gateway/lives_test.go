package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1/peerv1connect"
	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// Starts of endpoints, in Unix milliseconds.
const (
	firstStart  = 1_764_700_000_000
	secondStart = 1_764_700_060_000
)

// long is longer than any test.
const long = time.Hour

// restart has an endpoint start again, and waits until the entries know.
func (w *world) restart(e *standin.Endpoint, service string, born uint64) {
	e.Restart(born)
	w.announce(e, service, false)
	w.awaitLife(e, born)
}

// announceNext has an endpoint's next life listed while its process still runs, so that it
// is known whatever ends first.
func (w *world) announceNext(e *standin.Endpoint, born uint64) {
	before := e.Born()
	e.SetBorn(born)
	w.announce(e, "engine", false)
	e.SetBorn(before)
	w.awaitLife(e, born)
}

func (w *world) awaitLife(e *standin.Endpoint, born uint64) {
	w.g.Eventually(func() []string {
		return w.logs.with("endpoint started again", "endpoint="+e.ID, "start="+strconv.FormatUint(born, 10))
	}, eventually).ShouldNot(BeEmpty())
}

// lists are the log's lines of lists of endpoints that came into force.
func (w *world) lists() []string { return w.logs.with("value in force", "name=fleet") }

// longStreams makes an engine's streams so long that they are under way for all of a test.
func longStreams(e *standin.Endpoint) { e.Events, e.Every = 100_000, 5*time.Millisecond }

// bornOf lists the starts of the lives that ran a request.
func (w *world) bornOf(id string) (out []uint64) {
	for _, r := range w.ledger.Of(id) {
		out = append(out, r.Born)
	}
	return out
}

// TestRequestsOverAStart: an engine starts again under its id at each step of a request. No
// caller is told that a request hasn't run which may have, none runs twice, and no answer is
// taken for whole that isn't.
func TestRequestsOverAStart(t *testing.T) {
	steps := map[string]struct {
		prepare func(*standin.Endpoint)
		reached func(*standin.Endpoint) int
		runs    int
	}{
		"the prompt is read": {func(e *standin.Endpoint) { e.Prefill = long }, (*standin.Endpoint).Reading, 0},
		"it streams":         {longStreams, (*standin.Endpoint).Running, 1},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			engine := w.endpointBorn("engine-1", "engine", firstStart)
			step.prepare(engine)
			e := w.start(w.settings("vm-1")).waitReady()
			got := e.begin("r1")
			w.g.Eventually(func() int { return step.reached(engine) }, eventually).Should(Equal(1))
			w.restart(engine, "engine", secondStart)
			var a answer
			w.g.Eventually(got, eventually).Should(Receive(&a))
			w.g.Expect(a.status == http.StatusOK && a.err == nil).To(BeFalse(), "it is no whole answer")
			w.g.Expect(w.logs.with("request failed", "request=r1", "outcome=not_run")).To(BeEmpty())
			w.g.Expect(w.bornOf("r1")).To(HaveLen(step.runs))
			engine.SetPace(0, 5)
			w.g.Expect(e.stream("r2").body).To(Equal(events("r2", 5)))
			w.g.Expect(w.bornOf("r2")).To(Equal([]uint64{secondStart}))
		})
	}
}

// TestARequestBeforeItIsSent: one that comes over a kept connection, or waits for an engine
// that doesn't leave any more, runs once, in the next life.
func TestARequestBeforeItIsSent(t *testing.T) {
	w := newWorld(t)
	desk := w.endpointBorn("desk-1", "desk", firstStart)
	e := w.start(w.settings("vm-1")).waitReady()
	w.g.Expect(e.call("r1", http.MethodPost, "/plain/x", nil).status).To(Equal(http.StatusOK))
	desk.Restart(secondStart) // The entry doesn't know yet.
	w.g.Expect(e.call("r2", http.MethodPost, "/plain/x", nil).status).To(Equal(http.StatusOK))
	w.announce(desk, "desk", true)
	w.awaitLife(desk, secondStart)
	w.g.Eventually(func() []string { return w.logs.with("endpoint leaving", "endpoint=desk-1") }, eventually).Should(HaveLen(1))
	w.g.Expect(e.call("r3", http.MethodPost, "/plain/x", nil).status).To(Equal(http.StatusServiceUnavailable), "it leaves")
	w.restart(desk, "desk", secondStart+1)
	w.g.Expect(e.call("r4", http.MethodPost, "/plain/x", nil).status).To(Equal(http.StatusOK), "a leave ends with its life")
	w.g.Expect(w.bornOf("r1")).To(Equal([]uint64{firstStart}))
	w.g.Expect(w.bornOf("r2")).To(Equal([]uint64{secondStart}))
	w.g.Expect(w.bornOf("r3")).To(BeEmpty())
	w.g.Expect(w.bornOf("r4")).To(Equal([]uint64{secondStart + 1}))
}

// TestAResumableStreamOverAStart goes on in the next life, each event once.
func TestAResumableStreamOverAStart(t *testing.T) {
	w := newWorld(t)
	engine := w.endpointBorn("engine-1", "engine", firstStart)
	engine.Events, engine.Every = 200, 5*time.Millisecond
	vm := w.settings("vm-1")
	vm.Bounds.RetrySlack = 10_000
	e := w.start(vm).waitReady()
	got := make(chan answer, 1)
	go func() { got <- e.streamAfter("r1", "/resumable/x", "") }()
	w.g.Eventually(engine.Running, eventually).Should(Equal(1))
	w.restart(engine, "engine", secondStart)
	var a answer
	w.g.Eventually(got, eventually).Should(Receive(&a))
	w.g.Expect(a.body, a.err).To(Equal(events("r1", 200)))
	w.g.Expect(w.bornOf("r1")).To(Equal([]uint64{firstStart, secondStart}))
}

// movedEvents is the length of streams that are moved: some seconds.
const movedEvents = 1000

// moving has a stream begin at engine-1, which then leaves for engine-2; copies take as long
// as takes says. It returns when a copy is under way that takes long.
func moving(t *testing.T, takes ...time.Duration) (w *world, source, target *standin.Endpoint, got <-chan answer) {
	return movingAs(t, nil, takes...)
}

// movingAs is moving off an engine that speaks through a wrapper.
func movingAs(t *testing.T, wrap wrapper, takes ...time.Duration) (w *world, source, target *standin.Endpoint, got <-chan answer) {
	w = newWorld(t)
	source = w.serve("engine-1", "engine", firstStart, wrap)
	source.Events, source.Every = movedEvents, 5*time.Millisecond
	source.CopyTakes = takes
	e := w.start(w.settings("vm-1")).waitReady()
	got = e.begin("r1")
	w.g.Eventually(source.Running, eventually).Should(Equal(1))
	target = w.endpointBorn("engine-2", "engine", firstStart)
	target.Events, target.Every = movedEvents, time.Millisecond
	w.g.Eventually(w.lists, eventually).Should(HaveLen(2))
	w.announce(source, "engine", true)
	w.g.Eventually(func() int { return len(source.Copied()) }, eventually).Should(Equal(len(takes)))
	return w, source, target, got
}

// TestTheSourceStartsAgain while a generation is copied: the stream is cut, since what there
// is of its memory is of a life that is over, whichever copy is under way.
func TestTheSourceStartsAgain(t *testing.T) {
	for name, takes := range map[string][]time.Duration{
		"in the first copy": {long},
		"after the stop":    {0, 0, long},
	} {
		t.Run(name, func(t *testing.T) {
			w, source, _, got := moving(t, takes...)
			w.announceNext(source, secondStart)
			source.Restart(secondStart)
			expectCut(w, got)
			if len(takes) > 1 {
				w.g.Expect(w.logs.with("handoff failed", "engine-1 has started again")).To(HaveLen(1))
			}
		})
	}
}

// TestTheSourceStartsAgainElsewhere: nobody answers where it was, and the list shows its next
// life.
func TestTheSourceStartsAgainElsewhere(t *testing.T) {
	var ended atomic.Bool
	w, source, _, got := movingAs(t, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if ended.Load() {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		})
	}, 0, 0, long)
	ended.Store(true)
	w.announceNext(source, secondStart)
	source.Restart(firstStart) // Its streams and copies end.
	expectCut(w, got)
	w.g.Expect(w.logs.with("handoff failed", "engine-1 has started again")).To(HaveLen(1))
}

// TestTheTargetStartsAgain while a generation is copied to it: as long as the source has the
// memory, it is copied anew for the next life.
func TestTheTargetStartsAgain(t *testing.T) {
	for name, takes := range map[string][]time.Duration{
		"in the first copy": {time.Second},
		"after the stop":    {0, 0, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w, _, target, got := moving(t, takes...)
			w.restart(target, "engine", secondStart)
			var a answer
			w.g.Eventually(got, eventually).Should(Receive(&a))
			w.g.Expect(a.body, a.err).To(Equal(events("r1", movedEvents)))
			born := w.bornOf("r1")
			w.g.Expect(born[len(born)-1]).To(Equal(uint64(secondStart)))
		})
	}
}

// TestTheTargetStartsAgainAndTheSourceEnds: the copies that stand are of a life that is over.
func TestTheTargetStartsAgainAndTheSourceEnds(t *testing.T) {
	w, source, target, got := moving(t, 0, 0, long)
	w.restart(target, "engine", secondStart)
	source.Restart(firstStart) // All that shows is that the answer to its stop is lost.
	expectCut(w, got)
	w.g.Expect(w.logs.with("handoff failed", "engine-2 has started again")).To(HaveLen(1))
}

// TestTheNextLifeKnowsOfNoRun: it answers so to the stop of a generation of the life before.
// That generation hasn't ended by itself, though its stream has, without a sign that tells
// the end of a process from that of an answer.
func TestTheNextLifeKnowsOfNoRun(t *testing.T) {
	asItIs := func(next http.Handler) http.Handler { return next }
	w, source, _, got := movingAs(t, unframed(asItIs), 0, long)
	source.Restart(secondStart)
	expectCut(w, got)
	w.g.Expect(w.logs.with("handoff failed", "engine-1 has started again")).To(HaveLen(1))
}

// TestAStartThatIsNotListedYet: an engine that ended in a move is asked for its start before
// the copy that stands is taken up, since the list may lag.
func TestAStartThatIsNotListedYet(t *testing.T) {
	starts := map[string]func(source, target *standin.Endpoint){
		"engine-1": func(source, _ *standin.Endpoint) { source.Restart(secondStart) },
		"engine-2": func(source, target *standin.Endpoint) {
			target.Restart(secondStart)
			source.Restart(firstStart) // Only its answers to the moves are lost.
		},
	}
	for name, restart := range starts {
		t.Run(name, func(t *testing.T) {
			w, source, target, got := moving(t, 0, 0, long)
			restart(source, target)
			expectCut(w, got)
			w.g.Expect(w.logs.with("handoff failed", name+" has started again")).To(HaveLen(1))
		})
	}
}

// expectCut says that the stream of r1 was cut between two events and went on nowhere.
func expectCut(w *world, got <-chan answer) {
	var a answer
	w.g.Eventually(got, eventually).Should(Receive(&a))
	w.g.Expect(a.err).To(HaveOccurred())
	w.g.Expect(events("r1", movedEvents)).To(HavePrefix(a.body))
	w.g.Expect(w.bornOf("r1")).To(Equal([]uint64{firstStart}))
	w.g.Expect(w.logs.with("handed over")).To(BeEmpty())
}

// lateNews are the ways by which news of an earlier life of engine-1 comes: that it leaves,
// and that it is full. Each returns when the entry has taken it.
var lateNews = map[string]func(w *world, e *entry, engine *standin.Endpoint, metricsPort int){
	"its record": func(w *world, _ *entry, engine *standin.Endpoint, _ int) {
		engine.SetBorn(firstStart)
		w.announce(engine, "engine", true)
		engine.SetBorn(secondStart)
		w.g.Eventually(func() []string { return w.logs.with("records of earlier lives are held back") }, eventually).ShouldNot(BeEmpty())
	},
	"its report": func(w *world, _ *entry, engine *standin.Endpoint, _ int) {
		engine.SetBorn(firstStart)
		engine.SetLeaving(time.Second)
		before := engine.Reports()
		const some = 3 // The last but one has been taken when the last one is asked for.
		w.g.Eventually(engine.Reports, eventually).Should(BeNumerically(">=", before+some))
		engine.SetLeaving(0)
		engine.SetBorn(secondStart)
	},
	"a peer": func(_ *world, e *entry, _ *standin.Endpoint, _ int) {
		e.push(&peerv1.NodeRecord{Leaves: []*peerv1.Leave{{Endpoint: "engine-1", Incarnation: firstStart}}, Loads: earlierLoads()})
	},
	"a datagram of a prompt": func(w *world, e *entry, _ *standin.Endpoint, metricsPort int) {
		notice := &peerv1.PromptNotice{Endpoint: peering.InstanceHash(earlier), Tokens: 100_000}
		e.datagram(&peerv1.Datagram{Kind: &peerv1.Datagram_Prompt{Prompt: notice}}, metricsPort, "heard")
	},
	"a datagram of loads": func(w *world, e *entry, _ *standin.Endpoint, metricsPort int) {
		e.datagram(&peerv1.Datagram{Kind: &peerv1.Datagram_Loads{Loads: earlierLoads()}}, metricsPort, "loads_heard")
	},
}

// earlier is the life that the late news is of.
var earlier = fleet.Instance{Endpoint: "engine-1", Incarnation: firstStart}

// earlierLoads say that engine-1 is full.
func earlierLoads() *peerv1.Loads {
	return &peerv1.Loads{Endpoints: []uint32{peering.InstanceHash(earlier)}, Fills: []byte{128}, Running: []byte{255}, Waiting: []byte{255},
		Ages: []byte{0}, Unread: []uint32{100_000}}
}

// push gives the entry the record of a peer.
func (e *entry) push(r *peerv1.NodeRecord) {
	r.Vm, r.DataCenter, r.Epoch, r.Incarnation, r.Version = "vm-late", "dc", 1, []byte("late"), 1
	r.State = peerv1.NodeState_NODE_STATE_LIVE
	peer := peerv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+e.vm.Peers)
	_, err := peer.Exchange(context.Background(), connect.NewRequest(&peerv1.ExchangeRequest{
		FromVm: "vm-late", DataCenter: "dc", Records: []*peerv1.NodeRecord{r}, PushOnly: true,
	}))
	e.w.g.Expect(err).NotTo(HaveOccurred())
}

// datagram sends one to the entry until it has counted it.
func (e *entry) datagram(d *peerv1.Datagram, metricsPort int, way string) {
	data, err := proto.Marshal(d)
	e.w.g.Expect(err).NotTo(HaveOccurred())
	before := counted(scrape(metricsPort), way)
	host, _, _ := net.SplitHostPort(e.vm.Peers)
	e.w.g.Eventually(func() int {
		c, err := net.Dial("udp4", net.JoinHostPort(host, strconv.Itoa(e.vm.PortLow)))
		e.w.g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, _ = c.Write(data)
		return counted(scrape(metricsPort), way)
	}, eventually).Should(BeNumerically(">", before))
}

// TestLateNewsOfAnEarlierLife changes nothing: a stream of the next life stays where it is,
// and the next request is served at once.
func TestLateNewsOfAnEarlierLife(t *testing.T) {
	for name, tell := range lateNews {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			engine := w.endpointBorn("engine-1", "engine", firstStart)
			vm := w.settings("vm-1")
			vm.PortLow = freeport.Port(t)
			metricsPort := freeport.Port(t)
			e := w.start(vm, "-metrics-port", strconv.Itoa(metricsPort)).waitReady()
			w.restart(engine, "engine", secondStart)
			engine.Events, engine.Every = 300, 5*time.Millisecond
			got := e.begin("r1")
			w.g.Eventually(engine.Running, eventually).Should(Equal(1))
			tell(w, e, engine, metricsPort)
			w.g.Expect(e.stream("r2").body).To(Equal(events("r2", 300)))
			var a answer
			w.g.Eventually(got, eventually).Should(Receive(&a))
			w.g.Expect(a.body, a.err).To(Equal(events("r1", 300)))
			w.g.Expect(engine.Copied()).To(BeEmpty())
			w.g.Expect(w.logs.with("endpoint leaving")).To(BeEmpty())
			w.g.Expect(w.logs.with("request late")).To(BeEmpty())
		})
	}
}

// TestALeaveEndsWithItsLife: an engine that was known to leave by its report or its record
// takes work again once it has started anew. One that tells no start does so when it has
// been away.
func TestALeaveEndsWithItsLife(t *testing.T) {
	leave := map[string]func(*world, *standin.Endpoint){
		"by its report": func(_ *world, e *standin.Endpoint) { e.SetLeaving(30 * time.Second) },
		"by its record": func(w *world, e *standin.Endpoint) { w.announce(e, "engine", true) },
	}
	for name, announce := range leave {
		for _, born := range []uint64{firstStart, 0} {
			t.Run(fmt.Sprintf("%s, start %d", name, born), func(t *testing.T) {
				w := newWorld(t)
				engine := w.endpointBorn("engine-1", "engine", born)
				e := w.start(w.settings("vm-1")).waitReady()
				announce(w, engine)
				w.g.Eventually(func() []string { return w.logs.with("endpoint leaving", "endpoint=engine-1") }, eventually).Should(HaveLen(1))
				w.g.Expect(e.stream("r1").status).To(Equal(http.StatusServiceUnavailable))
				if born == 0 {
					before := len(w.lists())
					w.store.Delete(platform.EndpointPrefix + engine.ID)
					w.g.Eventually(w.lists, eventually).Should(HaveLen(before + 1))
					engine.Restart(0)
					w.announce(engine, "engine", false)
				} else {
					w.restart(engine, "engine", secondStart)
				}
				w.g.Eventually(func() string { return e.stream("r2").body }, eventually).Should(Equal(events("r2", 5)))
			})
		}
	}
}

// TestTheNextLifeIsNotEvacuated: generations stay at an engine whose life before was being
// evacuated a moment ago.
func TestTheNextLifeIsNotEvacuated(t *testing.T) {
	w := newWorld(t)
	engine := w.endpointBorn("engine-1", "engine", firstStart)
	engine.Events, engine.Prefill = 100, 500*time.Millisecond
	e := w.start(w.settings("vm-1")).waitReady()
	w.announce(engine, "engine", true)
	w.g.Eventually(func() []string { return w.logs.with("endpoint leaving", "endpoint=engine-1") }, eventually).Should(HaveLen(1))
	w.restart(engine, "engine", secondStart)
	got := e.begin("r1")
	w.g.Eventually(engine.Reading, eventually).Should(Equal(1))
	before := len(w.lists())
	w.endpointBorn("engine-2", "engine", firstStart)
	w.g.Eventually(w.lists, eventually).Should(HaveLen(before + 1))
	var a answer
	w.g.Eventually(got, eventually).Should(Receive(&a))
	w.g.Expect(a.body, a.err).To(Equal(events("r1", 100)))
	w.g.Expect(engine.Copied()).To(BeEmpty())
}

// TestALeaveOfALifeThatIsNotListedYet: the life that is listed takes no new work, as it is
// over. Nothing is moved off it.
func TestALeaveOfALifeThatIsNotListedYet(t *testing.T) {
	w := newWorld(t)
	engine := w.endpointBorn("engine-1", "engine", firstStart)
	engine.Events, engine.Every = 200, 5*time.Millisecond
	e := w.start(w.settings("vm-1")).waitReady()
	got := e.begin("r1")
	w.g.Eventually(engine.Running, eventually).Should(Equal(1))
	before := len(w.lists())
	w.endpointBorn("engine-2", "engine", firstStart)
	w.g.Eventually(w.lists, eventually).Should(HaveLen(before + 1))
	e.push(&peerv1.NodeRecord{Leaves: []*peerv1.Leave{{Endpoint: "engine-1", Incarnation: secondStart}}})
	w.g.Expect(w.logs.with("endpoint leaving", "endpoint=engine-1")).To(HaveLen(1))
	for i := range 8 {
		id := fmt.Sprintf("later-%d", i)
		w.g.Expect(e.stream(id).body).To(Equal(events(id, 5)))
		w.g.Expect(w.ledger.Of(id)[0].Endpoint).To(Equal("engine-2"))
	}
	var a answer
	w.g.Eventually(got, eventually).Should(Receive(&a))
	w.g.Expect(a.body, a.err).To(Equal(events("r1", 200)))
	w.g.Expect(engine.Copied()).To(BeEmpty())
}

// TestAStartWhileTheStoreIsAway: the list shows the earlier life for as long as the store is
// away. The engine is used all the same.
func TestAStartWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(t)
	engine := w.endpointBorn("engine-1", "engine", firstStart)
	e := w.start(w.settings("vm-1")).waitReady()
	w.store.SetMode(standin.Mode{Down: true})
	w.g.Eventually(func() []string { return w.logs.with("store lost") }, eventually).ShouldNot(BeEmpty())
	engine.Restart(secondStart)
	before := engine.Reports()
	w.g.Eventually(engine.Reports, eventually).Should(BeNumerically(">", before+2))
	w.g.Expect(e.stream("r1").body).To(Equal(events("r1", 5)))
	w.announce(engine, "engine", false)
	w.store.SetMode(standin.Mode{})
	w.awaitLife(engine, secondStart)
	w.g.Expect(e.stream("r2").body).To(Equal(events("r2", 5)))
}
