package admission

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
)

// load is work of a class that comes at an even pace.
type load struct {
	class    Class
	priority int
	every    time.Duration
	takes    time.Duration
	patience time.Duration
}

// served counts the work of a load that was let in, and that was not.
type served struct{ in, refused int }

// play brings loads to a gate for 4 s and returns what became of each.
func play(gate *Gate, loads ...load) []served {
	results := make([]served, len(loads))
	var mu sync.Mutex
	var working sync.WaitGroup
	for i, l := range loads {
		working.Go(func() {
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(l.every) {
				working.Go(func() {
					now := time.Now()
					entered := gate.Enter(Request{Class: l.class, Priority: l.priority, Arrived: now}, now.Add(l.patience))
					mu.Lock()
					if entered {
						results[i].in++
					} else {
						results[i].refused++
					}
					mu.Unlock()
					if entered {
						time.Sleep(l.takes)
						gate.Leave(l.class, Ran, time.Now())
					}
				})
			}
		})
	}
	working.Wait()
	return results
}

// TestWorkThatRunsOnlyHereHasRoom replays a primary of four places whose replicas are behind:
// reads of two kinds ask for more than it can run, and wait longer than writes may. Nearly all
// writes run, and the reads take the rest of its time.
func TestWorkThatRunsOnlyHereHasRoom(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		writes := load{class: OnlyHere, every: 20 * time.Millisecond, takes: 6 * time.Millisecond, patience: 100 * time.Millisecond}
		lookups := load{class: Anywhere, priority: 1, every: 12 * time.Millisecond, takes: 30 * time.Millisecond, patience: 400 * time.Millisecond}
		views := load{class: Anywhere, priority: 2, every: 5 * time.Millisecond, takes: 18 * time.Millisecond, patience: 400 * time.Millisecond}
		results := play(NewGate(4, 4), writes, lookups, views)
		t.Logf("writes %+v, lookups %+v, views %+v", results[0], results[1], results[2])
		must.LessEq(t, (results[0].in+results[0].refused)/50, results[0].refused)
		busy := time.Duration(results[0].in)*writes.takes + time.Duration(results[1].in)*lookups.takes + time.Duration(results[2].in)*views.takes
		must.Greater(t, 15*time.Second, busy, must.Sprint("of 16 s of four places"))
	})
}

// TestNoPlaceIsIdleForWorkThatDoesNotCome: reads take all places while nothing else waits.
func TestNoPlaceIsIdleForWorkThatDoesNotCome(t *testing.T) {
	gate := NewGate(4, 4)
	now := time.Now()
	gate.room.demand = average{value: 3, at: now}
	for range 4 {
		must.True(t, gate.Enter(Request{Class: Anywhere, Arrived: now}, now))
	}
}

// TestNoClassStarves: whatever comes of one class, the others have a part of the places.
func TestNoClassStarves(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := func(class Class) load {
			return load{
				class: class, priority: rapid.IntRange(0, 3).Draw(r, "priority"), patience: 2 * time.Second,
				every: time.Duration(rapid.IntRange(2, 20).Draw(r, "every")) * time.Millisecond,
				takes: time.Duration(rapid.IntRange(2, 60).Draw(r, "takes")) * time.Millisecond,
			}
		}
		loads := []load{draw(OnlyHere), draw(Anywhere), draw(Continuation)}
		places := rapid.IntRange(1, 8).Draw(r, "places")
		var results []served
		bubbletest.Test(t, func(*testing.T) { results = play(NewGate(places, places), loads...) })
		for i, result := range results {
			if result.in == 0 {
				r.Fatalf("class %d: nothing ran of %d", loads[i].class, result.refused)
			}
		}
	})
}
