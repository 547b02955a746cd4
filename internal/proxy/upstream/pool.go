package upstream

import (
	"context"
	"sync"
	"time"

	"dewknot/internal/proxy/command"
)

// Pool lends connections to one server, each opened in one principal's name. It is safe
// for concurrent use.
type Pool struct {
	dialer Dialer
	target Target
	stats  *Stats

	mutex sync.Mutex
	// idle holds the connections that nobody uses, the one idle longest first.
	idle []*Lease
	// idleOf counts them by principal.
	idleOf map[Principal]int
	open   int
	// limit is the greatest number of connections now; it falls when the server
	// refuses one for its own limit, and rises again up to ceiling.
	limit     int
	ceiling   int
	changedAt time.Time
	// pause is the pause until the limit may rise, refusedAt when the server's limit was last
	// met.
	pause     time.Duration
	refusedAt time.Time
	// raising is set while a later raise is due.
	raising bool
	// firstUsed is when the first connection was asked for.
	firstUsed time.Time
	// limited is set while the last change followed a refusal.
	limited bool
	waiting waitingList
	// generation changes when the way to the server changes; connections of an
	// earlier one no longer count.
	generation int
	// opening counts the connections that are being opened, within open.
	opening map[Principal]int
	closed  bool
	// onFree, if not nil, is called when a connection, or the place of one, has become free.
	onFree func()
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = 1500 * time.Millisecond

// NewPool returns a pool of at most ceiling connections to a server. The target's
// principal is not used.
func NewPool(dialer Dialer, target Target, ceiling int, stats *Stats) *Pool {
	return &Pool{
		dialer: dialer, target: target, limit: firstLimit(ceiling), ceiling: ceiling, stats: stats,
		waiting: newWaitingList(), opening: map[Principal]int{}, idleOf: map[Principal]int{},
	}
}

// OnFree registers a function that is called, without any lock held, when a connection or
// the place of one has become free. It must be called before the pool is used.
func (p *Pool) OnFree(f func()) { p.onFree = f }

// freed calls that function; no lock is held.
func (p *Pool) freed() {
	if p.onFree != nil {
		p.onFree()
	}
}

// Available reports whether somebody who asks now would get a connection soon: one is idle
// or may be opened, or nobody waits for one. The last lets one in to find out.
func (p *Pool) Available() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle) > 0 || p.open < p.limit || p.waiting.longest() == nil
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

// Get lends a connection of a principal, waiting for one until deadline. For Own, any
// connection will do.
func (p *Pool) Get(principal Principal, deadline time.Time) (*Lease, error) {
	return p.get(principal, deadline, 0)
}

// reserved is the number of connections beyond the limit that only Reserve opens.
const reserved = 1

// Reserve lends a connection for questions about the server itself, which must
// not wait behind callers' work.
func (p *Pool) Reserve(deadline time.Time) (*Lease, error) { return p.get(Own, deadline, reserved) }

func (p *Pool) get(principal Principal, deadline time.Time, beyond int) (*Lease, error) {
	for {
		lease, waiter := p.take(principal, beyond)
		if lease == nil {
			if waiter == nil {
				return nil, ErrNoConnection
			}
			given, came := p.await(waiter, deadline)
			if !came {
				return nil, ErrNoConnection
			}
			if given.err != nil {
				return nil, given.err
			}
			lease = given.lease
		}
		if lease.Alive() {
			return lease, nil
		}
		lease.Discard()
	}
}

// take returns an idle connection, or a waiter for whom one is being opened if there is
// room. It returns neither if the pool is shut.
func (p *Pool) take(principal Principal, beyond int) (*Lease, *waiter) {
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
	waiter := p.waiting.add(principal, beyond, now)
	p.raise(now)
	p.openFor(waiter, now)
	p.raiseLater()
	return nil, waiter
}

// takeIdle returns the connection of the principal that was used last, so that those no
// longer needed stay idle; nil if there is none. The lock is held.
func (p *Pool) takeIdle(principal Principal) *Lease {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if lease := p.idle[i]; principal.accepts(lease.principal) {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			p.noLongerIdle(lease)
			return lease
		}
	}
	return nil
}

// openFor opens a connection for a waiter unless enough are being opened for those of its
// principal, and reports whether there was room. The lock is held.
func (p *Pool) openFor(w *waiter, now time.Time) bool {
	if p.closed || p.opening[w.principal] >= p.waiting.count(w.principal) {
		return true
	}
	beyond := w.beyond
	if p.limited && now.Sub(p.refusedAt) < refusalPause {
		// The server has just refused a connection; another would be refused too.
		beyond = 0
	}
	var replaced *Lease
	if p.open >= p.limit+beyond {
		if len(p.idle) == 0 || p.open > p.limit+beyond {
			return false
		}
		// What is idle is another principal's, and has not been wanted for longest.
		replaced, p.idle = p.idle[0], p.idle[1:]
		p.noLongerIdle(replaced)
		p.open--
	}
	p.startOpening(w.principal, replaced)
	return true
}

// startOpening opens a connection in the place of another one, if that is not nil; the
// lock is held.
func (p *Pool) startOpening(principal Principal, replaced *Lease) {
	p.open++
	p.opening[principal]++
	generation := p.generation
	go func() {
		if replaced != nil {
			replaced.Close()
		}
		p.dial(principal, generation)
	}()
}

// openForWaiters opens connections for those who wait, the longest first, as far as there
// is room; the lock is held.
func (p *Pool) openForWaiters(now time.Time) {
	for _, w := range p.waiting.order {
		if !p.openFor(w, now) {
			return
		}
	}
}

// dial opens a connection for whoever of the principal waits longest. It has its own time
// limit: a caller that cannot wait so long must not end the opening, or a server that
// is far or slow would never get a connection.
func (p *Pool) dial(principal Principal, generation int) {
	began := time.Now()
	p.stats.Started(began)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	target := p.target
	target.Principal = principal
	connection, at, err := p.dialer.Dial(ctx, target)
	if err != nil {
		p.dialFailed(err, principal, generation)
		return
	}
	now := time.Now()
	p.stats.Answered(now)
	p.stats.Observe(at)
	p.stats.dialed(now.Sub(began))
	lease := &Lease{
		Connection: connection, principal: principal, stats: p.stats, pool: p, generation: generation,
		Values: map[string]string{}, Prepared: map[string]command.PreparedStatement{},
	}
	p.dialed(lease)
}

// dialed hands a new connection to a waiter of its principal.
func (p *Pool) dialed(lease *Lease) {
	p.mutex.Lock()
	if lease.generation == p.generation {
		p.opened(lease.principal)
		if w := p.waiting.takeFor(lease.principal); w != nil {
			p.mutex.Unlock()
			w.given <- given{lease: lease}
			p.freed()
			return
		}
	}
	p.mutex.Unlock()
	lease.Return()
}

// opened notes the end of an opening; the lock is held.
func (p *Pool) opened(principal Principal) {
	p.opening[principal]--
	if p.opening[principal] == 0 {
		delete(p.opening, principal)
	}
}

func (p *Pool) dialFailed(err error, principal Principal, generation int) {
	refusal, refused := RefusalOf(err)
	if refused {
		// The server has said something, if only that it wants no connection.
		p.stats.Answered(time.Now())
	} else {
		p.stats.Unreachable(time.Now())
	}
	defer p.freed()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if generation != p.generation {
		return
	}
	p.open--
	p.opened(principal)
	if refused && refusal == ConnectionLimit {
		p.refused(time.Now())
	}
	if w := p.waiting.takeFor(principal); w != nil {
		w.given <- given{err: err}
	}
	p.raiseLater()
}

// overtakeLimit is how long the one who waits longest may be overtaken by those who want
// just the connection that has become free: some openings of a connection. After that the
// connection is closed to make room for it, so that no principal starves.
const overtakeLimit = 50 * time.Millisecond

// takeBack takes a connection that its user is done with: it goes to a waiter or becomes
// idle. What it returns is to be closed. The lock is held.
func (p *Pool) takeBack(lease *Lease, now time.Time) *Lease {
	lease.returned = now
	longest := p.waiting.longest()
	if longest == nil {
		p.rest(lease)
		return nil
	}
	if longest.principal.accepts(lease.principal) || now.Sub(longest.since) < overtakeLimit {
		if w := p.waiting.takeFor(lease.principal); w != nil {
			w.given <- given{lease: lease}
			return nil
		}
	}
	for _, w := range p.waiting.order {
		if w.principal.accepts(lease.principal) {
			p.waiting.remove(w)
			w.given <- given{lease: lease}
			return nil
		}
		if p.opening[w.principal] < p.waiting.count(w.principal) {
			// This one has nothing under way.
			p.open--
			p.startOpening(w.principal, nil)
			return lease
		}
	}
	p.rest(lease)
	return nil
}

// rest keeps a connection that nobody wants now; the lock is held.
func (p *Pool) rest(lease *Lease) {
	p.idle = append(p.idle, lease)
	p.idleOf[lease.principal]++
	if p.scarce(lease.returned) {
		time.AfterFunc(scarceIdle, func() { p.Trim(time.Now().Add(-scarceIdle)) })
	}
}

// noLongerIdle notes that a connection was taken from the idle ones; the lock is held.
func (p *Pool) noLongerIdle(lease *Lease) {
	if p.idleOf[lease.principal]--; p.idleOf[lease.principal] == 0 {
		delete(p.idleOf, lease.principal)
	}
}

// HasIdle reports whether a connection of a principal is idle.
func (p *Pool) HasIdle(principal Principal) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.idleOf[principal] > 0
}

// Renew leaves all connections behind, since the server is now reached in another
// way: idle ones are closed, those in use when their user is done, and none of
// them counts against the limit.
func (p *Pool) Renew() {
	p.mutex.Lock()
	p.generation++
	idle := p.idle
	p.idle, p.open, p.opening, p.idleOf = nil, 0, map[Principal]int{}, map[Principal]int{}
	p.limited = false
	p.raiseLater()
	p.openForWaiters(time.Now())
	p.mutex.Unlock()
	for _, lease := range idle {
		lease.Close()
	}
}

// Trim closes connections that have been idle since before a time.
func (p *Pool) Trim(before time.Time) { p.trim(before, func() int { return 0 }) }

// trim closes connections that have been idle since before a time, but leaves as many open as
// spare returns, which is called with the lock held.
func (p *Pool) trim(before time.Time, spare func() int) {
	p.mutex.Lock()
	most := len(p.idle) - spare()
	closed := 0
	for closed < most && !p.idle[closed].returned.After(before) {
		closed++
	}
	old := append([]*Lease(nil), p.idle[:closed]...)
	p.idle = append(p.idle[:0], p.idle[closed:]...)
	for _, lease := range old {
		p.noLongerIdle(lease)
	}
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
	p.idle, p.idleOf = nil, map[Principal]int{}
	p.open -= len(idle)
	waiting := p.waiting.clear()
	p.mutex.Unlock()
	for _, waiter := range waiting {
		waiter.given <- given{err: ErrNoConnection}
	}
	for _, lease := range idle {
		lease.Close()
	}
}
