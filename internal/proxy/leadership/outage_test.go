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
	var o OutageEstimator
	o.Record(at(0), false)
	must.Eq(t, initialEstimate, o.ExpectedRest(at(0)))
	must.Eq(t, initialEstimate-time.Second, o.ExpectedRest(at(time.Second)))
	must.Eq(t, 3*time.Second, o.ExpectedRest(at(6*time.Second)))
	o.Record(at(6*time.Second), true)
	must.Eq(t, 6*time.Second/nearEndDivisor, o.ExpectedRest(at(7*time.Second)))
	for i := range 20 {
		began := at(time.Duration(10+10*i) * time.Second)
		o.Record(began, false)
		o.Record(began.Add(time.Second), true)
	}
	o.Record(at(time.Hour), false)
	must.Between(t, time.Second, o.ExpectedRest(at(time.Hour)), 1100*time.Millisecond)
}
