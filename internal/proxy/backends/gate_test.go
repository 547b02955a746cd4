package backends

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/proxy/admission"
)

// TestHugeSlotsCloseNoGate: the limit of a gate must not overflow to one that admits no work.
func TestHugeSlotsCloseNoGate(t *testing.T) {
	for _, slots := range []int{0, 1, 1 << 62, math.MaxInt} {
		now := time.Now()
		must.True(t, newGate(slots).Enter(admission.Request{Arrived: now}, now), must.Sprintf("%d slots", slots))
	}
}
