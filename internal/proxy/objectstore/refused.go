package objectstore

import (
	"fmt"
	"sync"

	"dewknot/internal/base/era"
)

// EntryError is the error of an invalid entry of the store, which is ignored. Programs other than
// servers and nodes may write entries.
type EntryError struct {
	Kind   string
	Name   string
	Reason string
	// NotReady is set if the entry says that its server takes no new work.
	NotReady bool
}

// Error implements the error interface.
func (e *EntryError) Error() string {
	return fmt.Sprintf("entry %.*q of %s is left out: %s; its writer must correct or remove it", maxShownLength, e.Name, e.Kind, e.Reason)
}

// maxShownLength limits the part of a name that is shown.
const maxShownLength = 100

// maxRefused limits the refused entries that are remembered.
const maxRefused = 256

// RefusedEntries remembers the revision at which each entry was last refused, so that an entry that
// stays in the store is logged once and not at each listing. It is safe for concurrent use.
type RefusedEntries struct {
	mu   sync.Mutex
	seen map[string]era.Revision
}

// First reports whether an entry is refused for the first time at its revision.
func (r *RefusedEntries) First(kind string, object *Object) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := kind + "/" + object.Name
	if refusedAt, found := r.seen[key]; found && refusedAt == object.Revision {
		return false
	}
	if r.seen == nil || len(r.seen) >= maxRefused {
		r.seen = map[string]era.Revision{}
	}
	r.seen[key] = object.Revision
	return true
}
