package admission

import (
	"testing"
	"time"
)

// BenchmarkGate admits and ends work at a gate with free slots.
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

// BenchmarkForecast computes the forecast of a gate with a long queue, as an owner does for each
// answer.
func BenchmarkForecast(b *testing.B) {
	gate := NewGate(1, 1)
	now := time.Now()
	gate.running = 1
	for i := range 40 {
		gate.waiting.Push(&waiter{rank: now, class: Class(i % Classes)})
	}
	b.ReportAllocs()
	for b.Loop() {
		gate.Forecast(now)
	}
}
