// Package managed is a stand-in for a platform that manages database services
// and a durable store, as the ports of internal/proxy see it: replicated
// services whose primary changes only by order, fenced promotions, a directory
// of servers and a store with watches and conditional writes.
//
// It keeps time with package time only, so tests run it in a synctest bubble on
// virtual time. Faults are switched on by methods.
package managed

import (
	"fmt"
	"sync"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/upstream"
)

// Run is a caller's statement that a server has begun to run.
type Run struct {
	RequestID string
	// Principal is in whose name the connection was opened.
	Principal upstream.Principal
	At        time.Time
	// First is set unless an earlier statement of the same transaction ran there.
	First bool
}

// Observer sees what the servers run. Its methods are called with the group's
// lock held and must not call back.
type Observer interface {
	// StatementRan tells of each statement that a server runs, the end of a transaction
	// excepted.
	StatementRan(run Run)
	// ReadRan tells that a caller's read ran on a log. has reports whether the
	// log holds a commit that is still part of the service.
	ReadRan(requestID string, at time.Time, has func(position.Position) bool)
	// WritesCommitted tells that the writes of some requests took effect.
	WritesCommitted(requestIDs []string, at position.Position)
	// RolledBack tells that a promotion removed a commit.
	RolledBack(at position.Position)
	// CommittedAside tells that a replaced primary, which goes on, committed the writes of
	// some requests: they are no part of the service.
	CommittedAside(requestIDs []string)
}

// Settings describe a service.
type Settings struct {
	Name string
	// Zones holds the zone of each server; the first is the first primary.
	Zones []string
	// Slots and Queue are the statements that a server runs and queues.
	Slots int
	Queue int
	// Connections bounds the connections to a server.
	Connections int
	// Work is the time of a statement, Handshake that of a new connection.
	Work      time.Duration
	Handshake time.Duration
	// ReceiveDelay and ApplyDelay are the delays of replication.
	ReceiveDelay time.Duration
	ApplyDelay   time.Duration
	// PromotionDelay is the time from an accepted order to the change.
	PromotionDelay time.Duration
	// SynchronousReplicas must have received a commit before it is answered.
	SynchronousReplicas int
	// Unfenced makes the platform check no tokens, and a replaced primary go on until it
	// is told to step down, or for lingerTime after it reaches the new primary.
	Unfenced bool
	// NetworkDelay is the one-way delay between nodes and servers.
	NetworkDelay time.Duration
}

// entry is a committed transaction in a log.
type entry struct {
	at     position.Position
	writes []write
}

type write struct {
	requestID string
	thing     string
	data      string
}

// Group is a service: one primary and its replicas.
type Group struct {
	settings Settings
	observer Observer
	publish  func(Entry)

	mutex   sync.Mutex
	term    uint64
	primary *Server
	servers []*Server
	fence   uint64
	serial  int
	// lowered counts the orders whose token was lower than one seen before.
	lowered int
	// arrived is the highest token of the orders that have come, carried out or not.
	arrived uint64
}

// Entry is a server's entry in the directory.
type Entry struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	Primary  bool
	Gone     bool
	// Born is the time of the server's start, in milliseconds since 1970.
	Born int64
}

// NewGroup starts a service; publish is called for each change of the directory.
func NewGroup(settings Settings, observer Observer, publish func(Entry)) *Group {
	group := &Group{settings: settings, observer: observer, publish: publish, term: 1}
	for _, zone := range settings.Zones {
		group.addServer(zone)
	}
	group.primary = group.servers[0]
	group.primary.ledTerm = group.term
	for _, server := range group.servers {
		group.announce(server)
	}
	return group
}

func (g *Group) addServer(zone string) *Server {
	g.serial++
	server := &Server{
		group: g, id: fmt.Sprintf("%s-%d", g.settings.Name, g.serial), zone: zone,
		born: time.Now().UnixMilli(), up: true, reachable: true, sessions: map[*Session]struct{}{}, applyDelay: g.settings.ApplyDelay,
	}
	g.servers = append(g.servers, server)
	return server
}

// Replace starts a new server in a zone; it gets the primary's log.
func (g *Group) Replace(zone string) *Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	server := g.addServer(zone)
	g.announce(server)
	g.replicateTo(server)
	return server
}

// announce publishes a server's entry; the lock is held or not needed yet.
func (g *Group) announce(server *Server) {
	g.publish(Entry{
		ID: server.id, Service: g.settings.Name, Address: server.id, Zone: server.zone, Slots: g.settings.Slots,
		Draining: server.draining, Primary: server.leads(), Gone: !server.up, Born: server.born,
	})
}

// Announce writes the entries of all servers that run, as they do after the store has lost
// some.
func (g *Group) Announce() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, server := range g.servers {
		if server.up {
			g.announce(server)
		}
	}
}

// Server returns a server by its index in the order of their start.
func (g *Group) Server(index int) *Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.servers[index]
}

// SetConnections changes the limit of connections to each server.
func (g *Group) SetConnections(limit int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.settings.Connections = limit
}

// Primary returns the present primary.
func (g *Group) Primary() *Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.primary
}

// find returns the server with an id, nil if there is none; the lock is held.
func (g *Group) find(id string) *Server {
	for _, server := range g.servers {
		if server.id == id {
			return server
		}
	}
	return nil
}

// Order takes an order to promote a server under a fencing token. It reports
// false if a newer token was seen or the server does not run.
func (g *Group) Order(id string, token uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	target := g.find(id)
	if token < g.fence && !g.settings.Unfenced {
		return false
	}
	if target == nil || !target.up {
		return false
	}
	g.fence = max(g.fence, token)
	if target == g.primary && !target.steppedDown {
		return true
	}
	time.AfterFunc(g.settings.PromotionDelay, func() { g.promote(target) })
	return true
}

// promote makes a server the primary in one moment.
func (g *Group) promote(target *Server) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !target.up || (target == g.primary && !target.steppedDown) {
		return
	}
	previous := g.primary
	g.term++
	if g.settings.Unfenced && previous != target && previous.up && !previous.steppedDown {
		g.linger(previous)
	}
	g.primary = target
	target.ledTerm, target.steppedDown, target.lingering = g.term, false, false
	target.held = false
	target.applied = len(target.log)
	for _, lost := range previous.log {
		if !target.holds(lost.at) {
			g.observer.RolledBack(lost.at)
		}
	}
	for _, server := range g.servers {
		if server != target && !server.lingering {
			server.truncate(target)
			g.replicateTo(server)
		}
	}
	if previous.up && previous != target && !previous.lingering {
		g.announce(previous)
	}
	g.announce(target)
}

// lingerTime is how long a replaced primary goes on once it reaches the new one.
const lingerTime = time.Second

// lingerLook is the pause between looks whether it does.
const lingerLook = 50 * time.Millisecond

// linger lets a replaced primary go on; the lock is held.
func (g *Group) linger(server *Server) {
	server.lingering = true
	var since time.Time
	var look func()
	look = func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if !server.lingering {
			return
		}
		now := time.Now()
		switch {
		case server.severed:
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= lingerTime:
			g.endLinger(server)
			return
		}
		time.AfterFunc(lingerLook, look)
	}
	time.AfterFunc(lingerLook, look)
}

// endLinger makes a replaced primary follow the new one; the lock is held.
func (g *Group) endLinger(server *Server) {
	server.lingering = false
	server.truncate(g.primary)
	if server.up {
		g.announce(server)
		g.replicateTo(server)
	}
}

// commitAside appends a transaction to the log of a replaced primary; the lock is held.
func (g *Group) commitAside(server *Server, writes []write) position.Position {
	at := position.Position{Term: server.ledTerm, Offset: uint64(len(server.log) + 1)}
	server.log = append(server.log[:len(server.log):len(server.log)], entry{at: at, writes: writes})
	server.applied = len(server.log)
	g.observer.CommittedAside(requestsOf(writes))
	return at
}

// requestsOf returns the requests of writes.
func requestsOf(writes []write) []string {
	requestIDs := make([]string, 0, len(writes))
	for _, each := range writes {
		requestIDs = append(requestIDs, each.requestID)
	}
	return requestIDs
}

// arrive notes the token of an order that has come.
func (g *Group) arrive(token uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if token < g.arrived {
		g.lowered++
	}
	g.arrived = max(g.arrived, token)
}

// LoweredTokens counts the orders that had a lower token than one before.
func (g *Group) LoweredTokens() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lowered
}

// replicateTo sends the primary's log to a replica; the lock is held.
func (g *Group) replicateTo(replica *Server) {
	time.AfterFunc(g.settings.ReceiveDelay, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if replica == g.primary || replica.lingering || !replica.receives() || !g.primary.up || g.primary.severed {
			return
		}
		if len(g.primary.log) <= len(replica.log) {
			return
		}
		replica.log = append(replica.log, g.primary.log[len(replica.log):]...)
		received := len(replica.log)
		time.AfterFunc(replica.applyDelay, func() {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			replica.applied = max(replica.applied, min(received, len(replica.log)))
		})
	})
}

// commit appends a transaction to the primary's log; the lock is held.
func (g *Group) commit(writes []write) position.Position {
	at := position.Position{Term: g.term, Offset: uint64(len(g.primary.log) + 1)}
	g.primary.log = append(g.primary.log, entry{at: at, writes: writes})
	g.primary.applied = len(g.primary.log)
	g.observer.WritesCommitted(requestsOf(writes), at)
	for _, server := range g.servers {
		if server != g.primary {
			g.replicateTo(server)
		}
	}
	return at
}

// received counts the replicas that hold a position; the lock is held.
func (g *Group) received(at position.Position) int {
	count := 0
	for _, server := range g.servers {
		if server != g.primary && server.holds(at) {
			count++
		}
	}
	return count
}
