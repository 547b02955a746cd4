package upstream

import (
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
	// principal is in whose name the connection was opened.
	principal Principal
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
		pool.freed()
		return
	}
	doomed := pool.takeBack(l, time.Now())
	pool.mutex.Unlock()
	if doomed != nil {
		doomed.Close()
	}
	pool.freed()
}

// Discard closes a connection that is in doubt.
func (l *Lease) Discard() {
	l.Close()
	pool := l.pool
	if pool == nil {
		return
	}
	defer pool.freed()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if l.generation == pool.generation {
		pool.open--
	}
	pool.openForWaiters(time.Now())
}
