package leadership

import (
	"sync"
	"time"
)

const (
	// initialEstimate is the expected length of the first outage: 1 s for the servers' own part,
	// the rest for detection, corroboration and the survey.
	initialEstimate = 2 * time.Second
	// nearEndDivisor divides the usual length if the primary already answers this node.
	nearEndDivisor = 4
	// outageWeight is the weight of the latest outage in the moving average.
	outageWeight = 0.3
)

// OutageEstimator estimates how long a service is without a primary that answers, from the length
// of earlier outages. It is safe for concurrent use.
type OutageEstimator struct {
	mu sync.Mutex
	// since is the start of the present outage, zero if there is none.
	since time.Time
	// usual is the moving average of the lengths of earlier outages, zero if there were none.
	usual time.Duration
}

// Record records whether the service has a primary that answers.
func (o *OutageEstimator) Record(now time.Time, available bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !available && o.since.IsZero():
		o.since = now
	case available && !o.since.IsZero():
		length := now.Sub(o.since)
		if o.usual == 0 {
			o.usual = length
		}
		o.usual += time.Duration(outageWeight * float64(length-o.usual))
		o.since = time.Time{}
	}
}

// ExpectedRest returns how long the present outage is expected to continue: the rest of the usual
// length, and after that half of the time it has lasted.
func (o *OutageEstimator) ExpectedRest(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	usual := o.usual
	if usual == 0 {
		usual = initialEstimate
	}
	if o.since.IsZero() {
		// The primary answers this node although the request found none: a change is almost done.
		return usual / nearEndDivisor
	}
	elapsed := now.Sub(o.since)
	if elapsed < usual {
		return usual - elapsed
	}
	return elapsed / 2
}

// Overdue reports whether the present outage has lasted longer than usual, and how long it is
// expected to continue.
func (o *OutageEstimator) Overdue(now time.Time) (left time.Duration, overdue bool) {
	left = o.ExpectedRest(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	return left, !o.since.IsZero() && now.Sub(o.since) >= max(o.usual, initialEstimate)
}
