// Package proxy is the node's runtime for callers: it accepts sessions, runs their commands
// on database servers, and bounds what tenants do.
//
// A request's way is session.go (who asks, what is bound), quotas.go (may it run now),
// read.go, write.go and transaction.go (what it needs and where it may run), run.go (a place
// there, the attempt and its outcome) and comeback.go (when a refused caller returns). What
// it goes by is kept by package backends, and below that by package network. Outside systems
// are reached through ports: callers (Client), servers (upstream.Dialer), the durable store
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
	// ReadStart reads how the caller begins the session.
	ReadStart(deadline time.Time) (Start, error)
	// Accept tells the caller that the session is open.
	Accept() error
	// Refuse tells the caller why the session is not opened; a close follows.
	Refuse(reason *failure.Error) error
	// ReadCommand reads the next command. A zero deadline waits forever; a
	// deadline that passes before the command begins is ErrIdle.
	ReadCommand(deadline time.Time) (command.Command, error)
	// Reply answers the last command.
	Reply(reply Reply) error
	// Interrupt makes a ReadCommand that waits for a command return ErrIdle.
	Interrupt()
	// Close closes the connection.
	Close()
}

// Start is how a caller begins a session.
type Start struct {
	// Database names the route.
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

// Options are the node's settings.
type Options struct {
	Name string
	Zone string
	// PeerAddress is where other nodes reach this one.
	PeerAddress string
	// Agreed makes nodes agree on tenures, since the platform checks no fences.
	// MessageAddress is where messages of the agreement reach this node.
	Agreed         bool
	MessageAddress string
	// Seeds are addresses of some other nodes, which a node that starts asks while
	// the store does not answer. They may be out of date.
	Seeds   []string
	Regions map[string]string // region by zone
	// Life is unique to the process.
	Life string
	// ConfigurationBound is within how long a change has to be in force.
	ConfigurationBound time.Duration
	// DrainBound is within how long a leaving server must receive no new work.
	DrainBound time.Duration
	// EvacuationBound is within how long the servers of an evacuated zone must receive nothing;
	// 0 where zones are not evacuated.
	EvacuationBound time.Duration
	// ColdOverage and ColdSlack are by how much the requests to a cold server may pass its rate
	// in a second.
	ColdOverage float64
	ColdSlack   float64
	// StopGrace is the time from the signal to stop until the process is killed.
	StopGrace time.Duration
	// Quotas are the bounds of the tenants' quotas; a zero window means that there are none.
	Quotas quota.Bounds
	// TokenAddress is where messages about tokens reach this node.
	TokenAddress string
	// FirstStart is set while the whole fleet starts for the first time.
	FirstStart bool
	// StrictRevocation makes the node serve nobody's key while it has not heard for longer
	// than RevocationBound which keys are in force.
	StrictRevocation bool
	RevocationBound  time.Duration
	// Capacity is what the node may use, which it tells the others.
	Capacity network.Capacity
	Kinds    network.Kinds
}

// Ports are the node's ways to the outside.
type Ports struct {
	Store    objectstore.Store
	Dialer   upstream.Dialer
	Promoter backends.Promoter
	Decoder  network.Decoder
	// Peers asks other nodes.
	Peers network.Peers
	// Messages carries the messages of the agreement; nil if nodes do not agree.
	Messages tenure.Sender
	// Tokens carries the messages about tenants' tokens; nil if there are no quotas.
	Tokens quota.Sender
	// Traffic counts the bytes of the other ports; nil if nobody counts.
	Traffic *traffic.Meter
	// Connect opens a connection to an address, for tunnels of other nodes.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// Client wraps an accepted connection.
	Client func(net.Conn) Client
	// Trace, if not nil, begins the trace of a service's failover machine, whose
	// takeovers are delayed by a rank.
	Trace func(service string, rank time.Duration) backends.FailoverTrace
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
	closing      atomic.Bool
	aborting     atomic.Bool
	// quotas is nil where there are none. hasShare is set once the node has its share,
	// listedBefore is how many members the last list had; both belong to the goroutine
	// that looks at the members.
	quotas       *quota.Keeper
	hasShare     bool
	listedBefore int
}

// New returns a node that is not running yet.
func New(options Options, ports Ports, log *eventlog.Log) *Node {
	node := &Node{
		options: options, ports: ports, log: log, catalog: catalog.New(options.DrainBound), started: time.Now(),
	}
	node.metrics = newMetrics(node)
	ways := network.Ports{
		Store: ports.Store, StoreCalls: node.metrics.storeCalls, EntriesRefused: node.metrics.entriesRefused, Decoder: ports.Decoder, Peers: ports.Peers, Traffic: ports.Traffic,
	}
	known := network.New(networkOptions(&options), ways, duties{node}, node.catalog, node.started, log)
	ways.Store = known.Store()
	node.Backends = backends.New(backendOptions(&options), backends.Ports{
		Ports: ways, Dialer: ports.Dialer, Promoter: ports.Promoter, Messages: ports.Messages,
		Connect: ports.Connect, Trace: ports.Trace,
	}, known, node.lookAtOneself)
	node.metrics.register(node.Collectors()...)
	node.quotas = node.newQuotas()
	return node
}

func networkOptions(options *Options) network.Options {
	return network.Options{
		Name: options.Name, Zone: options.Zone, PeerAddress: options.PeerAddress,
		MessageAddress: options.MessageAddress, TokenAddress: options.TokenAddress,
		Seeds: options.Seeds, Regions: options.Regions,
		ConfigurationBound: options.ConfigurationBound, DrainBound: options.DrainBound, EvacuationBound: options.EvacuationBound,
		StrictRevocation: options.StrictRevocation, RevocationBound: options.RevocationBound, Kinds: options.Kinds, FirstStart: options.FirstStart, Capacity: options.Capacity,
	}
}

func backendOptions(options *Options) backends.Options {
	return backends.Options{
		Name: options.Name, Zone: options.Zone, Life: options.Life, Regions: options.Regions, DrainBound: options.DrainBound, EvacuationBound: options.EvacuationBound,
		ColdOverage: options.ColdOverage, ColdSlack: options.ColdSlack, FirstStart: options.FirstStart, Agreed: options.Agreed, MessageAddress: options.MessageAddress, Kinds: options.Kinds, Capacity: options.Capacity,
	}
}

// lookAtOneself is what the node looks at before it looks at the services.
func (n *Node) lookAtOneself(now time.Time) {
	n.lookIsolated(now)
	n.lookDegraded(now)
	n.lookAtQuotas()
}

// Run serves until ctx ends; the node then stops as planned.
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

// Ready reports whether the node wants new callers.
func (n *Node) Ready() bool {
	snapshot := n.catalog.Current()
	return !n.Stopping.Load() && !n.secluded() && backends.Complete(snapshot)
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

// acceptPause is the pause after a connection could not be accepted, for
// instance for want of descriptors.
const acceptPause = 20 * time.Millisecond

// duties is the node as its network sees it. With what Backends does it implements
// network.Duties.
type duties struct{ *Node }

// MembersChanged implements network.Duties.
func (d duties) MembersChanged() { d.fleetChanged() }

// TakeShare implements network.Duties.
func (d duties) TakeShare(listed bool, now time.Time) bool { return d.giveShare(listed, now) }

// AwaitInformed implements network.Duties.
func (d duties) AwaitInformed() { d.awaitInformed(time.Now()) }
