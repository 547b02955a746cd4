package freshness

import (
	"time"

	"dewknot/internal/base/position"
)

// Place is where a read goes while no replica has what it must see.
type Place uint8

// The places.
const (
	// OnPrimary: the primary runs it now.
	OnPrimary Place = iota
	// AwaitReplica: a replica will have what it must see in time.
	AwaitReplica
)

// Prospect is what is known of a service's servers for such a read.
type Prospect struct {
	// PrimaryWait is how long the read is expected to wait for the primary; PrimaryKnown
	// is set if anything recent is known of it.
	PrimaryWait  time.Duration
	PrimaryKnown bool
	// CatchUp is when the first replica is expected to have what the read must see;
	// ReplicaKnown is set if there is a replica that lacks it and answers.
	CatchUp      time.Duration
	ReplicaKnown bool
	// Allowed is how long the read may wait for a place before it is refused, Left the
	// time to its objective or its deadline, whichever comes first.
	Allowed time.Duration
	Left    time.Duration
}

// waitShare is by what the time that is left is divided for a read that waits for a replica:
// one that waits in vain has as much left to be served elsewhere.
const waitShare = 2

// Choose decides where the read goes. The primary's places are for work that no other
// server can run: while work waits for them, a read that a replica can answer within the
// read's objective waits for that replica.
func (p *Prospect) Choose() Place {
	switch {
	case !p.PrimaryKnown || p.PrimaryWait <= 0:
		// It has a free place, or nothing is known.
		return OnPrimary
	case !p.ReplicaKnown || p.CatchUp > p.Left/waitShare:
		return OnPrimary
	case p.PrimaryWait <= p.Allowed && p.PrimaryWait < p.CatchUp:
		return OnPrimary
	default:
		return AwaitReplica
	}
}

// Lacking returns since when the primary has had the earliest position that a server at
// another one lacks, as far as is known: the server is at least so far behind. It is false if it lacks
// none.
func (p *Proofs) Lacking(at position.Position) (time.Time, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i := range p.count {
		proof := p.ring[(p.next+ringSize-p.count+i)%ringSize]
		if proof.Position.Term == p.newest.Position.Term && !at.Covers(proof.Position) {
			return proof.At, true
		}
	}
	return time.Time{}, false
}
