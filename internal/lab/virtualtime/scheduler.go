// Package virtualtime runs events in the order of their times, without waiting.
// Events at one time run in the order in which they were scheduled, so that a run
// is the same every time.
package virtualtime

import (
	"container/heap"
	"time"
)

// Scheduler is a clock with its events. It is used by one goroutine.
type Scheduler struct {
	now    time.Duration
	order  uint64
	ran    uint64
	events events
}

// Now returns the virtual time.
func (s *Scheduler) Now() time.Duration { return s.now }

// Ran returns how many events have run.
func (s *Scheduler) Ran() uint64 { return s.ran }

// After schedules work; a negative delay counts as none.
func (s *Scheduler) After(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + max(delay, 0), order: s.order, run: run})
}

// RunUntil runs the events up to a time and sets the clock to it.
func (s *Scheduler) RunUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		s.ran++
		next.run()
	}
	s.now = end
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(item any) { *e = append(*e, item.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
