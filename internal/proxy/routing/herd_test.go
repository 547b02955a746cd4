package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// chooser has the signature of Choose.
type chooser func(candidates []Candidate, left time.Duration, draw func(int) int) int

// leastReported chooses the server with the lowest reported wait.
func leastReported(candidates []Candidate, _ time.Duration, _ func(int) int) int {
	best := 0
	for i := range candidates {
		if candidates[i].Wait < candidates[best].Wait {
			best = i
		}
	}
	return best
}

// fixedPenalties ignores slots: the cost is the latency plus a quarter of it for each of this
// node's requests.
func fixedPenalties(candidates []Candidate, _ time.Duration, _ func(int) int) int {
	cost := func(c *Candidate) time.Duration { return c.Latency + c.Latency*time.Duration(c.InFlight)/4 }
	best := 0
	for i := range candidates {
		if cost(&candidates[i]) < cost(&candidates[best]) {
			best = i
		}
	}
	return best
}

// fleet simulates nodes that send reads to the servers of a service, in steps of a millisecond.
// Each node has a report of each server and renews it at its own interval.
type fleet struct {
	slots     []int
	slowness  []float64
	nodes     int
	perSecond float64
	staleness [2]int // range of milliseconds between two reports of a server
	choose    chooser
}

const (
	simServiceTime = 10 * time.Millisecond
	simRTT         = time.Millisecond
	// simTimeLeft is the time left of an objective of 800 ms when a read arrives.
	simTimeLeft     = 800 * time.Millisecond
	reportDecayTime = 400.0 // milliseconds until a report has decayed to zero
)

type report struct {
	wait     time.Duration
	at, next int
}

// simulate returns the longest queue and the mean queue, per slot and averaged over time, and the
// number of reads sent to each server. Queues include the running work.
func (f fleet) simulate(r *rand.Rand, milliseconds int) (longest, mean float64, ran []int) {
	service := func(i int) float64 { return f.slowness[i] * simServiceTime.Seconds() * 1_000 }
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
		for range int(f.perSecond/1_000) + roundRandomly(r, f.perSecond/1_000) {
			n := r.IntN(f.nodes)
			candidates := make([]Candidate, len(f.slots))
			for i := range candidates {
				current := &reports[n][i]
				if now >= current.next {
					wait := max(0, queues[i]-float64(f.slots[i])) * service(i) / float64(f.slots[i])
					*current = report{time.Duration(wait * float64(time.Millisecond)), now, now + f.staleness[0] + r.IntN(f.staleness[1]-f.staleness[0])}
				}
				decayed := time.Duration(float64(current.wait) * max(0, 1-float64(now-current.at)/reportDecayTime))
				candidates[i] = Candidate{
					SameZone: true, SameRegion: true, Covers: true, Slots: f.slots[i], InFlight: int(inFlight[n][i]),
					RTT: simRTT, Latency: simRTT + time.Duration(service(i)*float64(time.Millisecond)), Wait: decayed,
				}
			}
			chosen := f.choose(candidates, simTimeLeft, r.IntN)
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

// roundRandomly returns 1 with a probability of the number's fractional part, otherwise 0.
func roundRandomly(r *rand.Rand, number float64) int {
	if r.Float64() < number-float64(int(number)) {
		return 1
	}
	return 0
}

// maxQueueRatio is the maximum ratio of the longest queue with reports that are 100 to 400 ms old
// to that with current reports. queueTolerance is the difference that a single statement makes.
const (
	maxQueueRatio  = 1.5
	queueTolerance = 0.25
)

// causesHerding reports whether a rule makes queues too long because of old reports.
func causesHerding(choose chooser, nodes, perSecond int, seed uint64) bool {
	f := fleet{
		slots: []int{4, 4, 4}, slowness: []float64{1, 1, 1}, staleness: [2]int{1, 2}, choose: Choose,
		nodes: nodes, perSecond: float64(perSecond),
	}
	baseline, _, _ := f.simulate(rand.New(rand.NewPCG(seed, 1)), simMilliseconds)
	f.staleness, f.choose = [2]int{100, 400}, choose
	longest, _, _ := f.simulate(rand.New(rand.NewPCG(seed, 1)), simMilliseconds)
	return longest > maxQueueRatio*baseline+queueTolerance
}

// simMilliseconds is the length of a simulated run in milliseconds.
const simMilliseconds = 3_000

// TestOldReportsCauseNoHerding guards against nodes with the same old reports all choosing the
// server that was last reported as free.
func TestOldReportsCauseNoHerding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, perSecond := rapid.IntRange(5, 60).Draw(t, "nodes"), rapid.IntRange(300, 1_000).Draw(t, "load")
		if causesHerding(Choose, nodes, perSecond, rapid.Uint64().Draw(t, "seed")) {
			t.Fatal("old reports make queues longer")
		}
	})
}

// TestLeastReportedWaitCausesHerding checks that the simulation detects herding: choosing the
// lowest reported load fails it.
func TestLeastReportedWaitCausesHerding(t *testing.T) {
	for _, nodes := range []int{5, 20, 60} {
		for _, perSecond := range []int{600, 700, 800, 900} {
			must.True(t, causesHerding(leastReported, nodes, perSecond, 1), must.Sprint(nodes, perSecond))
		}
	}
}

// TestUnequalServersGetWorkByCapacity guards against a queue at one server while another has free
// slots, if servers differ in slots or speed.
func TestUnequalServersGetWorkByCapacity(t *testing.T) {
	for name, f := range map[string]fleet{
		"slots":     {slots: []int{8, 4, 2}, slowness: []float64{1, 1, 1}, perSecond: 1_000},
		"slow":      {slots: []int{4, 4, 4}, slowness: []float64{1, 5, 1}, perSecond: 600},
		"very slow": {slots: []int{4, 4, 4}, slowness: []float64{1, 1, 20}, perSecond: 600},
	} {
		f.nodes, f.staleness, f.choose = 20, [2]int{100, 400}, Choose
		longest, _, ran := f.simulate(rand.New(rand.NewPCG(1, 1)), 10_000)
		must.Less(t, 1.0, longest, must.Sprint(name, ran))
		f.choose = fixedPenalties
		longest, _, ran = f.simulate(rand.New(rand.NewPCG(1, 1)), 10_000)
		must.Greater(t, 1.0, longest, must.Sprint(name, ran))
	}
}
