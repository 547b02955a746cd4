// Package network is what a node knows of the configuration, the directory of servers and
// the other nodes, and how it learns of them: a few nodes of each zone watch the store, the
// others ask them, and while the store is away nodes tell each other.
//
// What the rest of the node does as members come and go, and what it answers other nodes,
// stands behind the interface Duties.
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

// Duties is what the rest of the node does as the network becomes known, and what it
// answers other nodes.
type Duties interface {
	// MembersChanged takes note that the list of members has changed.
	MembersChanged()
	// TakeShare gives the node its share of the quotas once; listed is set if it was among
	// the members before it started. It reports whether the node has one.
	TakeShare(listed bool, now time.Time) bool
	// ReadLeases learns, at the start, of the leases that an earlier life of the node holds,
	// MakeLeases makes those that are missing, and LookAtLeases lists them again.
	ReadLeases(ctx context.Context)
	MakeLeases(ctx context.Context) bool
	LookAtLeases(ctx context.Context)
	// StoreRestored takes note that the store has come back from an older copy: what was
	// written there last may be lost, leases too.
	StoreRestored()
	// AwaitInformed waits a moment until the node knows a configuration and a directory.
	AwaitInformed()
	// Reaches reports whether this node reaches a server directly.
	Reaches(server string) bool
	// Demote makes a server give up the lead; nil if it did not, or if nodes do not agree on
	// primaries.
	Demote(server string) *upstream.Status
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
	// Readers names the object that tells who the readers of a large fleet are.
	Readers string
	// Evacuations names an object for each zone that is evacuated, of that name.
	Evacuations string
}

// Options are the settings of a Network.
type Options struct {
	Name string
	Zone string
	// PeerAddress, MessageAddress and TokenAddress are where other nodes reach this one.
	PeerAddress    string
	MessageAddress string
	TokenAddress   string
	Seeds          []string
	Regions        map[string]string
	// ConfigurationBound and DrainBound are within how long changes of the configuration and
	// of the directory have to be in force.
	ConfigurationBound time.Duration
	DrainBound         time.Duration
	// EvacuationBound is within how long the servers of an evacuated zone must receive nothing;
	// 0 where zones are not evacuated.
	EvacuationBound  time.Duration
	StrictRevocation bool
	RevocationBound  time.Duration
	Kinds            Kinds
	// FirstStart is set while the whole fleet starts for the first time.
	FirstStart bool
	// Capacity is what the node tells others of its machine.
	Capacity Capacity
}

// Ports are a Network's ways to the outside.
type Ports struct {
	Store objectstore.Store
	// StoreCalls counts the calls to the store by call, kind and outcome; nil if nobody counts.
	StoreCalls *prometheus.CounterVec
	// EntriesRefused counts entries that cannot be read, by kind; nil if nobody counts.
	EntriesRefused *prometheus.CounterVec
	Decoder        Decoder
	// Peers asks other nodes; nil if there are none.
	Peers Peers
	// Traffic counts the bytes of the node's ports; nil if nobody counts.
	Traffic *traffic.Meter
}

// Network is what a node knows of the configuration, the servers and the other nodes, and
// how it learns of them: from the store, or from nodes that watch it.
type Network struct {
	options Options
	ports   Ports
	duties  Duties
	Log     *eventlog.Log
	Catalog *catalog.Catalog
	Started time.Time

	// store counts only answers of the latest known era.
	store *objectstore.Guarded
	// restoredAt is when the store last turned out to have come back from an older copy, in
	// nanoseconds since the node's start; 0 if it never has.
	restoredAt atomic.Int64
	// membersEra is the era of the last list of members. It belongs to the goroutine that
	// looks at them.
	membersEra uint64
	// ownEntry is this node's entry in that list, nil if it had none, enteredAt when the node
	// last wrote one. They belong to the same goroutine.
	ownEntry     *objectstore.Object
	enteredAt    time.Time
	storeDown    atomic.Bool
	reachability *reachability
	// silentMembers are the nodes that did not answer lately.
	silentMembers silences
	// caches hold the objects of the kinds that other nodes may ask for.
	caches map[string]*objectstore.Cache
	// transfers fetches large objects from other nodes.
	transfers *transfers
	Members   atomic.Pointer[[]Member]
	// memberZones holds the zones of the members' addresses and machines.
	memberZones atomic.Pointer[map[string]string]
	// Calls counts the calls to the store.
	calls storeCalls
	// toldSent are the bytes sent until the last log line of them.
	toldSent uint64
	// readersFound is closed once it is known whether the store names readers.
	readersFound chan struct{}
	// membersKnown is closed once members has a value.
	membersKnown chan struct{}
	// membersSettled is closed once the list of members is likely to be complete: nodes
	// that start together for the first time enter themselves one after the other.
	membersSettled chan struct{}
	settledOnce    sync.Once
	// firstStart is set if the first list of members lacked this node: it is new, or the
	// whole fleet is.
	firstStart atomic.Bool
	// listings are what this node has listed for others, shared what others have told it.
	listings listings
	shared   sharedListings
	// readerSet is made of the members.
	readerSet atomic.Pointer[readerSet]
	// configurationHeard is since when, after the node's start, a newer configuration may
	// have been missed, in nanoseconds.
	configurationHeard atomic.Int64
	// refused keeps entries of other writers from being logged at each listing.
	refused objectstore.RefusedEntries
	// listedOnce is done once the store itself has told the configuration.
	listedOnce sync.Once
	// newer is the search for a configuration that holds an unknown key.
	newer newerSearch
}

// New returns a network of which nothing is known yet.
func New(options Options, ports Ports, duties Duties, cat *catalog.Catalog, started time.Time, log *eventlog.Log) *Network {
	n := &Network{
		options: options, ports: ports, duties: duties, Log: log, Catalog: cat, Started: started,
		readersFound: make(chan struct{}), membersKnown: make(chan struct{}), membersSettled: make(chan struct{}),
	}
	if ports.Traffic == nil {
		n.ports.Traffic = new(traffic.Meter)
	}
	n.ports.Traffic.Locate(n.distanceTo)
	n.reachability = newReachability(started)
	n.store = objectstore.NewGuarded(&meteredStore{Store: ports.Store, node: n}, n.storeRestored)
	n.ports.Store = n.store
	n.transfers = newTransfers(n)
	n.caches = map[string]*objectstore.Cache{
		options.Kinds.Configuration: objectstore.NewCache(&configurationSink{n}),
		options.Kinds.Servers:       objectstore.NewCache(&directorySink{n}),
	}
	if options.EvacuationBound > 0 {
		n.caches[options.Kinds.Evacuations] = objectstore.NewCache(&evacuationSink{n})
	}
	n.caches[options.Kinds.Configuration].KeepNewest(n.outdatesConfiguration)
	return n
}

// Store returns the node's way to the store.
func (n *Network) Store() objectstore.Store { return n.store }

// StoreEra returns the latest era of the store that is known.
func (n *Network) StoreEra() uint64 { return n.store.Era() }

// StoreCallLimit bounds a call to the store.
const StoreCallLimit = 1500 * time.Millisecond
