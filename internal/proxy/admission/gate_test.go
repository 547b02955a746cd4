package admission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
)

func TestGateAdaptsToServerCapacity(t *testing.T) {
	gate := NewGate(8, 8)
	now := time.Unix(1_000_000, 0)
	const capacity = 3
	running := 0
	refusals := 0
	for step := range 2000 {
		now = now.Add(10 * time.Millisecond)
		if gate.Enter(Request{Arrived: now}, now) {
			running++
		}
		if running > capacity {
			running--
			refusals++
			gate.Leave(Anywhere, Refused, now)
		} else if step%3 == 0 && running > 0 {
			running--
			gate.Leave(Anywhere, Ran, now)
		}
	}
	must.Less(t, 300, refusals)
	must.Between(t, 1, gate.Limit(), 6)
}

func TestWaitingWorkIsOrderedByClassPriorityAndAge(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		gate := NewGate(1, 1)
		start := time.Now()
		must.True(t, gate.Enter(Request{Arrived: start}, start))
		order := make(chan string, 8)
		wait := func(name string, request Request) {
			go func() {
				if gate.Enter(request, start.Add(time.Second)) {
					order <- name
				}
			}()
			synctest.Wait()
		}
		wait("read", Request{Class: Anywhere, Priority: 2, Arrived: start})
		wait("urgent read", Request{Class: Anywhere, Priority: 1, Arrived: start})
		wait("write", Request{Class: OnlyHere, Priority: 2, Arrived: start})
		wait("transaction", Request{Class: Continuation, Priority: 2, Arrived: start.Add(50 * time.Millisecond)})
		wait("old read", Request{Class: Anywhere, Priority: 2, Arrived: start.Add(-time.Second)})
		for _, expected := range []string{"old read", "transaction", "write", "urgent read", "read"} {
			gate.Leave(Anywhere, Other, time.Now())
			must.Eq(t, expected, <-order)
		}
	})
}

func TestWaitEndsAtItsDeadline(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		gate := NewGate(1, 1)
		start := time.Now()
		must.True(t, gate.Enter(Request{Arrived: start}, start))
		must.False(t, gate.Enter(Request{Arrived: start}, start.Add(100*time.Millisecond)))
		must.Eq(t, 100*time.Millisecond, time.Since(start))
		running, waiting := gate.Load()
		must.Eq(t, 1, running)
		must.Eq(t, 0, waiting)
	})
}

// TestGateNeverExceedsItsLimitNorLeaksSlots guards against admitting too much and against leaking
// slots.
func TestGateNeverExceedsItsLimitNorLeaksSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		highest := rapid.IntRange(1, 8).Draw(t, "highest")
		gate := NewGate(rapid.IntRange(1, highest).Draw(t, "limit"), highest)
		now := time.Unix(1_000_000, 0)
		running := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "enter") {
				if gate.Enter(Request{Arrived: now}, now) {
					running++
				}
			} else if running > 0 {
				running--
				gate.Leave(Anywhere, Result(rapid.IntRange(0, 2).Draw(t, "result")), now)
			}
			counted, waiting := gate.Load()
			if counted != running || waiting != 0 || running > highest {
				t.Fatalf("running %d, counted %d, waiting %d, highest %d", running, counted, waiting, highest)
			}
		}
		for ; running > 0; running-- {
			gate.Leave(Anywhere, Other, now)
		}
		if !gate.Enter(Request{Arrived: now}, now) {
			t.Fatal("an empty gate admits nothing")
		}
	})
}
