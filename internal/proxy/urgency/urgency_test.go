package urgency

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// TestLevelsFollowPriorities guards against a higher priority that is less urgent than a lower one,
// and against priorities without a level.
func TestLevelsFollowPriorities(t *testing.T) {
	must.Eq(t, 0, Of(-3))
	must.Eq(t, Least, Of(1_000))
	rapid.Check(t, func(t *rapid.T) {
		priority := rapid.IntRange(-10, 100).Draw(t, "priority")
		if Of(priority) > Of(priority+1) || Of(priority) > Least {
			t.Fatalf("levels %d and %d", Of(priority), Of(priority+1))
		}
	})
}

// TestWorkThatCannotFinishInTime covers the limits of the objective and the deadline.
func TestWorkThatCannotFinishInTime(t *testing.T) {
	now := time.Unix(1_000, 0)
	w := &Work{Arrived: now, Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second), Cost: 30 * time.Millisecond}
	must.True(t, w.InTime(now, 470*time.Millisecond))
	must.False(t, w.InTime(now, 471*time.Millisecond))
	must.False(t, w.CannotFinish(now, 1970*time.Millisecond))
	must.True(t, w.CannotFinish(now, 1971*time.Millisecond))
	must.False(t, w.Late(w.Objective))
	must.True(t, w.Late(w.Objective.Add(1)))
}
