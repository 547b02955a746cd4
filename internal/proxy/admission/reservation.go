package admission

import (
	"math"
	"time"
)

// demandAveragingTime is the averaging time for the demand of work that runs only here. It is long
// compared with one statement (5 to 50 ms), so that a single one reserves no slot. It is about as
// long as an objective, so that a burst gets its slots before callers time out.
const demandAveragingTime = time.Second

// reservation divides a server's slots between work that only this server can run and work that
// others could run, too. It reserves for the former what that work has recently used and waited
// for. The reservation only affects the order: no slot is idle while work waits.
//
// Without it, if the replicas are behind, redirected reads take the primary's slots in the order of
// arrival and writes wait among them.
type reservation struct {
	// shared counts the running work of class Anywhere. exclusive counts the running and waiting
	// work of the other classes.
	shared    int
	exclusive int
	demand    average
}

func (r *reservation) enqueued(class Class, now time.Time) {
	if class != Anywhere {
		r.demand.record(now, float64(r.exclusive))
		r.exclusive++
	}
}

func (r *reservation) dequeued(class Class, now time.Time) {
	if class != Anywhere {
		r.demand.record(now, float64(r.exclusive))
		r.exclusive--
	}
}

func (r *reservation) started(class Class) {
	if class == Anywhere {
		r.shared++
	}
}

func (r *reservation) finished(class Class, now time.Time) {
	if class == Anywhere {
		r.shared--
		// The average must also include time without work that runs only here.
		r.demand.record(now, float64(r.exclusive))
		return
	}
	r.dequeued(class, now)
}

// maxShared returns how many slots work of class Anywhere may use while other work waits: at least
// one.
func (r *reservation) maxShared(slots int) int {
	return max(1, slots-int(math.Ceil(r.demand.value)))
}

// sharedFull reports whether work of class Anywhere uses its whole share.
func (r *reservation) sharedFull(slots int) bool { return r.shared >= r.maxShared(slots) }

// average is a time-weighted average of a value.
type average struct {
	value float64
	at    time.Time
}

// record adds the value that was current since the last call.
func (a *average) record(now time.Time, current float64) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	if !a.at.IsZero() {
		a.value += (current - a.value) * (1 - math.Exp(-elapsed.Seconds()/demandAveragingTime.Seconds()))
	}
	a.at = now
}
