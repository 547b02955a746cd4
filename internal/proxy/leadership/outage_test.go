package leadership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestExpectedRestOfOutage guards against an estimate that ignores the length of earlier outages,
// or does not grow in an outage that lasts longer than usual.
func TestExpectedRestOfOutage(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(offset time.Duration) time.Time { return start.Add(offset) }
	var o Outage
	o.Note(at(0), false)
	must.Eq(t, initialEstimate, o.Left(at(0)))
	must.Eq(t, initialEstimate-time.Second, o.Left(at(time.Second)))
	must.Eq(t, 3*time.Second, o.Left(at(6*time.Second)))
	o.Note(at(6*time.Second), true)
	must.Eq(t, 6*time.Second/nearEndDivisor, o.Left(at(7*time.Second)))
	for i := range 20 {
		began := at(time.Duration(10+10*i) * time.Second)
		o.Note(began, false)
		o.Note(began.Add(time.Second), true)
	}
	o.Note(at(time.Hour), false)
	must.Between(t, time.Second, o.Left(at(time.Hour)), 1100*time.Millisecond)
}
