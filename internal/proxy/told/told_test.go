package told

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/proxy/urgency"
)

// TestReportsFadeAndAreNeverOvertaken: a node that knows nothing recent has no wait to go
// by, and an answer that was overtaken changes nothing.
func TestReportsFadeAndAreNeverOvertaken(t *testing.T) {
	start := time.Unix(1_000, 0)
	var v View
	_, known := v.Wait(start, 0)
	must.False(t, known)

	v.Observe(start, &Report{Life: 1, Sequence: 5, Waits: [urgency.Levels]uint16{40, 80, 160, 320}})
	wait, known := v.Wait(start, 1)
	must.True(t, known)
	must.Eq(t, 80*time.Millisecond, wait)
	wait, _ = v.Wait(start.Add(Life/2), urgency.Least)
	must.Eq(t, 160*time.Millisecond, wait)

	v.Observe(start.Add(time.Millisecond), &Report{Life: 1, Sequence: 4})
	wait, _ = v.Wait(start, 0)
	must.Eq(t, 40*time.Millisecond, wait)
	_, known = v.Wait(start.Add(Life), 0)
	must.False(t, known)

	// Another process at the owner begins its sequence anew.
	v.Observe(start.Add(2*time.Millisecond), &Report{Life: 2, Sequence: 1})
	wait, known = v.Wait(start.Add(2*time.Millisecond), 0)
	must.True(t, known)
	must.Eq(t, 0, wait)
	// A late answer of the process before is older than what is known.
	v.Observe(start.Add(time.Millisecond), &Report{Life: 1, Sequence: 9, Waits: [urgency.Levels]uint16{900}})
	wait, _ = v.Wait(start.Add(2*time.Millisecond), 0)
	must.Eq(t, 0, wait)
}
