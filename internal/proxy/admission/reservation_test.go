package admission

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
)

// load is work of a class that arrives at a constant rate.
type load struct {
	class    Class
	priority int
	interval time.Duration
	duration time.Duration
	maxWait  time.Duration
}

// served counts the admitted and the rejected work of a load.
type served struct{ admitted, rejected int }

// runLoads sends loads to a gate for 4 s and returns the result of each.
func runLoads(gate *Gate, loads ...load) []served {
	results := make([]served, len(loads))
	var mu sync.Mutex
	var working sync.WaitGroup
	for i, l := range loads {
		working.Go(func() {
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(l.interval) {
				working.Go(func() {
					now := time.Now()
					entered := gate.Enter(Request{Class: l.class, Priority: l.priority, Arrived: now}, now.Add(l.maxWait))
					mu.Lock()
					if entered {
						results[i].admitted++
					} else {
						results[i].rejected++
					}
					mu.Unlock()
					if entered {
						time.Sleep(l.duration)
						gate.Leave(l.class, Ran, time.Now())
					}
				})
			}
		})
	}
	working.Wait()
	return results
}

// TestWorkThatRunsOnlyHereGetsSlots guards against writes that starve on a primary overloaded with
// reads while its replicas are behind.
func TestWorkThatRunsOnlyHereGetsSlots(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		writes := load{class: OnlyHere, interval: 20 * time.Millisecond, duration: 6 * time.Millisecond, maxWait: 100 * time.Millisecond}
		lookups := load{class: Anywhere, priority: 1, interval: 12 * time.Millisecond, duration: 30 * time.Millisecond, maxWait: 400 * time.Millisecond}
		views := load{class: Anywhere, priority: 2, interval: 5 * time.Millisecond, duration: 18 * time.Millisecond, maxWait: 400 * time.Millisecond}
		results := runLoads(NewGate(4, 4), writes, lookups, views)
		t.Logf("writes %+v, lookups %+v, views %+v", results[0], results[1], results[2])
		must.LessEq(t, (results[0].admitted+results[0].rejected)/50, results[0].rejected)
		busy := time.Duration(results[0].admitted)*writes.duration + time.Duration(results[1].admitted)*lookups.duration + time.Duration(results[2].admitted)*views.duration
		must.Greater(t, 15*time.Second, busy, must.Sprint("of 16 s on four slots"))
	})
}

// TestNoSlotStaysIdleForAbsentWork guards against reserving idle slots: reads use all slots
// while nothing else waits.
func TestNoSlotStaysIdleForAbsentWork(t *testing.T) {
	gate := NewGate(4, 4)
	now := time.Now()
	gate.reservation.demand = average{value: 3, at: now}
	for range 4 {
		must.True(t, gate.Enter(Request{Class: Anywhere, Arrived: now}, now))
	}
}

// TestNoClassStarves guards against a class that gets no slots because of the load of the others.
func TestNoClassStarves(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := func(class Class) load {
			return load{
				class: class, priority: rapid.IntRange(0, 3).Draw(r, "priority"), maxWait: 2 * time.Second,
				interval: time.Duration(rapid.IntRange(2, 20).Draw(r, "every")) * time.Millisecond,
				duration: time.Duration(rapid.IntRange(2, 60).Draw(r, "takes")) * time.Millisecond,
			}
		}
		loads := []load{draw(OnlyHere), draw(Anywhere), draw(Continuation)}
		slots := rapid.IntRange(1, 8).Draw(r, "places")
		var results []served
		bubbletest.Test(t, func(*testing.T) { results = runLoads(NewGate(slots, slots), loads...) })
		for i, result := range results {
			if result.admitted == 0 {
				r.Fatalf("class %d: none of %d ran", loads[i].class, result.rejected)
			}
		}
	})
}
