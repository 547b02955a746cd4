// Package backends is what a node knows of services and their database servers: who leads,
// who is healthy, whose connections lead to them, and the node's part in the change of a
// primary. Decisions are made by pure packages (failover, quorum, routing, admission); this
// one gathers what they need and carries out what they decide.
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
	Promote(ctx context.Context, service, server, holder string, token uint64) failover.PromotionOutcome
}

// FailoverTrace records what a failover machine was told and what it decided.
type FailoverTrace interface {
	// Step records one step, at a time since the node's start.
	Step(at time.Duration, event failover.Event, effects []failover.Effect)
}

// Options are the settings of Backends.
type Options struct {
	Name string
	Zone string
	// Life is unique to the process.
	Life    string
	Regions map[string]string
	// DrainBound is within how long a leaving server must receive no new work.
	DrainBound time.Duration
	// EvacuationBound is within how long the servers of an evacuated zone must receive nothing.
	EvacuationBound time.Duration
	// ColdOverage and ColdSlack are by how much the requests to a cold server may pass its rate.
	ColdOverage float64
	ColdSlack   float64
	// Agreed makes nodes agree on tenures, since the platform checks no fences.
	// MessageAddress is where messages of the agreement reach this node.
	Agreed         bool
	MessageAddress string
	Kinds          network.Kinds
	// FirstStart is set while the whole fleet starts for the first time.
	FirstStart bool
	// Capacity is what the node may use of its machine.
	Capacity network.Capacity
}

// Ports are the ways of Backends to the outside.
type Ports struct {
	network.Ports
	Dialer   upstream.Dialer
	Promoter Promoter
	// Messages carries the messages of the agreement; nil if nodes do not agree.
	Messages tenure.Sender
	// Connect opens a connection to an address, for tunnels of other nodes.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// Trace, if not nil, begins the trace of a service's failover machine, whose
	// takeovers are delayed by a rank.
	Trace func(service string, rank time.Duration) FailoverTrace
}

// Backends is what a node knows of the services and their servers, its connections to
// them, and its part in the change of their primaries.
type Backends struct {
	*network.Network
	options Options
	ports   Ports
	log     *eventlog.Log
	catalog *catalog.Catalog
	metrics *backendMetrics
	started time.Time
	// look is called at the beginning of each look at the services.
	look func(now time.Time)

	Servers  sync.Map // Server ID to *server
	services sync.Map // Service name to *service

	Stopping atomic.Bool
	// Isolated is set while the node reaches too few voters to use any primary.
	Isolated atomic.Bool
	// Degraded is set while all that the node talks to is silent.
	Degraded atomic.Bool
	// refreshingLeases is set while a listing of the leases is due.
	refreshingLeases atomic.Bool
	// Informed is closed once the node knows a configuration and a directory.
	Informed     chan struct{}
	informedOnce sync.Once
	// links lead to nodes that own connections, owner serves this node's own.
	links *remote.Links
	Owner *remote.Owner
	// Tenures is nil where the platform checks fences.
	Tenures *tenure.Keeper
	// placed is made of the members and the directory, by the goroutine that holds placing.
	placing sync.Mutex
	placed  atomic.Pointer[placedAt]
	// nudged makes the look at the services come at once.
	nudged chan struct{}
	// reports numbers what the node tells as an owner of servers' connections.
	reports atomic.Uint64
}

// New returns backends without any server. look is called at the beginning of
// each look at the services.
func New(options Options, ports Ports, network *network.Network, look func(now time.Time)) *Backends {
	n := &Backends{
		Network: network, options: options, ports: ports, log: network.Log, catalog: network.Catalog,
		metrics: newBackendMetrics(), started: network.Started, look: look,
		Informed: make(chan struct{}), nudged: make(chan struct{}, 1),
	}
	n.links = remote.NewLinks(remote.LinksConfig{Dial: n.dialOwner, OnProof: n.ownerProved, OnReport: n.OwnerReported})
	n.Owner = remote.NewOwner(n)
	n.Tenures = n.newTenures()
	n.catalog.OnChange(n.catalogChanged)
	return n
}

// Run looks at the services and takes part in the agreement until ctx ends.
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
		value.(*Server).Pool.Shut()
		return true
	})
}
