package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/failover"
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

// BackendOptions are the settings of Backends.
type BackendOptions struct {
	Name string
	Zone string
	// Life is unique to the process.
	Life    string
	Regions map[string]string
	// DrainBound is within how long a leaving server must receive no new work.
	DrainBound time.Duration
	// Agreed makes nodes agree on tenures, since the platform checks no fences.
	// MessageAddress is where messages of the agreement reach this node.
	Agreed         bool
	MessageAddress string
	Kinds          Kinds
	// Capacity is what the node may use of its machine.
	Capacity Capacity
}

// BackendPorts are the ways of Backends to the outside.
type BackendPorts struct {
	NetworkPorts
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
	*Network
	options BackendOptions
	ports   BackendPorts
	log     *eventlog.Log
	catalog *catalog.Catalog
	metrics *backendMetrics
	started time.Time
	// look is called at the beginning of each look at the services.
	look func(now time.Time)

	servers  sync.Map // server ID to *server
	services sync.Map // service name to *service

	stopping atomic.Bool
	// isolated is set while the node reaches too few voters to use any primary.
	isolated atomic.Bool
	// degraded is set while all that the node talks to is silent.
	degraded atomic.Bool
	// refreshingLeases is set while a listing of the leases is due.
	refreshingLeases atomic.Bool
	// informed is closed once the node knows a configuration and a directory.
	informed     chan struct{}
	informedOnce sync.Once
	// links lead to nodes that own connections, owner serves this node's own.
	links *remote.Links
	owner *remote.Owner
	// tenures is nil where the platform checks fences.
	tenures *tenure.Keeper
	// placed is made of the members and the directory.
	placed atomic.Pointer[placedAt]
	// nudged makes the look at the services come at once.
	nudged chan struct{}
	// reports numbers what the node tells as an owner of servers' connections.
	reports atomic.Uint64
}

// NewBackends returns backends without any server. look is called at the beginning of
// each look at the services.
func NewBackends(options BackendOptions, ports BackendPorts, network *Network, look func(now time.Time)) *Backends {
	n := &Backends{
		Network: network, options: options, ports: ports, log: network.log, catalog: network.catalog,
		metrics: newBackendMetrics(), started: network.started, look: look,
		informed: make(chan struct{}), nudged: make(chan struct{}, 1),
	}
	n.links = remote.NewLinks(remote.LinksConfig{Dial: n.dialOwner, OnProof: n.ownerProved, OnReport: n.ownerReported})
	n.owner = remote.NewOwner(n)
	n.tenures = n.newTenures()
	n.catalog.OnChange(n.catalogChanged)
	return n
}

// run looks at the services and takes part in the agreement until ctx ends.
func (n *Backends) run(ctx context.Context) {
	go n.watchServices(ctx)
	if n.tenures != nil {
		go n.tenures.Run(ctx)
	}
}

// close ends all connections to servers and other nodes.
func (n *Backends) close() {
	n.links.Close()
	n.owner.Close()
	n.servers.Range(func(_, value any) bool {
		value.(*server).pool.Shut()
		return true
	})
}
