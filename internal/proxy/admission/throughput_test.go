package admission

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
)

// TestExpectedWaitMatchesActualWait guards against expected waits that differ from the actual ones
// on a server with a constant service time.
func TestExpectedWaitMatchesActualWait(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const work = 20 * time.Millisecond
		gate := NewGate(2, 2)
		run := func() {
			time.Sleep(work)
			gate.Leave(Anywhere, Ran, time.Now())
		}
		results := make(chan time.Duration, 100)
		var working sync.WaitGroup
		for i := range 60 {
			request := Request{Class: Anywhere, Arrived: time.Now()}
			expected := gate.Wait(request)
			working.Go(func() {
				began := time.Now()
				if !gate.Enter(request, began.Add(time.Minute)) {
					return
				}
				if i > 30 {
					results <- expected - time.Since(began)
				}
				run()
			})
			time.Sleep(8 * time.Millisecond)
		}
		working.Wait()
		close(results)
		count := 0
		for off := range results {
			count++
			must.Between(t, -2*work, off, 2*work)
		}
		must.Eq(t, 29, count)
	})
}

// TestExpectedWaitFollowsTheOrder guards against a longer wait for work of higher rank, a shorter
// wait behind a longer queue, and a wait while a slot is free.
func TestExpectedWaitFollowsTheOrder(t *testing.T) {
	now := time.Unix(1_000, 0)
	must.Zero(t, NewGate(1, 1).Wait(Request{Arrived: now}))
	rapid.Check(t, func(t *rapid.T) {
		gate := NewGate(1, 1)
		gate.throughput.interval = 10 * time.Millisecond
		gate.running = 1
		previous := time.Duration(0)
		for range rapid.IntRange(0, 20).Draw(t, "waiting") {
			gate.waiting.Push(&waiter{rank: now.Add(-time.Duration(rapid.IntRange(-500, 500).Draw(t, "age")) * time.Millisecond)})
			urgent := gate.Wait(Request{Class: Continuation, Arrived: now})
			usual := gate.Wait(Request{Class: Anywhere, Arrived: now})
			if urgent > usual {
				t.Fatalf("urgent work waits for %v, other work for %v", urgent, usual)
			}
			if usual < previous {
				t.Fatalf("a longer queue shortened the wait: %v after %v", usual, previous)
			}
			previous = usual
		}
	})
}
