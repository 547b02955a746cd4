// Package catalog holds a node's view of its deployment: the configuration (routes, services,
// tenants) and the directory of database servers.
//
// Readers load an immutable Snapshot through an atomic pointer. Writers merge changes from the
// store into a new snapshot. While a process runs, the version of its configuration never
// decreases.
package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"dewknot/internal/base/era"
)

// Freshness is the freshness guarantee of a route's reads.
type Freshness uint8

// The freshness guarantees.
const (
	// Current reads see every commit that was acknowledged before they began.
	Current Freshness = iota
	// BoundedStaleness reads may miss commits of the last MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads have bounded staleness and also see all commits of their session.
	ReadYourWrites
)

// Route configures how the requests for one database are served.
type Route struct {
	Name string
	// Database is the database name that clients connect to.
	Database  string
	Service   string
	Freshness Freshness
	// MaxStaleness limits the age of commits that a read may miss. It is not used by Current.
	MaxStaleness time.Duration
	// StatementTimeout limits the time from a statement's arrival to its answer.
	StatementTimeout time.Duration
	// TargetLatency is the latency objective of an operation.
	TargetLatency time.Duration
	// Priority 0 is the highest.
	Priority int
	// Public routes accept callers without a key.
	Public bool
	// Homes are the regions in which the route's work may run.
	Homes Homes
}

// Service is a group of one primary and its replicas.
type Service struct {
	Name string
	// MaxConnections limits the connections of all nodes to one server.
	MaxConnections int
	// SynchronousReplicas is how many replicas must receive a commit before it is acknowledged.
	SynchronousReplicas int
	// ColdPerSecond limits the rate of requests of all nodes to one cold server; 0 means no limit.
	ColdPerSecond float64
}

// Configuration is one version of the complete configuration by the operators.
type Configuration struct {
	Version  uint64
	Routes   map[string]Route
	Services map[string]Service
	// Tenants holds the tenants by name. If it is nil, the deployment has no tenants and callers
	// need no key. Keys maps each key to the name of its tenant.
	Tenants map[string]Tenant
	Keys    map[KeyDigest]string
	// HasQuotas is set if any tenant has a quota, HasHomes if any route or tenant has homes.
	HasQuotas bool
	HasHomes  bool
	// TransactionIdle is how long a transaction may be idle before it may be ended.
	TransactionIdle time.Duration
}

// Role is the role that a server reports for itself in its service.
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

// Server is a server's entry in the directory.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// ColdFor is how long after writing the entry the server is still cold, that is slow because it
	// started recently.
	ColdFor  time.Duration
	Draining bool
	Role     Role
	// Revision is the store's revision of the entry.
	Revision era.Revision
	// Incarnation is the start time of the server's process in milliseconds since the Unix epoch,
	// or 0 for servers that don't report it. A restarted server has a higher one.
	Incarnation int64
	// LeavingSince is when this node learned that the server is draining or gone; zero if neither.
	LeavingSince time.Time
	// Gone is set if the directory no longer has the entry.
	Gone bool
	// Unreadable is set in listings and changes if the entry can't be read. Only the ID and the
	// revision are known then.
	Unreadable bool
	// EvacuatedSince is when this node learned that the server's zone is being evacuated; zero if
	// it isn't.
	EvacuatedSince time.Time
}

// Evacuated reports whether the server's zone is being evacuated.
func (s *Server) Evacuated() bool { return !s.EvacuatedSince.IsZero() }

// Leaving reports whether the server is draining, gone from the directory or being evacuated.
func (s *Server) Leaving() bool { return s.Draining || s.Gone || s.Evacuated() }

// Snapshot is an immutable view of the configuration and the directory.
type Snapshot struct {
	Configuration *Configuration
	// Servers holds the directory by server ID, including servers that left recently.
	Servers map[string]*Server
	// ByService holds the same servers by service, ordered by ID.
	ByService map[string][]*Server
	// Evacuated holds the evacuated zones and when this node learned of each evacuation.
	Evacuated map[string]time.Time
}

// Catalog holds the current snapshot. It is safe for concurrent use.
type Catalog struct {
	current atomic.Pointer[Snapshot]
	mutex   sync.Mutex
	// retention is how long a server that is gone stays in the directory.
	retention time.Duration
	listeners []func(previous, current *Snapshot)
}

// New returns an empty catalog. Servers that are gone stay in its directory for retention.
func New(retention time.Duration) *Catalog {
	catalog := &Catalog{retention: retention}
	catalog.current.Store(&Snapshot{
		Servers: map[string]*Server{}, ByService: map[string][]*Server{},
	})
	return catalog
}

// Current returns the current snapshot, which must not be modified.
func (c *Catalog) Current() *Snapshot { return c.current.Load() }

// OnChange registers a function that is called after each change. Calls are serialized. OnChange
// must be called before the first change.
func (c *Catalog) OnChange(listener func(previous, current *Snapshot)) {
	c.listeners = append(c.listeners, listener)
}

// ApplyConfiguration activates a configuration. If its version is not newer than the active one, it
// changes nothing and returns false.
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

// ReplaceDirectory applies a complete listing of the directory. Servers missing in it are marked as
// gone. An unreadable entry changes nothing.
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

// MergeDirectory applies changes of the directory in order: new or changed entries, and for removed
// entries the ID with Gone set. An unreadable entry changes nothing. It publishes one snapshot for
// all changes, since each one copies the directory and changes arrive in large batches when a fleet
// starts.
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

// ReinstateServers makes servers available again that were known to be gone but are listed by a
// store that was restored from an older copy. It must be called some time after the restore: a
// server whose entry is still listed at the same revision is alive, because entries of dead servers
// have been removed by then.
func (c *Catalog) ReinstateServers(servers []Server, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.changeDirectory(now, func(directory map[string]*Server) {
		for i := range servers {
			previous := directory[servers[i].ID]
			if servers[i].Unreadable {
				continue
			}
			if previous == nil || (previous.Gone && previous.Revision == servers[i].Revision) {
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
	previous.markEvacuated(directory)
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
