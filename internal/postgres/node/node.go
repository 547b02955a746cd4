// Package node runs a dewknot node: it drives the reducers and connects them to
// sockets, the platform and the callers.
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

// Node is a running node.
type Node struct {
	settings settings.Node
	log      *zap.Logger
	started  time.Time

	mu      sync.Mutex // guards control and wake
	control *core.Control
	wake    *time.Timer

	view      atomic.Pointer[core.View]
	store     *objectapi.Client
	transport *gossip.Transport
	peers     *peer.Listener
	router    *forward.Router
	groups    *owner.Groups
	callers   *listener.Server
	admin     *administration.Service
	// GossipCounters and OwnerCounters feed the metrics page.
	GossipCounters gossip.Counters
	OwnerCounters  owner.Counters

	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
	watchEnd context.CancelFunc
	draining atomic.Bool
	// drainOnce makes every caller of Drain wait for the one drain.
	drainOnce sync.Once
	// freshUntil ends the time in which this node may begin new work, as a
	// duration since its start.
	freshUntil atomic.Int64
}

// storeTimeout bounds one request to the store, watches aside.
const storeTimeout = 15 * time.Second

// Start opens a node's addresses and joins the fleet.
func Start(config settings.Node, log *zap.Logger) (*Node, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	created := &Node{settings: config, log: log, started: time.Now(), ctx: ctx, cancel: cancel}
	created.store = objectapi.NewClient(config.Store, storeTimeout)
	if err := created.open(); err != nil {
		created.Close()
		return nil, err
	}
	created.run()
	return created, nil
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
	if n.peers, err = peer.Listen(n.settings.Peer, n.settings.ID, keys, n.groups, n, n.log); err != nil {
		return err
	}
	incarnation := uint64(n.started.UnixMilli())
	self := membership.Member{
		ID: n.settings.ID, Zone: n.settings.Zone, Incarnation: incarnation,
		Addresses: membership.Addresses{Gossip: n.transport.Address(), Peer: n.peers.Address(), Operator: n.settings.Operator},
	}
	machine := membership.New(membership.DefaultSettings(), self, n.settings.Seeds, incarnation)
	n.control = core.NewControl(machine)
	n.admin = administration.New(n.store, n.settings.ReviewRequired, time.Now, func(object objectapi.Object) {
		n.step(core.Accepted{Object: object})
	})
	n.wake = time.AfterFunc(time.Hour, func() { n.step(core.Tick{}) })
	n.step(core.Tick{}) // publishes the first view, which listeners need
	limits := listener.Settings{
		Epoch: incarnation<<16 | uint64(hash16(n.settings.ID)), MaxMessageBytes: n.settings.MaxMessageBytes,
		MaxConnections: n.settings.MaxConnections, StartupTimeout: startupTimeout,
		Authenticate: n.settings.Authentication != "trust",
	}
	limits.Fresh = n.Fresh
	n.callers, err = listener.Listen(n.settings.Listen, limits, n.router, n.log)
	return err
}

// startupTimeout bounds a caller's connecting and authenticating.
const startupTimeout = 10 * time.Second

// hash16 keeps the epochs of nodes that start in the same millisecond apart.
func hash16(text string) uint16 {
	const offset, prime = 2166136261, 16777619
	hash := uint32(offset)
	for _, char := range []byte(text) {
		hash = (hash ^ uint32(char)) * prime
	}
	return uint16(hash ^ hash>>16)
}

func (n *Node) run() {
	n.goDo(func() {
		n.transport.Receive(func(message membership.Message) { n.step(core.Datagram{Message: message}) })
	})
	n.goDo(n.joinFromStore)
	n.goDo(n.maintain)
	n.log.Info("node: started", zap.String("id", n.settings.ID), zap.String("zone", n.settings.Zone), zap.String("listen", n.callers.Address()))
}

func (n *Node) goDo(work func()) {
	if n.ctx.Err() != nil {
		return
	}
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		work()
	}()
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

// step applies an event to the control reducer and carries out its effects.
func (n *Node) step(event core.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, effect := range n.control.Step(now, event) {
		n.carryOut(effect)
	}
	if n.ctx.Err() == nil {
		n.wake.Reset(n.control.NextWake() - now)
	}
}

func (n *Node) carryOut(effect core.Effect) {
	switch typed := effect.(type) {
	case core.Send:
		n.transport.Send(typed.To, &typed.Message)
	case core.StartSync:
		n.goDo(func() { n.syncWith(typed) })
	case core.WatchStore:
		n.setWatch(typed.On)
	case core.Publish:
		n.publish(typed.View)
	case core.Freshened:
		n.freshUntil.Store(int64(typed.Until))
		n.groups.SetFresh(typed.Until - n.now())
	}
}

// publish puts a view in force: by one atomic store for the request path, and by
// taking over or letting go groups, which is done aside.
func (n *Node) publish(view *core.View) {
	before := n.view.Swap(view)
	n.router.Update(view)
	n.groups.SetView(view)
	n.dropLost(before, view)
	if view.Ready && (before == nil || !before.Ready) {
		n.log.Info("node: ready", zap.Uint64("revision", view.Digest.Complete), zap.Int("members", len(view.Members)))
	}
}

// Fresh reports whether the node's knowledge of policies and marks is recent.
func (n *Node) Fresh() bool { return int64(n.now()) < n.freshUntil.Load() }

// dropLost closes the links from nodes that were members and are no longer.
func (n *Node) dropLost(before, after *core.View) {
	if before == nil || n.peers == nil {
		return
	}
	for _, member := range before.Members {
		if _, remains := after.Member(member.ID); !remains {
			n.peers.Drop(member.ID)
		}
	}
}

// View returns the view in force.
func (n *Node) View() *core.View { return n.view.Load() }

// AnswerSync implements peer.SyncSource.
func (n *Node) AnswerSync(since, membersDigest uint64) core.SyncState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control.AnswerSync(since, membersDigest)
}

// syncLimit bounds one synchronization with a peer.
const syncLimit = 2 * time.Second

func (n *Node) syncWith(effect core.StartSync) {
	answer := core.SyncAnswer{Peer: effect.Peer, Failed: true}
	if client := n.router.Client(effect.Peer); client != nil {
		ctx, cancel := context.WithTimeout(n.ctx, syncLimit)
		state, err := client.Sync(ctx, effect.Since, effect.Members)
		cancel()
		answer.Answer, answer.Failed = state, err != nil
	}
	n.step(answer)
}

// maintenanceInterval is the time between looks at groups to take over or let go.
const maintenanceInterval = 200 * time.Millisecond

// maintain follows views at a bounded rate, since a lost zone brings many at once.
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
		n.log.Info("node: marked for a planned stop, draining")
		n.goDo(func() { n.Drain() })
	}
}

// Drain stops taking new work, lets work in progress end within the drain limit
// and returns when nothing is left. Whoever calls it while it is under way, as a
// signal after a mark does, waits for the same end.
func (n *Node) Drain() { n.drainOnce.Do(n.drain) }

func (n *Node) drain() {
	n.draining.Store(true)
	limit := n.settings.DrainLimit.Duration
	deadline := time.Now().Add(limit)
	n.step(core.Drain{})
	n.callers.Drain(limit)
	n.groups.Drain()
	for n.groups.Busy() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	n.log.Info("node: drained", zap.Int("left", n.groups.Busy()))
}

// drainPoll is the time between looks at what still drains.
const drainPoll = 20 * time.Millisecond

// Draining reports whether the node is being stopped as planned.
func (n *Node) Draining() bool { return n.draining.Load() }

// Close ends the node at once.
func (n *Node) Close() {
	n.cancel()
	if n.wake != nil {
		n.wake.Stop()
	}
	if n.callers != nil {
		n.callers.Close()
	}
	if n.peers != nil {
		n.peers.Close()
	}
	if n.transport != nil {
		n.transport.Close()
	}
	n.router.Close()
	n.groups.Close()
	n.done.Wait()
}

// CallerAddress returns the address for callers.
func (n *Node) CallerAddress() string { return n.callers.Address() }

// GossipAddress returns the address of the membership protocol.
func (n *Node) GossipAddress() string { return n.transport.Address() }

// Administration returns the service that changes configuration.
func (n *Node) Administration() *administration.Service { return n.admin }

// Object returns a configuration object as this node knows it.
func (n *Node) Object(key string) (objectapi.Object, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.control.Configuration().Get(key)
}

// NodeStatus is what operators see of a node.
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
		Revision: view.Digest.Complete, Callers: n.callers.Connected(), Members: view.Members,
		Policies: map[string]uint64{}, Groups: n.groups.Status(), Faults: view.Config.Faults, BusyRequests: n.groups.Busy(),
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

// Callers returns the edge's counters.
func (n *Node) Callers() *listener.Server { return n.callers }

// Router returns the router, for its counters.
func (n *Node) Router() *forward.Router { return n.router }

// PolicySource returns a policy in force and its version; the version is 0 if
// the service has none.
func (n *Node) PolicySource(service string) (configuration.Policy, uint64, error) {
	return typedObject[configuration.Policy](n, configuration.PolicyPrefix+service)
}

// Proposal returns the policy that waits for review.
func (n *Node) Proposal(service string) (configuration.Proposal, uint64, error) {
	return typedObject[configuration.Proposal](n, configuration.ProposalPrefix+service)
}

func typedObject[T any](n *Node, key string) (T, uint64, error) {
	var value T
	object, ok := n.Object(key)
	if !ok {
		return value, 0, nil
	}
	return value, object.Version, errors.Wrapf(unmarshal(object.Value, &value), "object %s", key)
}
