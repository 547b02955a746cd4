package routing

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest"
)

// TestHugeSlotsEndNoProcess: slots whose sum overflows must not make the draw of a server panic,
// and must not keep the other servers from being drawn.
func TestHugeSlotsEndNoProcess(t *testing.T) {
	slots := rapid.OneOf(rapid.Int(), rapid.SampledFrom([]int{math.MinInt, -1, 0, 1, 1 << 62, math.MaxInt - 1, math.MaxInt}))
	rapid.Check(t, func(t *rapid.T) {
		candidates := make([]Candidate, 0, 4)
		for _, n := range rapid.SliceOfN(slots, 1, 4).Draw(t, "slots") {
			candidates = append(candidates, Candidate{SameZone: true, SameRegion: true, Latency: usualLatency, RTT: usualLatency, Covers: true, Slots: n})
		}
		random := rand.New(rand.NewPCG(1, 2))
		chosen := Choose(candidates, objective, random.IntN)
		must.Between(t, 0, chosen, len(candidates)-1)
	})
	for _, huge := range []int{1 << 62, math.MaxInt} {
		candidates := []Candidate{{Latency: usualLatency, Slots: huge}, {Latency: usualLatency, Slots: 3}}
		random, others := rand.New(rand.NewPCG(1, 2)), 0
		for range 10_000 {
			others += Choose(candidates, objective, random.IntN)
		}
		must.Positive(t, others)
	}
}
