package admission

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

// intervalWeight is the weight of a new sample in throughput.interval.
const intervalWeight = 0.2

// throughput tracks how fast a server finishes work while all slots are in use.
type throughput struct {
	// interval is the smoothed time between two completions; zero before the first sample.
	interval time.Duration
	// lastEnd is when work last ended while the gate was full; zero if slots have been free since.
	lastEnd time.Time
}

// completed records that work ended. full is set if all slots are in use again.
func (t *throughput) completed(now time.Time, full bool) {
	if !t.lastEnd.IsZero() {
		sample := now.Sub(t.lastEnd)
		if t.interval == 0 {
			t.interval = sample
		}
		t.interval += time.Duration(intervalWeight * float64(sample-t.interval))
	}
	t.lastEnd = time.Time{}
	if full {
		t.lastEnd = now
	}
}

// Wait returns how long new work is expected to wait for admission. It is calculated from the
// number of waiting requests that would be admitted before it and the recent interval between
// completions. It is zero if a slot is free or no interval is known.
func (g *Gate) Wait(request Request) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.wait(&request)
}

// wait returns the expected wait. The lock is held.
func (g *Gate) wait(request *Request) time.Duration {
	before := 1 + g.countBefore(request)
	free := int(g.limit) - g.running
	return time.Duration(max(0, before-free)) * g.throughput.interval
}

// countBefore counts the waiting work that would be admitted before new work.
func (g *Gate) countBefore(request *Request) int {
	rank := request.rank()
	var exclusive, shared, later int
	for _, w := range g.waiting {
		earlier := w.rank.Before(rank)
		switch {
		case earlier && w.class == Anywhere:
			shared++
		case earlier:
			exclusive++
		case w.class != Anywhere:
			later++
		}
	}
	remaining := g.reservation.maxShared(int(g.limit)) - g.reservation.shared
	if request.Class == Anywhere {
		if remaining <= 0 {
			// Work that runs only here goes first, even if it arrived later.
			exclusive += later
		}
		return exclusive + shared
	}
	return exclusive + min(shared, max(0, remaining))
}

// Forecast is the load of a gate and the expected wait of new work at each level.
type Forecast struct {
	Running, Waiting, Limit int
	// Anywhere is the wait of work that other servers could run, too. OnlyHere is the wait of work
	// that only this server can run.
	Anywhere, OnlyHere [urgency.Levels]time.Duration
}

// Forecast returns the load and the expected waits of new work.
func (g *Gate) Forecast(now time.Time) Forecast {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	forecast := Forecast{Running: g.running, Waiting: len(g.waiting), Limit: int(g.limit)}
	if g.running < int(g.limit) && len(g.waiting) == 0 {
		return forecast
	}
	for level := range forecast.Anywhere {
		forecast.Anywhere[level] = g.wait(&Request{Class: Anywhere, Priority: level, Arrived: now})
		forecast.OnlyHere[level] = g.wait(&Request{Class: OnlyHere, Priority: level, Arrived: now})
	}
	return forecast
}
