// Package catalog holds what a node knows of its deployment: the configuration
// (routes, services, limits) and the directory of database servers.
//
// Readers take an immutable Snapshot through one atomic pointer; writers merge
// what the store tells into a new one. Versions of the configuration never go
// back within the life of a process.
package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/era"
)

// Freshness is the guarantee that a route gives its reads.
type Freshness uint8

// The freshness guarantees.
const (
	// Current reads see every commit acknowledged before they began.
	Current Freshness = iota
	// BoundedStaleness reads may miss commits of the last MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads are bounded as well and see all commits of their session.
	ReadYourWrites
)

// Route says how the requests of one database are served.
type Route struct {
	Name string
	// Database is the name that callers ask for.
	Database  string
	Service   string
	Freshness Freshness
	// MaxStaleness bounds the age of what reads may miss; unused for Current.
	MaxStaleness time.Duration
	// StatementTimeout bounds a statement, from its arrival to its answer.
	StatementTimeout time.Duration
	// TargetLatency is the latency objective of an operation.
	TargetLatency time.Duration
	// Priority 0 is the highest.
	Priority int
	// Public routes serve callers without a key.
	Public bool
	// Homes are the regions to which the route's work may go.
	Homes Homes
}

// Service is a group of one primary and its replicas.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server from all nodes.
	MaxConnections int
	// SynchronousReplicas must have received a commit before it is acknowledged.
	SynchronousReplicas int
	// ColdPerSecond bounds the requests of all nodes together to a server that is cold; 0
	// means that there is no bound.
	ColdPerSecond float64
}

// Configuration is a whole version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Routes   map[string]Route
	Services map[string]Service
	// Tenants holds the tenants by name; nil if the deployment has none, so that callers
	// need no key. Keys holds the tenant of each key.
	Tenants map[string]Tenant
	Keys    map[KeyDigest]string
	// HasQuotas is set if some tenant has a quota, HasHomes if a route or a tenant has homes.
	HasQuotas bool
	HasHomes  bool
	// TransactionIdle is how long a transaction may rest before it may be ended.
	TransactionIdle time.Duration
}

// Role is a server's part in its service, as it sees itself.
type Role uint8

// The roles of a server.
const (
	Replica Role = iota
	Primary
)

// String returns the role's name in logs.
func (r Role) String() string {
	if r == Primary {
		return "primary"
	}
	return "replica"
}

// Server is an entry of the directory.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// ColdFor is for how long after the entry was written the server is slow from its start.
	ColdFor  time.Duration
	Draining bool
	Role     Role
	// Revision is the store's revision of the entry.
	Revision era.Revision
	// Born tells the lives of a server apart that starts again under its ID: the time of its
	// start, in milliseconds since 1970. It is 0 where servers don't tell it.
	Born int64
	// LeavingSince is when this node learned that the server drains or is gone;
	// zero for a server that stays.
	LeavingSince time.Time
	// Gone is set while the entry has vanished from the directory.
	Gone bool
	// EvacuatedSince is when this node learned that the server's zone is evacuated; zero while
	// it is not.
	EvacuatedSince time.Time
}

// Evacuated reports whether the server's zone is evacuated.
func (s *Server) Evacuated() bool { return !s.EvacuatedSince.IsZero() }

// Leaving reports whether the server drains or has left the directory.
func (s *Server) Leaving() bool { return s.Draining || s.Gone || s.Evacuated() }

// Snapshot is an immutable view of configuration and directory.
type Snapshot struct {
	Configuration *Configuration
	// Servers holds the directory by server ID, with those that left lately.
	Servers map[string]*Server
	// ByService lists the same servers by service, ordered by ID.
	ByService map[string][]*Server
	// Evacuated holds the zones that are evacuated, by since when this node knows.
	Evacuated map[string]time.Time
}

// Catalog is the node's knowledge, safe for concurrent use.
type Catalog struct {
	current atomic.Pointer[Snapshot]
	mutex   sync.Mutex
	// retention is how long a server that is gone stays known.
	retention time.Duration
	listeners []func(previous, current *Snapshot)
}

// New returns an empty catalog that keeps servers for retention after they are gone.
func New(retention time.Duration) *Catalog {
	catalog := &Catalog{retention: retention}
	catalog.current.Store(&Snapshot{
		Servers: map[string]*Server{}, ByService: map[string][]*Server{},
	})
	return catalog
}

// Current returns the present snapshot; it must not be changed.
func (c *Catalog) Current() *Snapshot { return c.current.Load() }

// OnChange registers a function that is called, one change at a time, after
// each change. It must be called before the first change.
func (c *Catalog) OnChange(listener func(previous, current *Snapshot)) {
	c.listeners = append(c.listeners, listener)
}

// ApplyConfiguration takes a configuration into force. It reports false, and
// changes nothing, if the version is not newer than the one in force.
func (c *Catalog) ApplyConfiguration(configuration *Configuration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	previous := c.current.Load()
	if previous.Configuration != nil && configuration.Version <= previous.Configuration.Version {
		return false
	}
	next := *previous
	next.Configuration = configuration
	c.publish(previous, &next)
	return true
}

// ReplaceDirectory takes a full listing of the directory; servers that it lacks are gone.
func (c *Catalog) ReplaceDirectory(servers []Server, revision era.Revision, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	listed := make(map[string]bool, len(servers))
	for i := range servers {
		listed[servers[i].ID] = true
	}
	c.changeDirectory(now, func(directory map[string]*Server) {
		for id := range directory {
			if !listed[id] {
				markGone(directory, id, revision, now)
			}
		}
		for i := range servers {
			mergeServer(directory, servers[i], now)
		}
	})
}

// MergeDirectory takes changes of the directory in their order: entries that are
// new or have changed, and with Gone set the IDs of those that have vanished. All
// of them make one new snapshot, since a snapshot costs as much as the directory is
// long and changes come in batches when a fleet starts.
func (c *Catalog) MergeDirectory(changes []Server, now time.Time) {
	if len(changes) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.changeDirectory(now, func(directory map[string]*Server) {
		for i := range changes {
			if changes[i].Gone {
				markGone(directory, changes[i].ID, changes[i].Revision, now)
				continue
			}
			mergeServer(directory, changes[i], now)
		}
	})
}

// ConfirmDirectory takes the word of a listing for servers that a store listed when it came
// back from an older copy, and that were known to be gone. Since then their entries have not
// changed, nor been removed for silence.
func (c *Catalog) ConfirmDirectory(servers []Server, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.changeDirectory(now, func(directory map[string]*Server) {
		for i := range servers {
			known := directory[servers[i].ID]
			if known == nil || (known.Gone && known.Revision == servers[i].Revision) {
				delete(directory, servers[i].ID)
				mergeServer(directory, servers[i], now)
			}
		}
	})
}

func (c *Catalog) changeDirectory(now time.Time, change func(map[string]*Server)) {
	previous := c.current.Load()
	directory := make(map[string]*Server, len(previous.Servers)+1)
	for id, server := range previous.Servers {
		if server.Gone && now.Sub(server.LeavingSince) > c.retention {
			continue
		}
		directory[id] = server
	}
	change(directory)
	previous.evacuate(directory)
	next := *previous
	next.Servers = directory
	next.ByService = indexByService(directory)
	c.publish(previous, &next)
}

func (c *Catalog) publish(previous, next *Snapshot) {
	c.current.Store(next)
	for _, listener := range c.listeners {
		listener(previous, next)
	}
}
