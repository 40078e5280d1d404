package readership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/readership"
)

const (
	timeout  = 500 * time.Millisecond
	stagger  = 25 * time.Millisecond
	interval = timeout / 3
	tick     = 5 * time.Millisecond
	readers  = 2
	// maxUnread is the bound on the time for which nobody reads.
	maxUnread = time.Second
	// contact is how long after its start an entry is in touch. Bounds of time hold for such entries only.
	contact = 3 * time.Second
)

// entry is one of a simulated data centre, ranked by its index.
type entry struct {
	set       *readership.Set
	reads     bool
	checkAt   time.Time
	announced time.Time
	// downUntil is until when it doesn't run.
	downUntil time.Time
}

func vm(i int) string { return fmt.Sprintf("vm-%03d", i) }

func start(i int, now time.Time, delay time.Duration) *entry {
	return &entry{checkAt: now.Add(delay), set: readership.New(readership.Config{
		Readers: readers, Timeout: timeout, Stagger: stagger, Above: func(other string) bool { return other < vm(i) },
	})}
}

// TestSomebodyReads plays data centres whose entries, readers first, are killed, paused and stopped, once
// or in series, up to all but one of them, while announcements are lost. It guards against times in which
// nobody reads although an entry runs that is in touch.
func TestSomebodyReads(t *testing.T) {
	for _, size := range []int{2, 3, 5, 28, 68} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d entries, seed %d", size, seed), func(t *testing.T) {
				g := NewWithT(t)
				r := rand.New(rand.NewPCG(seed, uint64(size)))
				now := time.Now()
				all := make([]*entry, size)
				for i := range all {
					all[i] = start(i, now, time.Duration(r.IntN(300))*time.Millisecond)
				}
				begun, lastRead, most := now, now, time.Duration(0)
				settled := 0
				for ; now.Sub(begun) < time.Minute; now = now.Add(tick) {
					if now.Sub(begun) > 5*time.Second && now.Sub(begun) < 50*time.Second && r.IntN(300) == 0 {
						injectFault(r, now, all)
					}
					for i, e := range all {
						e.step(r, now, i, all)
					}
					count, inTouch := 0, false
					for _, e := range all {
						inTouch = inTouch || now.Sub(e.downUntil) >= contact
						if e.reads && !now.Before(e.downUntil) {
							count++
						}
					}
					if count > 0 || !inTouch {
						lastRead = now
					}
					if now.Sub(begun) > 5*time.Second {
						most = max(most, now.Sub(lastRead))
					}
					if now.Sub(begun) > 58*time.Second {
						settled = max(settled, count)
					}
				}
				t.Logf("nobody read for %v at most", most)
				g.Expect(most).To(BeNumerically("<=", maxUnread))
				g.Expect(settled).To(And(BeNumerically(">", 0), BeNumerically("<=", readers+2)), "others stop again")
			})
		}
	}
}

// injectFault keeps entries from running for a time: those that read first, and at most all that run but one.
func injectFault(r *rand.Rand, now time.Time, all []*entry) {
	var reading, others []int
	for i, e := range all {
		switch {
		case now.Before(e.downUntil):
		case e.reads:
			reading = append(reading, i)
		default:
			others = append(others, i)
		}
	}
	r.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	running := append(reading, others...)
	if len(others) == 0 {
		return
	}
	hit := min(len(reading)+r.IntN(len(running)), len(running)-1)
	kill := r.IntN(2) == 0
	for _, i := range running[:hit] {
		down := time.Duration(100+r.IntN(4000)) * time.Millisecond
		if kill {
			*all[i] = *start(i, now.Add(down), 2*time.Second)
		}
		all[i].downUntil = now.Add(down)
	}
}

func (e *entry) step(r *rand.Rand, now time.Time, i int, all []*entry) {
	if now.Before(e.downUntil) {
		return
	}
	select {
	case <-e.set.Changed():
		e.checkAt = now
	default:
	}
	if !now.Before(e.checkAt) {
		// All of higher rank look alive for some seconds after they have ended.
		role := e.set.Decide(now, e.reads, i)
		e.reads = role.Reads
		e.checkAt = now.Add(max(min(role.Recheck, time.Second), tick))
		if role.Reads {
			e.checkAt = now.Add(700 * time.Millisecond)
		}
	}
	if e.reads && now.Sub(e.announced) >= interval {
		e.announced = now
		for j, other := range all {
			if j != i && !now.Before(other.downUntil) && r.IntN(100) > 0 {
				other.set.Observe(now, vm(i), readership.Reading)
			}
		}
	}
}

func TestAReaderThatStopsIsReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	e := start(2, now, 0)
	g.Expect(e.set.Decide(now, false, 2).Reads).To(BeFalse())
	for range 20 {
		now = now.Add(interval)
		e.set.Observe(now, vm(0), readership.Reading)
		e.set.Observe(now, vm(1), readership.Reading)
		g.Expect(e.set.Decide(now, false, 2).Reads).To(BeFalse())
	}
	e.set.Observe(now, vm(0), readership.Stopped)
	g.Expect(e.set.Changed()).To(Receive())
	g.Expect(e.set.Decide(now, false, 2).Reads).To(BeFalse())
	now = now.Add(2 * stagger)
	g.Expect(e.set.Decide(now, false, 2).Reads).To(BeTrue())
	e.set.Observe(now, vm(0), readership.Reading)
	g.Expect(e.set.Decide(now, true, 2).Reads).To(BeFalse())
}

func TestAnnouncementsOfManyNamesAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	e := start(500, now, 0)
	for i := range 100_000 {
		e.set.Observe(now, vm(i%1000), readership.Reading)
	}
	g.Expect(e.set.Decide(now.Add(timeout), false, 5).Reads).To(BeFalse(), "it has just started")
}

// TestAStoreThatIsAwayIsAskedByFew guards against a fleet whose entries all call a store that answers
// nobody.
func TestAStoreThatIsAwayIsAskedByFew(t *testing.T) {
	g := NewWithT(t)
	const size = 68
	now := time.Now()
	all := make([]*entry, size)
	for i := range all {
		all[i] = start(i, now, 0)
	}
	begun := now
	for ; now.Sub(begun) < 20*time.Second; now = now.Add(tick) {
		asking := 0
		for i, e := range all {
			if !now.Before(e.checkAt) {
				role := e.set.Decide(now, e.reads, i)
				e.reads = role.Reads
				e.checkAt = now.Add(max(min(role.Recheck, time.Second), tick))
			}
			if e.reads {
				asking++
			}
			if e.reads && now.Sub(e.announced) >= interval {
				e.announced = now
				for j, other := range all {
					if j != i {
						other.set.Observe(now, vm(i), readership.Asking)
					}
				}
			}
		}
		if now.Sub(begun) > 4*time.Second {
			g.Expect(asking).To(Equal(2 * readers))
		}
	}
}
