package fairqueue

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

func always(int) bool { return true }

// Guards against service that isn't in proportion to the callers' weights.
func TestWeightedFairSharesByWeight(t *testing.T) {
	queue := New[int](WeightedFair, Resources{Slots: 5, Connections: 40})
	for index := range 100 {
		queue.Push("reseller", 1, index)
		queue.Push("passenger", 4, 1000+index)
	}
	passenger := 0
	for range 50 {
		item, ok := queue.Pop(always)
		must.True(t, ok)
		if item >= 1000 {
			passenger++
		}
	}
	must.Eq(t, 40, passenger)
}

// Guards against disciplines that lose, duplicate or reorder the items of a caller.
func TestItemsOfACallerStayInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		discipline := Discipline(rapid.IntRange(0, 2).Draw(t, "discipline"))
		queue := New[string](discipline, Resources{Slots: 5, Connections: 10})
		next := map[string]int{}
		expected := map[string]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
			if rapid.Bool().Draw(t, "push") {
				queue.Push(name, rapid.IntRange(1, 5).Draw(t, "weight"), fmt.Sprintf("%s%d", name, next[name]))
				next[name]++
				continue
			}
			if item, ok := queue.Pop(func(string) bool { return true }); ok {
				callerName := item[:1]
				must.Eq(t, fmt.Sprintf("%s%d", callerName, expected[callerName]), item)
				expected[callerName]++
			}
		}
		remaining := queue.RemoveIf(func(string) bool { return true })
		must.Eq(t, 0, queue.Len())
		must.Eq(t, next["a"]+next["b"]+next["c"], expected["a"]+expected["b"]+expected["c"]+len(remaining))
	})
}

// Guards against shares that ignore the connections of idle transactions.
func TestDominantResourceCountsHeldConnections(t *testing.T) {
	queue := New[int](DominantResource, Resources{Slots: 10, Connections: 10})
	queue.Acquire("reseller", Resources{Connections: 6})
	queue.Acquire("passenger", Resources{Slots: 3, Connections: 3})
	queue.Push("reseller", 1, 1)
	queue.Push("passenger", 1, 2)
	item, ok := queue.Pop(always)
	must.True(t, ok)
	must.Eq(t, 2, item)
}
