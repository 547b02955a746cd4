package admission

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

// paceWeight is the weight of a new sample in the pace of a gate.
const paceWeight = 0.2

// pace is how fast a server finishes work, as seen while there is more work than places.
type pace struct {
	// interval is the smoothed time between two ends; zero before the first sample.
	interval time.Duration
	// since is when work last ended on a full gate; zero if places were free since.
	since time.Time
}

// ended notes that work ended; full tells whether all places are taken again.
func (p *pace) ended(now time.Time, full bool) {
	if !p.since.IsZero() {
		sample := now.Sub(p.since)
		if p.interval == 0 {
			p.interval = sample
		}
		p.interval += time.Duration(paceWeight * float64(sample-p.interval))
	}
	p.since = time.Time{}
	if full {
		p.since = now
	}
}

// Wait returns how long work that comes now is expected to wait for leave to run: the
// work that would be let in before it, at the pace at which the server has lately
// finished work. It is zero if there is a free place, or if nothing is known.
func (g *Gate) Wait(request Request) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.wait(&request)
}

// wait returns the expected wait; the lock is held.
func (g *Gate) wait(request *Request) time.Duration {
	before := 1 + g.before(request)
	free := int(g.limit) - g.running
	return time.Duration(max(0, before-free)) * g.pace.interval
}

// before counts the waiting work that would be let in before work that comes now.
func (g *Gate) before(request *Request) int {
	rank := request.rank()
	var kept, shared, younger int
	for _, place := range g.waiting {
		earlier := place.rank.Before(rank)
		switch {
		case earlier && place.class == Anywhere:
			shared++
		case earlier:
			kept++
		case place.class != Anywhere:
			younger++
		}
	}
	left := g.room.most(int(g.limit)) - g.room.shared
	if request.Class == Anywhere {
		if left <= 0 {
			// What runs only here goes first, however young it is.
			kept += younger
		}
		return kept + shared
	}
	return kept + min(shared, max(0, left))
}

// Outlook is what waits for a server, and how long work of each level that comes now is
// expected to wait.
type Outlook struct {
	Running, Waiting, Limit int
	// Anywhere is the wait of work that other servers could take too, OnlyHere that of
	// work which no other can.
	Anywhere, OnlyHere [urgency.Levels]time.Duration
}

// Outlook returns what work that comes now has to expect.
func (g *Gate) Outlook(now time.Time) Outlook {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	seen := Outlook{Running: g.running, Waiting: len(g.waiting), Limit: int(g.limit)}
	if g.running < int(g.limit) && len(g.waiting) == 0 {
		return seen
	}
	for level := range seen.Anywhere {
		seen.Anywhere[level] = g.wait(&Request{Class: Anywhere, Priority: level, Arrived: now})
		seen.OnlyHere[level] = g.wait(&Request{Class: OnlyHere, Priority: level, Arrived: now})
	}
	return seen
}
