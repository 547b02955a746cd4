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

// Counters count what owners answered; they are read by the metrics page.
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

// Failures returns the count of each kind of failure that occurred.
func (c *Counters) Failures() map[failure.Kind]uint64 {
	counts := map[failure.Kind]uint64{}
	for kind := range c.failures {
		if count := c.failures[kind].Load(); count > 0 {
			counts[failure.Kind(kind)] = count
		}
	}
	return counts
}

// drainPatience is how long a group that moved away keeps its open transactions.
const drainPatience = 30 * time.Second

// standbyIdle is how long a stand-by keeps a group that nobody asks for.
const standbyIdle = 60 * time.Second

type holding struct {
	server *Server
	// config is compared to notice changes.
	config   *configuration.Group
	owned    bool
	lastUsed atomic.Int64 // seconds since the epoch
	since    time.Time    // when it stopped being owned
}

// Groups serves all groups of this node; it implements request.Server.
type Groups struct {
	log      *zap.Logger
	settings group.Settings
	counters *Counters
	view     atomic.Pointer[core.View]
	mu       sync.RWMutex
	held     map[string]*holding
	closed   bool
	// freshUntil is when knowledge of marks stops being recent.
	freshUntil atomic.Pointer[time.Time]
}

// NewGroups returns a node's owner part without any group.
func NewGroups(settings group.Settings, log *zap.Logger, counters *Counters) *Groups {
	return &Groups{log: log, settings: settings, counters: counters, held: map[string]*holding{}}
}

// SetFresh tells for how long this node may begin new work. The marks of the view
// in force are applied first: knowledge is fresh only once it is acted on.
func (g *Groups) SetFresh(remaining time.Duration) {
	until := time.Now().Add(remaining)
	g.freshUntil.Store(&until)
	g.mu.RLock()
	defer g.mu.RUnlock()
	view := g.view.Load()
	for _, current := range g.held {
		if view != nil {
			g.markLeaving(view, current)
		}
		current.server.SetFresh(until)
	}
}

// SetView puts a new view in force for requests that arrive from now on.
func (g *Groups) SetView(view *core.View) { g.view.Store(view) }

// Update follows the view: groups are taken over, let go or marked. It is called
// regularly, so that what has drained is let go as well.
func (g *Groups) Update() {
	view := g.view.Load()
	if view == nil || !view.Ready {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name := range view.Config.Groups {
		owners := view.Owners(name)
		if len(owners) > 0 && owners[0] == view.Self.ID && g.held[name] == nil && !g.closed {
			g.hold(view, name)
		}
	}
	for name, current := range g.held {
		g.updateOne(view, name, current)
	}
}

func (g *Groups) hold(view *core.View, name string) *holding {
	config := view.Config.Groups[name]
	settings := g.limits(config, isFirst(view, name))
	created := &holding{config: config, owned: true, server: NewServer(config, settings, g.log, g.counters)}
	created.touch()
	if until := g.freshUntil.Load(); until != nil {
		created.server.SetFresh(*until)
	}
	g.held[name] = created
	g.markLeaving(view, created)
	g.log.Info("owner: serving group", zap.String("group", name), zap.Int("slots", settings.Slots), zap.Int("connections", settings.Connections))
	return created
}

func (h *holding) touch() { h.lastUsed.Store(time.Now().Unix()) }

// limits divides a server's limits between owner and stand-by. Two nodes may
// both believe to be the owner for a while; the server's own limit then holds.
func (g *Groups) limits(config *configuration.Group, first bool) group.Settings {
	const (
		statusConnections = 2 // one each for owner and stand-by
		standbyDivisor    = 5
	)
	settings := g.settings
	settings.Servers = len(config.Servers)
	usable := config.Connections - statusConnections
	standby := max(usable/standbyDivisor, 1)
	if first {
		settings.Slots, settings.Connections = config.Slots, usable-standby
	} else {
		settings.Slots, settings.Connections = max(config.Slots/standbyDivisor, 1), standby
	}
	return settings
}

func isFirst(view *core.View, name string) bool {
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

func (g *Groups) updateOne(view *core.View, name string, current *holding) {
	config := view.Config.Groups[name]
	serve := config != nil && mayServe(view, name)
	changed := config != nil && config != current.config && !reflect.DeepEqual(config, current.config)
	if changed {
		serve = false // let it drain; the next request makes a new one
	}
	if serve != current.owned {
		current.owned = serve
		current.since = time.Now()
		current.server.SetAccepting(serve)
	}
	g.markLeaving(view, current)
	if serve && !changed {
		settings := g.limits(config, isFirst(view, name))
		current.server.SetLimits(settings.Slots, settings.Connections)
	}
	if g.finished(view, name, current) {
		delete(g.held, name)
		go current.server.Close()
		if changed && !g.closed && mayServe(view, name) {
			g.hold(view, name)
		}
	}
}

// finished reports whether a group may be let go.
func (g *Groups) finished(view *core.View, name string, current *holding) bool {
	status := current.server.Status()
	idle := status.InProgress == 0 && status.OpenTransactions == 0
	if current.owned {
		unused := time.Now().Unix()-current.lastUsed.Load() > int64(standbyIdle/time.Second)
		return idle && unused && !isFirst(view, name)
	}
	return idle || time.Since(current.since) > drainPatience
}

func (g *Groups) markLeaving(view *core.View, current *holding) {
	for index, server := range current.config.Servers {
		current.server.SetLeaving(index, view.Config.LeavingServers[current.config.Name+"/"+server.Address])
	}
}

// find returns the holding for a group, taking the group on if this node is its
// owner or stand-by.
func (g *Groups) find(name string) *holding {
	g.mu.RLock()
	found := g.held[name]
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
	if g.held[name] == nil && !g.closed {
		return g.hold(view, name)
	}
	return g.held[name]
}

// notOwnerRetry is what a listener is told whose view differs.
const notOwnerRetry = 100 * time.Millisecond

// Submit implements request.Server.
func (g *Groups) Submit(ctx context.Context, submitted *request.Request, chunk func([]byte) error) (request.Result, error) {
	found := g.find(submitted.Group)
	if found == nil {
		return request.Failed(failure.NotOwner, "", notOwnerRetry), nil
	}
	found.touch()
	return found.server.Submit(ctx, submitted, chunk)
}

// EndSession implements request.Server.
func (g *Groups) EndSession(name string, session group.SessionID) {
	g.mu.RLock()
	found := g.held[name]
	g.mu.RUnlock()
	if found != nil {
		found.server.EndSession(name, session)
	}
}

// Cancel implements request.Server.
func (g *Groups) Cancel(name string, id group.RequestID) {
	g.mu.RLock()
	found := g.held[name]
	g.mu.RUnlock()
	if found != nil {
		found.server.Cancel(name, id)
	}
}

// Status returns the state of the groups held here.
func (g *Groups) Status() map[string]Status {
	g.mu.RLock()
	defer g.mu.RUnlock()
	statuses := map[string]Status{}
	for name, current := range g.held {
		statuses[name] = current.server.Status()
	}
	return statuses
}

// Busy returns how many requests and open transactions remain here.
func (g *Groups) Busy() int {
	busy := 0
	for _, status := range g.Status() {
		busy += status.InProgress + status.OpenTransactions
	}
	return busy
}

// Drain stops taking new requests; those in progress and open transactions go on.
func (g *Groups) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, current := range g.held {
		current.owned = false
		current.since = time.Now()
		current.server.SetAccepting(false)
	}
}

// Close ends everything at once.
func (g *Groups) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for name, current := range g.held {
		current.server.Close()
		delete(g.held, name)
	}
}
