// Package dispatch serializes access to an entry's scheduling policy.
//
// A policy is not safe for concurrent use and takes the current time as an
// argument. The Dispatcher calls it under a mutex, delivers its grants and
// refusals to the waiting requests, and runs it again after each state change
// and periodically.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/shutdown"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/outcome"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// pollInterval is the time between two runs of the policy when no event occurs.
const pollInterval = 20 * time.Millisecond

// Grant permits a request to be sent to an endpoint.
type Grant struct {
	ID       scheduler.ID
	Endpoint fleet.Endpoint
	// ExpectedLatency is the expected time until the answer of a plain service; zero if unknown.
	ExpectedLatency time.Duration
}

type decision struct {
	grant Grant
	err   *outcome.Error
}

// Dispatcher serializes calls to a policy. It is safe for concurrent use.
type Dispatcher struct {
	mu      sync.Mutex
	policy  scheduler.Policy
	waiting map[scheduler.ID]chan decision
	lastID  scheduler.ID
}

// New returns a dispatcher for the policy.
func New(p scheduler.Policy) *Dispatcher {
	return &Dispatcher{policy: p, waiting: map[scheduler.ID]chan decision{}}
}

// Run runs the policy every pollInterval while requests wait, until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
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

// Update changes the policy's state, then runs the policy and delivers its decisions.
func (d *Dispatcher) Update(change func(now time.Time, p scheduler.Policy)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	change(now, d.policy)
	d.schedule(now)
}

// View calls read with the policy while it is locked. It doesn't run the policy.
func (d *Dispatcher) View(read func(now time.Time, p scheduler.Policy)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	read(clock.Now(), d.policy)
}

// UpdateScheduler is Update if the policy is a *scheduler.Scheduler, and does nothing for other policies.
func (d *Dispatcher) UpdateScheduler(change func(now time.Time, s *scheduler.Scheduler)) {
	d.Update(func(now time.Time, p scheduler.Policy) {
		if s, ok := p.(*scheduler.Scheduler); ok {
			change(now, s)
		}
	})
}

// ViewScheduler calls view if the policy is a *scheduler.Scheduler, and does nothing for other
// policies. view may change the scheduler's state.
func (d *Dispatcher) ViewScheduler(view func(now time.Time, s *scheduler.Scheduler)) {
	d.View(func(now time.Time, p scheduler.Policy) {
		if s, ok := p.(*scheduler.Scheduler); ok {
			view(now, s)
		}
	})
}

// Pause records that an endpoint accepts no requests from this entry for duration. It reports
// whether a pause started, and returns false if one is already in effect.
func (d *Dispatcher) Pause(instance fleet.Instance, duration time.Duration) (started bool) {
	d.ViewScheduler(func(now time.Time, s *scheduler.Scheduler) { started = s.Backpressure().Pause(now, instance, duration) })
	return started
}

func (d *Dispatcher) schedule(now time.Time) {
	if len(d.waiting) == 0 {
		return
	}
	actions := d.policy.Next(now)
	for _, g := range actions.Dispatches {
		d.deliver(g.ID, decision{grant: Grant{g.ID, g.Endpoint, g.ExpectedLatency}})
	}
	for _, r := range actions.Refusals {
		d.deliver(r.ID, decision{err: r.Err})
	}
}

func (d *Dispatcher) deliver(id scheduler.ID, v decision) {
	ch, ok := d.waiting[id]
	if !ok {
		return
	}
	delete(d.waiting, id)
	ch <- v
}

// Acquire waits until the policy grants or refuses the request, or ctx is done.
// The outcome of an error is always NotRun, since nothing has been sent.
func (d *Dispatcher) Acquire(ctx context.Context, r scheduler.Request) (Grant, *outcome.Error) {
	id, ch, err := d.submit(r)
	if err != nil {
		return Grant{}, err
	}
	select {
	case v := <-ch:
		return v.grant, v.err
	case <-ctx.Done():
		d.withdraw(id, ch)
		return Grant{}, shutdown.NotRun(ctx)
	}
}

func (d *Dispatcher) submit(r scheduler.Request) (scheduler.ID, chan decision, *outcome.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	r.ID = d.lastID
	now := clock.Now()
	if err := d.policy.Submit(now, r); err != nil {
		return 0, nil, err
	}
	ch := make(chan decision, 1)
	d.waiting[r.ID] = ch
	d.schedule(now)
	return r.ID, ch, nil
}

// withdraw cancels a request whose context is done, or releases its grant if
// the policy has already granted it.
func (d *Dispatcher) withdraw(id scheduler.ID, ch chan decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	if d.policy.Cancel(now, id) {
		delete(d.waiting, id)
		return
	}
	select {
	case v := <-ch:
		if v.err == nil {
			d.policy.Finish(now, id, scheduler.Result{})
			d.schedule(now)
		}
	default:
		// The policy no longer holds the request, but its decision has not been delivered.
		delete(d.waiting, id)
	}
}

// Progress records the number of tokens generated for a granted request.
func (d *Dispatcher) Progress(id scheduler.ID, generated int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.Progress(clock.Now(), id, generated)
}

// Move records that a granted request continues at another endpoint.
func (d *Dispatcher) Move(id scheduler.ID, to fleet.Instance) {
	d.Update(func(_ time.Time, p scheduler.Policy) { p.Move(id, to) })
}

// Finish records the result of a granted request and releases its grant.
func (d *Dispatcher) Finish(id scheduler.ID, res scheduler.Result) {
	d.Update(func(now time.Time, p scheduler.Policy) { p.Finish(now, id, res) })
}
