package objectstore

import (
	"fmt"
	"sync"

	"dewknot/internal/base/era"
)

// EntryError tells why an entry of the store is left out. Other writers than servers and nodes
// may put entries there.
type EntryError struct {
	Kind string
	Name string
	// Reason is what is wrong with it.
	Reason string
}

// Error implements the error interface.
func (e *EntryError) Error() string {
	return fmt.Sprintf("entry %q of %s is left out: %s; its writer must correct or remove it", e.Name, e.Kind, e.Reason)
}

// mostRefused bounds the entries of which it is known that they were logged.
const mostRefused = 256

// RefusedEntries remembers at which revision an entry was last refused: entries that stay are
// listed again and again. It is safe for concurrent use.
type RefusedEntries struct {
	mu   sync.Mutex
	seen map[string]era.Revision
}

// First reports whether an entry is refused for the first time at its revision.
func (r *RefusedEntries) First(kind string, object *Object) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := kind + "/" + object.Name
	if known, found := r.seen[key]; found && known == object.Revision {
		return false
	}
	if r.seen == nil || len(r.seen) >= mostRefused {
		r.seen = map[string]era.Revision{}
	}
	r.seen[key] = object.Revision
	return true
}
