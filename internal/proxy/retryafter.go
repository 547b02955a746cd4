package proxy

import (
	"math/rand/v2"
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/catalog"
)

// A caller is told to retry after a delay that follows from the cause of the rejection: the
// server's queue and its pace, or how long recent changes of the primary have taken.
const (
	// minRetryAfter is about a caller's round-trip time.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter bounds the delay, because estimates don't hold for longer.
	maxRetryAfter = 5 * time.Second
)

// withJitter adds up to a half to a retry delay, so that callers that were rejected together don't
// retry together.
func withJitter(delay time.Duration) time.Duration {
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return delay + rand.N(delay/2+1)
}

// retryAfter returns the delay after which work that is rejected for a reason should be retried.
func (r *run) retryAfter(kind failure.Kind) time.Duration {
	now := time.Now()
	switch kind {
	case failure.Overloaded:
		return withJitter(r.expectedWait(now))
	case failure.NoPrimary, failure.NoServer, failure.OutsideHomes:
		return withJitter(r.service.OutageLeft(now))
	default:
		return withJitter(minRetryAfter)
	}
}

// needsPrimary reports whether only the primary can run the work.
func (r *run) needsPrimary() bool {
	t := r.session.transaction
	if t != nil {
		return !t.readOnly || r.session.route.Freshness == catalog.Current
	}
	return r.statement.Writes || r.session.route.Freshness == catalog.Current
}

// expectedWait returns how long new work of the session is expected to wait for a slot on the
// server that has one first.
func (r *run) expectedWait(now time.Time) time.Duration {
	request := admission.Request{Class: admission.OnlyHere, Priority: r.session.route.Priority, Arrived: now}
	if r.needsPrimary() {
		if primary := r.service.UsablePrimary(now); primary != nil {
			return primary.ExpectedWait(request, now)
		}
		return r.service.OutageLeft(now)
	}
	request.Class = admission.Anywhere
	shortest := maxRetryAfter
	for _, entry := range r.session.node.catalog.Current().ByService[r.service.Name] {
		target := r.session.node.Server(entry.ID)
		if target == nil || !r.service.Usable(entry.ID, now) || target.Stats.Avoided(now) {
			continue
		}
		// A replica that lags more than the route's staleness bound can't run a read before it has
		// caught up.
		catchUp := target.Stats.Lag(now) - r.session.route.MaxStaleness
		shortest = min(shortest, max(target.ExpectedWait(request, now), catchUp))
	}
	return shortest
}

// cannotFinishInTime reports whether a wait for a slot ends after the work's latency objective.
// Such work is rejected at once.
func (r *run) cannotFinishInTime(wait time.Duration) bool {
	return time.Now().Add(wait).After(r.arrived.Add(r.session.route.TargetLatency))
}
