// Package traffic counts the bytes that a node exchanges with others by kind, distance and
// direction. It has no influence on the node's behavior.
package traffic

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Kind is the purpose of bytes.
type Kind uint8

// The kinds.
const (
	// Requests are requests between nodes that belong to no other kind.
	Requests Kind = iota
	// Links carry operations between a node and the owner of a server's connections.
	Links
	// Tunnels carry the bytes of a server's connection through another node.
	Tunnels
	Members
	Configuration
	Directory
	// Tokens are messages about tenants' tokens, Agreement those about tenures.
	Tokens
	Agreement
	// Servers are connections to database servers, Store are calls to the platform's store.
	Servers
	Store
	kinds
)

var kindNames = [kinds]string{
	"questions", "links", "tunnels", "members", "configuration", "directory", "tokens", "agreement", "servers", "store",
}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Distance is the distance between the ends of a connection.
type Distance uint8

// The distances, the nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	// UnknownDistance is the distance to an address that belongs to no known member or server.
	UnknownDistance
	distances
)

var distanceNames = [distances]string{"same_zone", "same_region", "other_region", "unplaced"}

// String returns the distance's name in logs and metrics.
func (d Distance) String() string { return distanceNames[d] }

// Direction is the direction of bytes as seen by this node.
type Direction uint8

// The directions.
const (
	Sent Direction = iota
	Received
	directions
)

var directionNames = [directions]string{"sent", "received"}

// String returns the direction's name in logs and metrics.
func (d Direction) String() string { return directionNames[d] }

// Meter counts bytes. A nil meter counts nothing. It is safe for concurrent use.
type Meter struct {
	counts [kinds][distances][directions]atomic.Uint64
	locate atomic.Pointer[func(address string) Distance]
}

// Locate sets the function that returns the distance to a network address.
func (m *Meter) Locate(locate func(address string) Distance) { m.locate.Store(&locate) }

func (m *Meter) distanceTo(address string) Distance {
	if locate := m.locate.Load(); locate != nil {
		return (*locate)(address)
	}
	return UnknownDistance
}

// Add counts the bytes of a datagram exchanged with an address.
func (m *Meter) Add(kind Kind, address string, direction Direction, bytes int) {
	if m == nil || bytes <= 0 {
		return
	}
	m.counts[kind][m.distanceTo(address)][direction].Add(uint64(bytes))
}

// Each calls visit for each count, including those that are zero.
func (m *Meter) Each(visit func(kind Kind, distance Distance, direction Direction, bytes uint64)) {
	for kind := range kinds {
		for distance := range distances {
			for direction := range directions {
				visit(kind, distance, direction, m.counts[kind][distance][direction].Load())
			}
		}
	}
}

// Sent returns the total number of bytes sent.
func (m *Meter) Sent() uint64 {
	sent := uint64(0)
	m.Each(func(_ Kind, _ Distance, direction Direction, bytes uint64) {
		if direction == Sent {
			sent += bytes
		}
	})
	return sent
}

// Conn counts the bytes of a connection.
type Conn struct {
	net.Conn
	meter *Meter
	mu    sync.Mutex
	// kind and distance are valid once kindSet is true. Bytes before that are counted in pending.
	kindSet  bool
	kind     Kind
	distance Distance
	pending  [directions]int
}

// Count returns a connection whose bytes are counted once SetKind is called, which often happens
// after the first message. For a nil meter it returns conn itself.
func (m *Meter) Count(conn net.Conn) net.Conn {
	if m == nil {
		return conn
	}
	return &Conn{Conn: conn, meter: m}
}

// SetKind sets the kind of all bytes, past and future, of a connection returned by Count. It
// ignores other connections.
func SetKind(conn net.Conn, kind Kind) {
	c, counted := conn.(*Conn)
	if !counted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kindSet, c.kind, c.distance = true, kind, c.meter.distanceTo(c.RemoteAddr().String())
	for direction, bytes := range c.pending {
		c.meter.counts[kind][c.distance][direction].Add(uint64(bytes))
	}
	c.pending = [directions]int{}
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.count(Received, n)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.count(Sent, n)
	return n, err
}

func (c *Conn) count(direction Direction, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.kindSet {
		c.pending[direction] += bytes
		return
	}
	c.meter.counts[c.kind][c.distance][direction].Add(uint64(bytes))
}

// SyscallConn implements syscall.Conn if the underlying connection does. It allows a check of the
// descriptor for the end of an idle connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.New("the connection has no descriptor; use a connection of the operating system")
}
