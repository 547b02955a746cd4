package group

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/postgres/policy"
)

// BenchmarkRead measures the two steps of a read that a replica serves without waiting.
func BenchmarkRead(b *testing.B) {
	h := newHarness(b, func(settings *Settings) { settings.Slots, settings.Connections, settings.QueueLimit = 64, 64, 512 })
	h.answerHealthy(5)
	rule := policy.Rule{Freshness: policy.Any, Wait: time.Second}
	session := SessionID{Listener: 1, Session: 1}
	b.ReportAllocs()
	b.ResetTimer()
	for number := range uint64(b.N) {
		id := RequestID{Session: session, Number: number + 1}
		effects := h.machine.Step(h.now, Arrive{Request: Request{ID: id, Caller: "c", Weight: 1, ReadOnly: true, Rule: rule}})
		run, ok := effects[0].(Run)
		must.True(b, ok)
		h.machine.Step(h.now, Finish{ID: id, Server: run.Server})
	}
}
