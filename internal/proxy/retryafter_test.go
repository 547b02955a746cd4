package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
)

// TestRetryDelaysHaveJitter guards against callers that all retry at the same moment, and against
// delays outside their bounds.
func TestRetryDelaysHaveJitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "expected"))
		bounded := min(max(expected, minRetryAfter), maxRetryAfter)
		delay := withJitter(expected)
		if delay < bounded || delay > bounded+bounded/2 {
			t.Fatalf("expected %v, got a delay of %v", expected, delay)
		}
	})
	seen := map[time.Duration]bool{}
	for range 100 {
		seen[withJitter(time.Second)] = true
	}
	must.Greater(t, 90, len(seen))
}

// TestWorkThatCannotFinishInTimeIsRejected guards against work that waits for a slot that it would
// get after its latency objective.
func TestWorkThatCannotFinishInTimeIsRejected(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		r := &run{session: &session{}, arrived: time.Now()}
		r.session.route.TargetLatency = time.Second
		must.False(t, r.cannotFinishInTime(900*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		must.True(t, r.cannotFinishInTime(900*time.Millisecond))
	})
}
