// Package virtualtime runs events in the order of a virtual clock. Experiments
// and random tests use it; nothing in it waits.
package virtualtime

import (
	"container/heap"
	"time"
)

// Loop is a clock with events to come. The zero value is not usable; see New.
type Loop struct {
	now    time.Time
	events eventHeap
	serial int
}

// New makes a loop whose clock starts at a time.
func New(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// At runs f at a time. Events of one time run in the order in which they were
// added.
func (l *Loop) At(t time.Time, f func()) {
	l.serial++
	heap.Push(&l.events, event{t, l.serial, f})
}

// After runs f after a while.
func (l *Loop) After(d time.Duration, f func()) { l.At(l.now.Add(d), f) }

// Every runs f again and again, first after d.
func (l *Loop) Every(d time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		l.After(d, tick)
	}
	l.After(d, tick)
}

// RunUntil runs all events up to a time, that time included, and sets the clock
// to it.
func (l *Loop) RunUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
	l.now = end
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
