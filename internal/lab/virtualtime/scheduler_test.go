package virtualtime

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Events must run in the order of their times, and simultaneous ones in the order of
// scheduling.
func TestEventsRunInOrder(t *testing.T) {
	scheduler := &Scheduler{}
	var ran []int
	note := func(number int) func() { return func() { ran = append(ran, number) } }
	scheduler.After(2*time.Second, note(3))
	scheduler.After(time.Second, note(1))
	scheduler.After(time.Second, func() {
		note(2)()
		scheduler.After(-time.Second, note(21))
	})
	scheduler.After(3*time.Second, note(4))
	scheduler.RunUntil(2500 * time.Millisecond)
	must.Eq(t, []int{1, 2, 21, 3}, ran)
	must.Eq(t, 2500*time.Millisecond, scheduler.Now())
	must.Eq(t, 4, scheduler.Ran())
}
