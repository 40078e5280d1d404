package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bridgehoist/bridgehoist/internal/fixedseed"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

func init() { fixedseed.Set() }

// TestDecide holds the rules over all attempts that can be.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := retry.Attempt{
			Failure:           retry.Failure(rapid.IntRange(0, int(retry.CallerGone)).Draw(t, "failure")),
			Idempotent:        rapid.Bool().Draw(t, "idempotent"),
			Resumable:         rapid.Bool().Draw(t, "resumable"),
			GenerationKnown:   rapid.Bool().Draw(t, "bound"),
			Released:          rapid.IntRange(0, 2).Draw(t, "released"),
			Resumes:           rapid.IntRange(0, 5).Draw(t, "resumes"),
			Attempts:          rapid.IntRange(1, 4).Draw(t, "runs"),
			SentAttempts:      rapid.IntRange(0, 4).Draw(t, "sent"),
			MaxSentAttempts:   rapid.IntRange(0, 3).Draw(t, "max_sent"),
			EarlierMayHaveRun: rapid.Bool().Draw(t, "earlier"),
			BudgetAvailable:   rapid.Bool().Draw(t, "budget"),
			TimeLeft:          time.Duration(rapid.IntRange(0, 1).Draw(t, "time")),
		}
		d := retry.Decide(a)
		provenNotRun := a.Failure == retry.NotSent || a.Failure == retry.RefusedBeforeExecution
		switch {
		case d.Step == retry.Rerun && !a.Idempotent && !provenNotRun:
			t.Fatal("a non-idempotent request is run again without a proof")
		case d.Step == retry.Rerun && a.Released > 0 && !a.Resumable:
			t.Fatal("another run after the caller received a token")
		case d.Step == retry.Rerun && a.Failure == retry.CallerGone:
			t.Fatal("another run for nobody")
		case d.Step != retry.GiveUp && a.TimeLeft <= 0:
			t.Fatal("no time is left")
		case d.Step == retry.Rerun && !a.BudgetAvailable && a.Failure != retry.NotSent:
			t.Fatal("the budget is spent")
		case d.Step == retry.Rerun && a.MaxSentAttempts > 0 && a.SentAttempts >= a.MaxSentAttempts:
			t.Fatal("sent to more endpoints than allowed")
		case d.Step != retry.GiveUp:
			return
		case d.Outcome == outcome.NotRun && (!provenNotRun || a.EarlierMayHaveRun || a.Released > 0):
			t.Fatal("not run without a proof")
		case a.Released > 0 && d.Outcome != outcome.Incomplete:
			t.Fatalf("%v after tokens were released", d.Outcome)
		}
	})
}

func TestBudgetIsAShareOfFirstAttempts(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudget()
	retries := 0
	const firstAttempts = 1000
	for range firstAttempts {
		b.RecordFirstAttempt()
		for b.Spend() {
			retries++
		}
	}
	g.Expect(retries).To(BeNumerically("<=", firstAttempts*retry.DefaultRatio+retry.DefaultBurst))
	g.Expect(retries).To(BeNumerically(">=", firstAttempts*retry.DefaultRatio-1))
}

func TestBreaker(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var b retry.Breaker
	for range 3 {
		g.Expect(b.Allow(now)).To(BeTrue())
		b.RecordFailure(now)
	}
	g.Expect(b.State(now)).To(Equal(retry.Open))
	now = now.Add(time.Second)
	g.Expect(b.State(now)).To(Equal(retry.HalfOpen))
	g.Expect(b.Allow(now)).To(BeTrue())
	b.RecordSent(now)
	g.Expect(b.Allow(now)).To(BeFalse(), "a second probe")
	b.RecordFailure(now)
	g.Expect(b.State(now)).To(Equal(retry.Open))
	now = now.Add(time.Minute)
	b.RecordSent(now)
	b.RecordSuccess()
	g.Expect(b.State(now)).To(Equal(retry.Closed))
}

// TestNothingIsRunForNobody: the random attempts of TestDecide seldom have all that a
// second run needs, so this one has it, but for a caller.
func TestNoRerunAfterCallerDisconnected(t *testing.T) {
	g := NewWithT(t)
	a := retry.Attempt{Failure: retry.LinkLost, Idempotent: true, Resumable: true, Released: 2, Attempts: 1, BudgetAvailable: true, TimeLeft: time.Second}
	g.Expect(retry.Decide(a).Step).To(Equal(retry.Rerun))
	a.Failure = retry.CallerGone
	g.Expect(retry.Decide(a)).To(Equal(retry.Decision{Step: retry.GiveUp, Outcome: outcome.Incomplete}))
}
