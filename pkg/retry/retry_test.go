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

// TestDecide checks the rules of Decide for random attempts.
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
			t.Fatal("a non-idempotent request that may have run is run again")
		case d.Step == retry.Rerun && a.Released > 0 && !a.Resumable:
			t.Fatal("a request that isn't resumable is run again after a token was released")
		case d.Step == retry.Rerun && a.Failure == retry.CallerGone:
			t.Fatal("a request is run again after its caller disconnected")
		case d.Step != retry.GiveUp && a.TimeLeft <= 0:
			t.Fatal("a step other than giving up after the timeout")
		case d.Step == retry.Rerun && !a.BudgetAvailable && a.Failure != retry.NotSent:
			t.Fatal("a rerun without budget")
		case d.Step == retry.Rerun && a.MaxSentAttempts > 0 && a.SentAttempts >= a.MaxSentAttempts:
			t.Fatal("a rerun after the maximum number of sent attempts")
		case d.Step != retry.GiveUp:
			return
		case d.Outcome == outcome.NotRun && (!provenNotRun || a.EarlierMayHaveRun || a.Released > 0):
			t.Fatal("outcome not_run of a request that may have run")
		case a.Released > 0 && d.Outcome != outcome.Incomplete:
			t.Fatalf("outcome %v after tokens were released", d.Outcome)
		}
	})
}

func TestBudgetLimitsRetriesToShareOfFirstAttempts(t *testing.T) {
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

func TestConnectionClosesBreakerOnlyAfterConnectionFailure(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var failing retry.Breaker
	for range 3 {
		failing.RecordFailure(now)
	}
	failing.RecordConnected()
	g.Expect(failing.Opened()).To(BeTrue())
	g.Expect(failing.Unreachable()).To(BeFalse())
	var disconnected retry.Breaker
	disconnected.Trip(now)
	g.Expect(disconnected.Unreachable()).To(BeTrue())
	disconnected.RecordConnected()
	g.Expect(disconnected.Opened()).To(BeFalse())
	disconnected.Trip(now)
	disconnected.RecordFailure(now)
	g.Expect(disconnected.Unreachable()).To(BeFalse(), "a probe was connected and failed")
}

// A request must not run again after its caller has disconnected. The random attempts
// of TestDecide rarely meet all other conditions of a rerun, so that they can miss this.
func TestNoRerunAfterCallerDisconnected(t *testing.T) {
	g := NewWithT(t)
	a := retry.Attempt{Failure: retry.LinkLost, Idempotent: true, Resumable: true, Released: 2, Attempts: 1, BudgetAvailable: true, TimeLeft: time.Second}
	g.Expect(retry.Decide(a).Step).To(Equal(retry.Rerun))
	a.Failure = retry.CallerGone
	g.Expect(retry.Decide(a)).To(Equal(retry.Decision{Step: retry.GiveUp, Outcome: outcome.Incomplete}))
}
