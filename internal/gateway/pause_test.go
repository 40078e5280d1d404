package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// arrivedFrom counts the requests with some prefix of ids that reached an endpoint in a time.
func arrivedFrom(e *standin.Endpoint, prefix string, from, to time.Time) (n int) {
	for _, a := range e.Arrivals() {
		if strings.HasPrefix(a.RequestID, prefix) && a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}

// TestAnEndpointThatWantsAPauseGetsNothing: an endpoint turned a request away and named a time
// to come back, 3 s, and got up to five more from the same entry in that time; callers whose
// requests went there first were refused or late, while others had room.
//
// The cause: the time to come back wasn't read from refusals. What kept requests away was the
// breaker alone, which opens after three failures in a row, for 0.5 to 2 s. The evidence: the
// arrivals at the endpoint follow the breaker's probes (9, 1, 2, 0, 2, 1, 2, 0, 2 a second while
// it refused, then 2, 5, 3), a pause of 3 s outlasts its longest cool-down, and here, where the
// endpoint refuses once, nothing kept the next ones away: 66 in 3 s.
func TestAnEndpointThatWantsAPauseGetsNothing(t *testing.T) {
	w := newWorld(t)
	weary, other := w.endpoint("desk-weary", "desk"), w.endpoint("desk-other", "desk")
	one := w.start(w.settings("vm-1"))
	two := w.start(w.settings("vm-2", one.vm.Peers))
	one.waitReady()
	two.waitReady()
	const lasts = 3 * time.Second
	weary.SetAsks(http.Header{platform.HeaderRetryAfter: {strconv.Itoa(int(lasts.Seconds()))}})
	weary.SetRefusing(true)
	for i := 0; len(weary.Arrivals()) == 0; i++ {
		one.call(fmt.Sprint("asked-", i), http.MethodPost, "/plain/x", nil)
	}
	first := w.firstArrival(weary)
	weary.SetRefusing(false)
	weary.SetAsks(nil)
	for time.Since(first) < lasts-100*time.Millisecond {
		send([]*entry{one, two}, fmt.Sprint("pause-", time.Now().UnixNano(), "-"), 10, pace)
	}
	var byTwo int
	for _, a := range weary.Arrivals()[1:] {
		turn, err := strconv.Atoi(a.RequestID[strings.LastIndex(a.RequestID, "-")+1:])
		w.g.Expect(err).NotTo(HaveOccurred())
		byTwo += turn % 2
	}
	arrived := arrivedFrom(weary, "pause-", first.Add(500*time.Millisecond), first.Add(lasts))
	w.g.Expect(arrivedSince(other, first)).To(BeNumerically(">", 50))
	w.g.Expect(byTwo).To(BeNumerically(">", 20), "the entry that wasn't asked goes on")
	w.g.Expect(len(weary.Arrivals())-1-byTwo).To(BeZero(), "of %d in the pause", arrived)
	w.g.Eventually(func() int {
		since := time.Now()
		send([]*entry{one}, fmt.Sprint("again-", since.UnixNano(), "-"), 20, pace)
		return arrivedSince(weary, since)
	}, eventually).Should(BeNumerically(">", 3), "and is used again")
}

// TestAMovedGenerationWaitsForAPause: the engine that a generation is being moved to turns
// another request away. The generation goes on there when the pause is over, since its memory
// is nowhere else by then, and its caller gets it whole.
func TestAMovedGenerationWaitsForAPause(t *testing.T) {
	w, _, target, got := moving(t, 0, 0, time.Second)
	const lasts = 2 * time.Second
	target.SetAsks(http.Header{platform.HeaderRetryAfter: {strconv.Itoa(int(lasts.Seconds()))}})
	target.SetRefusing(true)
	w.g.Expect(w.entries[0].stream("r2").status).To(Equal(http.StatusServiceUnavailable))
	target.SetRefusing(false)
	target.SetAsks(nil)
	var a answer
	w.g.Eventually(got, eventually).Should(Receive(&a))
	w.g.Expect(a.body, a.err).To(Equal(events("r1", movedEvents)))
	arrivals := target.Arrivals()
	w.g.Expect(arrivals).To(HaveLen(2))
	w.g.Expect(arrivals[1].RequestID).To(Equal("r1"))
	w.g.Expect(arrivals[1].At.Sub(arrivals[0].At)).To(BeNumerically(">=", lasts))
}

// TestNothingReachesAnEngineThatWantsAPause: no report is read there either, and who finds no
// other engine is refused at once with the time that is left.
func TestNothingReachesAnEngineThatWantsAPause(t *testing.T) {
	w := newWorld(t)
	weary := w.endpoint("engine-weary", "engine")
	one := w.start(w.settings("vm-1")).waitReady()
	w.g.Eventually(weary.Reports, eventually).Should(BeNumerically(">", 2))
	weary.SetAsks(http.Header{platform.HeaderRetryAfter: {"30"}})
	weary.SetRefusing(true)
	one.stream("asked")
	arrived := len(weary.Arrivals())
	// One may be under way.
	time.Sleep(200 * time.Millisecond)
	reports := weary.Reports()
	began := time.Now()
	a := one.stream("refused")
	w.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(after).To(BeNumerically(">", 20), "the time that is left")
	w.g.Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second), "its deadline is 20 s")
	time.Sleep(500 * time.Millisecond)
	w.g.Expect(weary.Reports()).To(Equal(reports))
	w.g.Expect(weary.Arrivals()).To(HaveLen(arrived))
}
