// Package dispatch runs a scheduling policy for the goroutines of an entry.
//
// The policy itself is not safe for concurrent use and knows no clock; the
// Dispatcher serialises it, hands its grants to the waiting requests, and asks
// it again whenever something has changed.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// tick is how often waiting requests are looked at without any event.
const tick = 20 * time.Millisecond

// Grant lets a request go to an endpoint.
type Grant struct {
	ID       scheduler.ID
	Endpoint fleet.Endpoint
}

type verdict struct {
	grant Grant
	err   *outcome.Error
}

// Dispatcher serialises a policy.
type Dispatcher struct {
	mu      sync.Mutex
	policy  scheduler.Policy
	waiting map[scheduler.ID]chan verdict
	nextID  scheduler.ID
}

// New makes a dispatcher of a policy.
func New(p scheduler.Policy) *Dispatcher {
	return &Dispatcher{policy: p, waiting: map[scheduler.ID]chan verdict{}}
}

// Run asks the policy regularly while requests wait, until the context ends.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.Update(func(time.Time, scheduler.Policy) {})
		case <-ctx.Done():
			return
		}
	}
}

// Update changes the policy's beliefs and acts on what follows.
func (d *Dispatcher) Update(change func(now time.Time, p scheduler.Policy)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	change(now, d.policy)
	d.pump(now)
}

// View reads the policy's beliefs.
func (d *Dispatcher) View(read func(now time.Time, p scheduler.Policy)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	read(clock.Now(), d.policy)
}

// ViewScheduler reads or sets what the scheduler believes; other policies are passed over.
func (d *Dispatcher) ViewScheduler(view func(now time.Time, s *scheduler.Scheduler)) {
	d.View(func(now time.Time, p scheduler.Policy) {
		if s, ok := p.(*scheduler.Scheduler); ok {
			view(now, s)
		}
	})
}

// Pause records that an endpoint wants nothing from this entry for some time, and reports
// whether that is news.
func (d *Dispatcher) Pause(l fleet.Instance, lasts time.Duration) (news bool) {
	d.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { news = s.Backpressure().Pause(now, l, lasts) })
	return news
}

func (d *Dispatcher) pump(now time.Time) {
	if len(d.waiting) == 0 {
		return
	}
	actions := d.policy.Next(now)
	for _, g := range actions.Dispatches {
		d.settle(g.ID, verdict{grant: Grant{g.ID, g.Endpoint}})
	}
	for _, r := range actions.Refusals {
		d.settle(r.ID, verdict{err: r.Err})
	}
}

func (d *Dispatcher) settle(id scheduler.ID, v verdict) {
	ch, ok := d.waiting[id]
	if !ok {
		return
	}
	delete(d.waiting, id)
	ch <- v
}

// Acquire waits until the policy grants or refuses the request. An error is
// always NotRun: nothing has been sent.
func (d *Dispatcher) Acquire(ctx context.Context, r scheduler.Request) (Grant, *outcome.Error) {
	id, ch, err := d.submit(r)
	if err != nil {
		return Grant{}, err
	}
	select {
	case v := <-ch:
		return v.grant, v.err
	case <-ctx.Done():
		return Grant{}, d.abandon(id, ch)
	}
}

func (d *Dispatcher) submit(r scheduler.Request) (scheduler.ID, chan verdict, *outcome.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	r.ID = d.nextID
	now := clock.Now()
	if err := d.policy.Submit(now, r); err != nil {
		return 0, nil, err
	}
	ch := make(chan verdict, 1)
	d.waiting[r.ID] = ch
	d.pump(now)
	return r.ID, ch, nil
}

// abandon takes a request back whose caller has gone, granted or not.
func (d *Dispatcher) abandon(id scheduler.ID, ch chan verdict) *outcome.Error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	if d.policy.Cancel(now, id) {
		delete(d.waiting, id)
		return callerGone()
	}
	select {
	case v := <-ch:
		if v.err == nil {
			d.policy.Finish(now, id, scheduler.Result{})
			d.pump(now)
		}
	default:
		// The policy has let go of the request, but not said so yet.
		delete(d.waiting, id)
	}
	return callerGone()
}

func callerGone() *outcome.Error {
	return outcome.NotRunf(outcome.CodeCallerGone, "the caller has gone or the time is up")
}

// Progress records tokens of a granted request.
func (d *Dispatcher) Progress(id scheduler.ID, generated int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.Progress(clock.Now(), id, generated)
}

// Move records that a granted request goes on at another endpoint.
func (d *Dispatcher) Move(id scheduler.ID, to fleet.Instance) {
	d.Update(func(_ time.Time, p scheduler.Policy) { p.Move(id, to) })
}

// Finish ends a granted request.
func (d *Dispatcher) Finish(id scheduler.ID, res scheduler.Result) {
	d.Update(func(now time.Time, p scheduler.Policy) { p.Finish(now, id, res) })
}
