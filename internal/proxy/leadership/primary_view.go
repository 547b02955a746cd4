// Package leadership holds what a node believes of a service's primary.
//
// The belief only steers requests; that a server is the primary is proved by
// the server itself, each time it accepts a transaction that only a primary
// accepts.
package leadership

import (
	"sync"
	"time"

	"dewknot/internal/base/era"
)

// refutationLife is how long a server that denied being the primary is not
// asked again without new information.
const refutationLife = 250 * time.Millisecond

// Belief is what a node believes of one service. It is safe for concurrent use.
type Belief struct {
	mutex  sync.Mutex
	leader string
	term   uint64
	// announced is the directory's revision of the newest announcement.
	announced era.Revision
	refuted   map[string]time.Time
	changed   chan struct{}
}

// NewBelief returns a belief in no primary.
func NewBelief() *Belief {
	return &Belief{refuted: map[string]time.Time{}, changed: make(chan struct{})}
}

// Leader returns the server believed to be the primary, "" if none.
func (b *Belief) Leader() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.leader
}

// Term returns the term of the last confirmation.
func (b *Belief) Term() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.term
}

// Changed returns the channel that is closed at the next change of the belief.
func (b *Belief) Changed() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

// Announce takes the word of the directory, at a revision, that a server is the
// primary. It reports whether the belief changed.
func (b *Belief) Announce(id string, revision era.Revision) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if revision <= b.announced {
		return false
	}
	b.announced = revision
	delete(b.refuted, id)
	return b.set(id)
}

// Confirm takes a server's own proof that it is the primary.
func (b *Belief) Confirm(id string, term uint64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if term < b.term {
		return false
	}
	b.term = term
	delete(b.refuted, id)
	return b.set(id)
}

// Refute takes a server's own word that it is not the primary.
func (b *Belief) Refute(id string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refuted[id] = now
	if b.leader != id {
		return false
	}
	return b.set("")
}

// Deny takes a server's own word that it is not the primary, where the nodes agree on
// who is: the belief stays. It reports whether that is news.
func (b *Belief) Deny(id string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at, found := b.refuted[id]
	b.refuted[id] = now
	return !found || now.Sub(at) >= refutationLife
}

// Follow takes the server on which the nodes agree; "" if there is none at the moment.
// It reports whether the belief changed.
func (b *Belief) Follow(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.refuted, id)
	return b.set(id)
}

// Refuted reports whether a server has lately denied being the primary.
func (b *Belief) Refuted(id string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at, found := b.refuted[id]
	return found && now.Sub(at) < refutationLife
}

func (b *Belief) set(id string) bool {
	if b.leader == id {
		return false
	}
	b.leader = id
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}
