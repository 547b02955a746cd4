// Package membership implements the failure detector and the member list of a
// fleet of nodes.
//
// It follows the SWIM protocol (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002)
// with suspicion and incarnation numbers. In each period a node probes one other
// node. If the node does not answer, a few other nodes are asked to probe it as
// well. Member updates are piggybacked on the probes. Dead members are probed
// from time to time, so that the sides of a healed network partition find each
// other.
//
// Machine is deterministic: it has no clock, sockets or goroutines, and its
// random number generator is seeded by the caller. It is not safe for
// concurrent use.
package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the state of a member as seen by the fleet.
type Status uint8

// The statuses. Within one incarnation, a higher status overrides a lower one.
const (
	Alive Status = iota
	// Leaving means that the member is running and being shut down as planned.
	Leaving
	Suspect
	Dead
)

// String returns the status's name.
func (s Status) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[s]
}

// Addresses holds the network addresses of a member.
type Addresses struct {
	// Gossip is the UDP address of the membership protocol.
	Gossip string `msgpack:"g"`
	// Peer is the TCP address of the internal protocol.
	Peer string `msgpack:"p"`
	// Operator is the HTTP address of the operator API.
	Operator string `msgpack:"o"`
}

// Member is the state of one node.
type Member struct {
	ID          string    `msgpack:"i"`
	Incarnation uint64    `msgpack:"n"`
	Status      Status    `msgpack:"s"`
	Zone        string    `msgpack:"z"`
	Addresses   Addresses `msgpack:"a"`
	// Draining is separate from Status, so that a draining member that refutes
	// a suspicion remains excluded from placement.
	Draining bool `msgpack:"d"`
}

// Running reports whether requests may be sent to the member.
func (m Member) Running() bool { return m.Status != Dead }

// Placeable reports whether the member may own groups or have roles. This includes
// suspected members: suspicions are often wrong, and listeners switch to the
// standby owner on their own.
func (m Member) Placeable() bool { return m.Status != Dead && m.Status != Leaving && !m.Draining }

// overrides reports whether m is newer than the known state of the same member.
func (m Member) overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.Status > known.Status
}

// digest returns the member's contribution to the digest of the member list. It is
// zero for dead members, because nodes remove them at different times.
func (m Member) digest() uint64 {
	if m.Status == Dead {
		return 0
	}
	const statusFactor, incarnationFactor = 0x9e3779b97f4a7c15, 0xff51afd7ed558ccd
	return (xxhash.Sum64String(m.ID) + uint64(m.Status)*statusFactor) ^ m.Incarnation*incarnationFactor
}

// entry is a member with the local state of this node about it.
type entry struct {
	Member
	since time.Duration // when this node last stored a new state
}

// List returns all members that are not dead, sorted by ID.
func (m *Machine) List() []Member {
	var members []Member
	for _, known := range m.members {
		if known.Status != Dead {
			members = append(members, known.Member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// All returns all members including dead ones, sorted by ID. Peers need this list
// to synchronize.
func (m *Machine) All() []Member {
	var members []Member
	for _, id := range m.sortedIDs {
		members = append(members, m.members[id].Member)
	}
	return members
}

// Get returns the member with the given ID.
func (m *Machine) Get(id string) (Member, bool) {
	known, ok := m.members[id]
	if !ok {
		return Member{}, false
	}
	return known.Member, true
}
