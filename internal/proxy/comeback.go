package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/urgency"
)

// When a refused caller may come back follows from what was in its way: the queue and the
// pace of the server, or how long changes of the primary have lately taken.
const (
	// leastComeBack is the shortest time to come back: about a caller's round trip.
	leastComeBack = 20 * time.Millisecond
	// mostComeBack bounds it: whatever is expected now may have changed by then.
	mostComeBack = 5 * time.Second
	// firstOutage is how long the first change of a primary is expected to take: 1 s for
	// the servers' own part, the rest for finding it out, asking and surveying.
	firstOutage = 2 * time.Second
	// nearEnd is the part of an outage that is left if its end shows already.
	nearEnd = 4
	// outageWeight is the weight of one more outage in the usual length.
	outageWeight = 0.3
)

// spread adds up to a half, so that callers who were refused together do not come back
// together.
func spread(span time.Duration) time.Duration {
	span = min(max(span, leastComeBack), mostComeBack)
	return span + rand.N(span/2+1)
}

// comeBack returns after which time work that is refused for a reason has a chance.
func (r *run) comeBack(kind failure.Kind) time.Duration {
	now := time.Now()
	switch kind {
	case failure.Overloaded:
		return spread(r.expectedWait(now))
	case failure.NoPrimary:
		return spread(r.service.outage.left(now))
	default:
		return spread(leastComeBack)
	}
}

// needsLeader reports whether only the primary can run the work.
func (r *run) needsLeader() bool {
	t := r.session.transaction
	if t != nil {
		return !t.readOnly || r.session.bound.Freshness == catalog.Current
	}
	return r.statement.Writes || r.session.bound.Freshness == catalog.Current
}

// expectedWait returns how long new work of the session waits for a slot of the server
// that will have one first.
func (r *run) expectedWait(now time.Time) time.Duration {
	request := admission.Request{Class: admission.OnlyHere, Priority: r.session.bound.Priority, Arrived: now}
	if r.needsLeader() {
		if leader := r.service.leader(now); leader != nil {
			return leader.expectedWait(request, now)
		}
		return r.service.outage.left(now)
	}
	request.Class = admission.Anywhere
	shortest := mostComeBack
	for _, entry := range r.session.node.catalog.Current().ByService[r.service.name] {
		target := r.session.node.server(entry.ID)
		if target == nil || !r.service.usable(entry.ID, now) || target.stats.Avoided(now) {
			continue
		}
		// A replica that is further behind than a new read may be cannot run one before it
		// has caught up.
		catchUp := target.stats.Lag(now) - r.session.bound.MaxStaleness
		shortest = min(shortest, max(target.expectedWait(request, now), catchUp))
	}
	return shortest
}

// expectedWait returns how long work waits for a slot of the server. Where an owner
// orders the work, what it tells stands for that, or what answers have lately taken.
func (t *server) expectedWait(request admission.Request, now time.Time) time.Duration {
	if wait, known := t.wait(request.Class, urgency.Of(request.Priority), now); known {
		return wait
	}
	return max(t.gate.Wait(request), t.stats.Latency(now))
}

// hopeless reports whether work that would have to wait so long for a slot cannot be
// answered within its objective: it is told at once.
func (r *run) hopeless(wait time.Duration) bool {
	return time.Now().Add(wait).After(r.arrived.Add(r.session.bound.TargetLatency))
}

// outage tells how long a service is usually without a primary that answers. It is safe
// for concurrent use.
type outage struct {
	mu    sync.Mutex
	since time.Time
	usual time.Duration
}

// note takes a look at the service: whether it has a primary that answers.
func (o *outage) note(now time.Time, served bool) {
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

// left returns how long the present outage is expected to go on: what is left of the
// usual length, and after that half of what it has lasted so far.
func (o *outage) left(now time.Time) time.Duration {
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
