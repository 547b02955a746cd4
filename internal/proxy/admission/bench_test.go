package admission

import (
	"testing"
	"time"
)

// BenchmarkGate lets work in and out of a gate that has places.
func BenchmarkGate(b *testing.B) {
	gate := NewGate(4, 4)
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		if gate.Enter(Request{Class: Anywhere, Arrived: now}, now) {
			gate.Leave(Anywhere, Ran, now)
		}
	}
}

// BenchmarkOutlook asks a gate with a long queue what waits, as on each answer of an owner.
func BenchmarkOutlook(b *testing.B) {
	gate := NewGate(1, 1)
	now := time.Now()
	gate.running = 1
	for i := range 40 {
		gate.waiting.Push(&waiter{rank: now, class: Class(i % Classes)})
	}
	b.ReportAllocs()
	for b.Loop() {
		gate.Outlook(now)
	}
}
