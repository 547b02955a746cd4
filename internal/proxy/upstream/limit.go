package upstream

import "time"

// Durations and fractions that control the connection limit.
const (
	// refusalBackoff is how long no new connection is tried after the server refused one because of
	// its limit.
	refusalBackoff = 200 * time.Millisecond
	// raiseInterval is the minimum delay between raises of the limit while connections are wanted.
	// After a refusal the delay is refusalBackoff. Each raise without a refusal halves it.
	raiseInterval = 60 * time.Millisecond
	// scarceDuration is how long a server's connections count as scarce after it refused one
	// because of its limit. It covers the 3 s after which a server drops the connections of a lost
	// node.
	scarceDuration = 4 * time.Second
	// scarceIdleTimeout is how long a connection may be idle while they are scarce. After an outage
	// of all nodes, several of them briefly hold connections to the same server, and one node's
	// idle connections block other nodes' callers.
	scarceIdleTimeout = 150 * time.Millisecond
	// idleTimeout is how long a connection may be idle. While connections are not scarce, up to
	// limit/spareDivisor of them, including those in use, stay open for spareIdleTimeout instead.
	// Otherwise occasional work would wait for a dial each time, which also takes a slot of the
	// server. spareIdleTimeout is below the minute after which servers close idle connections.
	idleTimeout      = 3 * time.Second
	spareIdleTimeout = 30 * time.Second
	spareDivisor     = 8
)

// TrimIdle closes connections whose idle timeout has passed.
func (p *Pool) TrimIdle(now time.Time) {
	p.Trim(now.Add(-spareIdleTimeout))
	p.trim(now.Add(-idleTimeout), func() int { return p.spare(now) })
}

// spare returns how many idle connections may stay for spareIdleTimeout. The lock is held.
func (p *Pool) spare(now time.Time) int {
	if p.scarce(now) {
		return 0
	}
	used := p.open - len(p.idle)
	return max(0, p.limit/spareDivisor-used)
}

// initialDivisor sets the initial limit of a pool as a fraction of the ceiling. After a restart of
// all nodes, a higher one would exceed the server's limit.
const initialDivisor = 8

func initialLimit(ceiling int) int { return min(ceiling, max(2, ceiling/initialDivisor)) }

// SetCeiling changes the maximum number of connections.
func (p *Pool) SetCeiling(ceiling int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ceiling = ceiling
	p.limit = min(p.limit, ceiling)
}

// raiseLimit raises the limit if connections are wanted. The lock is held.
func (p *Pool) raiseLimit(now time.Time) {
	if p.limit >= p.ceiling || p.open < p.limit {
		return
	}
	if now.Sub(p.changedAt) >= p.raiseDelay() {
		p.limit++
		p.changedAt, p.refusedLast = now, false
		p.raiseBackoff = max(p.raiseBackoff/2, raiseInterval)
	}
}

// recordRefusal records that the server refused a connection because of its limit. The lock is
// held.
func (p *Pool) recordRefusal(now time.Time) {
	p.limit = p.open
	p.changedAt, p.refusedLast, p.refusedAt = now, true, now
	p.raiseBackoff = refusalBackoff
}

// scarce reports whether the server recently refused a connection because of its limit. The lock is
// held.
func (p *Pool) scarce(now time.Time) bool {
	return !p.refusedAt.IsZero() && now.Sub(p.refusedAt) < scarceDuration
}

// raiseDelay returns the delay before the limit may rise again. The lock is held.
func (p *Pool) raiseDelay() time.Duration { return max(p.raiseBackoff, raiseInterval) }

// scheduleRaise schedules a raise of the limit if there are waiters. The lock is held.
func (p *Pool) scheduleRaise() {
	if p.raiseScheduled || p.closed || p.limit >= p.ceiling || p.waiters.oldest() == nil {
		return
	}
	p.raiseScheduled = true
	time.AfterFunc(p.raiseDelay(), func() {
		defer p.notifyFreed()
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.raiseScheduled = false
		now := time.Now()
		p.raiseLimit(now)
		p.dialForWaiters(now)
		p.scheduleRaise()
	})
}
