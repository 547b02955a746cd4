// Package traffic counts the bytes that a node exchanges with others by what they are for
// and how far they go. It decides nothing.
package traffic

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Kind is what bytes are for.
type Kind uint8

// The kinds.
const (
	// Questions are questions of nodes that belong to no other kind.
	Questions Kind = iota
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
	// Servers are connections to database servers, Store is the platform's store.
	Servers
	Store
	kinds
)

var kindNames = [kinds]string{
	"questions", "links", "tunnels", "members", "configuration", "directory", "tokens", "agreement", "servers", "store",
}

// String returns the kind's name in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Distance is how far bytes go.
type Distance uint8

// The distances, the nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	// Unplaced is the distance to an address that no known member or server has.
	Unplaced
	distances
)

var distanceNames = [distances]string{"same_zone", "same_region", "other_region", "unplaced"}

// String returns the distance's name in logs and metrics.
func (d Distance) String() string { return distanceNames[d] }

// Direction is which way bytes went.
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

// Locate sets what tells the distance to a network address.
func (m *Meter) Locate(locate func(address string) Distance) { m.locate.Store(&locate) }

func (m *Meter) distanceTo(address string) Distance {
	if locate := m.locate.Load(); locate != nil {
		return (*locate)(address)
	}
	return Unplaced
}

// Add counts the bytes of a datagram exchanged with an address.
func (m *Meter) Add(kind Kind, address string, direction Direction, bytes int) {
	if m == nil || bytes <= 0 {
		return
	}
	m.counts[kind][m.distanceTo(address)][direction].Add(uint64(bytes))
}

// Each gives a function all counts, those that are zero too.
func (m *Meter) Each(take func(kind Kind, distance Distance, direction Direction, bytes uint64)) {
	for kind := range kinds {
		for distance := range distances {
			for direction := range directions {
				take(kind, distance, direction, m.counts[kind][distance][direction].Load())
			}
		}
	}
}

// Sent returns the bytes sent so far.
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
	// kind and distance are known once decided is set; what came before is held.
	decided  bool
	kind     Kind
	distance Distance
	held     [directions]int
}

// Count returns a connection whose bytes are counted once SetKind has told what they are
// for: often the first message tells it. Without a meter, it is the connection itself.
func (m *Meter) Count(conn net.Conn) net.Conn {
	if m == nil {
		return conn
	}
	return &Conn{Conn: conn, meter: m}
}

// SetKind sets what all bytes of a connection of Count are for.
func SetKind(conn net.Conn, kind Kind) {
	c, counted := conn.(*Conn)
	if !counted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decided, c.kind, c.distance = true, kind, c.meter.distanceTo(c.RemoteAddr().String())
	for direction, bytes := range c.held {
		c.meter.counts[kind][c.distance][direction].Add(uint64(bytes))
	}
	c.held = [directions]int{}
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
	if !c.decided {
		c.held[direction] += bytes
		return
	}
	c.meter.counts[c.kind][c.distance][direction].Add(uint64(bytes))
}

// SyscallConn implements syscall.Conn where the connection does: whether an idle one has
// ended is seen on its descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.New("the connection has no descriptor; count one of the operating system")
}
