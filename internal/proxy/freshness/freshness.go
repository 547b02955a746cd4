// Package freshness computes the minimum log position that a read must see.
//
// A proof is a position that a server reported while it was known to be the primary, and a time
// before the request for it was sent. The position covers every commit that was acknowledged before
// that time and is still in the log: the primary has all these commits, and a promotion replaces
// the primary atomically, so no other server can acknowledge commits while it is the primary.
package freshness

import (
	"sync"
	"time"

	"dewknot/internal/base/position"
)

// Proof is a primary's position and the time at which the request for it was sent.
type Proof struct {
	At       time.Time
	Position position.Position
}

// OwnCommit is the newest commit of a session and the time when its answer was received.
type OwnCommit struct {
	At       time.Time
	Position position.Position
}

// MinimumPosition is the minimum position that a read must see. Since is a time at which the
// primary's log had reached it.
type MinimumPosition struct {
	Position position.Position
	Since    time.Time
}

// ringSize is the maximum number of proofs kept. At one per resolution they cover 3.2 s.
const (
	ringSize   = 64
	resolution = 50 * time.Millisecond
)

// Proofs keeps the recent proofs of one service. It is safe for concurrent use.
type Proofs struct {
	mutex  sync.Mutex
	ring   [ringSize]Proof
	next   int
	count  int
	newest Proof
}

// Add records a proof. It ignores proofs that are not newer than the newest one.
func (p *Proofs) Add(proof Proof) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !proof.At.After(p.newest.At) {
		return
	}
	p.newest = proof
	if p.count > 0 && proof.At.Sub(p.last().At) < resolution {
		return
	}
	p.ring[p.next] = proof
	p.next = (p.next + 1) % ringSize
	p.count = min(p.count+1, ringSize)
}

func (p *Proofs) last() Proof { return p.ring[(p.next+ringSize-1)%ringSize] }

// Newest returns the newest proof; its time is zero if there is none.
func (p *Proofs) Newest() Proof {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.newest
}

// Oldest returns the oldest proof that is not before a time. Replicas reach its position first.
func (p *Proofs) Oldest(notBefore time.Time) (Proof, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i := range p.count {
		proof := p.ring[(p.next+ringSize-p.count+i)%ringSize]
		if !proof.At.Before(notBefore) {
			return proof, true
		}
	}
	return p.newest, !p.newest.At.IsZero() && !p.newest.At.Before(notBefore)
}

// MinimumPosition returns the minimum position for a read that began at a time. The read may miss
// commits acknowledged within the window before that, but not its own session's commits. It returns
// false if no proof is recent enough; the primary must then be asked.
func (p *Proofs) MinimumPosition(began time.Time, window time.Duration, own OwnCommit) (MinimumPosition, bool) {
	proof, found := p.Oldest(began.Add(-window))
	if !found {
		return MinimumPosition{}, false
	}
	newest := p.Newest()
	if newest.Position.Term != proof.Position.Term {
		// A promotion may have removed the older proof's position from the log, so that no server
		// would ever reach it.
		proof = newest
	}
	minimum := MinimumPosition{Position: proof.Position, Since: proof.At}
	if own.At.IsZero() || !proof.At.Before(own.At) {
		// The proof was requested after the commit's answer, so it covers the commit, or a
		// promotion has removed the commit from the log.
		return minimum, true
	}
	if own.At.Before(newest.At) && newest.Position.Less(own.Position) {
		// The newest primary's log lacks the commit: it was rolled back.
		return MinimumPosition{Position: newest.Position, Since: newest.At}, true
	}
	if minimum.Position.Less(own.Position) {
		minimum = MinimumPosition{Position: own.Position, Since: own.At}
	}
	return minimum, true
}
