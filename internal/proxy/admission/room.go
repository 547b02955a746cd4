package admission

import (
	"math"
	"time"
)

// demandWeighing is the time over which the demand of work that runs only on a server is
// averaged: long against one statement (5 to 50 ms), so that a single one keeps no place,
// and about an objective, so that a burst has its room before its callers give up.
const demandWeighing = time.Second

// room divides a server's places between work that no other server can run, and work that
// others could: what the first has lately used and waited for is kept for it. Places are
// kept in the order only: none is idle while anything waits.
//
// On a primary whose replicas were far behind, reads that replicas usually run took the
// places in the order of their arrival, and writes waited among them.
type room struct {
	// shared counts the running work of class Anywhere, kept the other work that runs or
	// waits.
	shared int
	kept   int
	demand average
}

func (r *room) asked(class Class, now time.Time) {
	if class != Anywhere {
		r.demand.note(now, float64(r.kept))
		r.kept++
	}
}

func (r *room) gone(class Class, now time.Time) {
	if class != Anywhere {
		r.demand.note(now, float64(r.kept))
		r.kept--
	}
}

func (r *room) entered(class Class) {
	if class == Anywhere {
		r.shared++
	}
}

func (r *room) left(class Class, now time.Time) {
	if class == Anywhere {
		r.shared--
		// The time without work that runs only here passes too.
		r.demand.note(now, float64(r.kept))
		return
	}
	r.gone(class, now)
}

// most returns how many of a number of places work of class Anywhere may take while other
// work waits: at least one.
func (r *room) most(places int) int {
	return max(1, places-int(math.Ceil(r.demand.value)))
}

// full reports whether work of class Anywhere takes all that it may.
func (r *room) full(places int) bool { return r.shared >= r.most(places) }

// average is a value averaged over the time.
type average struct {
	value float64
	at    time.Time
}

// note takes the value that held since the last note.
func (a *average) note(now time.Time, held float64) {
	span := now.Sub(a.at)
	if span <= 0 {
		return
	}
	if !a.at.IsZero() {
		a.value += (held - a.value) * (1 - math.Exp(-span.Seconds()/demandWeighing.Seconds()))
	}
	a.at = now
}
