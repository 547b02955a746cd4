// Package routing chooses the server that runs a read.
//
// The choice is made from what a server is expected to take: the way there, the time that
// statements take there, and the work that waits. What an objective can spare sets the price
// of going further than needed. Of servers that are about equal, nodes that know the same
// take different ones, so that they do not all move at once. The package is pure.
package routing

import "time"

// Candidate is a server that could run a read, with what is known of it.
type Candidate struct {
	SameZone   bool
	SameRegion bool
	Primary    bool
	// Latency is the latency expected of a statement, queueing included; Way is the least
	// that was seen, which is the way there and back and hardly more. Zero if not known.
	Latency time.Duration
	Way     time.Duration
	// InFlight is this node's work that the server has not answered yet.
	InFlight int
	// Slots is how many statements the server runs at a time; zero if not known.
	Slots int
	// Wait is how long new work is known to wait, as the owner of the server's connections
	// tells or as it waits at this node; zero if nothing recent is known.
	Wait time.Duration
	// Covers is set if the server should have the position that the read needs.
	Covers bool
	// Avoided servers could not be reached lately, Congested ones refused work.
	Avoided   bool
	Congested bool
	Leaving   bool
	// Tried servers have already failed to run this read.
	Tried bool
}

// Prices of what should not be, as the latency for which it would be worth making.
const (
	congestedCost = 150 * time.Millisecond
	triedCost     = 300 * time.Millisecond
	behindCost    = 500 * time.Millisecond
	leavingCost   = time.Second
	avoidedCost   = 5 * time.Second
)

// Prices of a longer way, as shares of the time that is left until the objective. A caller
// is served as well by either server while there is time, and traffic between zones and
// regions is paid for; as time runs out, only the time counts.
const (
	otherZoneShare   = 0.01
	otherRegionShare = 0.03
	// primaryShare keeps the primary's slots for what only it can run. It is well below the
	// part of an objective for which new work waits for a slot before it is refused (0.2):
	// with 0.25, replicas refused 28% of the slowest kind of reads while the primary had
	// room, with 0.12 12%, by a fixed price of 200 ms 16% (one play each, three servers in a
	// zone at 55% of their slots).
	primaryShare = 0.12
)

const (
	// assumedSlots are those of a server that tells none.
	assumedSlots = 4
	// leastService is the least time that a statement is taken to hold a slot, so that
	// work in flight counts before anything has been measured.
	leastService = time.Millisecond
	// spareShare is by how much, as a share of the time left, a server may be expected to
	// answer later than the best one and still be drawn. A wait that was told a moment ago
	// may be over; a draw that errs costs the caller no more than this.
	spareShare = 0.05
	// tie is how far two ways may differ and count as equal: estimates of latency that
	// come from few answers differ by some milliseconds.
	tie = 5 * time.Millisecond
	// draws is how many servers are drawn, of which the better one is taken.
	draws = 2
)

// estimate is what a choice would cost: fixed whatever the server's load, and in all.
type estimate struct{ fixed, total time.Duration }

// Cost returns the expected cost of a choice for a read that has a time left until its
// objective.
func Cost(c *Candidate, left time.Duration) time.Duration {
	e := c.estimate(left)
	return e.total
}

func (c *Candidate) estimate(left time.Duration) estimate {
	way := min(c.Way, c.Latency)
	fixed := way + c.price(max(left, 0))
	return estimate{fixed: fixed, total: fixed + c.work(way)}
}

// price is what the way and the server's state add to a choice.
func (c *Candidate) price(left time.Duration) time.Duration {
	share := 0.0
	if !c.SameZone {
		share += otherZoneShare
	}
	if !c.SameRegion {
		share += otherRegionShare
	}
	if c.Primary {
		share += primaryShare
	}
	price := time.Duration(share * float64(left))
	for _, extra := range []struct {
		applies bool
		cost    time.Duration
	}{
		{c.Congested, congestedCost},
		{c.Tried, triedCost},
		{!c.Covers, behindCost},
		{c.Leaving, leavingCost},
		{c.Avoided, avoidedCost},
	} {
		if extra.applies {
			price += extra.cost
		}
	}
	return price
}

// work is how long the statement is expected to wait and run.
func (c *Candidate) work(way time.Duration) time.Duration {
	service := max(c.Latency-way, leastService)
	rounds := max(1, float64(c.InFlight+1)/float64(c.slots()))
	return time.Duration(rounds*float64(service)) + c.Wait
}

// Choose returns the index of the server for a read that has a time left until its
// objective, -1 if there is none. draw returns a random number from 0 to below n.
//
// It draws twice among the servers that may be the best, each as often as it has slots, and
// takes the better; it may draw one twice. The server that reports call the least loaded
// would get all nodes' work until the next report.
func Choose(candidates []Candidate, left time.Duration, draw func(n int) int) int {
	if len(candidates) == 0 {
		return -1
	}
	estimates := make([]estimate, len(candidates))
	best := 0
	for i := range candidates {
		estimates[i] = candidates[i].estimate(left)
		if estimates[i].total < estimates[best].total {
			best = i
		}
	}
	lowest := estimates[best].total
	spare := max(tie, time.Duration(spareShare*float64(left)))
	equal := make([]int, 0, len(candidates))
	for i, e := range estimates {
		if e.fixed <= lowest+tie && e.total <= lowest+spare {
			equal = append(equal, i)
		}
	}
	chosen := pick(candidates, equal, draw)
	for range draws - 1 {
		if other := pick(candidates, equal, draw); estimates[other].total < estimates[chosen].total {
			chosen = other
		}
	}
	return chosen
}

// pick draws one of some candidates, each as often as it has slots.
func pick(candidates []Candidate, among []int, draw func(n int) int) int {
	all := 0
	for _, i := range among {
		all += candidates[i].slots()
	}
	drawn := draw(all)
	for _, i := range among {
		if drawn -= candidates[i].slots(); drawn < 0 {
			return i
		}
	}
	return among[len(among)-1]
}

// slots is how many statements the server is taken to run at a time.
func (c *Candidate) slots() int {
	if c.Slots <= 0 {
		return assumedSlots
	}
	return c.Slots
}
