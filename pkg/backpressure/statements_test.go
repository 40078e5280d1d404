package backpressure_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/backpressure"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

var (
	begin = time.Unix(1000, 0)
	life  = fleet.Instance{Endpoint: "a", Incarnation: 7}
)

func limited(n float64) backpressure.Limit {
	return backpressure.Limit{Kind: backpressure.Limited, PerSecond: n}
}

// TestALimitHoldsUntilAnAnswerToALaterRequestNamesNone: an answer to a request that was sent
// before may have been written before, too.
func TestALimitHoldsUntilAnAnswerToALaterRequestNamesNone(t *testing.T) {
	g := NewWithT(t)
	s := backpressure.New()
	hear := func(l backpressure.Limit, served bool, sent, received time.Duration) bool {
		st, holds := backpressure.StatementOf(life, l, served, begin.Add(sent), begin.Add(received))
		if !holds {
			return false
		}
		_, changed := s.Hear(begin.Add(received), st, backpressure.FromAnswer)
		return changed
	}
	g.Expect(hear(backpressure.Limit{}, true, 0, time.Second)).To(BeFalse(), "nothing to take back")
	g.Expect(hear(limited(4.1), true, time.Second, 2*time.Second)).To(BeTrue())
	g.Expect(hear(limited(4.1), true, time.Second, 3*time.Second)).To(BeFalse(), "no news")
	g.Expect(hear(backpressure.Limit{}, true, 2500*time.Millisecond, 4*time.Second)).To(BeFalse(), "sent before it was named last")
	g.Expect(hear(backpressure.Limit{}, false, 3500*time.Millisecond, 4*time.Second)).To(BeFalse(), "an error")
	g.Expect(hear(backpressure.Limit{Kind: backpressure.Unreadable}, true, 3500*time.Millisecond, 4*time.Second)).To(BeFalse())
	g.Expect(hear(limited(2), false, time.Second, 4*time.Second)).To(BeTrue(), "any answer may name one")
	g.Expect(hear(backpressure.Limit{}, true, 5*time.Second, 6*time.Second)).To(BeTrue())
}

// TestAChangeTellsWhatWasSentMeanwhile, by which a log shows whether a limit was kept.
func TestAChangeTellsWhatWasSentMeanwhile(t *testing.T) {
	g := NewWithT(t)
	s := backpressure.New()
	e := fleet.Endpoint{ID: life.Endpoint, Incarnation: life.Incarnation}
	s.Sent(begin, e)
	first, _ := s.Hear(begin, backpressure.Statement{Life: life, Limit: limited(4), At: begin}, backpressure.FromAnswer)
	g.Expect(first).To(Equal(backpressure.Change{Life: life, Now: limited(4)}))
	s.Sent(begin, e)
	s.Sent(begin, e)
	later := begin.Add(3 * time.Second)
	last, _ := s.Hear(later, backpressure.Statement{Life: life, At: later}, backpressure.FromAnswer)
	g.Expect(last).To(Equal(backpressure.Change{Life: life, Before: limited(4), For: 3 * time.Second, Sent: 2}))
}

// TestALimitOutlastsALapsedRecord, and is forgotten when its endpoint stays away.
func TestALimitOutlastsALapsedRecord(t *testing.T) {
	g := NewWithT(t)
	s := backpressure.New()
	s.Hear(begin, backpressure.Statement{Life: life, Limit: limited(4), At: begin}, backpressure.FromAnswer)
	none := func(fleet.Instance) bool { return false }
	for _, after := range []time.Duration{0, time.Minute, 119 * time.Second} {
		s.Listed(begin.Add(after), none)
		s.Forget(begin.Add(after))
		g.Expect(s.Idle()).To(BeFalse(), "after %v", after)
	}
	g.Expect(s.ToTell()).To(HaveLen(1))
	s.Forget(begin.Add(2 * time.Minute))
	g.Expect(s.Idle()).To(BeTrue())
}

// TestWhoKnowsBetterTellsIt: an entry that hears something older than it knows tells what it
// knows, also if another one had told it that.
func TestWhoKnowsBetterTellsIt(t *testing.T) {
	g := NewWithT(t)
	s := backpressure.New()
	hear := func(l backpressure.Limit, at time.Duration, from backpressure.Source) {
		s.Hear(begin, backpressure.Statement{Life: life, Limit: l, At: begin.Add(at)}, from)
	}
	hear(limited(4), time.Second, backpressure.FromNear)
	g.Expect(s.ToTell()).To(BeEmpty(), "that entry tells all others here")
	hear(limited(4), 0, backpressure.FromNear)
	g.Expect(s.ToTell()).To(BeEmpty(), "the same")
	hear(backpressure.Limit{}, 0, backpressure.FromNear)
	g.Expect(s.ToTell()).To(Equal([]backpressure.Statement{{Life: life, Limit: limited(4), At: begin.Add(time.Second)}}))
	hear(limited(4), 2*time.Second, backpressure.FromAnswer)
	version := s.Version()
	hear(backpressure.Limit{}, time.Second+time.Millisecond, backpressure.FromNear)
	g.Expect(s.Version()).NotTo(Equal(version), "told anew")
	g.Expect(s.ToTell()[0].At).To(Equal(begin.Add(2 * time.Second)))
	hear(backpressure.Limit{}, 3*time.Second, backpressure.FromNear)
	g.Expect(s.ToTell()).To(BeEmpty())
}
