package admission

import "time"

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
	rank := request.rank()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before := 1
	for _, place := range g.waiting {
		if place.rank.Before(rank) {
			before++
		}
	}
	free := int(g.limit) - g.running
	return time.Duration(max(0, before-free)) * g.pace.interval
}
