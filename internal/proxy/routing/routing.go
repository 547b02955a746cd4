// Package routing chooses the server that runs a read.
//
// The choice minimizes the expected cost: the round-trip time, the time that statements take on the
// server, and the waiting work. A server that is farther away than necessary has a penalty that
// depends on the time left until the objective. Among servers with about equal cost the choice is
// random, so that nodes with the same information do not all choose the same one. The package reads
// no clock and does no I/O.
package routing

import "time"

// Candidate is a server that could run a read, and what is known about it.
type Candidate struct {
	SameZone   bool
	SameRegion bool
	Primary    bool
	// Latency is the expected latency of a statement, queueing included. RTT is the lowest latency
	// seen, which is close to the round-trip time. Both are zero if unknown.
	Latency time.Duration
	RTT     time.Duration
	// InFlight counts this node's requests that the server has not answered yet.
	InFlight int
	// Slots is how many statements the server runs at a time; zero if unknown.
	Slots int
	// Wait is the expected wait of new work, from the owner's load report or from this node's own
	// queue; zero if nothing recent is known.
	Wait time.Duration
	// Covers is set if the server should have the position that the read needs.
	Covers bool
	// Avoided servers were recently unreachable, Congested ones have rejected work.
	Avoided   bool
	Congested bool
	Leaving   bool
	// Tried servers have already failed to run this read.
	Tried bool
}

// Penalties for a server's state, as added latency.
const (
	congestedCost = 150 * time.Millisecond
	triedCost     = 300 * time.Millisecond
	behindCost    = 500 * time.Millisecond
	leavingCost   = time.Second
	avoidedCost   = 5 * time.Second
)

// Penalties for distance and for the primary, as fractions of the time left until the objective.
// While there is time, a distant server serves the caller no better, and traffic between zones and
// regions costs money. With little time left, only latency counts.
const (
	otherZoneShare   = 0.01
	otherRegionShare = 0.03
	// primaryShare keeps the primary's slots for work that only it can run. It must be well below
	// the fraction of the objective (0.2) for which new work waits for a slot. Otherwise replicas
	// reject reads while the primary has free slots.
	primaryShare = 0.12
)

const (
	// defaultSlots is used for servers with an unknown number of slots.
	defaultSlots = 4
	// maxSlots limits a server's weight in the draw. Any program may write a server's entry.
	maxSlots = 256
	// minServiceTime is the minimum time that a statement is assumed to use a slot, so that work in
	// flight counts even before there are samples.
	minServiceTime = time.Millisecond
	// toleranceShare is how much longer than the best server, as a fraction of the time left, a
	// server may be expected to take and still be drawn. The reported wait may already be over. It
	// also limits the caller's loss by a wrong draw.
	toleranceShare = 0.05
	// tieTolerance is the difference up to which two fixed costs count as equal. Latency estimates
	// from few samples differ by some milliseconds.
	tieTolerance = 5 * time.Millisecond
	// drawCount is how many servers are drawn. The best of them is chosen.
	drawCount = 2
)

// estimate is the expected cost of a choice: fixed is independent of the server's load, total
// includes it.
type estimate struct{ fixed, total time.Duration }

// Cost returns the expected cost of a choice for a read with the given time left until its
// objective.
func Cost(c *Candidate, left time.Duration) time.Duration {
	e := c.estimate(left)
	return e.total
}

func (c *Candidate) estimate(left time.Duration) estimate {
	rtt := min(c.RTT, c.Latency)
	fixed := rtt + c.penalty(max(left, 0))
	return estimate{fixed: fixed, total: fixed + c.workTime(rtt)}
}

// penalty returns the cost added for distance and the server's state.
func (c *Candidate) penalty(left time.Duration) time.Duration {
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
	penalty := time.Duration(share * float64(left))
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
			penalty += extra.cost
		}
	}
	return penalty
}

// workTime returns how long the statement is expected to wait and run.
func (c *Candidate) workTime(rtt time.Duration) time.Duration {
	service := max(c.Latency-rtt, minServiceTime)
	rounds := max(1, float64(c.InFlight+1)/float64(c.slots()))
	return time.Duration(rounds*float64(service)) + c.Wait
}

// Choose returns the index of the server for a read with the given time left until its objective,
// or -1 if there is none. draw returns a random number from 0 to n-1.
//
// It draws drawCount times among the servers that may be the best, weighted by their slots, and
// returns the best of those drawn. The same server may be drawn more than once. If all nodes chose
// the server with the lowest reported load, it would get all their work until the next report.
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
	tolerance := max(tieTolerance, time.Duration(toleranceShare*float64(left)))
	contenders := make([]int, 0, len(candidates))
	for i, e := range estimates {
		if e.fixed <= lowest+tieTolerance && e.total <= lowest+tolerance {
			contenders = append(contenders, i)
		}
	}
	chosen := pick(candidates, contenders, draw)
	for range drawCount - 1 {
		if other := pick(candidates, contenders, draw); estimates[other].total < estimates[chosen].total {
			chosen = other
		}
	}
	return chosen
}

// pick draws one of the candidates in among, weighted by their slots.
func pick(candidates []Candidate, among []int, draw func(n int) int) int {
	total := 0
	for _, i := range among {
		total += candidates[i].slots()
	}
	drawn := draw(total)
	for _, i := range among {
		if drawn -= candidates[i].slots(); drawn < 0 {
			return i
		}
	}
	return among[len(among)-1]
}

// slots returns how many statements the server is assumed to run at a time.
func (c *Candidate) slots() int {
	if c.Slots <= 0 {
		return defaultSlots
	}
	return min(c.Slots, maxSlots)
}
