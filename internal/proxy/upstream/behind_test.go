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

// TestServerCatchesUpWhenTold replays servers that apply the primary's log at an even pace:
// from findings some hundred milliseconds apart, the time at which one has a position is told
// to a tenth. One that stands still is not expected at all.
func TestServerCatchesUpWhenTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		catchesUp(t, rapid.Float64Range(0, 4).Draw(t, "pace"), rapid.IntRange(3_000, 8_000).Draw(t, "behind"),
			rapid.IntRange(50, 400).Draw(t, "gap"), rapid.IntRange(10, 1_000).Draw(t, "wanted"))
	})
}

// TestServerNextToTheLeastPace: a play that a random seed has drawn.
func TestServerNextToTheLeastPace(t *testing.T) { catchesUp(t, 0.19140625, 3000, 50, 10) }

// catchesUp checks what is told of a server that applies the log at a pace, was found to be some
// milliseconds behind at regular gaps, and lacks a position by some milliseconds.
func catchesUp(t must.T, pace float64, behindMS, gapMS, wantedMS int) {
	behind, gap := time.Duration(behindMS)*time.Millisecond, time.Duration(gapMS)*time.Millisecond
	start := time.Unix(1_000, 0)
	has := func(now time.Time) time.Time {
		return start.Add(-behind + time.Duration(pace*float64(now.Sub(start))))
	}
	s, now := NewStats(), start
	for range 5 {
		now = now.Add(gap)
		s.FoundBehind(now, now.Sub(has(now)))
	}
	floor := position.Position{Term: 1, Offset: 9}
	since := has(now).Add(time.Duration(wantedMS) * time.Millisecond)
	after, known := s.CatchesUp(floor, since, now)
	// The pace is worked out from what was found, so next to the least one either may be.
	if math.Abs(pace-leastPace) >= 0.001 {
		must.Eq(t, pace >= leastPace, known)
	}
	if known {
		must.Between(t, -time.Millisecond-after/10, since.Sub(has(now.Add(after))), time.Millisecond+after/10)
	}
	_, known = s.CatchesUp(floor, since, now.Add(foundLife))
	must.False(t, known)
}

// TestWhatIsFoundReplacesTheEstimate: how far behind a server was found counts at once, fades,
// and ends with an answer that shows more.
func TestWhatIsFoundReplacesTheEstimate(t *testing.T) {
	s := NewStats()
	now := time.Now()
	floor := position.Position{Term: 1, Offset: 9}
	s.FoundBehind(now, 3*time.Second)
	must.Eq(t, 3*time.Second, s.Lag(now))
	must.False(t, s.Covers(floor, now.Add(-2*time.Second), now))
	must.Less(t, time.Second, s.Lag(now.Add(time.Second)))
	s.CaughtUp(now, now.Add(-200*time.Millisecond))
	must.LessEq(t, 200*time.Millisecond, s.Lag(now))
	s.Observe(floor)
	after, known := s.CatchesUp(floor, now, now)
	must.True(t, known)
	must.Zero(t, after)
}
