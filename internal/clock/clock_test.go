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

// suspendable makes suspensions of the process that a test brings about.
func suspendable(t *testing.T) (suspend func(time.Duration)) {
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

// TestAgesCountSuspendedTime: what was stamped before is older by it. What is too short to
// be told from the reading of clocks adds up until it counts.
func TestAgesCountSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspend := suspendable(t)
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

// TestDeadlinesCountSuspendedTime: a context whose time is over ends at once, another one
// when its time is over by this clock, and each says why.
func TestDeadlinesCountSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspend := suspendable(t)
		begun := time.Now()
		over, cancelOver := clock.WithDeadline(t.Context(), clock.Now().Add(10*time.Second))
		defer cancelOver()
		left, cancelLeft := clock.WithDeadline(t.Context(), clock.Now().Add(30*time.Second))
		defer cancelLeft()
		suspend(20 * time.Second)
		synctest.Wait()
		g.Expect(over.Err()).To(HaveOccurred())
		g.Expect(clock.Expired(over)).To(BeTrue())
		g.Expect(left.Err()).NotTo(HaveOccurred())
		<-left.Done()
		g.Expect(clock.Expired(left)).To(BeTrue())
		g.Expect(time.Since(begun)).To(Equal(10 * time.Second))
	})
}

// TestDeadlinesWithoutSuspension end as those of package context do.
func TestDeadlinesWithoutSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := clock.WithDeadline(t.Context(), clock.Now().Add(time.Second))
		defer cancel()
		<-ctx.Done()
		g.Expect(clock.Expired(ctx)).To(BeTrue())
		left, leave := clock.WithDeadline(t.Context(), clock.Now().Add(time.Second))
		leave()
		g.Expect(left.Err()).To(MatchError(context.Canceled))
		g.Expect(clock.Expired(left)).To(BeFalse())
	})
}

// TestWaitsCountSuspendedTime.
func TestWaitsCountSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspend := suspendable(t)
		begun := time.Now()
		done := make(chan bool)
		go func() { done <- clock.Wait(t.Context(), time.Minute) }()
		synctest.Wait()
		suspend(40 * time.Second)
		g.Expect(<-done).To(BeTrue())
		g.Expect(time.Since(begun)).To(Equal(20 * time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		g.Expect(clock.Wait(ctx, time.Hour)).To(BeFalse())
	})
}

// TestWatchersAreTold once for each suspension, until they stop.
func TestWatchersAreTold(t *testing.T) {
	g := NewWithT(t)
	suspend := suspendable(t)
	var told []time.Duration
	stop := clock.OnSuspended(func(missed time.Duration) { told = append(told, missed) })
	suspend(time.Second)
	suspend(2 * time.Second)
	stop()
	suspend(3 * time.Second)
	g.Expect(told).To(Equal([]time.Duration{time.Second, 2 * time.Second}))
}

// TestWithoutABootClock time goes on as the steady clock says.
func TestWithoutABootClock(t *testing.T) {
	g := NewWithT(t)
	failed := errors.New("no such clock")
	t.Cleanup(clock.SetSource(func() (time.Duration, error) { return 0, failed }))
	before := clock.Missed()
	g.Expect(clock.Run(t.Context())).To(MatchError(failed))
	g.Expect(clock.Missed()).To(Equal(before))
}

// TestTheKernelTells both clocks.
func TestTheKernelTells(t *testing.T) {
	g := NewWithT(t)
	before := clock.Missed()
	for range 3 {
		g.Expect(clock.Sample()).To(Succeed())
	}
	g.Expect(clock.Missed()).To(Equal(before), "this machine isn't suspended meanwhile")
}
