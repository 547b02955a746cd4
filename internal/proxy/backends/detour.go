package backends

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
)

// detourSpan is how long new connections to a server go through another node,
// before the direct way is tried again.
const detourSpan = 10 * time.Second

// detour is the way to a server through another node.
type detour struct {
	via   string
	until time.Time
}

// takeDetour leads new connections to a server through a node that reaches it.
func (s *Service) takeDetour(id string) {
	target, witness := s.backends.Server(id), s.witness.Load()
	if target == nil || witness == nil {
		return
	}
	target.detour.Store(&detour{via: *witness, until: time.Now().Add(detourSpan)})
	target.Pool.Renew()
	target.Stats.Forgive()
	s.backends.log.Write(eventlog.DetourTaken, zap.String("service", s.Name), zap.String("server", id), zap.String("via", *witness))
}

// DetourTo returns the address of the node through which a server is reached,
// and whether there is one.
func (b *Backends) DetourTo(id string) (string, bool) {
	target := b.Server(id)
	if target == nil {
		return "", false
	}
	taken := target.detour.Load()
	if taken == nil || time.Now().After(taken.until) {
		return "", false
	}
	return taken.via, true
}

// errUnknownServer tells another node that its tunnel cannot be opened.
var errUnknownServer = errors.New("the server is not in the directory; ask another node")

// Connect implements relay.Handler: it opens a tunnel's connection to a server of
// the directory, directly, so that tunnels never pass through two nodes.
func (b *Backends) Connect(ctx context.Context, id string) (net.Conn, error) {
	entry := b.catalog.Current().Servers[id]
	if entry == nil || entry.Gone || b.ports.Connect == nil {
		return nil, errUnknownServer
	}
	return b.ports.Connect(ctx, entry.Address)
}
