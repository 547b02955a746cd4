// Package managed simulates a platform that manages database services and a durable store. It
// implements the interfaces that internal/proxy uses: replicated services whose primary changes
// only on a promotion order, fencing tokens, a server directory, and a store with watches and
// conditional writes.
//
// It uses package time only, so tests can run it on virtual time in a synctest bubble. Methods
// switch faults on and off.
package managed

import (
	"fmt"
	"sync"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// Run describes a caller's statement or COMMIT that a server has started to run.
type Run struct {
	// Statement is what the server runs. If it is prepared, its definition is the one that the server
	// knows under its name.
	Statement command.Statement
	// Commit is set for a COMMIT.
	Commit bool
	// Values are the connection's session values, see ValuesText.
	Values string
	// Transaction identifies the transaction that is open on the connection among those of the
	// service's servers; 0 if none is.
	Transaction int
	// Principal is the identity under which the connection was opened.
	Principal upstream.Principal
	At        time.Time
	// First is false if an earlier statement of the same transaction ran on the server.
	First bool
}

// Observer is notified of what the servers run. Its methods are called with the group's lock held
// and must not call the group.
type Observer interface {
	// StatementRan reports each statement and COMMIT that a server runs.
	StatementRan(run Run)
	// AnswerGiven reports a signed answer before it is sent.
	AnswerGiven(requestID, signature string, rows [][]byte)
	// ReadRan reports a caller's read. contains reports whether the server has applied a commit
	// at the time of the read.
	ReadRan(requestID string, at time.Time, contains func(position.Position) bool)
	// WritesCommitted reports that the writes of some requests took effect.
	WritesCommitted(requestIDs []string, at position.Position)
	// RolledBack reports that a promoted server lacks a commit.
	RolledBack(at position.Position)
	// CommittedOnReplaced reports that a replaced primary that is still running as one committed
	// the writes of some requests. These writes aren't part of the service.
	CommittedOnReplaced(requestIDs []string)
}

// Settings describe a service.
type Settings struct {
	Name string
	// Zones holds the zone of each server; the first is the first primary.
	Zones []string
	// Slots and Queue limit the statements that a server runs and queues.
	Slots int
	Queue int
	// Connections limits the connections to a server.
	Connections int
	// StatementTime is the duration of a statement, Handshake that of opening a connection.
	StatementTime time.Duration
	Handshake     time.Duration
	// WorkTime, if set, returns the duration of an operation by its request ID in place of
	// StatementTime. The ID is empty for the nodes' own operations.
	WorkTime func(requestID string) time.Duration
	// HandshakeTakesSlot makes opening a connection take a slot.
	HandshakeTakesSlot bool
	// ReceiveDelay and ApplyDelay are the delays of replication.
	ReceiveDelay time.Duration
	ApplyDelay   time.Duration
	// PromotionDelay is the time from accepting a promotion order to the change of primary.
	PromotionDelay time.Duration
	// SynchronousReplicas is the number of replicas that must receive a commit before the caller
	// is answered.
	SynchronousReplicas int
	// Unfenced disables the check of fencing tokens. A replaced primary then keeps running as
	// the primary until it is ordered to step down, or until it has been connected to the new
	// primary for lingerDuration.
	Unfenced bool
	// IgnoresStepDown makes a primary keep its role when it is ordered to step down.
	IgnoresStepDown bool
	// ClaimsStepDown makes such a primary report that it has stepped down. IgnoresHold makes replicas that
	// are told to stop receiving go on. Both are faults that checks have to notice.
	ClaimsStepDown bool
	IgnoresHold    bool
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
	key       string
	data      string
}

// Group is a service: one primary and its replicas. Its methods are safe for concurrent use.
type Group struct {
	settings Settings
	observer Observer
	publish  func(Entry)

	mutex   sync.Mutex // guards the fields below, settings.Connections and the servers
	term    uint64
	primary *Server
	servers []*Server
	// fence is the highest token of the orders accepted.
	fence uint64
	// serial is the number of servers started; it makes their IDs unique.
	serial int
	// transactions counts the transactions that servers have begun.
	transactions int
	// loweredTokens counts the orders whose token was lower than that of an earlier order.
	loweredTokens int
	// highestToken is the highest token of all orders received, including rejected ones.
	highestToken uint64
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
	// Incarnation is the server's start time in milliseconds since 1970.
	Incarnation int64 `json:"Born"`
}

// NewGroup starts a service. publish is called for each change of the directory.
func NewGroup(settings Settings, observer Observer, publish func(Entry)) *Group {
	group := &Group{settings: settings, observer: observer, publish: publish, term: 1}
	for _, zone := range settings.Zones {
		group.addServer(zone)
	}
	group.primary = group.servers[0]
	group.primary.primaryTerm = group.term
	for _, server := range group.servers {
		group.announce(server)
	}
	return group
}

func (g *Group) addServer(zone string) *Server {
	g.serial++
	server := &Server{
		group: g, id: fmt.Sprintf("%s-%d", g.settings.Name, g.serial), zone: zone,
		incarnation: time.Now().UnixMilli(), up: true, reachable: true, sessions: map[*Session]struct{}{}, runs: map[string]int{}, applyDelay: g.settings.ApplyDelay,
	}
	g.servers = append(g.servers, server)
	return server
}

// Replace starts a new server in a zone. The server receives the primary's log.
func (g *Group) Replace(zone string) *Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	server := g.addServer(zone)
	g.announce(server)
	g.replicateTo(server)
	return server
}

// announce publishes a server's entry. The lock must be held, except in NewGroup.
func (g *Group) announce(server *Server) {
	g.publish(Entry{
		ID: server.id, Service: g.settings.Name, Address: server.id, Zone: server.zone, Slots: g.settings.Slots,
		Draining: server.draining, Primary: server.isPrimary(), Gone: !server.up || server.unlisted, Incarnation: server.incarnation,
	})
}

// Announce publishes the entries of all running servers again, as servers do after the store has
// lost entries.
func (g *Group) Announce() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, server := range g.servers {
		if server.up {
			g.announce(server)
		}
	}
}

// Server returns a server by its index in start order.
func (g *Group) Server(index int) *Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.servers[index]
}

// SetConnections changes the connection limit of each server.
func (g *Group) SetConnections(limit int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.settings.Connections = limit
}

// Primary returns the current primary.
func (g *Group) Primary() *Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.primary
}

// Running returns the servers that run.
func (g *Group) Running() []*Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var running []*Server
	for _, server := range g.servers {
		if server.up {
			running = append(running, server)
		}
	}
	return running
}

// Staying returns the servers that run and are not about to end.
func (g *Group) Staying() []*Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var staying []*Server
	for _, server := range g.servers {
		if server.up && !server.draining && !server.unlisted {
			staying = append(staying, server)
		}
	}
	return staying
}

// find returns the server with an ID, or nil. The lock must be held.
func (g *Group) find(id string) *Server {
	for _, server := range g.servers {
		if server.id == id {
			return server
		}
	}
	return nil
}

// Order handles an order to promote a server under a fencing token. It returns false if a higher
// token was seen before or the server isn't running.
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

// promote makes a server the primary.
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
	target.primaryTerm, target.steppedDown, target.lingering = g.term, false, false
	target.replicationHeld = false
	target.applied = len(target.log)
	g.reportLost(target, previous.log)
	for _, server := range g.servers {
		g.reportLost(target, server.dropped)
		server.dropped = nil
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

// reportLost reports the entries that a promoted server does not hold. The lock must be held.
func (g *Group) reportLost(target *Server, entries []entry) {
	for _, lost := range entries {
		if !target.holds(lost.at) {
			g.observer.RolledBack(lost.at)
		}
	}
}

// lingerDuration is how long a replaced primary keeps running as one after it is connected to the
// new primary.
const lingerDuration = time.Second

// lingerCheckInterval is how often a replaced primary is checked for a connection to the new one.
const lingerCheckInterval = 50 * time.Millisecond

// linger lets a replaced primary keep running as one. The lock must be held.
func (g *Group) linger(server *Server) {
	server.lingering = true
	var since time.Time
	var check func()
	check = func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if !server.lingering {
			return
		}
		now := time.Now()
		switch {
		case server.sendBlocked:
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= lingerDuration:
			g.endLinger(server)
			return
		}
		time.AfterFunc(lingerCheckInterval, check)
	}
	time.AfterFunc(lingerCheckInterval, check)
}

// endLinger makes a replaced primary a replica of the new one. The lock must be held.
func (g *Group) endLinger(server *Server) {
	server.lingering = false
	server.truncate(g.primary)
	if server.up {
		g.announce(server)
		g.replicateTo(server)
	}
}

// commitOnReplaced appends a transaction to the log of a replaced primary. The lock must be held.
func (g *Group) commitOnReplaced(server *Server, writes []write) position.Position {
	at := position.Position{Term: server.primaryTerm, Offset: uint64(len(server.log) + 1)}
	server.log = append(server.log[:len(server.log):len(server.log)], entry{at: at, writes: writes})
	server.applied = len(server.log)
	g.observer.CommittedOnReplaced(requestIDsOf(writes))
	return at
}

// requestIDsOf returns the IDs of the requests that made the writes.
func requestIDsOf(writes []write) []string {
	requestIDs := make([]string, 0, len(writes))
	for _, each := range writes {
		requestIDs = append(requestIDs, each.requestID)
	}
	return requestIDs
}

// recordToken records the token of a received order.
func (g *Group) recordToken(token uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if token < g.highestToken {
		g.loweredTokens++
	}
	g.highestToken = max(g.highestToken, token)
}

// LoweredTokens returns how many orders had a lower token than an earlier order.
func (g *Group) LoweredTokens() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.loweredTokens
}

// replicateTo sends the primary's log to a replica. The lock must be held.
func (g *Group) replicateTo(replica *Server) {
	time.AfterFunc(g.settings.ReceiveDelay, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if replica == g.primary || replica.lingering || !replica.receives() || !g.primary.up || g.primary.sendBlocked {
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

// commit appends a transaction to the primary's log. The lock must be held.
func (g *Group) commit(writes []write) position.Position {
	at := position.Position{Term: g.term, Offset: uint64(len(g.primary.log) + 1)}
	g.primary.log = append(g.primary.log, entry{at: at, writes: writes})
	g.primary.applied = len(g.primary.log)
	g.observer.WritesCommitted(requestIDsOf(writes), at)
	for _, server := range g.servers {
		if server != g.primary {
			g.replicateTo(server)
		}
	}
	return at
}

// received returns the number of replicas that have received a position. The lock must be held.
func (g *Group) received(at position.Position) int {
	count := 0
	for _, server := range g.servers {
		if server != g.primary && server.holds(at) {
			count++
		}
	}
	return count
}
