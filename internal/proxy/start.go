package proxy

import (
	"math/rand/v2"
	"time"

	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/upstream"
)

// firstTenureLimit bounds the wait of a new session for the first tenure of its service
// that this process learns of: short of the time that callers give a session's start.
const firstTenureLimit = 1500 * time.Millisecond

// awaitTenure holds a new session back until its service has a tenure, on a node that has
// just started. Its statements would be refused, each after a wait.
func (n *Node) awaitTenure(service string, principal upstream.Principal, now time.Time) {
	if n.Tenures == nil {
		return
	}
	if view := n.Tenures.View(service); view == nil || view.Tenure.Ballot == 0 {
		s := n.Service(service)
		// This node looks at the service from now on: its holder may be lost.
		s.Used(now)
		s.Warm(principal)
		n.Tenures.AwaitFirst(service, now.Add(firstTenureLimit))
		n.spread(now)
	}
}

// awaitInformed holds a new session back while a node that has just started learns the
// configuration and the directory, which takes it a round trip or two. Its caller comes
// back after a loss of all nodes: to refuse it would use up one of its few attempts.
func (n *Node) awaitInformed(now time.Time) {
	if backends.Complete(n.catalog.Current()) {
		return
	}
	timer := time.NewTimer(time.Until(now.Add(startPatience)))
	defer timer.Stop()
	select {
	case <-n.Informed:
	case <-timer.C:
	}
}

const (
	// startSpread is the span over which sessions that have waited for a tenure begin:
	// all at once they would meet full servers, and be refused until their callers give up.
	startSpread = 600 * time.Millisecond
	// startPatience bounds a session's wait as a whole: callers give its start 2 s.
	startPatience = 1800 * time.Millisecond
)

// spread holds a session that has waited since a time back a little longer.
func (n *Node) spread(since time.Time) {
	if left := startPatience - time.Since(since); left > 0 {
		time.Sleep(min(left, rand.N(startSpread)))
	}
}
