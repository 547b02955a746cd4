package cold

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// TestBoundHoldsInAnySecond guards against exceeding the limit in any second with two independent
// senders, and against throttling once the server is warm.
func TestBoundHoldsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{
			PerSecond: rapid.Float64Range(1, 60).Draw(t, "per second"), Overage: rapid.Float64Range(1, 2).Draw(t, "overage"),
			Slack: rapid.Float64Range(0, 8).Draw(t, "slack"),
		}
		began := time.Unix(1000, 0)
		senders := make([]Limiter, Senders)
		for i := range senders {
			senders[i].Observe(began, 5*time.Second)
		}
		var sent []time.Time
		now := began
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			sender := &senders[rapid.IntRange(0, Senders-1).Draw(t, "sender")]
			if !sender.Cold(now) {
				must.True(t, sender.Allow(now, bound, false))
				continue
			}
			if sender.Allow(now, bound, rapid.Bool().Draw(t, "continues")) {
				sent = append(sent, now)
			}
		}
		for first, from := range sent {
			last := first
			for last < len(sent) && sent[last].Sub(from) < time.Second {
				last++
			}
			must.LessEq(t, bound.PerSecond*bound.Overage+bound.Slack, float64(last-first))
		}
	})
}

func TestNewWorkLeavesHeadroomForTransactions(t *testing.T) {
	var l Limiter
	now := time.Unix(1000, 0)
	l.Observe(now, time.Minute)
	bound := Bound{PerSecond: 20, Overage: 1}
	newWork := 0
	for l.Allow(now, bound, false) {
		newWork++
	}
	must.Eq(t, 7, newWork)
	must.True(t, l.Allow(now, bound, true))
	must.True(t, l.Allow(now.Add(2*window), bound, false))
}

func TestNoBound(t *testing.T) {
	var l Limiter
	now := time.Unix(1000, 0)
	l.Observe(now, time.Minute)
	for range 1000 {
		must.True(t, l.Allow(now, Bound{Slack: 5}, false))
	}
}
