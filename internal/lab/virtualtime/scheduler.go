// Package virtualtime runs scheduled events in the order of their times without waiting. Events
// with the same time run in the order in which they were scheduled, so that runs are
// reproducible.
package virtualtime

import (
	"container/heap"
	"time"
)

// Scheduler is a virtual clock with its scheduled events. It is not safe for concurrent use.
type Scheduler struct {
	now    time.Duration
	order  uint64
	ran    uint64
	events events
}

// Now returns the virtual time.
func (s *Scheduler) Now() time.Duration { return s.now }

// Ran returns the number of events that have run.
func (s *Scheduler) Ran() uint64 { return s.ran }

// After schedules an event after a delay; a negative delay counts as zero.
func (s *Scheduler) After(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + max(delay, 0), order: s.order, run: run})
}

// RunUntil runs all events up to and including a time and sets the clock to that time.
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
