package clock_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/clock"
)

// fakeSuspension replaces the source of suspensions and returns a function that simulates one.
func fakeSuspension(t *testing.T) (suspend func(time.Duration)) {
	var total atomic.Int64
	t.Cleanup(clock.SetSource(func() (time.Duration, error) { return time.Duration(total.Load()), nil }))
	if err := clock.Sample(); err != nil {
		t.Fatal(err)
	}
	return func(d time.Duration) {
		total.Add(int64(d))
		if err := clock.Sample(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestAgesCountSuspendedTime checks that a suspension adds to the age of earlier times.
// Suspensions too short to be distinguished from sampling errors add up until they count.
func TestAgesCountSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspend := fakeSuspension(t)
		stamp := clock.Now()
		deadline := stamp.Add(time.Minute)
		time.Sleep(time.Second)
		suspend(20 * time.Second)
		g.Expect(clock.Since(stamp)).To(Equal(21 * time.Second))
		g.Expect(clock.Until(deadline)).To(Equal(39 * time.Second))
		suspend(30 * time.Millisecond)
		g.Expect(clock.Since(stamp)).To(Equal(21 * time.Second))
		suspend(30 * time.Millisecond)
		g.Expect(clock.Since(stamp)).To(Equal(21*time.Second + 60*time.Millisecond))
	})
}

// TestDeadlinesCountSuspendedTime checks that a context whose deadline passed during a
// suspension ends at once, that another one ends when this clock reaches its deadline, and that
// Expired reports both.
func TestDeadlinesCountSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspend := fakeSuspension(t)
		startedAt := time.Now()
		expired, cancelExpired := clock.WithDeadline(t.Context(), clock.Now().Add(10*time.Second))
		defer cancelExpired()
		remaining, cancelRemaining := clock.WithDeadline(t.Context(), clock.Now().Add(30*time.Second))
		defer cancelRemaining()
		suspend(20 * time.Second)
		synctest.Wait()
		g.Expect(expired.Err()).To(HaveOccurred())
		g.Expect(clock.Expired(expired)).To(BeTrue())
		g.Expect(remaining.Err()).NotTo(HaveOccurred())
		<-remaining.Done()
		g.Expect(clock.Expired(remaining)).To(BeTrue())
		g.Expect(time.Since(startedAt)).To(Equal(10 * time.Second))
	})
}

// TestDeadlinesWithoutSuspension checks that contexts end as those of package context do.
func TestDeadlinesWithoutSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := clock.WithDeadline(t.Context(), clock.Now().Add(time.Second))
		defer cancel()
		<-ctx.Done()
		g.Expect(clock.Expired(ctx)).To(BeTrue())
		cancelled, cancelNow := clock.WithDeadline(t.Context(), clock.Now().Add(time.Second))
		cancelNow()
		g.Expect(cancelled.Err()).To(MatchError(context.Canceled))
		g.Expect(clock.Expired(cancelled)).To(BeFalse())
	})
}

func TestWaitsCountSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspend := fakeSuspension(t)
		startedAt := time.Now()
		done := make(chan bool)
		go func() { done <- clock.Wait(t.Context(), time.Minute) }()
		synctest.Wait()
		suspend(40 * time.Second)
		g.Expect(<-done).To(BeTrue())
		g.Expect(time.Since(startedAt)).To(Equal(20 * time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		g.Expect(clock.Wait(ctx, time.Hour)).To(BeFalse())
	})
}

// TestListenersAreNotified checks that listeners are called once per suspension until they are
// stopped.
func TestListenersAreNotified(t *testing.T) {
	g := NewWithT(t)
	suspend := fakeSuspension(t)
	var notified []time.Duration
	stop := clock.OnSuspended(func(suspended time.Duration) { notified = append(notified, suspended) })
	suspend(time.Second)
	suspend(2 * time.Second)
	stop()
	suspend(3 * time.Second)
	g.Expect(notified).To(Equal([]time.Duration{time.Second, 2 * time.Second}))
}

// TestWithoutBootClock checks that the time follows the monotonic clock if there is no boot
// clock.
func TestWithoutBootClock(t *testing.T) {
	g := NewWithT(t)
	failed := errors.New("no such clock")
	t.Cleanup(clock.SetSource(func() (time.Duration, error) { return 0, failed }))
	before := clock.TotalSuspended()
	g.Expect(clock.Run(t.Context())).To(MatchError(failed))
	g.Expect(clock.TotalSuspended()).To(Equal(before))
}

// TestKernelSource checks that both kernel clocks can be read and show no suspension.
func TestKernelSource(t *testing.T) {
	g := NewWithT(t)
	total := clock.TotalSuspended()
	for range 3 {
		g.Expect(clock.Sample()).To(Succeed())
	}
	g.Expect(clock.TotalSuspended()).To(Equal(total), "the machine isn't suspended during the test")
}
