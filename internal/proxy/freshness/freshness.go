// Package freshness computes the log position that a read must see.
//
// A proof is a position that a server reported while it surely was the primary,
// together with a time before which the question was sent. Every commit that
// was acknowledged before that time and is still part of the log is covered by
// the position: the primary holds every such commit, and a promotion replaces
// the primary in one moment, so no other server can acknowledge commits while
// it is the primary.
package freshness

import (
	"sync"
	"time"

	"dewknot/internal/base/position"
)

// Proof is a primary's position and the time at which the question for it was sent.
type Proof struct {
	At       time.Time
	Position position.Position
}

// OwnCommit is the newest commit of a session and when its answer was received.
type OwnCommit struct {
	At       time.Time
	Position position.Position
}

// Floor is the position a read must see. Since is a time at which the primary's
// log had surely reached it.
type Floor struct {
	Position position.Position
	Since    time.Time
}

// ringSize bounds the proofs kept; with one each resolution they span 3.2 s.
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

// Add takes a proof. Older ones than the newest add nothing and are dropped.
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

// Oldest returns the oldest proof that is not before a time, which asks least
// of replicas.
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

// Floor returns what a read must see that began at a time and may miss commits
// acknowledged in the span before it, but none of its own session. It reports
// false if no proof is new enough; the primary has to be asked.
func (p *Proofs) Floor(began time.Time, span time.Duration, own OwnCommit) (Floor, bool) {
	proof, found := p.Oldest(began.Add(-span))
	if !found {
		return Floor{}, false
	}
	newest := p.Newest()
	if newest.Position.Term != proof.Position.Term {
		// A promotion may have removed the older proof's position from the log,
		// so that no server would ever have it.
		proof = newest
	}
	floor := Floor{Position: proof.Position, Since: proof.At}
	if own.At.IsZero() || !proof.At.Before(own.At) {
		// The proof was asked for after the commit's answer, so it covers the
		// commit, or a promotion has removed the commit from the log.
		return floor, true
	}
	if own.At.Before(newest.At) && newest.Position.Less(own.Position) {
		// The log of the newest primary lacks the commit: it was rolled back.
		return Floor{Position: newest.Position, Since: newest.At}, true
	}
	if floor.Position.Less(own.Position) {
		floor = Floor{Position: own.Position, Since: own.At}
	}
	return floor, true
}
