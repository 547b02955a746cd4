package proxy

import (
	"math/rand/v2"
	"time"

	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/upstream"
)

// firstTenureTimeout bounds, from a session's arrival, the wait for the first tenure of its service. It
// is shorter than the time in which callers expect a session to start.
const firstTenureTimeout = 1500 * time.Millisecond

// awaitTenure delays a new session on a node that has just started until its service has a tenure.
// Without one, each statement would wait and then be rejected.
func (n *Node) awaitTenure(service string, principal upstream.Principal, arrived time.Time) {
	if n.Tenures == nil {
		return
	}
	if view := n.Tenures.View(service); view == nil || view.Tenure.Ballot == 0 {
		s := n.Service(service)
		// From now on this node monitors the service: its lease holder may be gone.
		s.MarkUsed(time.Now())
		s.Prewarm(principal)
		n.Tenures.AwaitFirstTenure(service, arrived.Add(firstTenureTimeout))
		n.delayStart(arrived)
	}
}

// awaitConfiguration delays a new session while a node that has just started loads the
// configuration and the directory, which takes one or two round trips. After a loss of all nodes, a
// rejection would use up one of the caller's few attempts.
func (n *Node) awaitConfiguration(arrived time.Time) {
	if backends.Complete(n.catalog.Current()) {
		return
	}
	timer := time.NewTimer(time.Until(arrived.Add(startTimeout)))
	defer timer.Stop()
	select {
	case <-n.CatalogLoaded:
	case <-timer.C:
	}
}

const (
	// startJitter is the period over which sessions that waited for a tenure begin. If all began at
	// once, the servers' queues would be full and most statements rejected.
	startJitter = 600 * time.Millisecond
	// startTimeout bounds a session's wait as a whole. It is shorter than the 2 s in which callers
	// expect a session to start.
	startTimeout = 1800 * time.Millisecond
)

// delayStart delays a session that has waited since its arrival by a random part of startJitter.
func (n *Node) delayStart(arrived time.Time) {
	if left := startTimeout - time.Since(arrived); left > 0 {
		time.Sleep(min(left, rand.N(startJitter)))
	}
}
