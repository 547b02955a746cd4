package owner

import (
	"context"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/failure"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/request"
)

// Counters count the requests answered by this node as owner or standby, for metrics.
type Counters struct {
	// ReadsByReplica and ReadsByPrimary count answered reads.
	ReadsByReplica atomic.Uint64
	ReadsByPrimary atomic.Uint64
	Writes         atomic.Uint64
	failures       [failure.Isolated + 1]atomic.Uint64
}

func (c *Counters) observe(submitted *request.Request, reply group.Reply) {
	switch {
	case reply.Kind != failure.None:
		c.failures[reply.Kind].Add(1)
	case !submitted.Info.ReadOnly:
		c.Writes.Add(1)
	case reply.FromReplica:
		c.ReadsByReplica.Add(1)
	default:
		c.ReadsByPrimary.Add(1)
	}
}

// Failures returns the number of failures of each kind that occurred.
func (c *Counters) Failures() map[failure.Kind]uint64 {
	counts := map[failure.Kind]uint64{}
	for kind := range c.failures {
		if count := c.failures[kind].Load(); count > 0 {
			counts[failure.Kind(kind)] = count
		}
	}
	return counts
}

// drainTimeout is the time after which a group that this node no longer serves is closed
// with its open transactions.
const drainTimeout = 30 * time.Second

// standbyIdleTimeout is the time without requests after which a standby closes a group.
const standbyIdleTimeout = 60 * time.Second

// servedGroup is a group that this node serves as owner or standby, or that drains.
type servedGroup struct {
	server *Server
	// config is the configuration with which server was created.
	config    *configuration.Group
	accepting bool         // false while the group drains
	lastUsed  atomic.Int64 // Unix time in seconds
	changedAt time.Time    // when accepting last changed
}

// Groups serves all groups of this node. It implements request.Server and is safe for
// concurrent use.
type Groups struct {
	log      *zap.Logger
	settings group.Settings
	counters *Counters
	view     atomic.Pointer[core.View]
	mu       sync.RWMutex
	served   map[string]*servedGroup
	closed   bool // no group is added any more
	// freshUntil is the time until which the view is recent enough to begin new work.
	freshUntil atomic.Pointer[time.Time]
}

// NewGroups returns a Groups without any group.
func NewGroups(settings group.Settings, log *zap.Logger, counters *Counters) *Groups {
	return &Groups{log: log, settings: settings, counters: counters, served: map[string]*servedGroup{}}
}

// SetFresh sets for how long this node may begin new work. The marks of leaving servers in
// the current view are applied first, so that no new work begins on such a server.
func (g *Groups) SetFresh(remaining time.Duration) {
	until := time.Now().Add(remaining)
	g.freshUntil.Store(&until)
	g.mu.RLock()
	defer g.mu.RUnlock()
	view := g.view.Load()
	for _, current := range g.served {
		if view != nil {
			g.markLeaving(view, current)
		}
		current.server.SetFresh(until)
	}
}

// SetView sets the view for requests that arrive from now on.
func (g *Groups) SetView(view *core.View) { g.view.Store(view) }

// Update applies the current view: it adds groups, drains and closes others, and marks leaving
// servers. It must be called regularly, because it also closes groups that have drained.
func (g *Groups) Update() {
	view := g.view.Load()
	if view == nil || !view.Ready {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range view.Config.Groups {
		owners := view.Owners(name)
		if len(owners) > 0 && owners[0] == view.Self.ID && g.served[name] == nil && !g.closed {
			g.add(view, name)
		}
	}
	for name, current := range g.served {
		g.updateOne(view, name, current)
	}
}

func (g *Groups) add(view *core.View, name string) *servedGroup {
	config := view.Config.Groups[name]
	settings := g.limits(config, isOwner(view, name))
	created := &servedGroup{
		config: config, accepting: true, server: NewServer(config, settings, g.log, g.counters),
	}
	created.touch()
	if until := g.freshUntil.Load(); until != nil {
		created.server.SetFresh(*until)
	}
	g.served[name] = created
	g.markLeaving(view, created)
	g.log.Info("owner: serving group", zap.String("group", name), zap.Int("slots", settings.Slots),
		zap.Int("connections", settings.Connections))
	return created
}

// touch marks the group as used now.
func (s *servedGroup) touch() { s.lastUsed.Store(time.Now().Unix()) }

// limits returns settings with this node's share of a server's limits, which are divided
// between owner and standby. If two nodes have different views, both may act as the owner
// for a while; then only the server's own limit applies.
func (g *Groups) limits(config *configuration.Group, asOwner bool) group.Settings {
	const (
		statusConnections = 2 // one each for owner and standby
		standbyDivisor    = 5 // the standby gets a fifth of the limits
	)
	settings := g.settings
	settings.Servers = len(config.Servers)
	usable := config.Connections - statusConnections
	standby := max(usable/standbyDivisor, 1)
	if asOwner {
		settings.Slots, settings.Connections = config.Slots, usable-standby
	} else {
		settings.Slots, settings.Connections = max(config.Slots/standbyDivisor, 1), standby
	}
	return settings
}

func isOwner(view *core.View, name string) bool {
	owners := view.Owners(name)
	return len(owners) > 0 && owners[0] == view.Self.ID
}

func mayServe(view *core.View, name string) bool {
	for _, id := range view.Owners(name) {
		if id == view.Self.ID {
			return true
		}
	}
	return false
}

func (g *Groups) updateOne(view *core.View, name string, current *servedGroup) {
	config := view.Config.Groups[name]
	serve := config != nil && mayServe(view, name)
	changed := config != nil && config != current.config && !reflect.DeepEqual(config, current.config)
	if changed {
		serve = false // it drains and is then replaced by one with the new configuration
	}
	if serve != current.accepting {
		current.accepting = serve
		current.changedAt = time.Now()
		current.server.SetAccepting(serve)
	}
	g.markLeaving(view, current)
	if serve && !changed {
		settings := g.limits(config, isOwner(view, name))
		current.server.SetLimits(settings.Slots, settings.Connections)
	}
	if g.removable(view, name, current) {
		delete(g.served, name)
		go current.server.Close()
		if changed && !g.closed && mayServe(view, name) {
			g.add(view, name)
		}
	}
}

// removable reports whether a group may be closed and removed.
func (g *Groups) removable(view *core.View, name string, current *servedGroup) bool {
	status := current.server.Status()
	idle := status.InProgress == 0 && status.OpenTransactions == 0
	if current.accepting {
		unused := time.Now().Unix()-current.lastUsed.Load() > int64(standbyIdleTimeout/time.Second)
		return idle && unused && !isOwner(view, name)
	}
	return idle || time.Since(current.changedAt) > drainTimeout
}

func (g *Groups) markLeaving(view *core.View, current *servedGroup) {
	for index, server := range current.config.Servers {
		current.server.SetLeaving(index, view.Config.LeavingServers[current.config.Name+"/"+server.Address])
	}
}

// findOrAdd returns a served group. It adds the group if this node is its owner or standby,
// and returns nil otherwise.
func (g *Groups) findOrAdd(name string) *servedGroup {
	g.mu.RLock()
	found := g.served[name]
	g.mu.RUnlock()
	if found != nil {
		return found
	}
	view := g.view.Load()
	if view == nil || !view.Ready || view.Config.Groups[name] == nil || !mayServe(view, name) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.served[name] == nil && !g.closed {
		return g.add(view, name)
	}
	return g.served[name]
}

// notOwnerRetryAfter is the retry delay for a listener whose view has other owners.
const notOwnerRetryAfter = 100 * time.Millisecond

// Submit implements request.Server.
func (g *Groups) Submit(
	ctx context.Context, submitted *request.Request, chunk func([]byte) error,
) (request.Result, error) {
	found := g.findOrAdd(submitted.Group)
	if found == nil {
		return request.Failed(failure.NotOwner, "", notOwnerRetryAfter), nil
	}
	found.touch()
	return found.server.Submit(ctx, submitted, chunk)
}

// EndSession implements request.Server.
func (g *Groups) EndSession(name string, session group.SessionID) {
	g.mu.RLock()
	found := g.served[name]
	g.mu.RUnlock()
	if found != nil {
		found.server.EndSession(name, session)
	}
}

// Cancel implements request.Server.
func (g *Groups) Cancel(name string, id group.RequestID) {
	g.mu.RLock()
	found := g.served[name]
	g.mu.RUnlock()
	if found != nil {
		found.server.Cancel(name, id)
	}
}

// Status returns the status of the groups on this node, by name.
func (g *Groups) Status() map[string]Status {
	g.mu.RLock()
	defer g.mu.RUnlock()
	statuses := map[string]Status{}
	for name, current := range g.served {
		statuses[name] = current.server.Status()
	}
	return statuses
}

// ActiveCount returns the number of requests in progress and open transactions on this node.
func (g *Groups) ActiveCount() int {
	active := 0
	for _, status := range g.Status() {
		active += status.InProgress + status.OpenTransactions
	}
	return active
}

// Drain rejects new requests. Requests in progress and open transactions continue.
func (g *Groups) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, current := range g.served {
		current.accepting = false
		current.changedAt = time.Now()
		current.server.SetAccepting(false)
	}
}

// Close closes all groups without draining them.
func (g *Groups) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for name, current := range g.served {
		current.server.Close()
		delete(g.served, name)
	}
}
