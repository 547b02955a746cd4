package upstream

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/position"
	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// TestCatchUpTimeIsPredicted guards against wrong catch-up times for a server that applies the log
// at a constant rate, and against any for a server that has stopped.
func TestCatchUpTimeIsPredicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkTimeToReach(t, rapid.Float64Range(0, 4).Draw(t, "pace"), rapid.IntRange(3_000, 8_000).Draw(t, "behind"),
			rapid.IntRange(50, 400).Draw(t, "gap"), rapid.IntRange(10, 1_000).Draw(t, "wanted"))
	})
}

// TestCatchUpNearMinimumApplyRate covers an apply rate close to the minimum.
func TestCatchUpNearMinimumApplyRate(t *testing.T) { checkTimeToReach(t, 0.19140625, 3000, 50, 10) }

// checkTimeToReach checks the predicted time for a server that applies the log at a rate, is some
// milliseconds behind, is sampled at regular intervals, and lacks a position by some milliseconds.
func checkTimeToReach(t must.T, rate float64, behindMS, gapMS, wantedMS int) {
	behind, gap := time.Duration(behindMS)*time.Millisecond, time.Duration(gapMS)*time.Millisecond
	start := time.Unix(1_000, 0)
	appliedAt := func(now time.Time) time.Time {
		return start.Add(-behind + time.Duration(rate*float64(now.Sub(start))))
	}
	s, now := NewStats(), start
	for range 5 {
		now = now.Add(gap)
		s.RecordLag(now, now.Sub(appliedAt(now)))
	}
	minimum := position.Position{Term: 1, Offset: 9}
	since := appliedAt(now).Add(time.Duration(wantedMS) * time.Millisecond)
	after, ok := s.TimeToReach(minimum, since, now)
	// The calculated rate is inexact, so near the minimum either result is correct.
	if math.Abs(rate-minApplyRate) >= 0.001 {
		must.Eq(t, rate >= minApplyRate, ok)
	}
	if ok {
		must.Between(t, -time.Millisecond-after/10, since.Sub(appliedAt(now.Add(after))), time.Millisecond+after/10)
	}
	_, ok = s.TimeToReach(minimum, since, now.Add(lagValidity))
	must.False(t, ok)
}

// TestMeasuredLagReplacesEstimate guards against ignoring a measured lag, or keeping it after an
// answer that shows a newer position.
func TestMeasuredLagReplacesEstimate(t *testing.T) {
	s := NewStats()
	now := time.Now()
	minimum := position.Position{Term: 1, Offset: 9}
	s.RecordLag(now, 3*time.Second)
	must.Eq(t, 3*time.Second, s.Lag(now))
	must.False(t, s.Covers(minimum, now.Add(-2*time.Second), now))
	must.Less(t, time.Second, s.Lag(now.Add(time.Second)))
	s.RecordCaughtUp(now, now.Add(-200*time.Millisecond))
	must.LessEq(t, 200*time.Millisecond, s.Lag(now))
	s.RecordPosition(minimum)
	after, ok := s.TimeToReach(minimum, now, now)
	must.True(t, ok)
	must.Zero(t, after)
}
