package sim

import (
	"context"
	"fmt"
	"time"

	"dewknot/internal/lab/history"
	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/membership"
	"dewknot/internal/postgres/objectapi"
)

// node is a simulated node. It runs the same state machines as a real node.
type node struct {
	world    *World
	index    int
	location location
	run      int // number of starts of the process
	started  time.Duration
	alive    bool

	paused     bool
	backlog    []func()
	control    *core.Control
	view       *core.View
	freshUntil time.Duration
	watching   bool
	owned      map[string]*ownedGroup
	pending    map[uint64]*forwardedRequest // requests of this node's callers
	streams    uint64
	callers    map[*callerConn]bool
	// down holds the IDs of peers that are known to be unreachable.
	down     map[string]bool
	sessions uint64
	draining bool
	presence *history.Presence
	versions map[string]uint64
	wakeUps  uint64 // number of the latest scheduled wake-up; earlier ones are ignored
	// drift is the relative rate error of the node's clock, offset its error at the start.
	drift  float64
	offset time.Duration
}

// Maximum errors of the nodes' clocks.
const (
	maxDrift  = 0.02
	maxOffset = 10 * time.Second
)

// clock returns the time of the node's clock, which differs from the world's.
func (n *node) clock() time.Duration {
	return n.offset + time.Duration(float64(n.world.Now())*(1+n.drift))
}

func nodeID(index int) string { return fmt.Sprintf("node%03d", index) }

func newNode(world *World, index int) *node {
	return &node{
		world: world, index: index, location: location{zone: world.zone(index), id: nodeID(index)},
		versions: map[string]uint64{},
		drift:    maxDrift * (2*world.random.Float64() - 1),
		offset:   time.Duration(world.random.Int64N(int64(maxOffset))),
	}
}

// do runs work in the process. If the process is paused, the work runs when it resumes; if
// this run of the process has ended, the work is dropped.
func (n *node) do(run int, work func()) {
	switch {
	case !n.alive || n.run != run:
	case n.paused:
		n.backlog = append(n.backlog, func() { n.do(run, work) })
	default:
		work()
	}
}

// after schedules work in the current run of the process.
func (n *node) after(delay time.Duration, work func()) {
	run := n.run
	n.world.After(delay, func() { n.do(run, work) })
}

func (n *node) startProcess() {
	if n.alive {
		return
	}
	n.run++
	n.alive, n.paused, n.draining, n.watching = true, false, false, false
	n.backlog = nil
	n.owned = map[string]*ownedGroup{}
	n.pending = map[uint64]*forwardedRequest{}
	n.callers = map[*callerConn]bool{}
	n.down = map[string]bool{}
	n.view = nil
	n.freshUntil = 0
	n.versions = map[string]uint64{}
	self := membership.Member{
		ID: n.location.id, Zone: n.location.zone.Name, Incarnation: uint64(n.world.Now()/time.Millisecond) + 1,
		Addresses: membership.Addresses{Gossip: n.location.id, Peer: n.location.id},
	}
	seeds := []string{nodeID(0), nodeID(1), nodeID(2)}
	machine := membership.New(membership.DefaultSettings(), self, seeds,
		n.world.settings.Seed^uint64(n.index+1)<<20^uint64(n.run))
	n.control = core.NewControl(machine)
	n.control.Configuration().AcceptOlder = n.world.settings.Mutations.AcceptOlder
	n.step(core.Tick{})
	n.started = n.world.Now()
	n.after(joinRetryInterval, n.joinFromStore)
	n.maintain()
}

// step applies an event to the control state machine, performs the effects and schedules the next
// wake-up.
func (n *node) step(event core.Event) {
	for _, effect := range n.control.Step(n.clock(), event) {
		n.perform(effect)
	}
	n.wakeUps++
	current := n.wakeUps
	n.after(n.control.NextWake()-n.clock(), func() {
		if current == n.wakeUps {
			n.step(core.Tick{})
		}
	})
}

func (n *node) perform(effect core.Effect) {
	switch typed := effect.(type) {
	case core.Send:
		n.sendDatagram(typed)
	case core.StartSync:
		n.sync(typed)
	case core.WatchStore:
		n.setWatch(typed.On)
	case core.Publish:
		n.publish(typed.View)
	case core.FreshUntil:
		n.freshUntil = typed.Until
		for _, name := range sortedKeys(n.owned) {
			n.owned[name].markLeaving()
			n.owned[name].step(group.Fresh{Until: typed.Until})
		}
	}
}

func (n *node) sendDatagram(send core.Send) {
	target := n.world.nodeNamed(send.To)
	if target == nil {
		return
	}
	message := send.Message
	n.world.network.deliverDatagram(n.location, target.location, func() {
		target.do(target.run, func() { target.step(core.Datagram{Message: message}) })
	})
}

func (w *World) nodeNamed(id string) *node {
	for _, current := range w.nodes {
		if current.location.id == id {
			return current
		}
	}
	return nil
}

// sync requests the state of a peer over a connection. It fails after a timeout.
func (n *node) sync(effect core.StartSync) {
	const syncTimeout = 2 * time.Second
	done := false
	finish := func(answer core.SyncAnswer) {
		if !done {
			done = true
			n.step(answer)
		}
	}
	n.after(syncTimeout, func() { finish(core.SyncAnswer{Peer: effect.Peer, Failed: true}) })
	target := n.world.nodeNamed(effect.Peer)
	if target == nil {
		return
	}
	waiting := func() bool { return !done }
	run := n.run
	n.world.network.deliverBytes(n.location, target.location, waiting, func() {
		target.do(target.run, func() {
			state := target.control.AnswerSync(effect.Since, effect.Members)
			n.world.network.deliverBytes(target.location, n.location, waiting, func() {
				n.do(run, func() { finish(core.SyncAnswer{Peer: effect.Peer, Answer: state}) })
			})
		})
	})
}

// A starting node tries its peers alone for peersOnlyPeriod and then lists the store as
// well, every joinRetryInterval, until it is ready.
const (
	peersOnlyPeriod   = time.Second
	joinRetryInterval = 300 * time.Millisecond
)

func (n *node) joinFromStore() {
	if n.control.Ready() {
		return
	}
	since := n.control.Configuration().Complete()
	if since > 0 || n.world.Now() >= n.started+peersOnlyPeriod {
		n.listStore(since)
	}
	n.after(joinRetryInterval, n.joinFromStore)
}

// listStore reads the objects above a revision from the store.
func (n *node) listStore(since uint64) {
	requestedAt := n.clock()
	n.after(storeDelay, func() {
		if !n.canReachStore() {
			return
		}
		objects, complete, ok := n.world.store.since(since)
		if !ok {
			return
		}
		n.after(storeDelay, func() {
			n.step(core.StoreListing{
				Since: since, Objects: objects, Complete: complete, RequestedAt: requestedAt,
			})
		})
	})
}

func (n *node) canReachStore() bool { return !n.world.network.isolatedProcesses[n.location.id] }

// watchInterval is the interval at which a node that watches the store polls it.
const watchInterval = 250 * time.Millisecond

func (n *node) setWatch(on bool) {
	begin := on && !n.watching
	n.watching = on
	if begin {
		n.watch()
	}
}

func (n *node) watch() {
	if !n.watching {
		return
	}
	n.listStore(n.control.Configuration().Complete())
	n.after(watchInterval, n.watch)
}

func (n *node) publish(view *core.View) {
	n.view = view
	for _, service := range sortedKeys(view.Config.Policies) {
		policy := view.Config.Policies[service]
		if n.versions[service] == policy.Version {
			continue
		}
		n.versions[service] = policy.Version
		n.world.history.InForce = append(n.world.history.InForce, history.InForce{
			Node: n.location.id, Run: n.run, Service: service, Version: policy.Version, At: n.world.Now(),
		})
	}
	if view.Ready {
		n.beginPresence()
	}
}

// beginPresence begins a recorded period in which the node serves and is reachable.
func (n *node) beginPresence() {
	if n.presence == nil && n.alive && !n.paused && n.view != nil && n.view.Ready {
		n.presence = &history.Presence{Node: n.location.id, Run: n.run, From: n.world.Now()}
	}
}

func (n *node) endPresence() {
	if n.presence != nil {
		n.presence.To = n.world.Now()
		n.world.history.Presences = append(n.world.history.Presences, *n.presence)
		n.presence = nil
	}
}

// maintainInterval is the interval at which a node updates its groups.
const maintainInterval = 200 * time.Millisecond

func (n *node) maintain() {
	if n.view != nil && n.view.Ready {
		n.updateGroups()
		if n.view.Config.LeavingNodes[n.location.id] && !n.draining {
			n.drain()
		}
	}
	n.after(maintainInterval, n.maintain)
}

// kill ends the process abruptly: connections are reset and its memory is lost.
func (n *node) kill() {
	if !n.alive {
		return
	}
	n.endPresence()
	n.alive, n.paused = false, false
	for _, name := range sortedKeys(n.owned) {
		n.owned[name].crash()
	}
	n.loseCallers(false)
	for _, other := range n.world.nodes {
		other.handlePeerDeath(n.location.id)
	}
}

// heal starts the process if it is not running and resumes it if it is paused.
func (n *node) heal() {
	if !n.alive {
		n.startProcess()
	}
	n.unpause()
	n.beginPresence()
}

func (n *node) pause() {
	if n.alive {
		n.endPresence()
		n.paused = true
	}
}

func (n *node) unpause() {
	if !n.paused {
		return
	}
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, work := range backlog {
		work()
	}
	n.beginPresence()
}

// drain begins a planned stop: the node accepts no new callers, waits for work in progress
// and then ends its process.
func (n *node) drain() {
	if !n.alive || n.draining {
		return
	}
	n.draining = true
	if n.world.settings.Mutations.DropOnStop {
		n.terminate()
		return
	}
	n.step(core.Drain{})
	n.endPresence()
	n.continueDrain(n.world.Now() + drainTimeout)
}

// Times of a planned stop.
const (
	drainTimeout      = 10 * time.Second
	drainPollInterval = 50 * time.Millisecond
)

func (n *node) continueDrain(deadline time.Duration) {
	n.releaseIdleCallers()
	busy := len(n.callers) + len(n.pending)
	for _, name := range sortedKeys(n.owned) {
		current := n.owned[name]
		if len(n.callers) == 0 {
			current.step(group.Accept{})
		}
		busy += current.machine.InProgress() + current.machine.OpenTransactions()
	}
	if busy == 0 || n.world.Now() >= deadline {
		n.terminate()
		return
	}
	n.after(drainPollInterval, func() { n.continueDrain(deadline) })
}

// terminate ends the process at the end of a planned stop. Requests that are still in
// progress are cut off.
func (n *node) terminate() {
	n.loseCallers(true)
	n.kill()
}

// administer returns the service through which operators change configuration at this node.
func (n *node) administer() *administration.Service {
	run := n.run
	service := administration.New(n.world.store, false,
		func() time.Time { return time.Unix(0, int64(n.world.Now())) },
		func(object objectapi.Object) {
			n.do(run, func() { n.step(core.Accepted{Object: object}) })
		})
	service.SetPause(func(context.Context, time.Duration) bool { return true })
	return service
}
