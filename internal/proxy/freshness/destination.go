package freshness

import (
	"time"

	"dewknot/internal/base/position"
)

// Destination is where a read runs while no replica has its minimum position.
type Destination uint8

// The destinations.
const (
	// OnPrimary: the primary runs the read now.
	OnPrimary Destination = iota
	// AwaitReplica: the read waits for a replica that will have the minimum position in time.
	AwaitReplica
)

// ReadOptions contains the expected waits of a read whose minimum position no replica has yet.
type ReadOptions struct {
	// PrimaryWait is the expected wait at the primary. PrimaryKnown is set if anything recent is
	// known about it.
	PrimaryWait  time.Duration
	PrimaryKnown bool
	// CatchUp is the time until the first replica is expected to have the minimum position.
	// ReplicaKnown is set if there is a replica that lacks it and answers.
	CatchUp      time.Duration
	ReplicaKnown bool
	// Allowed is how long the read may wait for a slot before it is rejected. Left is the time
	// until its objective or its deadline, whichever comes first.
	Allowed time.Duration
	Left    time.Duration
}

// waitDivisor limits the wait for a replica to a fraction of the time left. If the replica does not
// catch up, enough time remains to run the read elsewhere.
const waitDivisor = 2

// Choose decides where the read runs. The primary's slots are for work that no other server can
// run. So if work waits for them, a read waits for a replica that can answer it in time.
func (o *ReadOptions) Choose() Destination {
	switch {
	case !o.PrimaryKnown || o.PrimaryWait <= 0:
		// The primary has a free slot, or nothing is known about it.
		return OnPrimary
	case !o.ReplicaKnown || o.CatchUp > o.Left/waitDivisor:
		return OnPrimary
	case o.PrimaryWait <= o.Allowed && o.PrimaryWait < o.CatchUp:
		return OnPrimary
	default:
		return AwaitReplica
	}
}

// FirstMissing returns the time since when the primary has had the earliest known position that a
// server at position at lacks. The server is at least that far behind. It returns false if the
// server lacks none.
func (p *Proofs) FirstMissing(at position.Position) (time.Time, bool) {
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
