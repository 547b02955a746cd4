package backends

import (
	"time"

	"dewknot/internal/proxy/upstream"
)

// Warm opens a principal's connections to a service's servers, once, while its callers wait for the
// first tenure. They will all come at once, and an opening takes a server's slot.
func (s *Service) Warm(principal upstream.Principal) {
	if s.warmed.Swap(true) {
		return
	}
	for _, entry := range s.backends.catalog.Current().ByService[s.Name] {
		target := s.backends.Server(entry.ID)
		if target == nil || entry.Gone {
			continue
		}
		for range entry.Slots + spareConnections {
			go s.backends.warmOne(target, principal)
		}
	}
}

// spareConnections are opened ahead beside one for each of a server's slots, for
// transactions whose callers think.
const spareConnections = 2

// warmTime is how long a connection that was opened ahead is kept from others, so that
// several are opened.
const warmTime = 100 * time.Millisecond

// warmOne opens a connection, or the link to the node that owns those to the server.
func (b *Backends) warmOne(target *Server, principal upstream.Principal) {
	lease, err := b.Lend(target, principal, time.Now().Add(stepDownLimit))
	if err != nil {
		return
	}
	if !lease.Remote() {
		time.Sleep(warmTime)
	}
	lease.Return()
}
