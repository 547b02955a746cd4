package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	usualLatency = 20 * time.Millisecond
	objective    = 800 * time.Millisecond
)

// chances returns for each candidate how many of all possible draws choose it.
func chances(candidates []Candidate, left time.Duration) []int {
	counts := make([]int, len(candidates))
	all := 0
	for i := range candidates {
		all += candidates[i].slots()
	}
	for first := range all {
		for second := range all {
			// The draws cover the range of n evenly.
			drawn := []int{first, second}
			counts[Choose(candidates, left, func(n int) int {
				next := drawn[0] * n / all
				drawn = drawn[1:]
				return next
			})]++
		}
	}
	return counts
}

func TestChoiceOfAServer(t *testing.T) {
	near := Candidate{SameZone: true, SameRegion: true, Latency: usualLatency, RTT: usualLatency / 2, Covers: true, Slots: 4}
	far := Candidate{Latency: 3 * usualLatency, RTT: 2 * usualLatency, Covers: true, Slots: 4}
	with := func(candidate Candidate, change func(*Candidate)) Candidate {
		change(&candidate)
		return candidate
	}
	for _, test := range []struct {
		name       string
		candidates []Candidate
		chosen     int
	}{
		{"none", nil, -1},
		{"the near one", []Candidate{far, near}, 1},
		{"a far replica rather than the near primary", []Candidate{with(near, func(c *Candidate) { c.Primary = true }), far}, 1},
		{"the primary when replicas are slow", []Candidate{
			with(near, func(c *Candidate) { c.Primary = true }), with(far, func(c *Candidate) { c.Latency = time.Second }),
		}, 0},
		{"one that has the position", []Candidate{with(near, func(c *Candidate) { c.Covers = false }), far}, 1},
		{"one with less work", []Candidate{with(near, func(c *Candidate) { c.InFlight = 80 }), far}, 1},
		{"the near one while its wait is shorter than the difference in latency", []Candidate{with(near, func(c *Candidate) { c.Wait = 2 * usualLatency }), far}, 0},
		{"one whose owner reports no wait", []Candidate{with(near, func(c *Candidate) { c.Wait = 10 * usualLatency }), far}, 1},
		{"one with more slots", []Candidate{
			with(near, func(c *Candidate) { c.Slots, c.InFlight = 2, 40 }), with(near, func(c *Candidate) { c.Slots, c.InFlight = 8, 40 }),
		}, 1},
		{"one that is not congested", []Candidate{with(near, func(c *Candidate) { c.Congested = true }), far}, 1},
		{"one that was not tried", []Candidate{with(near, func(c *Candidate) { c.Tried = true }), far}, 1},
		{"one that is not leaving", []Candidate{with(near, func(c *Candidate) { c.Leaving = true }), far}, 1},
		{"one that is reachable", []Candidate{with(near, func(c *Candidate) { c.Avoided = true }), with(far, func(c *Candidate) { c.Leaving = true })}, 1},
		{"the only one", []Candidate{with(far, func(c *Candidate) { c.Avoided, c.Leaving, c.Covers = true, true, false })}, 0},
	} {
		for _, first := range []func(int) int{func(int) int { return 0 }, func(n int) int { return n - 1 }} {
			must.Eq(t, test.chosen, Choose(test.candidates, objective, first), must.Sprint(test.name))
		}
	}
}

// TestWorseIsNeverPreferred guards against choosing a candidate more often after one of its
// properties got worse.
func TestWorseIsNeverPreferred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Candidate {
			return Candidate{
				SameZone: rapid.Bool().Draw(t, label), SameRegion: rapid.Bool().Draw(t, label), Primary: rapid.Bool().Draw(t, label),
				Latency:  time.Duration(rapid.IntRange(0, 1000).Draw(t, label)) * time.Millisecond,
				RTT:      time.Duration(rapid.IntRange(0, 100).Draw(t, label)) * time.Millisecond,
				Wait:     time.Duration(rapid.IntRange(0, 100).Draw(t, label)) * time.Millisecond,
				InFlight: rapid.IntRange(0, 40).Draw(t, label), Covers: rapid.Bool().Draw(t, label),
				Slots: rapid.IntRange(0, 8).Draw(t, label),
			}
		}
		first, second := draw("first"), draw("second")
		worse := first
		switch rapid.IntRange(0, 5).Draw(t, "worse") {
		case 0:
			worse.Latency += 10 * time.Millisecond
		case 1:
			worse.InFlight++
		case 2:
			worse.Covers = false
		case 3:
			worse.Avoided = true
		case 4:
			worse.Leaving = true
		case 5:
			worse.Wait += 10 * time.Millisecond
		}
		left := time.Duration(rapid.IntRange(-100, 2000).Draw(t, "left")) * time.Millisecond
		if before, after := chances([]Candidate{second, first}, left), chances([]Candidate{second, worse}, left); after[1] > before[1] {
			t.Fatalf("%+v gets %v draws against %+v, and %v before it got worse", worse, after, second, before)
		}
	})
}

// TestDistanceIsAvoidedWhileThereIsTime guards against using remote servers or the primary while
// there is time, and against avoiding them when the objective is near.
func TestDistanceIsAvoidedWhileThereIsTime(t *testing.T) {
	slow := Candidate{SameZone: true, SameRegion: true, Covers: true, Latency: 60 * time.Millisecond, RTT: time.Millisecond}
	far := Candidate{Covers: true, Latency: 45 * time.Millisecond, RTT: 40 * time.Millisecond}
	primary := Candidate{SameZone: true, SameRegion: true, Covers: true, Primary: true, Latency: 6 * time.Millisecond, RTT: time.Millisecond}
	must.Eq(t, []int{64, 0}, chances([]Candidate{slow, far}, objective))
	must.Eq(t, []int{0, 64}, chances([]Candidate{slow, far}, 50*time.Millisecond))
	must.Eq(t, []int{64, 0}, chances([]Candidate{far, primary}, objective))
	must.Eq(t, []int{0, 64}, chances([]Candidate{far, primary}, 50*time.Millisecond))
}
