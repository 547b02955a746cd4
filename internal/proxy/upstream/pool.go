package upstream

import (
	"context"
	"sync"
	"time"

	"dewknot/internal/proxy/command"
)

// Lease is a connection lent to one user, with the session state that the server
// keeps for it. It belongs to a pool, or goes through another node.
type Lease struct {
	Connection
	// Values are the session values set on the connection.
	Values map[string]string
	// Prepared holds the names prepared on the connection.
	Prepared map[string]command.PreparedStatement

	stats *Stats
	// pool is nil for a connection that goes through another node.
	pool *Pool
	// unreached is called when that node says that it does not reach the server.
	unreached func()
	returned  time.Time
	// generation is the pool's when the connection was opened.
	generation int
}

// NewRemoteLease returns a lease of a connection that goes through another node.
// unreached is called when that node says that it does not reach the server.
func NewRemoteLease(connection Connection, stats *Stats, unreached func()) *Lease {
	return &Lease{
		Connection: connection, stats: stats, unreached: unreached,
		Values: map[string]string{}, Prepared: map[string]command.PreparedStatement{},
	}
}

// Remote reports whether the connection goes through another node, which then
// limits the work on the server.
func (l *Lease) Remote() bool { return l.pool == nil }

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
	waiters []chan given
	// generation changes when the way to the server changes; connections of an
	// earlier one no longer count.
	generation int
	// opening counts the connections that are being opened, within open.
	opening int
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
		lease, waiter := p.take(beyond)
		if lease == nil {
			if waiter == nil {
				return nil, ErrNoConnection
			}
			given, came := p.await(waiter, deadline)
			switch {
			case !came:
				return nil, ErrNoConnection
			case given.err != nil:
				return nil, given.err
			case given.lease == nil:
				// A place became free, not a connection.
				continue
			}
			lease = given.lease
		}
		if lease.Alive() {
			return lease, nil
		}
		lease.Discard()
	}
}

// given is what a waiter gets: a connection, an error of opening one, or neither
// if a place has become free.
type given struct {
	lease *Lease
	err   error
}

// take returns an idle connection, or a waiter; it has one opened if a place is
// free and nobody else's opening will do. It returns neither if the pool is shut.
func (p *Pool) take(beyond int) (*Lease, chan given) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil
	}
	now := time.Now()
	if p.firstUsed.IsZero() {
		p.firstUsed = now
	}
	if last := len(p.idle) - 1; last >= 0 {
		lease := p.idle[last]
		p.idle = p.idle[:last]
		return lease, nil
	}
	waiter := make(chan given, 1)
	p.waiters = append(p.waiters, waiter)
	p.raise(now)
	if p.limited && now.Sub(p.changedAt) < refusalPause {
		// The server has just refused a connection; another would be refused too.
		beyond = 0
	}
	if p.open < p.limit+beyond && p.opening < len(p.waiters) {
		p.open++
		p.opening++
		go p.dial(p.generation)
	}
	p.raiseLater()
	return nil, waiter
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
			p.handOver(given{})
		}
		p.raiseLater()
	})
}

// await waits for what a waiter gets; it reports false if nothing came in time.
func (p *Pool) await(waiter chan given, deadline time.Time) (given, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case came := <-waiter:
		return came, true
	case <-timer.C:
	}
	p.mutex.Lock()
	for i, other := range p.waiters {
		if other == waiter {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mutex.Unlock()
			return given{}, false
		}
	}
	p.mutex.Unlock()
	// The hand-over was under way already.
	if late := <-waiter; late.lease != nil {
		late.lease.Return()
	} else if late.err == nil {
		p.wakeOne()
	}
	return given{}, false
}

// dial opens a connection for whoever waits longest. It has its own time limit:
// a caller that cannot wait so long must not end the opening, or a server that
// is far or slow would never get a connection.
func (p *Pool) dial(generation int) {
	began := time.Now()
	p.stats.Started(began)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	connection, at, err := p.dialer.Dial(ctx, p.address, p.service, p.id)
	if err != nil {
		p.dialFailed(err, generation)
		return
	}
	now := time.Now()
	p.stats.Answered(now)
	p.stats.Observe(at)
	p.stats.dialed(now.Sub(began))
	lease := &Lease{
		Connection: connection, stats: p.stats, pool: p, generation: generation,
		Values: map[string]string{}, Prepared: map[string]command.PreparedStatement{},
	}
	p.mutex.Lock()
	if generation == p.generation {
		p.opening--
	}
	p.mutex.Unlock()
	lease.Return()
}

func (p *Pool) dialFailed(err error, generation int) {
	refusal, refused := RefusalOf(err)
	if refused {
		// The server has said something, if only that it wants no connection.
		p.stats.Answered(time.Now())
	} else {
		p.stats.Unreachable(time.Now())
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if generation != p.generation {
		return
	}
	p.open--
	p.opening--
	if refused && refusal == ConnectionLimit {
		p.limit = p.open
		p.changedAt, p.limited = time.Now(), true
	}
	p.handOver(given{err: err})
	p.raiseLater()
}

// wakeOne lets a waiter try again, since a place has become free.
func (p *Pool) wakeOne() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.handOver(given{})
}

// handOver gives the longest waiter something and reports whether there was one;
// the lock is held.
func (p *Pool) handOver(what given) bool {
	if len(p.waiters) == 0 {
		return false
	}
	waiter := p.waiters[0]
	p.waiters = p.waiters[1:]
	waiter <- what
	return true
}

// Return gives a clean connection back: no answer outstanding, no transaction open.
func (l *Lease) Return() {
	pool := l.pool
	if pool == nil {
		l.Close()
		return
	}
	pool.mutex.Lock()
	if l.generation != pool.generation {
		pool.mutex.Unlock()
		l.Close()
		return
	}
	if pool.closed || pool.open > pool.limit {
		pool.open--
		pool.mutex.Unlock()
		l.Close()
		return
	}
	l.returned = time.Now()
	if !pool.handOver(given{lease: l}) {
		pool.idle = append(pool.idle, l)
	}
	pool.mutex.Unlock()
}

// Discard closes a connection that is in doubt.
func (l *Lease) Discard() {
	l.Close()
	pool := l.pool
	if pool == nil {
		return
	}
	pool.mutex.Lock()
	if l.generation == pool.generation {
		pool.open--
	}
	pool.mutex.Unlock()
	pool.wakeOne()
}

// Renew leaves all connections behind, since the server is now reached in another
// way: idle ones are closed, those in use when their user is done, and none of
// them counts against the limit.
func (p *Pool) Renew() {
	p.mutex.Lock()
	p.generation++
	idle := p.idle
	p.idle, p.open, p.opening = nil, 0, 0
	p.limited = false
	p.raiseLater()
	p.handOver(given{})
	p.mutex.Unlock()
	for _, lease := range idle {
		lease.Close()
	}
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
		waiter <- given{}
	}
	for _, lease := range idle {
		lease.Close()
	}
}
