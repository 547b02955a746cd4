// Package backends holds a node's runtime state of services and their database servers: which
// server is the primary, which servers are healthy, which node owns the connections to them, and
// the node's part in a change of the primary.
//
// The decisions are made by pure packages (failover, quorum, routing, admission). This package
// gathers their input and carries out their effects.
package backends

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/remote"
	"dewknot/internal/proxy/tenure"
	"dewknot/internal/proxy/upstream"
)

// Promoter orders promotions.
type Promoter interface {
	// Promote makes a server the primary of its service.
	Promote(ctx context.Context, promotion failover.Promotion) failover.PromotionOutcome
}

// FailoverTrace records the events and effects of a failover machine.
type FailoverTrace interface {
	// Step records one step; at is the time since the node's start.
	Step(at time.Duration, event failover.Event, effects []failover.Effect)
}

// Options are the settings of Backends.
type Options struct {
	Name string
	Zone string
	// Incarnation identifies the incarnation of this process.
	Incarnation string
	Regions     map[string]string
	// DrainBound is the time within which a draining server must stop receiving new work.
	DrainBound time.Duration
	// EvacuationBound is the time within which the servers of an evacuated zone must stop receiving
	// any work.
	EvacuationBound time.Duration
	// ColdOverage (a factor) and ColdSlack (a number of requests) are by how much the requests to a
	// cold server may exceed its rate.
	ColdOverage float64
	ColdSlack   float64
	// UsesTenures makes the nodes agree on tenures. It is needed if the platform does not check
	// fencing tokens. MessageAddress is where this node receives the messages of the agreement.
	UsesTenures    bool
	MessageAddress string
	Kinds          network.Kinds
	// FirstStart is set while the whole fleet starts for the first time.
	FirstStart bool
	// Capacity is the part of the machine that the node may use.
	Capacity network.Capacity
}

// Ports are the external dependencies of Backends.
type Ports struct {
	network.Ports
	Dialer   upstream.Dialer
	Promoter Promoter
	// Messages sends the messages of the agreement; nil if the nodes do not agree on tenures.
	Messages tenure.Sender
	// Connect opens a connection to an address, for tunnels of other nodes.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// Trace, if not nil, starts the trace of a service's failover machine. rankDelay is the delay
	// of that machine's takeovers.
	Trace func(service string, rankDelay time.Duration) FailoverTrace
}

// Backends holds the services and their servers, the connections to them, and this node's part in
// changes of their primaries.
type Backends struct {
	*network.Network
	options Options
	ports   Ports
	log     *eventlog.Log
	catalog *catalog.Catalog
	metrics *backendMetrics
	started time.Time
	// beforePoll is called at the beginning of each poll of the services.
	beforePoll func(now time.Time)

	Servers  sync.Map // server ID to *Server
	services sync.Map // service name to *Service

	Stopping atomic.Bool
	// Isolated is set while the node reaches too few voters to use any primary.
	Isolated atomic.Bool
	// Degraded is set while the node gets no answer from anything that it talks to.
	Degraded atomic.Bool
	// refreshingLeases is set while a listing of the leases is scheduled.
	refreshingLeases atomic.Bool
	// CatalogLoaded is closed once the node has a configuration and a directory.
	CatalogLoaded     chan struct{}
	catalogLoadedOnce sync.Once
	// links lead to the nodes that own connections; Owner serves the connections of this node.
	links *remote.Links
	Owner *remote.Owner
	// Tenures is nil if the platform checks fencing tokens.
	Tenures *tenure.Keeper
	// currentPlacements is computed from the members and the directory, under placementMutex.
	placementMutex    sync.Mutex
	currentPlacements atomic.Pointer[cachedPlacements]
	// pollNow triggers a poll of the services at once.
	pollNow chan struct{}
	// reportSequence is the sequence number of the last load report that this node made as an
	// owner.
	reportSequence atomic.Uint64
}

// New returns backends without any server. beforePoll is called at the beginning of each poll of
// the services.
func New(options Options, ports Ports, network *network.Network, beforePoll func(now time.Time)) *Backends {
	b := &Backends{
		Network: network, options: options, ports: ports, log: network.Log, catalog: network.Catalog,
		metrics: newBackendMetrics(), started: network.Started, beforePoll: beforePoll,
		CatalogLoaded: make(chan struct{}), pollNow: make(chan struct{}, 1),
	}
	b.links = remote.NewLinks(remote.LinksConfig{Dial: b.dialOwner, OnProof: b.ownerProved, OnReport: b.OwnerReported})
	b.Owner = remote.NewOwner(b)
	b.Tenures = b.newTenures()
	b.catalog.OnChange(b.catalogChanged)
	return b
}

// Run polls the services and takes part in the agreement until ctx ends.
func (b *Backends) Run(ctx context.Context) {
	go b.watchServices(ctx)
	if b.Tenures != nil {
		go b.Tenures.Run(ctx)
	}
}

// Close ends all connections to servers and other nodes.
func (b *Backends) Close() {
	b.links.Close()
	b.Owner.Close()
	b.Servers.Range(func(_, value any) bool {
		value.(*Server).Pool.Close()
		return true
	})
}
