package leadership

import (
	"sync"
	"time"
)

const (
	// firstOutage is how long the first change of a primary is expected to take: 1 s for
	// the servers' own part, the rest for finding it out, asking and surveying.
	firstOutage = 2 * time.Second
	// nearEnd is the part of an outage that is left if its end shows already.
	nearEnd = 4
	// outageWeight is the weight of one more outage in the usual length.
	outageWeight = 0.3
)

// Outage tells how long a service is usually without a primary that answers. It is safe
// for concurrent use.
type Outage struct {
	mu    sync.Mutex
	since time.Time
	usual time.Duration
}

// Note takes a look at the service: whether it has a primary that answers.
func (o *Outage) Note(now time.Time, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !served && o.since.IsZero():
		o.since = now
	case served && !o.since.IsZero():
		length := now.Sub(o.since)
		if o.usual == 0 {
			o.usual = length
		}
		o.usual += time.Duration(outageWeight * float64(length-o.usual))
		o.since = time.Time{}
	}
}

// Left returns how long the present outage is expected to go on: what is left of the
// usual length, and after that half of what it has lasted so far.
func (o *Outage) Left(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	usual := o.usual
	if usual == 0 {
		usual = firstOutage
	}
	if o.since.IsZero() {
		// The primary answers this node, and yet the work found none: a change is near its end.
		return usual / nearEnd
	}
	lasted := now.Sub(o.since)
	if lasted < usual {
		return usual - lasted
	}
	return lasted / 2
}

// Overdue reports whether the present outage has lasted longer than usual, and how long it is
// expected to go on.
func (o *Outage) Overdue(now time.Time) (left time.Duration, overdue bool) {
	left = o.Left(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	return left, !o.since.IsZero() && now.Sub(o.since) >= max(o.usual, firstOutage)
}
