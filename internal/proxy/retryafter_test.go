package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
)

// TestCallersAreSpread: the time to come back is never shorter than what is expected,
// never much longer, and within its bounds.
func TestCallersAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "expected"))
		bounded := min(max(expected, minRetryAfter), maxRetryAfter)
		told := withJitter(expected)
		if told < bounded || told > bounded+bounded/2 {
			t.Fatalf("expected %v, told %v", expected, told)
		}
	})
	seen := map[time.Duration]bool{}
	for range 100 {
		seen[withJitter(time.Second)] = true
	}
	must.Greater(t, 90, len(seen))
}

// TestHopelessWorkIsToldAtOnce: work whose place comes after its objective does not wait.
func TestHopelessWorkIsToldAtOnce(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		r := &run{session: &session{}, arrived: time.Now()}
		r.session.bound.TargetLatency = time.Second
		must.False(t, r.cannotFinishInTime(900*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		must.True(t, r.cannotFinishInTime(900*time.Millisecond))
	})
}
