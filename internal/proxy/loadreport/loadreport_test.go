package loadreport

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/codec"
	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/proxy/urgency"
)

func waits(milliseconds uint16) [urgency.Levels]uint16 {
	return [urgency.Levels]uint16{milliseconds, milliseconds, milliseconds, milliseconds}
}

// TestReportedWaitDecays guards against using a reported wait undiminished or after it expired, and
// against using any after the clock was set back.
func TestReportedWaitDecays(t *testing.T) {
	start := time.Unix(1_000, 0)
	v := &View{}
	_, ok := v.Wait(start, 0)
	must.False(t, ok)
	v.Observe(start, &Report{Incarnation: 1, Sequence: 1, Waits: waits(100), WaitsOnlyHere: waits(40)})
	for _, at := range []struct{ age, wait, onlyHere time.Duration }{
		{0, 100, 40}, {MaxAge / 4, 75, 30}, {MaxAge / 2, 50, 20}, {3 * MaxAge / 4, 25, 10},
	} {
		wait, ok := v.Wait(start.Add(at.age), 1)
		must.True(t, ok)
		must.Eq(t, at.wait*time.Millisecond, wait)
		onlyHere, _ := v.WaitOnlyHere(start.Add(at.age), 1)
		must.Eq(t, at.onlyHere*time.Millisecond, onlyHere)
	}
	_, ok = v.Wait(start.Add(MaxAge), 1)
	must.False(t, ok)
	_, ok = v.Wait(start.Add(-time.Millisecond), 1)
	must.False(t, ok)
}

// TestOlderReportsAreIgnored guards against replacing a report by an older one of the same
// incarnation or of another.
func TestOlderReportsAreIgnored(t *testing.T) {
	start := time.Unix(1_000, 0)
	later := start.Add(10 * time.Millisecond)
	v := &View{}
	expect := func(milliseconds time.Duration) {
		t.Helper()
		report, _, ok := v.Newest(later)
		must.True(t, ok)
		must.Eq(t, milliseconds, time.Duration(report.Waits[0]))
	}
	v.Observe(start, &Report{Incarnation: 1, Sequence: 5, Waits: waits(50)})
	v.Observe(later, &Report{Incarnation: 1, Sequence: 4, Waits: waits(40)})
	expect(50)
	v.Observe(start.Add(-time.Millisecond), &Report{Incarnation: 2, Sequence: 9, Waits: waits(90)})
	expect(50)
	v.Observe(later, &Report{Incarnation: 2, Sequence: 1, Waits: waits(10)})
	expect(10)
	v.Observe(start, &Report{Incarnation: 1, Sequence: 6, Waits: waits(60)})
	expect(10)
}

// TestReportRoundTrip guards against losing fields in encoding, and against a large encoding.
func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := Report{
			Sequence: rapid.Uint64().Draw(t, "sequence"), Running: rapid.Uint16().Draw(t, "running"), Waiting: rapid.Uint16().Draw(t, "waiting"),
			Limit: rapid.Uint16().Draw(t, "limit"), Behind: rapid.Uint16().Draw(t, "behind"),
		}
		for i := range sent.Waits {
			sent.Waits[i], sent.WaitsOnlyHere[i] = rapid.Uint16().Draw(t, "wait"), rapid.Uint16().Draw(t, "kept")
		}
		frame, err := codec.Append(nil, &sent)
		must.NoError(t, err)
		var received Report
		must.NoError(t, codec.Decode(frame, &received))
		must.Eq(t, sent, received)
	})
	small, err := codec.Append(nil, &Report{Sequence: 1_000, Running: 3, Limit: 8})
	must.NoError(t, err)
	must.LessEq(t, 20, len(small))
}
