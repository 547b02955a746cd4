package upstream

import (
	"context"
	"sync"
	"time"
)

// Pool manages connections to one server. Each connection is opened for one principal. Pool is safe
// for concurrent use.
type Pool struct {
	dialer Dialer
	target Target
	stats  *Stats
	setups setupHistory

	mutex sync.Mutex
	// idle holds the unused connections, the one idle for longest first.
	idle []*Lease
	// idleCounts counts the idle connections of each principal.
	idleCounts map[Principal]int
	open       int
	// limit is the current maximum number of connections. It drops when the server refuses a
	// connection because of its own limit, and then rises again up to ceiling.
	limit     int
	ceiling   int
	changedAt time.Time
	// raiseBackoff is the delay until the limit may rise. refusedAt is when the server last refused
	// a connection because of its limit.
	raiseBackoff time.Duration
	refusedAt    time.Time
	// raiseScheduled is set while a delayed raise of the limit is scheduled.
	raiseScheduled bool
	// firstUsed is when a connection was first requested.
	firstUsed time.Time
	// refusedLast is set while the last change of the limit followed a refusal.
	refusedLast bool
	waiters     waitingList
	// generation changes when the network path to the server changes. Connections of an earlier
	// generation are no longer counted.
	generation int
	// dialing counts the connections being opened for each principal. They are included in open.
	dialing map[Principal]int
	closed  bool
	// onFree, if not nil, is called when a connection or capacity for one becomes free.
	onFree func()
	// onMismatch, if not nil, is called when an answer does not match its operation.
	onMismatch func(*MismatchError)
}

// dialTimeout limits the time for opening a connection.
const dialTimeout = 1500 * time.Millisecond

// NewPool returns a pool of at most ceiling connections to a server. The target's principal is
// ignored.
func NewPool(dialer Dialer, target Target, ceiling int, stats *Stats) *Pool {
	return &Pool{
		dialer: dialer, target: target, limit: initialLimit(ceiling), ceiling: ceiling, stats: stats,
		waiters: newWaitingList(), dialing: map[Principal]int{}, idleCounts: map[Principal]int{},
	}
}

// OnFree registers a function that is called, without any lock held, when a connection or capacity
// for one becomes free. It must be called before the pool is used.
func (p *Pool) OnFree(f func()) { p.onFree = f }

// OnMismatch registers a function that is called, without any lock held, when an answer of the server
// does not match its operation. It must be called before the pool is used.
func (p *Pool) OnMismatch(f func(*MismatchError)) { p.onMismatch = f }

// notifyFreed calls onFree. The lock must not be held.
func (p *Pool) notifyFreed() {
	if p.onFree != nil {
		p.onFree()
	}
}

// Available reports whether a new request would get a connection soon: a connection is idle, one
// can be opened, or no request is waiting. The last case lets one request through to probe the
// server.
func (p *Pool) Available() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle) > 0 || p.open < p.limit || p.waiters.oldest() == nil
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// warmUpDuration is the time a pool needs to open the connections it needs.
const warmUpDuration = time.Second

// Warming reports whether the pool was first used so recently that waiting for a connection is no
// sign of overload.
func (p *Pool) Warming(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.firstUsed.IsZero() || now.Sub(p.firstUsed) < warmUpDuration
}

// Get acquires a connection of a principal and waits for one until the deadline. For Own, it
// returns a connection of any principal.
func (p *Pool) Get(principal Principal, deadline time.Time) (*Lease, error) {
	return p.get(principal, deadline, 0)
}

// reserveExtra is the number of connections above the limit that only Reserve opens.
const reserveExtra = 1

// Reserve acquires a connection for status queries to the server, which must not wait behind
// callers' work.
func (p *Pool) Reserve(deadline time.Time) (*Lease, error) { return p.get(Own, deadline, reserveExtra) }

func (p *Pool) get(principal Principal, deadline time.Time, extra int) (*Lease, error) {
	for {
		lease, waiter := p.takeOrWait(principal, extra)
		if lease == nil {
			if waiter == nil {
				return nil, ErrNoConnection
			}
			result, received := p.await(waiter, deadline)
			if !received {
				return nil, ErrNoConnection
			}
			if result.err != nil {
				return nil, result.err
			}
			lease = result.lease
		}
		if lease.DropSurplus() {
			return lease, nil
		}
		lease.Discard()
	}
}

// takeOrWait returns an idle connection or a registered waiter. It starts to open a connection for
// the waiter if the limit allows. It returns neither if the pool is closed.
func (p *Pool) takeOrWait(principal Principal, extra int) (*Lease, *waiter) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, nil
	}
	now := time.Now()
	if p.firstUsed.IsZero() {
		p.firstUsed = now
	}
	if lease := p.takeIdle(principal); lease != nil {
		return lease, nil
	}
	waiter := p.waiters.add(principal, extra, now)
	p.raiseLimit(now)
	p.dialFor(waiter, now)
	p.scheduleRaise()
	return nil, waiter
}

// takeIdle returns the principal's most recently used connection, so that surplus connections stay
// idle and can be closed. It returns nil if there is none. The lock is held.
func (p *Pool) takeIdle(principal Principal) *Lease {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if lease := p.idle[i]; principal.mayUse(lease.principal) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.uncountIdle(lease)
			return lease
		}
	}
	return nil
}

// dialFor opens a connection for a waiter unless enough are already being opened for its principal.
// It returns false if the limit does not allow another connection. The lock is held.
func (p *Pool) dialFor(w *waiter, now time.Time) bool {
	if p.closed || p.dialing[w.principal] >= p.waiters.count(w.principal) {
		return true
	}
	extra := w.extra
	if p.refusedLast && now.Sub(p.refusedAt) < refusalBackoff {
		// The server has just refused a connection and would refuse another.
		extra = 0
	}
	var replaced *Lease
	if p.open >= p.limit+extra {
		if len(p.idle) == 0 || p.open > p.limit+extra {
			return false
		}
		// The idle connections belong to other principals. The first was idle for longest.
		replaced, p.idle = p.idle[0], p.idle[1:]
		p.uncountIdle(replaced)
		p.open--
	}
	p.startDial(w.principal, replaced)
	return true
}

// startDial opens a connection, after closing the one that it replaces, if any. The lock is held.
func (p *Pool) startDial(principal Principal, replaced *Lease) {
	p.open++
	p.dialing[principal]++
	generation := p.generation
	go func() {
		if replaced != nil {
			replaced.Close()
		}
		p.dial(principal, generation)
	}()
}

// dialForWaiters opens connections for the waiters, the longest waiting first, as far as the limit
// allows. The lock is held.
func (p *Pool) dialForWaiters(now time.Time) {
	for _, w := range p.waiters.order {
		if !p.dialFor(w, now) {
			return
		}
	}
}

// dial opens a connection for the principal's longest waiting waiter. It has its own timeout: if
// the caller's deadline ended it, a distant or slow server would never get a connection.
func (p *Pool) dial(principal Principal, generation int) {
	began := time.Now()
	p.stats.RecordRequest(began)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	target := p.target
	target.Principal = principal
	connection, applied, err := p.dialer.Dial(ctx, target)
	if err != nil {
		p.dialFailed(err, principal, generation)
		return
	}
	now := time.Now()
	p.stats.RecordAnswer(now)
	p.stats.RecordPosition(applied)
	p.stats.recordDialTime(now.Sub(began))
	lease := &Lease{
		Connection: connection, newest: applied, principal: principal, stats: p.stats, pool: p, generation: generation,
		Values: map[string]string{}, Prepared: map[string]struct{}{},
	}
	p.deliver(lease)
}

// deliver passes a new connection to a waiter of its principal.
func (p *Pool) deliver(lease *Lease) {
	p.mutex.Lock()
	if lease.generation == p.generation {
		p.dialEnded(lease.principal)
		if w := p.waiters.takeFor(lease.principal); w != nil {
			p.mutex.Unlock()
			w.handover <- handover{lease: lease}
			p.notifyFreed()
			return
		}
	}
	p.mutex.Unlock()
	lease.Return()
}

// dialEnded records that a dial has ended. The lock is held.
func (p *Pool) dialEnded(principal Principal) {
	p.dialing[principal]--
	if p.dialing[principal] == 0 {
		delete(p.dialing, principal)
	}
}

func (p *Pool) dialFailed(err error, principal Principal, generation int) {
	refusal, refused := RefusalOf(err)
	if refused {
		// A refusal is an answer, too, so the server is reachable.
		p.stats.RecordAnswer(time.Now())
	} else {
		p.stats.RecordFailure(time.Now())
	}
	defer p.notifyFreed()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if generation != p.generation {
		return
	}
	p.open--
	p.dialEnded(principal)
	if refused && refusal == ConnectionLimit {
		p.recordRefusal(time.Now())
	}
	if w := p.waiters.takeFor(principal); w != nil {
		w.handover <- handover{err: err}
	}
	p.scheduleRaise()
}

// maxOvertakeTime is how long the longest waiting waiter may be overtaken by others that can use
// the connection that became free. After that the connection is closed and replaced, so that no
// principal starves. It allows for several dials.
const maxOvertakeTime = 50 * time.Millisecond

// release takes back a connection: a waiter gets it or it becomes idle. It returns the connection
// if the caller must close it, otherwise nil. The lock is held.
func (p *Pool) release(lease *Lease, now time.Time) *Lease {
	lease.returnedAt = now
	oldest := p.waiters.oldest()
	if oldest == nil {
		p.addIdle(lease)
		return nil
	}
	if oldest.principal.mayUse(lease.principal) || now.Sub(oldest.since) < maxOvertakeTime {
		if w := p.waiters.takeFor(lease.principal); w != nil {
			w.handover <- handover{lease: lease}
			return nil
		}
	}
	for _, w := range p.waiters.order {
		if w.principal.mayUse(lease.principal) {
			p.waiters.remove(w)
			w.handover <- handover{lease: lease}
			return nil
		}
		if p.dialing[w.principal] < p.waiters.count(w.principal) {
			// No connection is being opened for this waiter.
			p.open--
			p.startDial(w.principal, nil)
			return lease
		}
	}
	p.addIdle(lease)
	return nil
}

// addIdle keeps a connection that no waiter wants. The lock is held.
func (p *Pool) addIdle(lease *Lease) {
	p.idle = append(p.idle, lease)
	p.idleCounts[lease.principal]++
	if p.scarce(lease.returnedAt) {
		time.AfterFunc(scarceIdleTimeout, func() { p.Trim(time.Now().Add(-scarceIdleTimeout)) })
	}
}

// uncountIdle updates the counts for a connection removed from idle. The lock is held.
func (p *Pool) uncountIdle(lease *Lease) {
	if p.idleCounts[lease.principal]--; p.idleCounts[lease.principal] == 0 {
		delete(p.idleCounts, lease.principal)
	}
}

// HasIdle reports whether a principal has an idle connection.
func (p *Pool) HasIdle(principal Principal) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.idleCounts[principal] > 0
}

// Reset abandons all connections because the network path to the server has changed. Idle
// connections are closed at once, others when they are returned. None of them counts towards the
// limit.
func (p *Pool) Reset() {
	p.mutex.Lock()
	p.generation++
	idle := p.idle
	p.idle, p.open, p.dialing, p.idleCounts = nil, 0, map[Principal]int{}, map[Principal]int{}
	p.refusedLast = false
	p.scheduleRaise()
	p.dialForWaiters(time.Now())
	p.mutex.Unlock()
	for _, lease := range idle {
		lease.Close()
	}
}

// Trim closes connections that have been idle since before a time.
func (p *Pool) Trim(before time.Time) { p.trim(before, func() int { return 0 }) }

// trim closes connections that have been idle since before a time, but keeps at least as many idle
// ones as spare returns. spare is called with the lock held.
func (p *Pool) trim(before time.Time, spare func() int) {
	p.mutex.Lock()
	closable := len(p.idle) - spare()
	closed := 0
	for closed < closable && !p.idle[closed].returnedAt.After(before) {
		closed++
	}
	old := append([]*Lease(nil), p.idle[:closed]...)
	p.idle = append(p.idle[:0], p.idle[closed:]...)
	for _, lease := range old {
		p.uncountIdle(lease)
	}
	p.open -= len(old)
	p.mutex.Unlock()
	for _, lease := range old {
		lease.Close()
	}
}

// Close closes all idle connections and rejects further requests.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	idle := p.idle
	p.idle, p.idleCounts = nil, map[Principal]int{}
	p.open -= len(idle)
	waiters := p.waiters.clear()
	p.mutex.Unlock()
	for _, waiter := range waiters {
		waiter.handover <- handover{err: ErrNoConnection}
	}
	for _, lease := range idle {
		lease.Close()
	}
}
