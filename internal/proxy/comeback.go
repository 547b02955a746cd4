package proxy

import (
	"math/rand/v2"
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/catalog"
)

// When a refused caller may come back follows from what was in its way: the queue and the
// pace of the server, or how long changes of the primary have lately taken.
const (
	// leastComeBack is the shortest time to come back: about a caller's round trip.
	leastComeBack = 20 * time.Millisecond
	// mostComeBack bounds it: whatever is expected now may have changed by then.
	mostComeBack = 5 * time.Second
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
	case failure.NoPrimary, failure.NoServer, failure.OutsideHomes:
		return spread(r.service.OutageLeft(now))
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
		if leader := r.service.Leader(now); leader != nil {
			return leader.ExpectedWait(request, now)
		}
		return r.service.OutageLeft(now)
	}
	request.Class = admission.Anywhere
	shortest := mostComeBack
	for _, entry := range r.session.node.catalog.Current().ByService[r.service.Name] {
		target := r.session.node.Server(entry.ID)
		if target == nil || !r.service.Usable(entry.ID, now) || target.Stats.Avoided(now) {
			continue
		}
		// A replica that is further behind than a new read may be cannot run one before it
		// has caught up.
		catchUp := target.Stats.Lag(now) - r.session.bound.MaxStaleness
		shortest = min(shortest, max(target.ExpectedWait(request, now), catchUp))
	}
	return shortest
}

// hopeless reports whether work that would have to wait so long for a slot cannot be
// answered within its objective: it is told at once.
func (r *run) hopeless(wait time.Duration) bool {
	return time.Now().Add(wait).After(r.arrived.Add(r.session.bound.TargetLatency))
}
