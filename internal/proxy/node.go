// Package proxy is the node's runtime: it accepts sessions, runs their commands
// on database servers and keeps what is known of the servers up to date.
//
// Decisions are made by pure packages (routing, freshness, failover); this
// package carries them out. Outside systems are reached through ports: callers
// (Client), servers (upstream.Dialer), the durable store (objectstore.Store)
// and the platform's promotions (Promoter).
package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/failover"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/quota"
	"dewknot/internal/proxy/remote"
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

// Decoder reads the platform's objects into the product's own.
type Decoder interface {
	Configuration(content []byte) (*catalog.Configuration, error)
	Server(object objectstore.Object) (catalog.Server, error)
}

// Kinds names the kinds of objects in the store.
type Kinds struct {
	Configuration string
	Servers       string
	Leases        string
	Members       string
	// Voters names the table of the nodes that agree on tenures.
	Voters string
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
	Kinds            Kinds
}

// Ports are the node's ways to the outside.
type Ports struct {
	Store    objectstore.Store
	Dialer   upstream.Dialer
	Promoter Promoter
	Decoder  Decoder
	// Peers asks other nodes.
	Peers Peers
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
	Trace func(service string, rank time.Duration) FailoverTrace
}

// Node is a running node.
type Node struct {
	options Options
	ports   Ports
	log     *eventlog.Log
	catalog *catalog.Catalog
	metrics *metrics
	started time.Time

	servers  sync.Map // server ID to *server
	services sync.Map // service name to *service

	sessions     sync.Map // *session to struct{}
	sessionCount atomic.Int64
	stopping     atomic.Bool
	closing      atomic.Bool
	aborting     atomic.Bool
	storeDown    atomic.Bool
	// refreshingLeases is set while a listing of the leases is due.
	refreshingLeases atomic.Bool
	// isolated is set while the node reaches too few voters to use any primary.
	isolated atomic.Bool
	// degraded is set while all that the node talks to is silent.
	degraded     atomic.Bool
	reachability *reachability
	// silentMembers are the nodes that did not answer lately.
	silentMembers silences
	// caches hold the objects of the kinds that other nodes may ask for.
	caches map[string]*objectstore.Cache
	// transfers fetches large objects from other nodes.
	transfers *transfers
	members   atomic.Pointer[[]Member]
	// memberZones holds the zones of the members' addresses and machines.
	memberZones atomic.Pointer[map[string]string]
	// calls counts the calls to the store.
	calls storeCalls
	// informed is closed once the node knows a configuration and a directory.
	informed     chan struct{}
	informedOnce sync.Once
	// membersKnown is closed once members has a value.
	membersKnown chan struct{}
	// membersSettled is closed once the list of members is likely to be complete: nodes
	// that start together for the first time enter themselves one after the other.
	membersSettled chan struct{}
	// firstStart is set if the first list of members lacked this node: it is new, or the
	// whole fleet is.
	firstStart  atomic.Bool
	settledOnce sync.Once
	// readerSet is made of the members.
	readerSet atomic.Pointer[readerSet]
	// links lead to nodes that own connections, owner serves this node's own.
	links *remote.Links
	owner *remote.Owner
	// tenures is nil where the platform checks fences.
	tenures *tenure.Keeper
	// quotas is nil where there are none. hasShare is set once the node has its share,
	// listedBefore is how many members the last list had; both belong to the goroutine
	// that looks at the members.
	quotas       *quota.Keeper
	hasShare     bool
	listedBefore int
	// configurationHeard is since when, after the node's start, a newer configuration may
	// have been missed, in nanoseconds.
	configurationHeard atomic.Int64
	// newer is the search for a configuration that holds an unknown key.
	newer newerSearch
	// nudged makes the look at the services come at once.
	nudged chan struct{}
}

// New returns a node that is not running yet.
func New(options Options, ports Ports, log *eventlog.Log) *Node {
	node := &Node{
		options: options, ports: ports, log: log,
		catalog: catalog.New(options.DrainBound), started: time.Now(), membersKnown: make(chan struct{}), membersSettled: make(chan struct{}), informed: make(chan struct{}), nudged: make(chan struct{}, 1),
	}
	if ports.Traffic == nil {
		node.ports.Traffic = new(traffic.Meter)
	}
	node.ports.Traffic.Locate(node.distanceTo)
	node.metrics = newMetrics(node)
	node.ports.Store = &meteredStore{Store: ports.Store, calls: node.metrics.storeCalls, node: node}
	node.caches = map[string]*objectstore.Cache{
		options.Kinds.Configuration: objectstore.NewCache(&configurationSink{node}),
		options.Kinds.Servers:       objectstore.NewCache(&directorySink{node}),
	}
	node.transfers = newTransfers(node)
	node.reachability = newReachability(node.started)
	node.links = remote.NewLinks(remote.LinksConfig{Dial: node.dialOwner, OnProof: node.ownerProved})
	node.owner = remote.NewOwner(node)
	node.tenures = node.newTenures()
	node.quotas = node.newQuotas()
	node.catalog.OnChange(node.catalogChanged)
	return node
}

// Run serves until ctx ends; the node then stops as planned.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.follow(background)
	go n.watchServices(background)
	if n.tenures != nil {
		go n.tenures.Run(background)
	}
	go n.accept(listener)
	<-ctx.Done()
	n.stop(listener)
	n.links.Close()
	n.owner.Close()
	n.servers.Range(func(_, value any) bool {
		value.(*server).pool.Shut()
		return true
	})
	return nil
}

// Ready reports whether the node wants new callers.
func (n *Node) Ready() bool {
	snapshot := n.catalog.Current()
	return !n.stopping.Load() && !n.secluded() && complete(snapshot)
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
