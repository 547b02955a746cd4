package backends

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
)

// indirectPathDuration is how long new connections to a server go through another node before the
// direct path is tried again.
const indirectPathDuration = 10 * time.Second

// indirectPath leads to a server through another node.
type indirectPath struct {
	via     string
	expires time.Time
}

// useIndirectPath sends new connections to a server through a node that reaches it.
func (s *Service) useIndirectPath(id string) {
	target, witnessAddress := s.backends.Server(id), s.witnessAddress.Load()
	if target == nil || witnessAddress == nil {
		return
	}
	target.indirectPath.Store(&indirectPath{via: *witnessAddress, expires: time.Now().Add(indirectPathDuration)})
	target.Pool.Reset()
	target.Stats.ResetFailures()
	s.backends.log.Write(eventlog.DetourTaken, zap.String("service", s.Name), zap.String("server", id),
		zap.String("via", *witnessAddress))
}

// IndirectPathTo returns the address of the node through which a server is reached, and whether
// there is one.
func (b *Backends) IndirectPathTo(id string) (string, bool) {
	target := b.Server(id)
	if target == nil {
		return "", false
	}
	path := target.indirectPath.Load()
	if path == nil || time.Now().After(path.expires) {
		return "", false
	}
	return path.via, true
}

// errUnknownServer tells another node that its tunnel cannot be opened.
var errUnknownServer = errors.New("the server is not in the directory; ask another node")

// Connect implements relay.Handler: it opens a tunnel's connection to a server of the directory.
// The connection is always direct, so that a tunnel never passes through two nodes.
func (b *Backends) Connect(ctx context.Context, id string) (net.Conn, error) {
	entry := b.catalog.Current().Servers[id]
	if entry == nil || entry.Gone || b.ports.Connect == nil {
		return nil, errUnknownServer
	}
	return b.ports.Connect(ctx, entry.Address)
}
