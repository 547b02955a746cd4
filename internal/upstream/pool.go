package upstream

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"dewknot/internal/command"
)

// Lease is a pooled connection lent to one user, with the session state that
// the server keeps for it.
type Lease struct {
	Connection
	// Values are the session values set on the connection.
	Values map[string]string
	// Prepared holds the names prepared on the connection.
	Prepared map[string]command.PreparedStatement

	pool     *Pool
	returned time.Time
	used     bool
}

// Pool lends connections to one server. It is safe for concurrent use.
type Pool struct {
	dialer  Dialer
	address string
	service string
	id      string
	stats   *Stats

	mutex sync.Mutex
	idle  []*Lease
	open  int
	// limit is the greatest number of connections now; it falls when the server
	// refuses one for its own limit, and rises again up to ceiling.
	limit     int
	ceiling   int
	changedAt time.Time
	// raising is set while a later raise is due.
	raising bool
	// firstUsed is when the first connection was asked for.
	firstUsed time.Time
	// limited is set while the last change followed a refusal.
	limited bool
	waiters []chan *Lease
	closed  bool
}

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

// dialTimeout bounds the opening of a connection.
const dialTimeout = 1500 * time.Millisecond

// NewPool returns a pool of at most ceiling connections.
func NewPool(dialer Dialer, address, service, id string, ceiling int, stats *Stats) *Pool {
	return &Pool{dialer: dialer, address: address, service: service, id: id, limit: firstLimit(ceiling), ceiling: ceiling, stats: stats}
}

// SetCeiling changes the greatest number of connections.
func (p *Pool) SetCeiling(ceiling int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ceiling = ceiling
	p.limit = min(p.limit, ceiling)
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// warmingSpan is how long a pool takes to open the connections it needs.
const warmingSpan = time.Second

// Warming reports whether the pool has only lately been used for the first
// time, so that waiting for a connection is no sign of overload.
func (p *Pool) Warming(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.firstUsed.IsZero() || now.Sub(p.firstUsed) < warmingSpan
}

// Get lends a connection, waiting for one until deadline.
func (p *Pool) Get(deadline time.Time) (*Lease, error) { return p.get(deadline, 0) }

// reserved is the number of connections beyond the limit that only Reserve opens.
const reserved = 1

// Reserve lends a connection for questions about the server itself, which must
// not wait behind callers' work.
func (p *Pool) Reserve(deadline time.Time) (*Lease, error) { return p.get(deadline, reserved) }

func (p *Pool) get(deadline time.Time, beyond int) (*Lease, error) {
	for {
		lease, waiter, mayDial := p.take(beyond)
		switch {
		case lease != nil:
		case mayDial:
			return p.dial(deadline)
		case waiter == nil:
			return nil, ErrNoConnection
		default:
			lease = p.await(waiter, deadline)
			if lease == nil {
				return nil, ErrNoConnection
			}
			if lease.Connection == nil {
				// A place became free, not a connection.
				continue
			}
		}
		if lease.Alive() {
			return lease, nil
		}
		lease.Discard()
	}
}

// take returns an idle connection, or leave to dial (a place is then reserved),
// or a waiter.
func (p *Pool) take(beyond int) (*Lease, chan *Lease, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil, false
	}
	if p.firstUsed.IsZero() {
		p.firstUsed = time.Now()
	}
	if last := len(p.idle) - 1; last >= 0 {
		lease := p.idle[last]
		p.idle = p.idle[:last]
		return lease, nil, false
	}
	now := time.Now()
	p.raise(now)
	if p.limited && now.Sub(p.changedAt) < refusalPause {
		// The server has just refused a connection; another would be refused too.
		beyond = 0
	}
	if p.open < p.limit+beyond {
		p.open++
		return nil, nil, true
	}
	waiter := make(chan *Lease, 1)
	p.waiters = append(p.waiters, waiter)
	p.raiseLater()
	return nil, waiter, false
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
	if p.raising || p.closed || p.limit >= p.ceiling || len(p.waiters) == 0 {
		return
	}
	p.raising = true
	time.AfterFunc(p.raisePause(), func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.raising = false
		p.raise(time.Now())
		if p.open < p.limit {
			p.handOver(&Lease{pool: p})
		}
		p.raiseLater()
	})
}

// await waits for a connection or a free place; nil means neither came in time.
func (p *Pool) await(waiter chan *Lease, deadline time.Time) *Lease {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case lease := <-waiter:
		return lease
	case <-timer.C:
	}
	p.mutex.Lock()
	for i, other := range p.waiters {
		if other == waiter {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mutex.Unlock()
			return nil
		}
	}
	p.mutex.Unlock()
	// The hand-over was under way already.
	lease := <-waiter
	if lease.Connection != nil {
		lease.Return()
	} else {
		p.wakeOne()
	}
	return nil
}

func (p *Pool) dial(deadline time.Time) (*Lease, error) {
	limit := time.Now().Add(dialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	asked := time.Now()
	connection, at, err := p.dialer.Dial(ctx, p.address, p.service, p.id)
	if err != nil {
		p.dialFailed(err, time.Since(asked))
		return nil, err
	}
	p.stats.Answered(time.Now())
	p.stats.Observe(at)
	p.stats.dialed(time.Since(asked))
	return &Lease{
		Connection: connection, pool: p,
		Values: map[string]string{}, Prepared: map[string]command.PreparedStatement{},
	}, nil
}

// silentDial is how long an attempt must have gone unanswered to count against
// the server; a shorter one was cut off by the caller's deadline.
const silentDial = 250 * time.Millisecond

func (p *Pool) dialFailed(err error, took time.Duration) {
	refusal, refused := RefusalOf(err)
	if !refused && (!errors.Is(err, os.ErrDeadlineExceeded) || took >= silentDial) {
		p.stats.Unreachable(time.Now())
	}
	p.mutex.Lock()
	p.open--
	if refused && refusal == ConnectionLimit {
		p.limit = p.open
		p.changedAt, p.limited = time.Now(), true
	}
	p.mutex.Unlock()
	p.wakeOne()
}

// wakeOne lets a waiter try again, since a place has become free.
func (p *Pool) wakeOne() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.handOver(&Lease{pool: p})
}

// handOver gives a lease to the longest waiter; the lock is held.
func (p *Pool) handOver(lease *Lease) bool {
	if len(p.waiters) == 0 {
		return false
	}
	waiter := p.waiters[0]
	p.waiters = p.waiters[1:]
	waiter <- lease
	return true
}

// Return gives a clean connection back: no answer outstanding, no transaction open.
func (l *Lease) Return() {
	pool := l.pool
	pool.mutex.Lock()
	if pool.closed || pool.open > pool.limit {
		pool.open--
		pool.mutex.Unlock()
		l.Close()
		return
	}
	l.returned = time.Now()
	l.used = true
	if !pool.handOver(l) {
		pool.idle = append(pool.idle, l)
	}
	pool.mutex.Unlock()
}

// Discard closes a connection that is in doubt.
func (l *Lease) Discard() {
	l.Close()
	pool := l.pool
	pool.mutex.Lock()
	pool.open--
	pool.mutex.Unlock()
	pool.wakeOne()
}

// Trim closes connections that have been idle since before a time.
func (p *Pool) Trim(before time.Time) {
	p.mutex.Lock()
	kept := 0
	for kept < len(p.idle) && p.idle[kept].returned.Before(before) {
		kept++
	}
	old := append([]*Lease(nil), p.idle[:kept]...)
	p.idle = append(p.idle[:0], p.idle[kept:]...)
	p.open -= len(old)
	p.mutex.Unlock()
	for _, lease := range old {
		lease.Close()
	}
}

// Shut closes all idle connections and refuses further use.
func (p *Pool) Shut() {
	p.mutex.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	waiters := p.waiters
	p.waiters = nil
	p.mutex.Unlock()
	for _, waiter := range waiters {
		waiter <- &Lease{pool: p}
	}
	for _, lease := range idle {
		lease.Close()
	}
}
