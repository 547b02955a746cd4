package leadership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTimeToComeBackFollowsTheOutage: it is what is left of the usual length, and grows
// with an outage that lasts longer.
func TestTimeToComeBackFollowsTheOutage(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(span time.Duration) time.Time { return start.Add(span) }
	var o Outage
	o.Note(at(0), false)
	must.Eq(t, firstOutage, o.Left(at(0)))
	must.Eq(t, firstOutage-time.Second, o.Left(at(time.Second)))
	must.Eq(t, 3*time.Second, o.Left(at(6*time.Second)))
	o.Note(at(6*time.Second), true)
	must.Eq(t, 6*time.Second/nearEnd, o.Left(at(7*time.Second)))
	for i := range 20 {
		began := at(time.Duration(10+10*i) * time.Second)
		o.Note(began, false)
		o.Note(began.Add(time.Second), true)
	}
	o.Note(at(time.Hour), false)
	must.Between(t, time.Second, o.Left(at(time.Hour)), 1100*time.Millisecond)
}
