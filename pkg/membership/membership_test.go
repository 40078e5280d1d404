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

func view(vm string, incarnation byte, epoch uint64) *membership.View {
	return membership.New(membership.Config{VM: vm, DataCenter: "hall", PeerAddress: vm, Epoch: epoch, Incarnation: []byte{incarnation},
		Chance: func() float64 { return 0.5 }})
}

// meet is one exchange.
func meet(now time.Time, a, b *membership.View) {
	d := a.Digests(now, "")
	b.Heard(now, d)
	answer := b.Answer(now, d, "")
	a.Merge(now, answer.Records)
	a.Heard(now, answer.Digests)
	b.Merge(now, a.Records(answer.Wanted))
}

func status(v *membership.View, now time.Time, vm string) string {
	m, ok := v.Find(now, vm)
	if !ok {
		return "unknown"
	}
	return m.Status.String()
}

func TestStatuses(t *testing.T) {
	g := NewWithT(t)
	a, b := view("a", 1, 1), view("b", 2, 1)
	now := start
	meet(now, a, b)
	g.Expect(status(a, now, "b")).To(Equal("alive"))
	now = now.Add(membership.DefaultSuspectAfter)
	g.Expect(status(a, now, "b")).To(Equal("suspect"))
	b.Beat(nil)
	meet(now, a, b)
	g.Expect(status(a, now, "b")).To(Equal("alive"), "a heartbeat is enough")
	now = now.Add(membership.DefaultDeadAfter)
	g.Expect(status(a, now, "b")).To(Equal("dead"))
	c := view("c", 3, 1)
	meet(now, c, a)
	g.Expect(status(c, now, "b")).To(Equal("unknown"), "a dead node isn't passed on")
	a.Forget(now.Add(membership.DefaultForgetAfter))
	g.Expect(status(a, now, "b")).To(Equal("unknown"))
}

func TestRestartWithAClockSetBack(t *testing.T) {
	g := NewWithT(t)
	a, old := view("a", 1, 1), view("b", 2, 1000)
	meet(start, a, old)
	restarted := view("b", 3, 10)
	for range 3 {
		restarted.Beat(nil)
		meet(start, restarted, a)
	}
	m, _ := a.Find(start, "b")
	g.Expect(m.Record.GetIncarnation()).To(Equal([]byte{3}))
}

func TestUnchangedRecordsAreNotSent(t *testing.T) {
	g := NewWithT(t)
	a, b := view("a", 1, 1), view("b", 2, 1)
	meet(start, a, b)
	a.Beat(nil)
	b.Beat(func(*peerv1.NodeRecord) {})
	answer := b.Answer(start, a.Digests(start, ""), "")
	g.Expect(answer.Records).To(BeEmpty())
	g.Expect(answer.Wanted).To(BeEmpty())
	g.Expect(answer.Digests.GetNodes()).To(HaveLen(1))
	b.Beat(func(r *peerv1.NodeRecord) { r.Inherited = [][]byte{{9}} })
	g.Expect(b.Answer(start, a.Digests(start, ""), "").Records).To(HaveLen(1))
}

func TestJobsAreSharedOut(t *testing.T) {
	g := NewWithT(t)
	const nodes, jobs, count = 9, 40, 3
	views := make([]*membership.View, nodes)
	for i := range views {
		views[i] = view(fmt.Sprint("vm", i), byte(i), 1)
	}
	for range 3 {
		for _, a := range views {
			for _, b := range views {
				if a != b {
					meet(start, a, b)
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

// TestAnOwnSuspensionIsNoSilenceOfOthers: what was heard of them is not older than before.
func TestAnOwnSuspensionIsNoSilenceOfOthers(t *testing.T) {
	g := NewWithT(t)
	a, b := view("a", 1, 1), view("b", 2, 1)
	meet(start, a, b)
	const missed = time.Hour
	a.Missed(missed)
	g.Expect(status(a, start.Add(missed), "b")).To(Equal("alive"))
	g.Expect(status(a, start.Add(missed+membership.DefaultSuspectAfter), "b")).To(Equal("suspect"))
}
