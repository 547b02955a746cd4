package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const usual = 20 * time.Millisecond

func TestChoiceOfAServer(t *testing.T) {
	near := Candidate{SameZone: true, SameRegion: true, Latency: usual, Covers: true}
	far := Candidate{Latency: 3 * usual, Covers: true}
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
		{"one with less work", []Candidate{with(near, func(c *Candidate) { c.InFlight = 40 }), far}, 1},
		{"one that has not refused", []Candidate{with(near, func(c *Candidate) { c.Congested = true }), far}, 1},
		{"one that was not tried", []Candidate{with(near, func(c *Candidate) { c.Tried = true }), far}, 1},
		{"one that stays", []Candidate{with(near, func(c *Candidate) { c.Leaving = true }), far}, 1},
		{"one that is reached", []Candidate{with(near, func(c *Candidate) { c.Avoided = true }), with(far, func(c *Candidate) { c.Leaving = true })}, 1},
		{"the only one", []Candidate{with(far, func(c *Candidate) { c.Avoided, c.Leaving, c.Covers = true, true, false })}, 0},
	} {
		must.Eq(t, test.chosen, Choose(test.candidates), must.Sprint(test.name))
	}
}

// TestWorseIsNeverPreferred: making a candidate worse in one way never makes it
// the choice.
func TestWorseIsNeverPreferred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Candidate {
			return Candidate{
				SameZone: rapid.Bool().Draw(t, label), SameRegion: rapid.Bool().Draw(t, label), Primary: rapid.Bool().Draw(t, label),
				Latency:  time.Duration(rapid.IntRange(0, 1000).Draw(t, label)) * time.Millisecond,
				InFlight: rapid.IntRange(0, 40).Draw(t, label), Covers: rapid.Bool().Draw(t, label),
			}
		}
		first, second := draw("first"), draw("second")
		worse := first
		switch rapid.IntRange(0, 4).Draw(t, "worse") {
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
		}
		if Choose([]Candidate{second, first}) == 0 && Choose([]Candidate{second, worse}) == 1 {
			t.Fatalf("%+v was preferred to %+v after it became worse", worse, second)
		}
	})
}
