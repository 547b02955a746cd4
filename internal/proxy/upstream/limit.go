package upstream

import "time"

// Times of the limit's law.
const (
	// refusalPause is how long no new connection is tried after the server's
	// limit was met.
	refusalPause = 200 * time.Millisecond
	// raiseInterval is the pause between raises of the limit while connections
	// are wanted, cautiousInterval the same after the server's limit was met.
	raiseInterval    = 60 * time.Millisecond
	cautiousInterval = time.Second
)

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
	}
}

// raisePause is the pause before the limit may rise again; the lock is held.
func (p *Pool) raisePause() time.Duration {
	switch {
	case p.limit == 0:
		return refusalPause
	case p.limited:
		return cautiousInterval
	default:
		return raiseInterval
	}
}

// raiseLater lets the limit rise for those who wait; the lock is held.
func (p *Pool) raiseLater() {
	if p.raising || p.closed || p.limit >= p.ceiling || p.waiting.longest() == nil {
		return
	}
	p.raising = true
	time.AfterFunc(p.raisePause(), func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.raising = false
		now := time.Now()
		p.raise(now)
		p.openForWaiters(now)
		p.raiseLater()
	})
}
