package backends

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/placement"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/cold"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/remote"
	"dewknot/internal/proxy/upstream"
)

const (
	// directShare is the fewest connections to a server for which a node keeps
	// its own: one for a statement, one for a transaction, one to spare. With a
	// smaller share, one node owns the connections and the others go through it.
	directShare = 3
	// ownersRanked is how many nodes may stand in for a server's first owner.
	ownersRanked = 4
	// shunSpan is how long another owner is tried after one said that it does
	// not reach the server.
	shunSpan = time.Second
	// ConnectionWait bounds the wait for a connection to one of several servers.
	ConnectionWait = 150 * time.Millisecond
	// proofAge is the age from which an owner refreshes what it knows of the
	// primary, since others depend on it.
	proofAge = 300 * time.Millisecond
)

// ranking is the order of a server's owners, made of placements.
type ranking struct {
	placed *placements
	// homes is set if it was made while work may be bound to regions.
	homes bool
	// first names the node that owns the server's connections.
	first string
	// before are the addresses of the nodes that come before this one, best first.
	before []string
}

// shunned is an owner that does not reach a server.
type shunned struct {
	address string
	until   time.Time
}

// Lend lends a principal's connection to a server for callers' work: one of this node's
// own, or one of the server's owner.
func (b *Backends) Lend(target *Server, principal upstream.Principal, deadline time.Time) (*upstream.Lease, error) {
	if !b.AwaitMembers(deadline) {
		return nil, upstream.ErrNoConnection
	}
	owners := b.OwnersBefore(target)
	if len(owners) == 0 {
		return target.Pool.Get(principal, deadline)
	}
	link, address := b.links.Pick(target.notShunned(owners, time.Now()), deadline)
	if link == nil && len(owners) >= cold.Senders && b.bounded(target, time.Now()) {
		return nil, upstream.ErrNoConnection
	}
	if link == nil {
		return target.Pool.Get(principal, deadline)
	}
	return upstream.NewRemoteLease(link.Session(target.ID, principal), target.Stats, func() { target.shun(address, len(owners)) }), nil
}

// OwnersBefore returns the nodes that this one goes through to a server, best
// first; none if it has connections of its own.
func (b *Backends) OwnersBefore(target *Server) []string {
	members := b.Members.Load()
	if members == nil || b.ports.Peers == nil {
		return nil
	}
	// To a cold server all go through its owner, who counts what it may be sent.
	if b.sharesConnections(target.service, len(*members)+1) && !b.bounded(target, time.Now()) {
		return nil
	}
	placed := b.placements(members)
	ranked := target.owners.Load()
	if ranked == nil || ranked.placed != placed || ranked.homes != b.bindsHomes() {
		previous := ranked
		ranked = b.rankOwners(target.ID, placed)
		target.owners.Store(ranked)
		if previous != nil && previous.first != ranked.first {
			b.metrics.ownerMoves.Inc()
			b.log.Write(eventlog.OwnerMoved, zap.String("service", target.service), zap.String("server", target.ID),
				zap.String("from", previous.first), zap.String("to", ranked.first))
		}
	}
	return ranked.before
}

// sharesConnections reports whether a service's connections suffice for all nodes.
func (b *Backends) sharesConnections(service string, nodes int) bool {
	return b.connectionCeiling(service) >= directShare*nodes
}

// rankOwners ranks nodes in the server's zone first, then those in its region: whoever owns
// the connections, the way to the server is hardly longer. The one that was assigned the
// server comes first.
func (b *Backends) rankOwners(id string, placed *placements) *ranking {
	ranked := &ranking{placed: placed, homes: b.bindsHomes(), first: placed.owners[id]}
	if ranked.homes && !b.inRegionOf(id, ranked.first, placed) {
		ranked.first = ""
	}
	var names []string
	if ranked.first != "" {
		names = append(names, ranked.first)
	}
	tiers := b.tiersOf(id, placed)
	if b.bindsHomes() {
		// Where work has homes, it passes only through nodes of the server's own region.
		tiers = tiers[:zoneTiers-1]
	}
	for _, tier := range tiers {
		for _, name := range placement.Rank(id, "", tier, ownersRanked) {
			if name != ranked.first {
				names = append(names, name)
			}
		}
	}
	if ranked.first == "" && len(names) > 0 {
		ranked.first = names[0]
	}
	for _, name := range names {
		if name == b.options.Name || len(ranked.before) >= ownersRanked {
			break
		}
		ranked.before = append(ranked.before, placed.addresses[name])
	}
	return ranked
}

// bindsHomes reports whether work may be bound to regions.
func (b *Backends) bindsHomes() bool {
	configuration := b.catalog.Current().Configuration
	return configuration != nil && configuration.HasHomes
}

// tiersOf returns the nodes by their distance from a server, the nearest first.
func (b *Backends) tiersOf(id string, placed *placements) [][]placement.Candidate {
	zone, known := placed.zones[id]
	if !known {
		if entry := b.catalog.Current().Servers[id]; entry != nil {
			zone = entry.Zone
		}
	}
	if tiers, made := placed.tiers[zone]; made {
		return tiers
	}
	return b.tiersFrom(zone, placed.members)
}

// notShunned leaves out an owner that does not reach the server, if there is
// another.
func (t *Server) notShunned(owners []string, now time.Time) []string {
	avoided := t.shunned.Load()
	if avoided == nil || now.After(avoided.until) || len(owners) < 2 || owners[0] != avoided.address {
		return owners
	}
	return owners[1:]
}

// shun turns to the next owner for a while. Only the first is ever left out: if
// the next one does not reach the server either, the server is down.
func (t *Server) shun(address string, owners int) {
	now := time.Now()
	avoided := t.shunned.Load()
	if owners < 2 || (avoided != nil && now.Before(avoided.until)) {
		t.Stats.Avoid(now.Add(unreachedPause))
		return
	}
	t.shunned.Store(&shunned{address: address, until: now.Add(shunSpan)})
}

// unreachedPause is how long a server is avoided that its owners do not reach.
const unreachedPause = 100 * time.Millisecond

// ownerProved takes what an owner tells of a primary.
func (b *Backends) ownerProved(id string, at time.Time, covers position.Position) {
	if target := b.Server(id); target != nil {
		b.Service(target.service).Proofs.Add(freshness.Proof{At: at, Position: covers})
	}
}

// ServeLink implements relay.Handler: it serves operations on this node's connections.
func (b *Backends) ServeLink(conn net.Conn) {
	b.log.Write(eventlog.LinkOpened, zap.Stringer("from", conn.RemoteAddr()))
	b.Owner.Serve(conn)
	b.log.Write(eventlog.LinkEnded, zap.Stringer("from", conn.RemoteAddr()))
}

// dialOwner opens the connection of a link to an owner.
func (b *Backends) dialOwner(ctx context.Context, address string) (net.Conn, error) {
	return b.ports.Peers.Link(ctx, address)
}

// Owned implements remote.Host.
func (b *Backends) Owned(id string) remote.Server {
	target := b.Server(id)
	if target == nil {
		return nil
	}
	owned := &ownedServer{Server: target, service: b.Service(target.service)}
	owned.service.Used(time.Now())
	return owned
}

// ownedServer is a server as other nodes reach it through this one.
type ownedServer struct {
	*Server
	service *Service
}

// Lend implements remote.Server. The connection is always this node's own, so that
// operations never pass through two owners.
func (o *ownedServer) Lend(principal upstream.Principal, deadline time.Time) (*upstream.Lease, error) {
	if !o.service.Usable(o.ID, time.Now()) {
		return nil, &upstream.RefusedError{Outcome: upstream.Unreached, Detail: "the server leaves"}
	}
	return o.Pool.Get(principal, deadline)
}

// Behind implements remote.Server.
func (o *ownedServer) Behind(floor position.Position) (position.Position, bool) {
	if floor.IsZero() {
		return position.Position{}, false
	}
	return o.Stats.Behind(floor, time.Now())
}

// Silent implements remote.Server.
func (o *ownedServer) Silent() bool {
	now := time.Now()
	return o.Stats.Unanswered(now) >= ConnectionWait || o.Stats.Avoided(now)
}

// Enter implements remote.Server.
func (o *ownedServer) Enter(place admission.Request, deadline time.Time) bool {
	if place.Class != admission.Continuation && admission.Overfull(o.Gate.Wait(place), time.Until(deadline)) {
		return false
	}
	return o.service.backends.Admit(o.Server, place, deadline)
}

// Leave implements remote.Server.
func (o *ownedServer) Leave(class admission.Class, batch *upstream.Batch, result *upstream.Result) {
	o.Gate.Leave(class, EndOf(batch, result), time.Now())
}

// Proof implements remote.Server.
func (o *ownedServer) Proof() (time.Time, position.Position) {
	newest := o.service.Proofs.Newest()
	now := time.Now()
	if now.Sub(newest.At) > proofAge {
		go o.service.RefreshProof(now.Add(ProofLimit))
	}
	return newest.At, newest.Position
}

// EndOf tells a gate how admitted work ended.
func EndOf(batch *upstream.Batch, result *upstream.Result) admission.Result {
	switch {
	case batch.Err != nil || result == nil:
		return admission.Other
	case result.Outcome == upstream.Busy:
		return admission.Refused
	case result.Outcome == upstream.Succeeded:
		return admission.Ran
	default:
		return admission.Other
	}
}
