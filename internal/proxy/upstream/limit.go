package upstream

import "time"

// Times of the limit's law.
const (
	// refusalPause is how long no new connection is tried after the server's
	// limit was met.
	refusalPause = 200 * time.Millisecond
	// raiseInterval is the pause between raises of the limit while connections
	// are wanted. It is refusalPause after the server's limit was met, and half as long
	// again with each raise that was not refused.
	raiseInterval = 60 * time.Millisecond
	// scarceSpan is how long after its limit was met a server's connections count as
	// scarce: it drops those of a lost node after 3 s.
	scarceSpan = 4 * time.Second
	// scarceIdle is how long a scarce connection may be idle. After a loss of all nodes
	// several own some of them for a moment, and one's idle ones are what another's
	// callers wait for.
	scarceIdle = 150 * time.Millisecond
	// idleSpan is how long a connection may be idle that others may want, spareIdleSpan one of
	// the spareShare part of the limit that is kept while the pool has no more open. Callers of
	// a server that gets work every few seconds would else wait for an opening, which takes a
	// slot of the server: 12 of 12 operations five seconds apart opened one, with this 1
	// (TestSpareConnectionsStay). Servers close what has been idle for a minute.
	idleSpan      = 3 * time.Second
	spareIdleSpan = 30 * time.Second
	spareShare    = 8
)

// TrimIdle closes connections that have been idle for long; some stay longer where there are
// plenty.
func (p *Pool) TrimIdle(now time.Time) {
	p.Trim(now.Add(-spareIdleSpan))
	p.trim(now.Add(-idleSpan), func() int { return p.spare(now) })
}

// spare is how many idle connections stay for spareIdleSpan; the lock is held.
func (p *Pool) spare(now time.Time) int {
	if p.scarce(now) {
		return 0
	}
	used := p.open - len(p.idle)
	return max(0, p.limit/spareShare-used)
}

// firstShare is the part of the ceiling that is open to a new pool. After a
// restart of all nodes, more would meet the server's limit.
const firstShare = 8

func firstLimit(ceiling int) int { return min(ceiling, max(2, ceiling/firstShare)) }

// SetCeiling changes the greatest number of connections.
func (p *Pool) SetCeiling(ceiling int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ceiling = ceiling
	p.limit = min(p.limit, ceiling)
}

// raise lets the limit rise while connections are wanted; the lock is held.
func (p *Pool) raise(now time.Time) {
	if p.limit >= p.ceiling || p.open < p.limit {
		return
	}
	if now.Sub(p.changedAt) >= p.raisePause() {
		p.limit++
		p.changedAt, p.limited = now, false
		p.pause = max(p.pause/2, raiseInterval)
	}
}

// refused notes that the server's limit was met; the lock is held.
func (p *Pool) refused(now time.Time) {
	p.limit = p.open
	p.changedAt, p.limited, p.refusedAt = now, true, now
	p.pause = refusalPause
}

// scarce reports whether the server's limit was met lately; the lock is held.
func (p *Pool) scarce(now time.Time) bool {
	return !p.refusedAt.IsZero() && now.Sub(p.refusedAt) < scarceSpan
}

// raisePause is the pause before the limit may rise again; the lock is held.
func (p *Pool) raisePause() time.Duration { return max(p.pause, raiseInterval) }

// raiseLater lets the limit rise for those who wait; the lock is held.
func (p *Pool) raiseLater() {
	if p.raising || p.closed || p.limit >= p.ceiling || p.waiting.longest() == nil {
		return
	}
	p.raising = true
	time.AfterFunc(p.raisePause(), func() {
		defer p.freed()
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.raising = false
		now := time.Now()
		p.raise(now)
		p.openForWaiters(now)
		p.raiseLater()
	})
}
