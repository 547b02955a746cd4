// Package node runs a dewknot node. It passes events of the network, the platform and
// the callers to the node's state machines and executes the effects that they return.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/settings"
	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/forward"
	"dewknot/internal/postgres/gossip"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/listener"
	"dewknot/internal/postgres/membership"
	"dewknot/internal/postgres/objectapi"
	"dewknot/internal/postgres/owner"
	"dewknot/internal/postgres/peer"
)

// Node is a running node. Its methods are safe for concurrent use.
type Node struct {
	settings settings.Node
	log      *zap.Logger
	started  time.Time

	mu        sync.Mutex // guards control and tickTimer
	control   *core.Control
	tickTimer *time.Timer

	view         atomic.Pointer[core.View]
	store        *objectapi.Client
	transport    *gossip.Transport
	peerListener *peer.Listener
	router       *forward.Router
	groups       *owner.Groups
	callerServer *listener.Server
	admin        *administration.Service
	// GossipCounters and OwnerCounters are exported as metrics.
	GossipCounters gossip.Counters
	OwnerCounters  owner.Counters

	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	cancelWatch context.CancelFunc
	draining    atomic.Bool
	// drainOnce makes all calls of Drain wait for the same drain.
	drainOnce sync.Once
	// freshUntil is the time until which this node may begin new work, as a
	// duration since its start.
	freshUntil atomic.Int64
}

// storeTimeout is the timeout of a request to the store.
const storeTimeout = 15 * time.Second

// Start starts a node: it listens on the configured addresses and joins the fleet.
func Start(cfg settings.Node, log *zap.Logger) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{settings: cfg, log: log, started: time.Now(), ctx: ctx, cancel: cancel}
	n.store = objectapi.NewClient(cfg.Store, storeTimeout)
	if err := n.open(); err != nil {
		n.Close()
		return nil, err
	}
	n.run()
	return n, nil
}

func (n *Node) open() error {
	keys := peer.Keys(n.settings.FleetKeys)
	groupSettings := group.DefaultSettings()
	groupSettings.NeedsFresh = true
	groupSettings.QueueLimit = n.settings.QueueLimit
	groupSettings.PollInterval = n.settings.PollInterval.Duration
	n.groups = owner.NewGroups(groupSettings, n.log, &n.OwnerCounters)
	n.router = forward.NewRouter(keys, n.groups)
	var err error
	if n.transport, err = gossip.Listen(n.settings.Gossip, keys, &n.GossipCounters); err != nil {
		return err
	}
	if n.peerListener, err = peer.Listen(n.settings.Peer, n.settings.ID, keys, n.groups, n, n.log); err != nil {
		return err
	}
	incarnation := uint64(n.started.UnixMilli())
	self := membership.Member{
		ID: n.settings.ID, Zone: n.settings.Zone, Incarnation: incarnation,
		Addresses: membership.Addresses{
			Gossip: n.transport.Address(), Peer: n.peerListener.Address(), Operator: n.settings.Operator,
		},
	}
	machine := membership.New(membership.DefaultSettings(), self, n.settings.Seeds, incarnation)
	n.control = core.NewControl(machine)
	n.admin = administration.New(n.store, n.settings.ReviewRequired, time.Now, func(object objectapi.Object) {
		n.step(core.Accepted{Object: object})
	})
	n.tickTimer = time.AfterFunc(time.Hour, func() { n.step(core.Tick{}) })
	n.step(core.Tick{}) // publishes the first view, which the listener for callers needs
	listenerSettings := listener.Settings{
		Epoch: incarnation<<16 | uint64(hash16(n.settings.ID)), MaxMessageBytes: n.settings.MaxMessageBytes,
		MaxConnections: n.settings.MaxConnections, StartupTimeout: startupTimeout,
		Authenticate: n.settings.Authentication != "trust",
	}
	listenerSettings.Fresh = n.Fresh
	n.callerServer, err = listener.Listen(n.settings.Listen, listenerSettings, n.router, n.log)
	return err
}

// startupTimeout is the timeout for a caller to connect and authenticate.
const startupTimeout = 10 * time.Second

// hash16 returns an FNV-1a hash folded to 16 bits. It distinguishes the epochs of
// nodes that start in the same millisecond.
func hash16(text string) uint16 {
	const offset, prime = 2166136261, 16777619
	hash := uint32(offset)
	for _, char := range []byte(text) {
		hash = (hash ^ uint32(char)) * prime
	}
	return uint16(hash ^ hash>>16)
}

func (n *Node) run() {
	n.spawn(func() {
		n.transport.Receive(func(message membership.Message) { n.step(core.Datagram{Message: message}) })
	})
	n.spawn(n.joinFromStore)
	n.spawn(n.maintain)
	n.log.Info("node: started", zap.String("id", n.settings.ID), zap.String("zone", n.settings.Zone),
		zap.String("listen", n.callerServer.Address()))
}

// spawn runs work in a goroutine for which Close waits. It does nothing once the node
// is closed.
func (n *Node) spawn(work func()) {
	if n.ctx.Err() != nil {
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		work()
	}()
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

// step applies an event to the control state machine and executes the returned effects.
func (n *Node) step(event core.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, effect := range n.control.Step(now, event) {
		n.execute(effect)
	}
	if n.ctx.Err() == nil {
		n.tickTimer.Reset(n.control.NextWake() - now)
	}
}

func (n *Node) execute(effect core.Effect) {
	switch typed := effect.(type) {
	case core.Send:
		n.transport.Send(typed.To, &typed.Message)
	case core.StartSync:
		n.spawn(func() { n.syncWith(typed) })
	case core.WatchStore:
		n.setWatch(typed.On)
	case core.Publish:
		n.publish(typed.View)
	case core.FreshUntil:
		n.freshUntil.Store(int64(typed.Until))
		n.groups.SetFresh(typed.Until - n.now())
	}
}

// publish activates a view. The request path sees it at once through an atomic
// pointer; maintain later starts and stops the ownership of groups.
func (n *Node) publish(view *core.View) {
	before := n.view.Swap(view)
	n.router.Update(view)
	n.groups.SetView(view)
	n.dropRemovedMembers(before, view)
	if view.Ready && (before == nil || !before.Ready) {
		n.log.Info("node: ready", zap.Uint64("revision", view.Digest.Complete), zap.Int("members", len(view.Members)))
	}
}

// Fresh reports whether the node's policies and marks are recent enough to begin new
// work.
func (n *Node) Fresh() bool { return int64(n.now()) < n.freshUntil.Load() }

// dropRemovedMembers closes the links from nodes that are no longer members.
func (n *Node) dropRemovedMembers(before, after *core.View) {
	if before == nil || n.peerListener == nil {
		return
	}
	for _, member := range before.Members {
		if _, remains := after.Member(member.ID); !remains {
			n.peerListener.Drop(member.ID)
		}
	}
}

// View returns the current view.
func (n *Node) View() *core.View { return n.view.Load() }

// AnswerSync implements peer.SyncSource.
func (n *Node) AnswerSync(since, membersDigest uint64) core.SyncState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control.AnswerSync(since, membersDigest)
}

// syncTimeout is the timeout of a synchronization with a peer.
const syncTimeout = 2 * time.Second

func (n *Node) syncWith(effect core.StartSync) {
	answer := core.SyncAnswer{Peer: effect.Peer, Failed: true}
	if client := n.router.Client(effect.Peer); client != nil {
		ctx, cancel := context.WithTimeout(n.ctx, syncTimeout)
		state, err := client.Sync(ctx, effect.Since, effect.Members)
		cancel()
		answer.Answer, answer.Failed = state, err != nil
	}
	n.step(answer)
}

// maintenanceInterval is the interval at which a new view is applied to the groups.
const maintenanceInterval = 200 * time.Millisecond

// maintain applies new views to the groups at a limited rate, because the loss of a
// zone causes many views within a short time.
func (n *Node) maintain() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.groups.Update()
			n.drainIfMarked()
		}
	}
}

func (n *Node) drainIfMarked() {
	view := n.view.Load()
	if view.Config.LeavingNodes[n.settings.ID] && !n.draining.Load() {
		n.log.Info("node: marked as leaving; draining")
		n.spawn(func() { n.Drain() })
	}
}

// Drain rejects new work and waits until the work in progress has finished or the
// drain limit has passed. Concurrent calls, such as after a signal that follows a
// leaving mark, wait for the same drain.
func (n *Node) Drain() { n.drainOnce.Do(n.drain) }

func (n *Node) drain() {
	n.draining.Store(true)
	timeout := n.settings.DrainLimit.Duration
	deadline := time.Now().Add(timeout)
	n.step(core.Drain{})
	n.callerServer.Drain(timeout)
	n.groups.Drain()
	for n.groups.ActiveCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	n.log.Info("node: drained", zap.Int("left", n.groups.ActiveCount()))
}

// drainPollInterval is the interval between checks for work in progress.
const drainPollInterval = 20 * time.Millisecond

// Draining reports whether the node is draining before a planned shutdown.
func (n *Node) Draining() bool { return n.draining.Load() }

// Close stops the node without draining and waits for its goroutines.
func (n *Node) Close() {
	n.cancel()
	if n.tickTimer != nil {
		n.tickTimer.Stop()
	}
	if n.callerServer != nil {
		n.callerServer.Close()
	}
	if n.peerListener != nil {
		n.peerListener.Close()
	}
	if n.transport != nil {
		n.transport.Close()
	}
	n.router.Close()
	n.groups.Close()
	n.wg.Wait()
}

// CallerAddress returns the address on which the node listens for callers.
func (n *Node) CallerAddress() string { return n.callerServer.Address() }

// GossipAddress returns the address of the node's gossip socket.
func (n *Node) GossipAddress() string { return n.transport.Address() }

// Administration returns the service that changes configuration.
func (n *Node) Administration() *administration.Service { return n.admin }

// Object returns a configuration object as this node knows it.
func (n *Node) Object(key string) (objectapi.Object, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control.Configuration().Get(key)
}

// NodeStatus is the state of a node for operators.
type NodeStatus struct {
	ID            string                  `json:"id"`
	Zone          string                  `json:"zone"`
	Ready         bool                    `json:"ready"`
	Draining      bool                    `json:"draining"`
	Reader        bool                    `json:"store_reader"`
	Revision      uint64                  `json:"revision"`
	Callers       int                     `json:"callers"`
	Members       []membership.Member     `json:"members"`
	Policies      map[string]uint64       `json:"policies"`
	Groups        map[string]owner.Status `json:"groups"`
	Faults        map[string]string       `json:"configuration_faults,omitempty"`
	BusyRequests  int                     `json:"busy"`
	LeavingNodes  []string                `json:"leaving_nodes,omitempty"`
	LeavingServer []string                `json:"leaving_servers,omitempty"`
}

// Status returns the node's state.
func (n *Node) Status() NodeStatus {
	view := n.view.Load()
	status := NodeStatus{
		ID: n.settings.ID, Zone: n.settings.Zone, Ready: view.Ready, Draining: n.draining.Load(), Reader: view.IsReader(),
		Revision: view.Digest.Complete, Callers: n.callerServer.Connected(), Members: view.Members,
		Policies: map[string]uint64{}, Groups: n.groups.Status(), Faults: view.Config.Faults, BusyRequests: n.groups.ActiveCount(),
	}
	for service, policy := range view.Config.Policies {
		status.Policies[service] = policy.Version
	}
	for id := range view.Config.LeavingNodes {
		status.LeavingNodes = append(status.LeavingNodes, id)
	}
	for server := range view.Config.LeavingServers {
		status.LeavingServer = append(status.LeavingServer, server)
	}
	return status
}

// Callers returns the listener for callers, for its counters.
func (n *Node) Callers() *listener.Server { return n.callerServer }

// Router returns the router, for its counters.
func (n *Node) Router() *forward.Router { return n.router }

// ActivePolicy returns the active policy of a service and its version. The version is
// 0 if the service has no policy.
func (n *Node) ActivePolicy(service string) (configuration.Policy, uint64, error) {
	return decodeObject[configuration.Policy](n, configuration.PolicyPrefix+service)
}

// Proposal returns the service's policy that waits for review and its version. The
// version is 0 if there is none.
func (n *Node) Proposal(service string) (configuration.Proposal, uint64, error) {
	return decodeObject[configuration.Proposal](n, configuration.ProposalPrefix+service)
}

func decodeObject[T any](n *Node, key string) (T, uint64, error) {
	var value T
	object, ok := n.Object(key)
	if !ok {
		return value, 0, nil
	}
	return value, object.Version, errors.Wrapf(unmarshal(object.Value, &value), "object %s", key)
}
