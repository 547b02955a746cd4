// Package leadership holds a node's view of a service's primary, and estimates how long the
// service is without one.
//
// The view only routes requests. The server itself proves that it is the primary, each time it
// accepts a transaction that only a primary accepts.
package leadership

import (
	"sync"
	"time"

	"dewknot/internal/base/era"
)

// denialTTL is how long a server that denied being the primary is not asked again without new
// information.
const denialTTL = 250 * time.Millisecond

// PrimaryView is a node's view of one service's primary. It is safe for concurrent use.
type PrimaryView struct {
	mutex  sync.Mutex
	leader string
	term   uint64
	// announcedRevision is the directory's revision of the newest announcement.
	announcedRevision era.Revision
	deniedAt          map[string]time.Time
	changed           chan struct{}
}

// NewPrimaryView returns a view without a primary.
func NewPrimaryView() *PrimaryView {
	return &PrimaryView{deniedAt: map[string]time.Time{}, changed: make(chan struct{})}
}

// Leader returns the primary in this node's view, or "" if none is known.
func (b *PrimaryView) Leader() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.leader
}

// Term returns the term of the last confirmation.
func (b *PrimaryView) Term() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.term
}

// Changed returns a channel that is closed when the primary next changes.
func (b *PrimaryView) Changed() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

// ApplyAnnouncement applies an announcement of the directory, at a revision, that a server is the primary.
// It reports whether the primary changed.
func (b *PrimaryView) ApplyAnnouncement(id string, revision era.Revision) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if revision <= b.announcedRevision {
		return false
	}
	b.announcedRevision = revision
	delete(b.deniedAt, id)
	return b.set(id)
}

// Confirm records a server's own proof that it is the primary in a term. It reports whether the
// primary changed.
func (b *PrimaryView) Confirm(id string, term uint64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if term < b.term {
		return false
	}
	b.term = term
	delete(b.deniedAt, id)
	return b.set(id)
}

// RecordDenialAndClear records a server's own statement that it is not the primary, and clears the primary if
// it was that server. It reports whether the primary changed.
func (b *PrimaryView) RecordDenialAndClear(id string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.deniedAt[id] = now
	if b.leader != id {
		return false
	}
	return b.set("")
}

// RecordDenial records a server's own statement that it is not the primary, where the nodes agree on the
// primary: the view does not change. It reports whether the statement is new.
func (b *PrimaryView) RecordDenial(id string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at, found := b.deniedAt[id]
	b.deniedAt[id] = now
	return !found || now.Sub(at) >= denialTTL
}

// SetAgreed sets the primary on which the nodes agree, or "" if there is none at the moment. It
// reports whether the primary changed.
func (b *PrimaryView) SetAgreed(id string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.deniedAt, id)
	return b.set(id)
}

// RecentlyDenied reports whether a server has recently denied being the primary.
func (b *PrimaryView) RecentlyDenied(id string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at, found := b.deniedAt[id]
	return found && now.Sub(at) < denialTTL
}

func (b *PrimaryView) set(id string) bool {
	if b.leader == id {
		return false
	}
	b.leader = id
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}
