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
	// minOwnConnections is the smallest share of a server's connections with which a node opens its
	// own: one for a statement, one for a transaction and one spare. With a smaller share, one node
	// owns the connections and the others go through it.
	minOwnConnections = 3
	// maxRankedOwners is how many owners of a server a node tries at most.
	maxRankedOwners = 4
	// skipOwnerDuration is how long the first owner is skipped after it reported that it does not
	// reach the server.
	skipOwnerDuration = time.Second
	// ConnectionWait bounds the wait for a connection to one of several servers.
	ConnectionWait = 150 * time.Millisecond
	// maxProofAge is the age above which an owner refreshes its proof of the primary's position,
	// since other nodes depend on it.
	maxProofAge = 300 * time.Millisecond
)

// ranking is the order of a server's owners, computed from placements.
type ranking struct {
	placed *placements
	// hasHomes is set if the configuration bound work to regions when the ranking was made.
	hasHomes bool
	// owner is the name of the node that owns the server's connections.
	owner string
	// preceding holds the addresses of the nodes that rank before this one, best first.
	preceding []string
}

// skippedOwner is an owner that does not reach a server.
type skippedOwner struct {
	address string
	until   time.Time
}

// Acquire returns a connection to a server for the work of a principal's callers. It is a
// connection of this node, or one of the server's owner.
func (b *Backends) Acquire(target *Server, principal upstream.Principal, deadline time.Time) (*upstream.Lease, error) {
	if !b.AwaitMembers(deadline) {
		return nil, upstream.ErrNoConnection
	}
	owners := b.PrecedingOwners(target)
	if len(owners) == 0 {
		return target.Pool.Get(principal, deadline)
	}
	link, address := b.links.Pick(target.withoutSkipped(owners, time.Now()), deadline)
	if link == nil && len(owners) >= cold.Senders && b.coldLimited(target, time.Now()) {
		return nil, upstream.ErrNoConnection
	}
	if link == nil {
		return target.Pool.Get(principal, deadline)
	}
	return upstream.NewRemoteLease(link.Session(target.ID, principal), target.Stats,
		func() { target.skipOwner(address, len(owners)) }), nil
}

// PrecedingOwners returns the nodes through which this node reaches a server, best first. It
// returns none if this node opens its own connections.
func (b *Backends) PrecedingOwners(target *Server) []string {
	members := b.Members.Load()
	if members == nil || b.ports.Peers == nil {
		return nil
	}
	// All nodes reach a cold server through its owner, which limits the requests to it.
	if b.enoughConnections(target.service, len(*members)+1) && !b.coldLimited(target, time.Now()) {
		return nil
	}
	placed := b.placements(members)
	ranked := target.owners.Load()
	if ranked == nil || ranked.placed != placed || ranked.hasHomes != b.homesConfigured() {
		previous := ranked
		ranked = b.rankOwners(target.ID, placed)
		target.owners.Store(ranked)
		if previous != nil && previous.owner != ranked.owner {
			b.metrics.ownerMoves.Inc()
			b.log.Write(eventlog.OwnerMoved, zap.String("service", target.service), zap.String("server", target.ID),
				zap.String("from", previous.owner), zap.String("to", ranked.owner))
		}
	}
	return ranked.preceding
}

// enoughConnections reports whether a service allows enough connections for all nodes to open their
// own.
func (b *Backends) enoughConnections(service string, nodes int) bool {
	return b.connectionCeiling(service) >= minOwnConnections*nodes
}

// rankOwners ranks the assigned owner first, then the other nodes by their distance from the
// server. A path through a node near the server is hardly longer than the direct one.
func (b *Backends) rankOwners(id string, placed *placements) *ranking {
	ranked := &ranking{placed: placed, hasHomes: b.homesConfigured(), owner: placed.owners[id]}
	if ranked.hasHomes && !b.inRegionOf(id, ranked.owner, placed) {
		ranked.owner = ""
	}
	var names []string
	if ranked.owner != "" {
		names = append(names, ranked.owner)
	}
	tiers := b.tiersForServer(id, placed)
	if b.homesConfigured() {
		// Work with homes may pass only through nodes of the server's region.
		tiers = tiers[:distanceTiers-1]
	}
	for _, tier := range tiers {
		for _, name := range placement.Rank(id, "", tier, maxRankedOwners) {
			if name != ranked.owner {
				names = append(names, name)
			}
		}
	}
	if ranked.owner == "" && len(names) > 0 {
		ranked.owner = names[0]
	}
	for _, name := range names {
		if name == b.options.Name || len(ranked.preceding) >= maxRankedOwners {
			break
		}
		ranked.preceding = append(ranked.preceding, placed.addresses[name])
	}
	return ranked
}

// homesConfigured reports whether the configuration binds work to regions.
func (b *Backends) homesConfigured() bool {
	configuration := b.catalog.Current().Configuration
	return configuration != nil && configuration.HasHomes
}

// tiersForServer returns the nodes grouped by distance from a server, the nearest first.
func (b *Backends) tiersForServer(id string, placed *placements) [][]placement.Candidate {
	zone, found := placed.zones[id]
	if !found {
		if entry := b.catalog.Current().Servers[id]; entry != nil {
			zone = entry.Zone
		}
	}
	if tiers, ok := placed.tiers[zone]; ok {
		return tiers
	}
	return b.tiersForZone(zone, placed.members)
}

// withoutSkipped removes a skipped owner from owners if there is another one.
func (t *Server) withoutSkipped(owners []string, now time.Time) []string {
	skipped := t.skippedOwner.Load()
	if skipped == nil || now.After(skipped.until) || len(owners) < 2 || owners[0] != skipped.address {
		return owners
	}
	return owners[1:]
}

// skipOwner makes requests go to the next owner for a while. Only the first owner is ever skipped:
// if the next one does not reach the server either, the server counts as down and is avoided.
func (t *Server) skipOwner(address string, ownerCount int) {
	now := time.Now()
	skipped := t.skippedOwner.Load()
	if ownerCount < 2 || (skipped != nil && now.Before(skipped.until)) {
		t.Stats.Avoid(now.Add(unreachableDuration))
		return
	}
	t.skippedOwner.Store(&skippedOwner{address: address, until: now.Add(skipOwnerDuration)})
}

// unreachableDuration is how long a server is avoided that its owners do not reach.
const unreachableDuration = 100 * time.Millisecond

// ownerProved records a position of the primary that an owner has proved.
func (b *Backends) ownerProved(id string, at time.Time, proved position.Position) {
	if target := b.Server(id); target != nil {
		b.Service(target.service).Proofs.Add(freshness.Proof{At: at, Position: proved})
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
	owned.service.MarkUsed(time.Now())
	return owned
}

// ownedServer gives other nodes access to a server through this node.
type ownedServer struct {
	*Server
	service *Service
}

// Acquire implements remote.Server. The connection is always one of this node, so that operations
// never pass through two owners.
func (o *ownedServer) Acquire(principal upstream.Principal, deadline time.Time) (*upstream.Lease, error) {
	if !o.service.Usable(o.ID, time.Now()) {
		return nil, &upstream.RefusedError{Outcome: upstream.Unreached, Detail: "the server leaves"}
	}
	return o.Pool.Get(principal, deadline)
}

// Behind implements remote.Server.
func (o *ownedServer) Behind(minPosition position.Position) (position.Position, bool) {
	if minPosition.IsZero() {
		return position.Position{}, false
	}
	return o.Stats.Behind(minPosition, time.Now())
}

// Silent implements remote.Server.
func (o *ownedServer) Silent() bool {
	now := time.Now()
	return o.Stats.Unanswered(now) >= ConnectionWait || o.Stats.Avoided(now)
}

// Enter implements remote.Server.
func (o *ownedServer) Enter(request admission.Request, deadline time.Time) bool {
	if request.Class != admission.Continuation && admission.WaitTooLong(o.Gate.Wait(request), time.Until(deadline)) {
		return false
	}
	return o.service.backends.Admit(o.Server, request, deadline)
}

// Leave implements remote.Server.
func (o *ownedServer) Leave(class admission.Class, batch *upstream.Batch, result *upstream.Result) {
	o.Gate.Leave(class, AdmissionResult(batch, result), time.Now())
}

// Proof implements remote.Server.
func (o *ownedServer) Proof() (time.Time, position.Position) {
	newest := o.service.Proofs.Newest()
	now := time.Now()
	if now.Sub(newest.At) > maxProofAge {
		go o.service.RefreshProof(now.Add(ProofTimeout))
	}
	return newest.At, newest.Position
}

// AdmissionResult returns the result of admitted work for its gate.
func AdmissionResult(batch *upstream.Batch, result *upstream.Result) admission.Result {
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
