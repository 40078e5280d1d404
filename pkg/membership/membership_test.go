package membership_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
)

var start = time.Unix(1000, 0)

func newView(vm string, incarnation byte, epoch uint64) *membership.View {
	return membership.New(membership.Config{VM: vm, DataCenter: "hall", PeerAddress: vm, Epoch: epoch, Incarnation: []byte{incarnation},
		Random: func() float64 { return 0.5 }})
}

// exchange reconciles a with b, as in one gossip exchange that a starts.
func exchange(now time.Time, a, b *membership.View) {
	d := a.Digests(now, "")
	b.MergeHeartbeats(now, d)
	response := b.Respond(now, d, "")
	a.Merge(now, response.Records)
	a.MergeHeartbeats(now, response.Digests)
	b.Merge(now, a.Records(response.Wanted))
}

func statusOf(v *membership.View, now time.Time, vm string) string {
	m, ok := v.Find(now, vm)
	if !ok {
		return "unknown"
	}
	return m.Status.String()
}

func TestStatusTransitions(t *testing.T) {
	g := NewWithT(t)
	a, b := newView("a", 1, 1), newView("b", 2, 1)
	now := start
	exchange(now, a, b)
	g.Expect(statusOf(a, now, "b")).To(Equal("alive"))
	now = now.Add(membership.DefaultSuspectAfter)
	g.Expect(statusOf(a, now, "b")).To(Equal("suspect"))
	b.Heartbeat(nil)
	exchange(now, a, b)
	g.Expect(statusOf(a, now, "b")).To(Equal("alive"), "a higher heartbeat suffices, without a new record")
	now = now.Add(membership.DefaultDeadAfter)
	g.Expect(statusOf(a, now, "b")).To(Equal("dead"))
	c := newView("c", 3, 1)
	exchange(now, c, a)
	g.Expect(statusOf(c, now, "b")).To(Equal("unknown"), "a dead node isn't gossiped")
	a.Expire(now.Add(membership.DefaultExpireAfter))
	g.Expect(statusOf(a, now, "b")).To(Equal("unknown"))
}

func TestRestartAfterClockSetBack(t *testing.T) {
	g := NewWithT(t)
	a, old := newView("a", 1, 1), newView("b", 2, 1000)
	exchange(start, a, old)
	restarted := newView("b", 3, 10)
	for range 3 {
		restarted.Heartbeat(nil)
		exchange(start, restarted, a)
	}
	m, _ := a.Find(start, "b")
	g.Expect(m.Record.GetIncarnation()).To(Equal([]byte{3}))
}

func TestUnchangedRecordsAreNotSent(t *testing.T) {
	g := NewWithT(t)
	a, b := newView("a", 1, 1), newView("b", 2, 1)
	exchange(start, a, b)
	a.Heartbeat(nil)
	b.Heartbeat(func(*peerv1.NodeRecord) {})
	response := b.Respond(start, a.Digests(start, ""), "")
	g.Expect(response.Records).To(BeEmpty())
	g.Expect(response.Wanted).To(BeEmpty())
	g.Expect(response.Digests.GetNodes()).To(HaveLen(1))
	b.Heartbeat(func(r *peerv1.NodeRecord) { r.Inherited = [][]byte{{9}} })
	g.Expect(b.Respond(start, a.Digests(start, ""), "").Records).To(HaveLen(1))
}

func TestEachJobIsAssignedToCountEntries(t *testing.T) {
	g := NewWithT(t)
	const nodes, jobs, count = 9, 40, 3
	views := make([]*membership.View, nodes)
	for i := range views {
		views[i] = newView(fmt.Sprint("vm", i), byte(i), 1)
	}
	for range 3 {
		for _, a := range views {
			for _, b := range views {
				if a != b {
					exchange(start, a, b)
				}
			}
		}
	}
	for job := range jobs {
		assigned := 0
		for _, v := range views {
			if v.Assigned(start, fmt.Sprint("job", job), count) {
				assigned++
			}
		}
		g.Expect(assigned).To(Equal(count))
	}
}

// TestOwnSuspensionDoesNotAgePeers guards against suspecting every peer after the local VM was
// suspended, as no heartbeat arrives in that time.
func TestOwnSuspensionDoesNotAgePeers(t *testing.T) {
	g := NewWithT(t)
	a, b := newView("a", 1, 1), newView("b", 2, 1)
	exchange(start, a, b)
	const suspension = time.Hour
	a.ExcludeSuspension(suspension)
	g.Expect(statusOf(a, start.Add(suspension), "b")).To(Equal("alive"))
	g.Expect(statusOf(a, start.Add(suspension+membership.DefaultSuspectAfter), "b")).To(Equal("suspect"))
}
