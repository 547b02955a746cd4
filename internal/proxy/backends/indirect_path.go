package backends

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/upstream"
)

const (
	// directPathInterval is the pause between checks whether the direct path to a server works again.
	directPathInterval = 2 * time.Second
	// directPathTimeout bounds such a check.
	directPathTimeout = 500 * time.Millisecond
)

// indirectPath leads to a server through another node.
type indirectPath struct {
	via string
	// checkedAt is when the direct path was last found not to work.
	checkedAt time.Time
}

// useIndirectPath sends new connections to a server through a node that reaches it.
func (s *Service) useIndirectPath(id string) {
	target, witnessAddress := s.backends.Server(id), s.witnessAddress.Load()
	if target == nil || witnessAddress == nil {
		return
	}
	target.indirectPath.Store(&indirectPath{via: *witnessAddress, checkedAt: time.Now()})
	target.Pool.Reset()
	target.Stats.ResetFailures()
	s.backends.log.Write(eventlog.DetourTaken, zap.String("service", s.Name), zap.String("server", id),
		zap.String("via", *witnessAddress))
}

// checkDirectPath returns to the direct path to a server once that works again. The connections of the
// indirect one are abandoned: in use all the time, they would stay, and each operation would take two
// more round trips, which hold a slot at the owner's gate.
func (b *Backends) checkDirectPath(target *Server, now time.Time) {
	path := target.indirectPath.Load()
	if path == nil || now.Sub(path.checkedAt) < directPathInterval || !target.checkingPath.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer target.checkingPath.Store(false)
		if !b.reachesDirectly(target) {
			target.indirectPath.CompareAndSwap(path, &indirectPath{via: path.via, checkedAt: time.Now()})
			return
		}
		if target.indirectPath.CompareAndSwap(path, nil) {
			target.Pool.Reset()
			b.log.Write(eventlog.DetourEnded, zap.String("service", target.service), zap.String("server", target.ID), zap.String("via", path.via))
		}
	}()
}

// reachesDirectly reports whether a server answers on a connection of this node's own.
func (b *Backends) reachesDirectly(target *Server) bool {
	entry := b.catalog.Current().Servers[target.ID]
	if entry == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), directPathTimeout)
	defer cancel()
	connection, _, err := b.ports.Dialer.Dial(ctx, upstream.Target{
		Address: entry.Address, Service: target.service, Server: target.ID, Principal: upstream.Own, Direct: true,
	})
	if err != nil {
		_, refused := upstream.RefusalOf(err)
		return refused
	}
	connection.Close()
	return true
}

// IndirectPathTo returns the address of the node through which a server is reached, and whether
// there is one.
func (b *Backends) IndirectPathTo(id string) (string, bool) {
	target := b.Server(id)
	if target == nil {
		return "", false
	}
	path := target.indirectPath.Load()
	if path == nil {
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
