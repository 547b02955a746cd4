package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
)

// TestTimeToComeBackFollowsTheOutage: it is what is left of the usual length, and grows
// with an outage that lasts longer.
func TestTimeToComeBackFollowsTheOutage(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(span time.Duration) time.Time { return start.Add(span) }
	var o outage
	o.note(at(0), false)
	must.Eq(t, firstOutage, o.left(at(0)))
	must.Eq(t, firstOutage-time.Second, o.left(at(time.Second)))
	must.Eq(t, 3*time.Second, o.left(at(6*time.Second)))
	o.note(at(6*time.Second), true)
	must.Eq(t, 6*time.Second/nearEnd, o.left(at(7*time.Second)))
	for i := range 20 {
		began := at(time.Duration(10+10*i) * time.Second)
		o.note(began, false)
		o.note(began.Add(time.Second), true)
	}
	o.note(at(time.Hour), false)
	must.Between(t, time.Second, o.left(at(time.Hour)), 1100*time.Millisecond)
}

// TestCallersAreSpread: the time to come back is never shorter than what is expected,
// never much longer, and within its bounds.
func TestCallersAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "expected"))
		bounded := min(max(expected, leastComeBack), mostComeBack)
		told := spread(expected)
		if told < bounded || told > bounded+bounded/2 {
			t.Fatalf("expected %v, told %v", expected, told)
		}
	})
	seen := map[time.Duration]bool{}
	for range 100 {
		seen[spread(time.Second)] = true
	}
	must.Greater(t, 90, len(seen))
}

// TestHopelessWorkIsToldAtOnce: work whose place comes after its objective does not wait.
func TestHopelessWorkIsToldAtOnce(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		r := &run{session: &session{}, arrived: time.Now()}
		r.session.bound.TargetLatency = time.Second
		must.False(t, r.hopeless(900*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		must.True(t, r.hopeless(900*time.Millisecond))
	})
}
