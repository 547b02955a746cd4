package backends

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

// TestHugeSlotsExhaustNoMemory: a server's number of slots must not make a node open connections,
// each by a goroutine, without a limit.
func TestHugeSlotsExhaustNoMemory(t *testing.T) {
	for slots, count := range map[int]int{
		math.MinInt: 2, -1: 2, 0: 2, 1: 3, 4: 6, 32: 34, 33: 34, 1 << 40: 34, math.MaxInt: 34,
	} {
		must.Eq(t, count, prewarmCount(slots), must.Sprintf("%d slots", slots))
	}
}
