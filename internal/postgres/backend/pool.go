package backend

import (
	"context"
	"sync"
	"time"
)

// dialTimeout is the timeout of connecting and authenticating.
const dialTimeout = 3 * time.Second

// idleTimeout is the time after which an unused connection is closed.
const idleTimeout = 60 * time.Second

// Pool holds the connections to one server. It is safe for concurrent use. It has no limit
// of its own: the group's machine limits the connections by counting runs and transactions.
type Pool struct {
	address Address
	mu      sync.Mutex
	idle    []*Conn
	all     map[*Conn]struct{}
	dialed  uint64
	// generation is incremented when all connections are closed. Connections whose dialing
	// began in an earlier generation are closed, too.
	generation uint64
}

// NewPool returns an empty pool.
func NewPool(address Address) *Pool {
	return &Pool{address: address, all: map[*Conn]struct{}{}}
}

// Acquire returns an idle connection or dials a new one. Connections on which data arrived while they
// were idle are closed.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	for last := len(p.idle) - 1; last >= 0; last-- {
		conn := p.idle[last]
		p.idle = p.idle[:last]
		if conn.Quiet() {
			p.mu.Unlock()
			return conn, nil
		}
		p.discard(conn)
	}
	generation := p.generation
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := Dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialed++
	if generation != p.generation {
		conn.Close()
	}
	p.all[conn] = struct{}{}
	return conn, nil
}

// Release returns a clean connection to the pool.
func (p *Pool) Release(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, inPool := p.all[conn]
	if !inPool || conn.canceled.Load() || len(conn.prepared) > maxPrepared {
		p.discard(conn)
		return
	}
	conn.lastUsed = time.Now()
	p.idle = append(p.idle, conn)
}

// Discard closes a connection that may not be clean.
func (p *Pool) Discard(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(conn)
}

func (p *Pool) discard(conn *Conn) {
	conn.Close()
	delete(p.all, conn)
}

// CloseAll closes all connections, including those in use.
func (p *Pool) CloseAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.all {
		conn.Close()
	}
	p.all = map[*Conn]struct{}{}
	p.idle = nil
	p.generation++
}

// Trim closes connections that have been idle for longer than idleTimeout.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if time.Since(conn.lastUsed) > idleTimeout {
			p.discard(conn)
		} else {
			kept = append(kept, conn)
		}
	}
	p.idle = kept
}

// Stats returns the numbers of open and idle connections, and of all connections ever dialed.
func (p *Pool) Stats() (open, idle int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all), len(p.idle), p.dialed
}
