// Package proxy serves callers: it accepts their sessions, runs their commands on database servers
// and enforces the tenants' quotas.
//
// A request passes through session.go (the caller's tenant and route), quotas.go (the tenant's
// quota), read.go, write.go and transaction.go (which servers may run it), run.go (a slot there,
// the attempt and its outcome), headroom.go (rejection when servers have no headroom) and
// retryafter.go (when a rejected caller should retry). Package backends keeps the state of services
// and servers, package network the configuration and the members. External systems are reached
// through interfaces: callers (Client), servers (upstream.Dialer), the durable store
// (objectstore.Store) and the platform's promotions (backends.Promoter).
package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/quota"
	"dewknot/internal/proxy/tenure"
	"dewknot/internal/proxy/traffic"
	"dewknot/internal/proxy/upstream"
)

// Client is the caller's end of a session.
type Client interface {
	// ReadStart reads the message that begins the session.
	ReadStart(deadline time.Time) (Start, error)
	// Accept reports to the caller that the session is open.
	Accept() error
	// Refuse reports why the session is not opened. The caller must Close the client afterwards.
	Refuse(reason *failure.Error) error
	// ReadCommand reads the next command. A zero deadline means no deadline. It returns ErrIdle if
	// the deadline passes before a command begins.
	ReadCommand(deadline time.Time) (command.Command, error)
	// Reply sends the answer to the last command.
	Reply(reply Reply) error
	// Interrupt makes a ReadCommand that is waiting for a command return ErrIdle.
	Interrupt()
	// Close closes the connection.
	Close()
}

// Start is the message that begins a session.
type Start struct {
	// Database selects the route.
	Database string
	// Key is the digest of the caller's API key.
	Key catalog.KeyDigest
}

// Reply is the answer to a command.
type Reply struct {
	// Failure is set if the command failed.
	Failure   *failure.Error
	Rows      [][]byte
	Signature string
	State     upstream.TransactionState
}

// Options are the settings of a node.
type Options struct {
	Name string
	Zone string
	// PeerAddress is the address at which other nodes reach this one.
	PeerAddress string
	// UsesTenures makes the nodes agree on tenures by quorum. It is needed where the platform
	// doesn't check fencing tokens. MessageAddress is where the node receives the quorum's
	// messages.
	UsesTenures    bool
	MessageAddress string
	// Seeds are addresses of other nodes, which a starting node asks while the store doesn't
	// answer. They may be out of date.
	Seeds   []string
	Regions map[string]string // region by zone
	// Incarnation identifies this incarnation of the node's process.
	Incarnation string
	// ConfigurationBound is the time within which a configuration change must be in force.
	ConfigurationBound time.Duration
	// DrainBound is the time after which a leaving server must not receive new work.
	DrainBound time.Duration
	// EvacuationBound is the time after which the servers of an evacuated zone must not receive
	// anything. It is 0 if zones are never evacuated.
	EvacuationBound time.Duration
	// ColdOverage and ColdSlack bound the requests to a cold server in any second: its rate times
	// ColdOverage, but at least its rate, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// StopGrace is the time from the stop signal until the process is killed.
	StopGrace time.Duration
	// Quotas bound how far tenants may exceed their quotas. A zero window disables quotas.
	Quotas quota.Bounds
	// TokenAddress is where the node receives messages about quota tokens.
	TokenAddress string
	// FirstStart is set while the whole fleet starts for the first time.
	FirstStart bool
	// StrictRevocation makes the node reject all keys if its knowledge of the valid keys is older
	// than RevocationBound.
	StrictRevocation bool
	RevocationBound  time.Duration
	// Capacity is what the node may use of its machine. It is announced to the other nodes.
	Capacity network.Capacity
	Kinds    network.Kinds
}

// Ports are the node's interfaces to external systems.
type Ports struct {
	Store    objectstore.Store
	Dialer   upstream.Dialer
	Promoter backends.Promoter
	Decoder  network.Decoder
	// Peers sends requests to other nodes.
	Peers network.Peers
	// Messages sends the quorum's messages; nil unless Options.UsesTenures is set.
	Messages tenure.Sender
	// Tokens sends messages about quota tokens; nil disables quotas.
	Tokens quota.Sender
	// Traffic counts the bytes of the other ports; it may be nil.
	Traffic *traffic.Meter
	// Connect dials an address for a tunnel that another node opened.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// Fits reports whether an operation's message is within the size limit of the servers' protocol.
	// If it is nil, all are.
	Fits func(operation *upstream.Operation) bool
	// Client wraps an accepted connection.
	Client func(net.Conn) Client
	// Trace, if not nil, starts recording the failover state machine of a service. rankDelay is the
	// delay of the machine's takeovers.
	Trace func(service string, rankDelay time.Duration) backends.FailoverTrace
}

// Node is a running node.
type Node struct {
	*backends.Backends
	options Options
	ports   Ports
	log     *eventlog.Log
	catalog *catalog.Catalog
	metrics *metrics
	started time.Time

	sessions     sync.Map // *session to struct{}
	sessionCount atomic.Int64
	// closing, aborting and ending are the phases of a planned stop, see stop.go. endsAt is when the
	// process ends.
	closing  atomic.Bool
	aborting atomic.Bool
	ending   atomic.Bool
	endsAt   atomic.Pointer[time.Time]
	// quotas is nil if there are no quotas. hasShare is set once the node has its share of them,
	// previousMembers is the number of members in the previous list. Only the goroutine that
	// follows the members uses hasShare and previousMembers.
	quotas          *quota.Keeper
	hasShare        bool
	previousMembers int
}

// departedRetention is how long a server that left the directory stays known, as a multiple of
// DrainBound. Such a server may run for DrainBound and some seconds more.
const departedRetention = 2

// New returns a node. Run starts it.
func New(options Options, ports Ports, log *eventlog.Log) *Node {
	node := &Node{
		options: options, ports: ports, log: log, catalog: catalog.New(departedRetention * options.DrainBound), started: time.Now(),
	}
	node.metrics = newMetrics(node)
	networkPorts := network.Ports{
		Store: ports.Store, StoreCalls: node.metrics.storeCalls,
		EntriesRefused: node.metrics.entriesRefused, Decoder: ports.Decoder, Peers: ports.Peers,
		Traffic: ports.Traffic,
	}
	nodeNetwork := network.New(networkOptions(&options), networkPorts, networkDelegate{node},
		node.catalog, node.started, log)
	networkPorts.Store = nodeNetwork.Store()
	node.Backends = backends.New(backendOptions(&options), backends.Ports{
		Ports: networkPorts, Dialer: ports.Dialer, Promoter: ports.Promoter, Messages: ports.Messages,
		Connect: ports.Connect, Trace: ports.Trace,
	}, nodeNetwork, node.checkSelf)
	node.metrics.register(node.Collectors()...)
	node.quotas = node.newQuotas()
	return node
}

func networkOptions(options *Options) network.Options {
	return network.Options{
		Name: options.Name, Zone: options.Zone, PeerAddress: options.PeerAddress,
		MessageAddress: options.MessageAddress, TokenAddress: options.TokenAddress,
		Seeds: options.Seeds, Regions: options.Regions,
		ConfigurationBound: options.ConfigurationBound, DrainBound: options.DrainBound,
		EvacuationBound: options.EvacuationBound, StrictRevocation: options.StrictRevocation,
		RevocationBound: options.RevocationBound,
		Kinds:           options.Kinds, FirstStart: options.FirstStart, Capacity: options.Capacity,
	}
}

func backendOptions(options *Options) backends.Options {
	return backends.Options{
		Name: options.Name, Zone: options.Zone, Incarnation: options.Incarnation, Regions: options.Regions,
		DrainBound: options.DrainBound, EvacuationBound: options.EvacuationBound,
		ColdOverage: options.ColdOverage, ColdSlack: options.ColdSlack, FirstStart: options.FirstStart,
		UsesTenures: options.UsesTenures, MessageAddress: options.MessageAddress, Kinds: options.Kinds,
		Capacity: options.Capacity,
	}
}

// checkSelf updates the node's own state before each evaluation of the services.
func (n *Node) checkSelf(now time.Time) {
	n.checkIsolated(now)
	n.checkDegraded(now)
	n.tickQuotas()
}

// Run serves callers until ctx ends, and then performs a planned stop.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.Follow(background)
	n.Backends.Run(background)
	go n.accept(listener)
	<-ctx.Done()
	n.stop(listener)
	n.Backends.Close()
	return nil
}

// Ready reports whether the node accepts new callers.
func (n *Node) Ready() bool {
	snapshot := n.catalog.Current()
	return !n.Stopping.Load() && !n.impaired() && backends.Complete(snapshot)
}

func (n *Node) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			if n.closing.Load() {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		if n.closing.Load() {
			_ = connection.Close()
			continue
		}
		go n.serve(n.ports.Client(connection))
	}
}

// acceptPause is the pause after a failed accept, for instance when no file descriptors are left.
const acceptPause = 20 * time.Millisecond

// networkDelegate implements network.Delegate on a Node, together with the methods of Backends.
type networkDelegate struct{ *Node }

// MembersChanged implements network.Delegate.
func (d networkDelegate) MembersChanged() { d.updateQuotaFleet() }

// AssignQuotaShare implements network.Delegate.
func (d networkDelegate) AssignQuotaShare(listed bool, now time.Time) bool {
	return d.assignQuotaShare(listed, now)
}

// AwaitCatalogLoaded implements network.Delegate.
func (d networkDelegate) AwaitCatalogLoaded() { d.awaitConfiguration(time.Now()) }
