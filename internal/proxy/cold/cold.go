// Package cold limits the requests that nodes send to a server that is slow after its start.
//
// The limit applies to all nodes together in any second. While a server is cold only two nodes send
// to it, the first two in the order of its owners, and each may use half of the limit. So the limit
// holds without messages, even if these nodes cannot reach each other.
package cold

import (
	"math"
	"sync"
	"time"
)

const (
	// Senders is how many nodes may send to a cold server.
	Senders = 2
	// window is the time in which sent requests count. It is a second plus a margin for nodes'
	// clocks that run at different rates.
	window = 1050 * time.Millisecond
	// newWorkShare is the fraction of a sender's half that new work may use. The rest is for
	// statements of open transactions, which would otherwise be rolled back.
	newWorkShare = 0.7
)

// Bound limits the requests to a cold server in any second to PerSecond times Overage plus Slack.
// There is no limit if PerSecond is zero.
type Bound struct {
	PerSecond float64
	Overage   float64
	Slack     float64
}

// perSender returns how many requests one sender may send in any second.
func (b Bound) perSender() int {
	return int(math.Floor((b.PerSecond*max(b.Overage, 1) + b.Slack) / Senders))
}

// Limiter counts this node's requests to one server. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	until time.Time
	sent  []time.Time
}

// Observe records for how much longer the server reports to be cold.
func (l *Limiter) Observe(now time.Time, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = now.Add(remaining)
}

// Cold reports whether the server is cold.
func (l *Limiter) Cold(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}

// Allow reports whether a request may be sent now, and counts it if so. New work leaves headroom
// for work of open transactions.
func (l *Limiter) Allow(now time.Time, bound Bound, continuation bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.until) || bound.PerSecond <= 0 {
		l.sent = nil
		return true
	}
	for len(l.sent) > 0 && now.Sub(l.sent[0]) >= window {
		l.sent = l.sent[1:]
	}
	limit := bound.perSender()
	if !continuation {
		limit = int(newWorkShare * float64(limit))
	}
	if len(l.sent) >= limit {
		return false
	}
	l.sent = append(l.sent, now)
	return true
}
