package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestGenerationsStayInTheirRegion: what runs at an engine that leaves moves within its region,
// which every request that runs there may go to; also where another region has more room.
func TestGenerationsStayInTheirRegion(t *testing.T) {
	w := newWorld(t)
	source := w.endpointBorn("engine-source", "engine", firstStart)
	source.Events, source.Every = movedEvents, 5*time.Millisecond
	vm := w.settings("vm-1")
	vm.Regions = map[string]string{"dc": "north", "near": "north", "far": "south"}
	e := w.start(vm).waitReady()
	const streams = 6
	var got []<-chan answer
	for i := range streams {
		got = append(got, e.begin(fmt.Sprint("r", i)))
	}
	w.g.Eventually(source.Running, eventually).Should(Equal(streams))
	near, far := w.endpointBorn("engine-near", "engine", firstStart), w.endpointBorn("engine-far", "engine", firstStart)
	near.Events, near.Every = movedEvents, time.Millisecond
	far.Events, far.Every = movedEvents, time.Millisecond
	w.announceIn(near, "engine", "near", false)
	w.announceIn(far, "engine", "far", false)
	w.awaitAnnounced()
	w.announce(source, "engine", true)
	for i, one := range got {
		var a answer
		w.g.Eventually(one, eventually).Should(Receive(&a))
		w.g.Expect(a.status, a.err).To(Equal(http.StatusOK))
		w.g.Expect(a.body).To(Equal(events(fmt.Sprint("r", i), movedEvents)))
	}
	w.g.Expect(far.Arrivals()).To(BeEmpty())
	w.g.Expect(near.Arrivals()).To(HaveLen(streams))
}
