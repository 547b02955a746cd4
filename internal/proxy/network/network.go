// Package network maintains a node's view of the configuration, the directory of servers and the
// other nodes. In a large fleet a few nodes of each zone, the readers, watch the store and the
// other nodes ask them. While the store is unavailable, nodes exchange what they know.
//
// The rest of the node is reached through the interface Delegate.
package network

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/traffic"
	"dewknot/internal/proxy/upstream"
)

// Delegate is implemented by the rest of the node. It is notified of changes, and it answers the
// requests of other nodes that concern servers.
type Delegate interface {
	// MembersChanged is called when the list of members has changed.
	MembersChanged()
	// AssignQuotaShare assigns the node its share of the quotas, once. The parameter listed says
	// whether the node was among the members before it started. The result reports whether the
	// node has a share.
	AssignQuotaShare(listed bool, now time.Time) bool
	// LoadLeases loads, at the start, the leases that an earlier incarnation of the node holds.
	LoadLeases(ctx context.Context)
	// CreateLeases creates missing leases and reports whether that succeeded.
	CreateLeases(ctx context.Context) bool
	// PollLeases lists the leases again.
	PollLeases(ctx context.Context)
	// StoreRestored is called after the store was restored from an older copy. Recent writes,
	// including leases, may be lost.
	StoreRestored()
	// AwaitCatalogLoaded waits a short time until a configuration and a directory are known.
	AwaitCatalogLoaded()
	// Reaches reports whether this node reaches a server directly.
	Reaches(server string) bool
	// Demote ends a server's primary role. It returns nil if that failed.
	Demote(server string) *upstream.Status
}

// Decoder decodes objects of the platform's store.
type Decoder interface {
	Configuration(content []byte) (*catalog.Configuration, error)
	Server(object objectstore.Object) (catalog.Server, error)
}

// Kinds names the kinds of objects in the store.
type Kinds struct {
	Configuration string
	// ConfigurationName is the name of the object that holds the configuration. If it is empty, any
	// object of the kind does.
	ConfigurationName string
	Servers           string
	Leases            string
	Members           string
	// Voters is the table of the nodes that agree on tenures.
	Voters string
	// Readers is the object that lists the readers of a large fleet.
	Readers string
	// Evacuations has one object per evacuated zone, named after the zone.
	Evacuations string
}

// Options are the settings of a Network.
type Options struct {
	Name string
	Zone string
	// PeerAddress, MessageAddress and TokenAddress are the node's addresses for other nodes.
	PeerAddress    string
	MessageAddress string
	TokenAddress   string
	Seeds          []string
	Regions        map[string]string
	// ConfigurationBound and DrainBound are the times within which changes of the configuration
	// and of the directory must be in force.
	ConfigurationBound time.Duration
	DrainBound         time.Duration
	// EvacuationBound is the time within which servers of an evacuated zone must no longer receive
	// requests; 0 disables evacuations.
	EvacuationBound  time.Duration
	StrictRevocation bool
	RevocationBound  time.Duration
	Kinds            Kinds
	// FirstStart is set during the first start of a whole fleet.
	FirstStart bool
	// Capacity is what the node reports of its machine.
	Capacity Capacity
}

// Ports are a Network's connections to the store, other nodes and metrics.
type Ports struct {
	Store objectstore.Store
	// StoreCalls counts calls to the store by call, kind and outcome; it may be nil.
	StoreCalls *prometheus.CounterVec
	// EntriesRefused counts unreadable entries by kind; it may be nil.
	EntriesRefused *prometheus.CounterVec
	Decoder        Decoder
	// Peers sends requests to other nodes; it is nil if there are none.
	Peers Peers
	// Traffic counts the bytes that the node exchanges; it may be nil.
	Traffic *traffic.Meter
}

// Network is a node's view of the configuration, the servers and the other nodes. It is updated
// from the store or from nodes that watch it.
type Network struct {
	options  Options
	ports    Ports
	delegate Delegate
	Log      *eventlog.Log
	Catalog  *catalog.Catalog
	Started  time.Time

	// store rejects answers of eras before the latest known one.
	store *objectstore.EraGuard
	// restoredAt is when the store was last seen to be restored from an older copy, in
	// nanoseconds since the node's start; 0 if never.
	restoredAt atomic.Int64
	// membersEra is the era of the last list of members. Only the goroutine that polls the
	// members may use it.
	membersEra uint64
	// ownEntry is this node's entry in the last list, or nil. ownEntryWrittenAt is when the node
	// last wrote it. Both are used only by the goroutine that polls the members.
	ownEntry          *objectstore.Object
	ownEntryWrittenAt time.Time
	storeDown         atomic.Bool
	reachability      *reachability
	// silentMembers are the nodes that recently did not answer.
	silentMembers silentNodes
	// caches hold the objects of the kinds that other nodes may request.
	caches map[string]*objectstore.Cache
	// transfers fetches large objects from other nodes.
	transfers *transfers
	Members   atomic.Pointer[[]Member]
	// memberZones maps the members' addresses and hosts to their zones.
	memberZones atomic.Pointer[map[string]string]
	// calls counts the calls to the store.
	calls storeCalls
	// loggedSent is the number of sent bytes at the last traffic log line.
	loggedSent uint64
	// readersLookupDone is closed after the store was asked for the list of readers.
	readersLookupDone chan struct{}
	// membersKnown is closed once Members is set.
	membersKnown chan struct{}
	// membersSettled is closed once the list of members is likely complete: nodes that start
	// together write their entries one after the other.
	membersSettled     chan struct{}
	membersSettledOnce sync.Once
	// absentFromFirstList is set if the first list of members lacked this node. Either the node or
	// the whole fleet is new.
	absentFromFirstList atomic.Bool
	// listingCache holds what this node lists for others as a reader, received what it got from
	// readers.
	listingCache listingCache
	received     receivedListings
	// readerSet is computed from the members.
	readerSet atomic.Pointer[readerSet]
	// configurationCheckedAt is the start of the last answered call for the configuration, in
	// nanoseconds since the node's start. Later changes may be missing.
	configurationCheckedAt atomic.Int64
	// refusedEntries prevents logging an unreadable entry at each listing.
	refusedEntries objectstore.RefusedEntries
	// adoptNewestOnce runs after the store itself has first delivered the configuration.
	adoptNewestOnce sync.Once
	// newer is the search for a configuration with an unknown key.
	newer newerSearch
}

// New returns a Network that knows nothing yet.
func New(options Options, ports Ports, delegate Delegate, cat *catalog.Catalog, started time.Time, log *eventlog.Log) *Network {
	n := &Network{
		options: options, ports: ports, delegate: delegate, Log: log, Catalog: cat, Started: started,
		readersLookupDone: make(chan struct{}), membersKnown: make(chan struct{}), membersSettled: make(chan struct{}),
	}
	if ports.Traffic == nil {
		n.ports.Traffic = new(traffic.Meter)
	}
	n.ports.Traffic.Locate(n.distanceTo)
	n.reachability = newReachability(started)
	n.store = objectstore.NewEraGuard(&meteredStore{Store: ports.Store, node: n}, n.storeRestored)
	n.ports.Store = n.store
	n.transfers = newTransfers(n)
	n.caches = map[string]*objectstore.Cache{
		options.Kinds.Configuration: objectstore.NewCache(&configurationSink{n}),
		options.Kinds.Servers:       objectstore.NewCache(&directorySink{n}),
	}
	if options.EvacuationBound > 0 {
		n.caches[options.Kinds.Evacuations] = objectstore.NewCache(&evacuationSink{n})
	}
	n.caches[options.Kinds.Configuration].KeepNewest(n.isOlderConfiguration)
	n.caches[options.Kinds.Servers].LimitContent(maxServerEntryBytes)
	return n
}

// maxServerEntryBytes limits a server's entry. Larger ones are refused.
const maxServerEntryBytes = 16 << 10

// Store returns the store as this node accesses it: calls are metered and answers of old eras
// rejected.
func (n *Network) Store() objectstore.Store { return n.store }

// StoreEra returns the latest known era of the store.
func (n *Network) StoreEra() uint64 { return n.store.Era() }

// StoreCallTimeout is the timeout of a call to the store.
const StoreCallTimeout = 1500 * time.Millisecond
