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
	mutex   sync.Mutex
	primary string
	term    uint64
	// announcedRevision is the directory's revision of the newest announcement.
	announcedRevision era.Revision
	deniedAt          map[string]time.Time
	changed           chan struct{}
}

// NewPrimaryView returns a view without a primary.
func NewPrimaryView() *PrimaryView {
	return &PrimaryView{deniedAt: map[string]time.Time{}, changed: make(chan struct{})}
}

// Primary returns the primary in this node's view, or "" if none is known.
func (v *PrimaryView) Primary() string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.primary
}

// Term returns the term of the last confirmation.
func (v *PrimaryView) Term() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.term
}

// Changed returns a channel that is closed when the primary next changes.
func (v *PrimaryView) Changed() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.changed
}

// ApplyAnnouncement applies the directory's announcement, at a revision, that a server is the
// primary. It reports whether the primary changed. An announcement that is not newer than the last
// one is ignored.
func (v *PrimaryView) ApplyAnnouncement(id string, revision era.Revision) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if revision <= v.announcedRevision {
		return false
	}
	v.announcedRevision = revision
	delete(v.deniedAt, id)
	return v.set(id)
}

// Confirm records a server's own proof that it is the primary in a term. It reports whether the
// primary changed. A proof of an older term than the last one is ignored.
func (v *PrimaryView) Confirm(id string, term uint64) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if term < v.term {
		return false
	}
	v.term = term
	delete(v.deniedAt, id)
	return v.set(id)
}

// RecordDenialAndClear records a server's own statement that it is not the primary, and clears the
// primary if it was that server. It reports whether the primary changed.
func (v *PrimaryView) RecordDenialAndClear(id string, now time.Time) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.deniedAt[id] = now
	if v.primary != id {
		return false
	}
	return v.set("")
}

// RecordDenial records a server's own statement that it is not the primary, but does not change the
// view. It is for services whose nodes agree on the primary, and which change it with SetAgreed. It
// returns false if the server had already denied the role recently.
func (v *PrimaryView) RecordDenial(id string, now time.Time) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	at, found := v.deniedAt[id]
	v.deniedAt[id] = now
	return !found || now.Sub(at) >= denialTTL
}

// SetAgreed sets the primary on which the nodes agree, or "" if there is none at the moment. It
// reports whether the primary changed.
func (v *PrimaryView) SetAgreed(id string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.deniedAt, id)
	return v.set(id)
}

// RecentlyDenied reports whether a server has recently denied being the primary.
func (v *PrimaryView) RecentlyDenied(id string, now time.Time) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	at, found := v.deniedAt[id]
	return found && now.Sub(at) < denialTTL
}

func (v *PrimaryView) set(id string) bool {
	if v.primary == id {
		return false
	}
	v.primary = id
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}
