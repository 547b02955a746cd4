package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// chooser takes the place of Choose.
type chooser func(candidates []Candidate, left time.Duration, draw func(int) int) int

// leastTold is everybody's move to the server that was least loaded a moment ago.
func leastTold(candidates []Candidate, _ time.Duration, _ func(int) int) int {
	best := 0
	for i := range candidates {
		if candidates[i].Wait < candidates[best].Wait {
			best = i
		}
	}
	return best
}

// fixedPrices is the rule that counts no slots: latency, and a quarter of it for each
// request of this node.
func fixedPrices(candidates []Candidate, _ time.Duration, _ func(int) int) int {
	cost := func(c *Candidate) time.Duration { return c.Latency + c.Latency*time.Duration(c.InFlight)/4 }
	best := 0
	for i := range candidates {
		if cost(&candidates[i]) < cost(&candidates[best]) {
			best = i
		}
	}
	return best
}

// fleet plays nodes that send reads to the servers of a service, millisecond by
// millisecond. Each node has a report of each server, which it gets anew at its own pace.
type fleet struct {
	slots     []int
	slowness  []float64
	nodes     int
	perSecond float64
	staleness [2]int // milliseconds between two reports of a server
	choose    chooser
}

const (
	playedService = 10 * time.Millisecond
	playedWay     = time.Millisecond
	// playedLeft is what an objective of 800 ms leaves when a read comes.
	playedLeft = 800 * time.Millisecond
	reportLife = 400.0 // milliseconds after which a report has faded
)

type report struct {
	wait     time.Duration
	at, next int
}

// play returns the mean over time of the longest queue, and of all queues' mean; queues
// count the work that has a slot too.
func (f fleet) play(r *rand.Rand, milliseconds int) (longest, mean float64, ran []int) {
	service := func(i int) float64 { return f.slowness[i] * playedService.Seconds() * 1_000 }
	queues := make([]float64, len(f.slots))
	ran = make([]int, len(f.slots))
	inFlight := make([][]float64, f.nodes)
	reports := make([][]report, f.nodes)
	for n := range f.nodes {
		inFlight[n] = make([]float64, len(f.slots))
		reports[n] = make([]report, len(f.slots))
	}
	for now := range milliseconds {
		for i := range queues {
			done := min(queues[i], float64(f.slots[i])/service(i))
			for n := range inFlight {
				if queues[i] > 0 {
					inFlight[n][i] *= 1 - done/queues[i]
				}
			}
			queues[i] -= done
		}
		for range int(f.perSecond/1_000) + draws01(r, f.perSecond/1_000) {
			n := r.IntN(f.nodes)
			candidates := make([]Candidate, len(f.slots))
			for i := range candidates {
				known := &reports[n][i]
				if now >= known.next {
					wait := max(0, queues[i]-float64(f.slots[i])) * service(i) / float64(f.slots[i])
					*known = report{time.Duration(wait * float64(time.Millisecond)), now, now + f.staleness[0] + r.IntN(f.staleness[1]-f.staleness[0])}
				}
				faded := time.Duration(float64(known.wait) * max(0, 1-float64(now-known.at)/reportLife))
				candidates[i] = Candidate{
					SameZone: true, SameRegion: true, Covers: true, Slots: f.slots[i], InFlight: int(inFlight[n][i]),
					Way: playedWay, Latency: playedWay + time.Duration(service(i)*float64(time.Millisecond)), Wait: faded,
				}
			}
			chosen := f.choose(candidates, playedLeft, r.IntN)
			queues[chosen]++
			inFlight[n][chosen]++
			ran[chosen]++
		}
		most, all := 0.0, 0.0
		for i, queue := range queues {
			most = max(most, queue/float64(f.slots[i]))
			all += queue / float64(f.slots[i])
		}
		longest += most
		mean += all / float64(len(queues))
	}
	return longest / float64(milliseconds), mean / float64(milliseconds), ran
}

// draws01 returns 1 with the chance of the part of a number behind the point.
func draws01(r *rand.Rand, number float64) int {
	if r.Float64() < number-float64(int(number)) {
		return 1
	}
	return 0
}

// mostUneven is how many times as long the longest queue may be, on average over time, with
// reports that are 100 to 400 ms old as with those of this millisecond; a quarter of a slot
// is what one statement more or less makes.
const (
	mostUneven = 1.5
	oneMore    = 0.25
)

// herds reports whether a rule makes queues longer than that by the age of what it knows.
func herds(choose chooser, nodes, perSecond int, seed uint64) bool {
	f := fleet{
		slots: []int{4, 4, 4}, slowness: []float64{1, 1, 1}, staleness: [2]int{1, 2}, choose: Choose,
		nodes: nodes, perSecond: float64(perSecond),
	}
	informed, _, _ := f.play(rand.New(rand.NewPCG(seed, 1)), playedSpan)
	f.staleness, f.choose = [2]int{100, 400}, choose
	longest, _, _ := f.play(rand.New(rand.NewPCG(seed, 1)), playedSpan)
	return longest > mostUneven*informed+oneMore
}

// playedSpan is the length of a play in milliseconds.
const playedSpan = 3_000

// TestOldReportsMakeNoHerd: nodes that all go by the same reports do not all move to the
// server that was free a moment ago.
func TestOldReportsMakeNoHerd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, perSecond := rapid.IntRange(5, 60).Draw(t, "nodes"), rapid.IntRange(300, 1_000).Draw(t, "load")
		if herds(Choose, nodes, perSecond, rapid.Uint64().Draw(t, "seed")) {
			t.Fatal("queues are longer by old reports")
		}
	})
}

// TestLeastToldMakesAHerd: the rule that the draws replace fails the same check.
func TestLeastToldMakesAHerd(t *testing.T) {
	for _, nodes := range []int{5, 20, 60} {
		for _, perSecond := range []int{600, 700, 800, 900} {
			must.True(t, herds(leastTold, nodes, perSecond, 1), must.Sprint(nodes, perSecond))
		}
	}
}

// TestServersThatDifferGetWhatTheyBear: with slots of 8, 4 and 2, and with one server five
// times slower, no queue stands while another server has free slots.
func TestServersThatDifferGetWhatTheyBear(t *testing.T) {
	for name, f := range map[string]fleet{
		"slots":   {slots: []int{8, 4, 2}, slowness: []float64{1, 1, 1}, perSecond: 1_000},
		"slow":    {slots: []int{4, 4, 4}, slowness: []float64{1, 5, 1}, perSecond: 600},
		"far off": {slots: []int{4, 4, 4}, slowness: []float64{1, 1, 20}, perSecond: 600},
	} {
		f.nodes, f.staleness, f.choose = 20, [2]int{100, 400}, Choose
		longest, _, ran := f.play(rand.New(rand.NewPCG(1, 1)), 10_000)
		must.Less(t, 1.0, longest, must.Sprint(name, ran))
		f.choose = fixedPrices
		longest, _, ran = f.play(rand.New(rand.NewPCG(1, 1)), 10_000)
		must.Greater(t, 1.0, longest, must.Sprint(name, ran))
	}
}
