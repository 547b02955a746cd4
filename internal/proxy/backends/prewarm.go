package backends

import (
	"time"

	"dewknot/internal/proxy/upstream"
)

// Prewarm opens a principal's connections to a service's servers, once, while its callers wait for
// the first tenure. The callers will continue all at once, and opening a connection takes a slot of
// the server.
func (s *Service) Prewarm(principal upstream.Principal) {
	if s.prewarmed.Swap(true) {
		return
	}
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		target := s.backends.Server(entry.ID)
		if target == nil || entry.Gone {
			continue
		}
		for range prewarmCount(entry.Slots) {
			go s.backends.prewarmConnection(target, principal)
		}
	}
}

// prewarmCount returns how many connections are opened to a server with a number of slots. The gate
// admits no more than maxStatements at a time.
func prewarmCount(slots int) int { return min(max(slots, 0), maxStatements) + spareConnections }

// spareConnections is how many connections are opened in addition to one for each slot, for
// transactions that are idle between statements.
const spareConnections = 2

// prewarmHold is how long a new connection is held, so that the others are opened too instead of it
// being reused.
const prewarmHold = 100 * time.Millisecond

// prewarmConnection opens a connection to a server, or the link to the node that owns the server's
// connections.
func (b *Backends) prewarmConnection(target *Server, principal upstream.Principal) {
	lease, err := b.Acquire(target, principal, time.Now().Add(stepDownTimeout))
	if err != nil {
		return
	}
	if !lease.Remote() {
		time.Sleep(prewarmHold)
	}
	lease.Return()
}
