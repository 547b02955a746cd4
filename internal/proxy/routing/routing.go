// Package routing chooses the server that runs a read.
package routing

import "time"

// Candidate is a server that could run a read, with what is known of it.
type Candidate struct {
	SameZone   bool
	SameRegion bool
	Primary    bool
	// Latency is the latency expected of a statement, queueing included.
	Latency  time.Duration
	InFlight int
	// Covers is set if the server should have the position that the read needs.
	Covers bool
	// Avoided servers could not be reached lately, Congested ones refused work.
	Avoided   bool
	Congested bool
	Leaving   bool
	// Tried servers have already failed to run this read.
	Tried bool
}

// The price of a choice, as the latency for which it would be worth making.
const (
	otherZoneCost   = 5 * time.Millisecond
	otherRegionCost = 50 * time.Millisecond
	// primaryCost keeps the primary's slots for what only it can run.
	primaryCost   = 200 * time.Millisecond
	congestedCost = 150 * time.Millisecond
	triedCost     = 300 * time.Millisecond
	behindCost    = 500 * time.Millisecond
	leavingCost   = time.Second
	avoidedCost   = 5 * time.Second
	// inFlightShare is the part of the latency added for each request of this
	// node that the server has not answered yet.
	inFlightShare = 0.25
)

// Cost returns the expected cost of a choice.
func Cost(candidate *Candidate) time.Duration {
	cost := candidate.Latency + time.Duration(inFlightShare*float64(candidate.InFlight)*float64(candidate.Latency))
	extras := []struct {
		applies bool
		cost    time.Duration
	}{
		{!candidate.SameZone, otherZoneCost},
		{!candidate.SameRegion, otherRegionCost},
		{candidate.Primary, primaryCost},
		{candidate.Congested, congestedCost},
		{candidate.Tried, triedCost},
		{!candidate.Covers, behindCost},
		{candidate.Leaving, leavingCost},
		{candidate.Avoided, avoidedCost},
	}
	for _, extra := range extras {
		if extra.applies {
			cost += extra.cost
		}
	}
	return cost
}

// Choose returns the index of the cheapest candidate, -1 if there is none.
func Choose(candidates []Candidate) int {
	best := -1
	var lowest time.Duration
	for i := range candidates {
		if cost := Cost(&candidates[i]); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}
