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
			Bound:             rapid.Bool().Draw(t, "bound"),
			Released:          rapid.IntRange(0, 2).Draw(t, "released"),
			Resumes:           rapid.IntRange(0, 5).Draw(t, "resumes"),
			Runs:              rapid.IntRange(1, 4).Draw(t, "runs"),
			Sent:              rapid.IntRange(0, 4).Draw(t, "sent"),
			MaxSent:           rapid.IntRange(0, 3).Draw(t, "max_sent"),
			EarlierMayHaveRun: rapid.Bool().Draw(t, "earlier"),
			BudgetLeft:        rapid.Bool().Draw(t, "budget"),
			TimeLeft:          time.Duration(rapid.IntRange(0, 1).Draw(t, "time")),
		}
		d := retry.Decide(a)
		proven := a.Failure == retry.NotSent || a.Failure == retry.RefusedBeforeExecution
		switch {
		case d.Step == retry.Again && !a.Idempotent && !proven:
			t.Fatal("a non-idempotent request is run again without a proof")
		case d.Step == retry.Again && a.Released > 0 && !a.Resumable:
			t.Fatal("another run after the caller received a token")
		case d.Step == retry.Again && a.Failure == retry.CallerGone:
			t.Fatal("another run for nobody")
		case d.Step != retry.GiveUp && a.TimeLeft <= 0:
			t.Fatal("no time is left")
		case d.Step == retry.Again && !a.BudgetLeft && a.Failure != retry.NotSent:
			t.Fatal("the budget is spent")
		case d.Step == retry.Again && a.MaxSent > 0 && a.Sent >= a.MaxSent:
			t.Fatal("sent to more endpoints than allowed")
		case d.Step != retry.GiveUp:
			return
		case d.Outcome == outcome.NotRun && (!proven || a.EarlierMayHaveRun || a.Released > 0):
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
	const first = 1000
	for range first {
		b.First()
		for b.Spend() {
			retries++
		}
	}
	g.Expect(retries).To(BeNumerically("<=", first*retry.DefaultShare+retry.DefaultBurst))
	g.Expect(retries).To(BeNumerically(">=", first*retry.DefaultShare-1))
}

func TestBreaker(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var b retry.Breaker
	for range 3 {
		g.Expect(b.Allow(now)).To(BeTrue())
		b.Failure(now)
	}
	g.Expect(b.State(now)).To(Equal(retry.Open))
	now = now.Add(time.Second)
	g.Expect(b.State(now)).To(Equal(retry.HalfOpen))
	g.Expect(b.Allow(now)).To(BeTrue())
	b.Sent(now)
	g.Expect(b.Allow(now)).To(BeFalse(), "a second probe")
	b.Failure(now)
	g.Expect(b.State(now)).To(Equal(retry.Open))
	now = now.Add(time.Minute)
	b.Sent(now)
	b.Success()
	g.Expect(b.State(now)).To(Equal(retry.Closed))
}

// TestNothingIsRunForNobody: the random attempts of TestDecide seldom have all that a
// second run needs, so this one has it, but for a caller.
func TestNothingIsRunForNobody(t *testing.T) {
	g := NewWithT(t)
	a := retry.Attempt{Failure: retry.LinkLost, Idempotent: true, Resumable: true, Released: 2, Runs: 1, BudgetLeft: true, TimeLeft: time.Second}
	g.Expect(retry.Decide(a).Step).To(Equal(retry.Again))
	a.Failure = retry.CallerGone
	g.Expect(retry.Decide(a)).To(Equal(retry.Decision{Step: retry.GiveUp, Outcome: outcome.Incomplete}))
}
