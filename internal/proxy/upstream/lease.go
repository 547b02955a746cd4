package upstream

import (
	"time"

	"dewknot/internal/base/position"
)

// Lease is a connection to a server that one user has acquired, with the session state that the
// server keeps for it. The connection belongs to a pool or goes through another node.
type Lease struct {
	Connection
	// Values are the session values set on the connection.
	Values map[string]string
	// Prepared holds the names of the statements prepared on the connection.
	Prepared map[string]struct{}

	// state is the connection's state after the last answer.
	state TransactionState
	// wrote is set once a statement of the open transaction wrote.
	wrote bool
	// newest is the newest position of all answers.
	newest position.Position
	// signed holds the signed answers received.
	signed signedAnswers
	// failed is set once an operation was answered with an error. spent is set once later answers
	// may be confused with earlier ones, so that the connection must not be used again.
	failed bool
	spent  bool
	// unconfirmed is set while a later error may be a copy of the first.
	unconfirmed bool
	// probes counts the probes and controlling operations sent.
	probes int

	stats *Stats
	// principal is the identity under which the connection was opened.
	principal Principal
	// pool is nil for a connection that goes through another node.
	pool *Pool
	// onUnreachable is called when that node reports that it cannot reach the server.
	onUnreachable func()
	returnedAt    time.Time
	// generation is the pool's generation when the connection was opened.
	generation int
}

// NewRemoteLease returns a lease of a connection that goes through another node. onUnreachable is
// called when that node reports that it cannot reach the server.
func NewRemoteLease(connection Connection, stats *Stats, onUnreachable func()) *Lease {
	return &Lease{
		Connection: connection, stats: stats, onUnreachable: onUnreachable,
		Values: map[string]string{}, Prepared: map[string]struct{}{},
	}
}

// Remote reports whether the connection goes through another node. That node then limits the work
// on the server.
func (l *Lease) Remote() bool { return l.pool == nil }

// Return gives back a clean connection: it has no outstanding answer and no open transaction. A spent
// connection is closed.
func (l *Lease) Return() {
	pool := l.pool
	if pool == nil {
		l.Close()
		return
	}
	if l.spent {
		l.Discard()
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
		pool.notifyFreed()
		return
	}
	surplus := pool.release(l, time.Now())
	pool.mutex.Unlock()
	if surplus != nil {
		surplus.Close()
	}
	pool.notifyFreed()
}

// Discard closes a connection whose state is unknown.
func (l *Lease) Discard() {
	l.Close()
	pool := l.pool
	if pool == nil {
		return
	}
	defer pool.notifyFreed()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if l.generation == pool.generation {
		pool.open--
	}
	pool.dialForWaiters(time.Now())
}
