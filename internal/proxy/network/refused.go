package network

import (
	"fmt"
	"sync"

	"go.uber.org/zap"

	"dewknot/internal/base/era"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/objectstore"
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

// refusedEntries remembers at which revision an entry was last refused: entries that stay are
// listed again and again. It is safe for concurrent use.
type refusedEntries struct {
	mu   sync.Mutex
	seen map[string]era.Revision
}

// first reports whether an entry is refused for the first time at its revision.
func (r *refusedEntries) first(kind string, object *objectstore.Object) bool {
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

// RefuseEntry logs and counts an entry that cannot be read, once for each of its revisions.
func (n *Network) RefuseEntry(kind string, object *objectstore.Object, reason error) {
	if !n.refused.first(kind, object) {
		return
	}
	if counted := n.ports.EntriesRefused; counted != nil {
		counted.WithLabelValues(kind).Inc()
	}
	n.Log.Write(eventlog.EntryRefused, zap.String("kind", kind), zap.String("entry", object.Name),
		zap.Stringer("revision", object.Revision), zap.Error(reason))
}
