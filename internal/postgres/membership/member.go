// Package membership is the fleet's own failure detector and member list.
//
// It follows the SWIM scheme (Das, Gupta, Motivala: "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002)
// with suspicion and incarnation numbers: each period a node probes one other
// node, asks a few others to probe on its behalf when no answer comes, and
// spreads what it learns on the probes themselves. Members believed dead are
// probed now and then, so that two halves of a split find each other again.
//
// The machine is pure: it has no clock, sockets or goroutines, and its random
// choices come from a generator with a given seed.
package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is what the fleet believes of a member.
type Status uint8

// The statuses, in the order in which they override each other at one incarnation.
const (
	Alive Status = iota
	// Leaving: the member runs and is being stopped as planned.
	Leaving
	Suspect
	Dead
)

// String returns the status's name.
func (s Status) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[s]
}

// Addresses are where a member can be reached.
type Addresses struct {
	// Gossip is the UDP address of the membership protocol.
	Gossip string `msgpack:"g"`
	// Peer is the TCP address of the internal protocol.
	Peer string `msgpack:"p"`
	// Operator is the HTTP address for operators.
	Operator string `msgpack:"o"`
}

// Member is one node as another knows it.
type Member struct {
	ID          string    `msgpack:"i"`
	Incarnation uint64    `msgpack:"n"`
	Status      Status    `msgpack:"s"`
	Zone        string    `msgpack:"z"`
	Addresses   Addresses `msgpack:"a"`
	// Draining is kept apart from Status, so that a suspected member that is
	// being stopped stays out of placement when it refutes the suspicion.
	Draining bool `msgpack:"d"`
}

// Running reports whether the member may be sent requests.
func (m Member) Running() bool { return m.Status != Dead }

// Placeable reports whether the member may own groups or hold roles. A suspected
// member stays: suspicion is often wrong, and listeners turn to the stand-by
// owner by themselves.
func (m Member) Placeable() bool { return m.Status != Dead && m.Status != Leaving && !m.Draining }

// overrides reports whether news about a member replaces what is known.
func (m Member) overrides(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.Status > known.Status
}

// hash is the member's part of the list's digest. Dead members have none: nodes
// forget them at different times.
func (m Member) hash() uint64 {
	if m.Status == Dead {
		return 0
	}
	const statusFactor, incarnationFactor = 0x9e3779b97f4a7c15, 0xff51afd7ed558ccd
	return (xxhash.Sum64String(m.ID) + uint64(m.Status)*statusFactor) ^ m.Incarnation*incarnationFactor
}

// entry is a member with what only this node knows of it.
type entry struct {
	Member
	since time.Duration // when the status last changed here
}

// List returns all members that are not dead, sorted by identifier.
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

// All returns all members, dead ones included, sorted by identifier; it is what
// a peer needs to synchronize.
func (m *Machine) All() []Member {
	var members []Member
	for _, id := range m.order {
		members = append(members, m.members[id].Member)
	}
	return members
}

// Get returns a member.
func (m *Machine) Get(id string) (Member, bool) {
	known, ok := m.members[id]
	if !ok {
		return Member{}, false
	}
	return known.Member, true
}
