// Package cold bounds what nodes send to a server that is slow from its start.
//
// The bound holds for all nodes together in any second. While a server is cold only two nodes
// send to it, the first two in the order of its owners, and each counts half of the bound: so
// it holds while they do not reach each other, and no message is needed.
package cold

import (
	"math"
	"sync"
	"time"
)

const (
	// Senders is how many nodes may send to a cold server.
	Senders = 2
	// window is the span in which what is sent counts: a second, and what clocks that tick at
	// different rates differ in it.
	window = 1050 * time.Millisecond
	// newShare is the part of a sender's half that new work may take. The rest is for statements
	// of open transactions, which would else be rolled back.
	newShare = 0.7
)

// Bound is how much may be sent to a cold server in any second: PerSecond times Overage, and
// Slack. Without PerSecond there is no bound.
type Bound struct {
	PerSecond float64
	Overage   float64
	Slack     float64
}

// perSender is how many requests one sender may send in any second.
func (b Bound) perSender() int {
	return int(math.Floor((b.PerSecond*max(b.Overage, 1) + b.Slack) / Senders))
}

// Limiter counts what this node has sent to one server. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	until time.Time
	sent  []time.Time
}

// Observe takes a server's word for how long it is still cold, as of a time.
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

// Take reports whether a request may be sent now, and counts it. New work leaves room for work
// that continues.
func (l *Limiter) Take(now time.Time, bound Bound, continues bool) bool {
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
	if !continues {
		limit = int(newShare * float64(limit))
	}
	if len(l.sent) >= limit {
		return false
	}
	l.sent = append(l.sent, now)
	return true
}
