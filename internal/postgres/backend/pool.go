package backend

import (
	"context"
	"sync"
	"time"
)

// dialTimeout bounds setting up a connection.
const dialTimeout = 3 * time.Second

// idleTimeout is after how long an unused connection is closed.
const idleTimeout = 60 * time.Second

// Pool holds the connections to one server. How many there may be is decided by
// the group's machine, which counts runs and transactions; the pool itself only
// refuses to grow past its hard limit.
type Pool struct {
	address Address
	mu      sync.Mutex
	idle    []*Conn
	all     map[*Conn]struct{}
	dialed  uint64
	// generation grows when all connections are dropped: a connection dialed
	// before then is not kept.
	generation uint64
}

// NewPool returns an empty pool.
func NewPool(address Address) *Pool {
	return &Pool{address: address, all: map[*Conn]struct{}{}}
}

// Acquire returns an idle connection or dials a new one.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if last := len(p.idle) - 1; last >= 0 {
		conn := p.idle[last]
		p.idle = p.idle[:last]
		p.mu.Unlock()
		return conn, nil
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

// Release returns a clean connection.
func (p *Pool) Release(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.all[conn]
	if !known || len(conn.prepared) > maxPrepared {
		p.discard(conn)
		return
	}
	conn.lastUsed = time.Now()
	p.idle = append(p.idle, conn)
}

// Discard closes a connection that is in doubt.
func (p *Pool) Discard(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(conn)
}

func (p *Pool) discard(conn *Conn) {
	conn.Close()
	delete(p.all, conn)
}

// CloseAll closes every connection, those in use included.
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

// Trim closes connections that have been idle for long.
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

// Stats returns how many connections are open, idle and were ever dialed.
func (p *Pool) Stats() (open, idle int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all), len(p.idle), p.dialed
}
