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

// node is one simulated node. Its reducers are the real ones.
type node struct {
	world   *World
	index   int
	place   place
	run     int // counts restarts
	started time.Duration
	alive   bool

	paused   bool
	backlog  []func()
	control  *core.Control
	view     *core.View
	fresh    time.Duration
	watching bool
	owned    map[string]*ownedGroup
	pending  map[uint64]*forwarded // requests of this node's callers
	streams  uint64
	callers  map[*callerConn]bool
	// down holds the peers that are known to be unreachable.
	down     map[string]bool
	sessions uint64
	draining bool
	presence *history.Presence
	versions map[string]uint64
	controls uint64 // invalidates older control wake-ups
	// drift is how much faster the node's clock runs than the world's; offset is
	// how far ahead it began.
	drift  float64
	offset time.Duration
}

// Limits of the clocks' errors.
const (
	greatestDrift  = 0.02
	greatestOffset = 10 * time.Second
)

// clock is the node's own time.
func (n *node) clock() time.Duration {
	return n.offset + time.Duration(float64(n.world.Now())*(1+n.drift))
}

func nodeID(index int) string { return fmt.Sprintf("node%03d", index) }

func newNode(world *World, index int) *node {
	return &node{
		world: world, index: index, place: place{zone: world.zone(index), id: nodeID(index)}, versions: map[string]uint64{},
		drift: greatestDrift * (2*world.random.Float64() - 1), offset: time.Duration(world.random.Int64N(int64(greatestOffset))),
	}
}

// do runs work in the process: later if it is paused, never if this run has ended.
func (n *node) do(run int, work func()) {
	switch {
	case !n.alive || n.run != run:
	case n.paused:
		n.backlog = append(n.backlog, func() { n.do(run, work) })
	default:
		work()
	}
}

// after schedules work in the process.
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
	n.pending = map[uint64]*forwarded{}
	n.callers = map[*callerConn]bool{}
	n.down = map[string]bool{}
	n.view = nil
	n.fresh = 0
	n.versions = map[string]uint64{}
	self := membership.Member{
		ID: n.place.id, Zone: n.place.zone.Name, Incarnation: uint64(n.world.Now()/time.Millisecond) + 1,
		Addresses: membership.Addresses{Gossip: n.place.id, Peer: n.place.id},
	}
	seeds := []string{nodeID(0), nodeID(1), nodeID(2)}
	machine := membership.New(membership.DefaultSettings(), self, seeds, n.world.settings.Seed^uint64(n.index+1)<<20^uint64(n.run))
	n.control = core.NewControl(machine)
	n.control.Configuration().AcceptOlder = n.world.settings.Mutations.AcceptOlder
	n.step(core.Tick{})
	n.started = n.world.Now()
	n.after(joinRetry, n.joinFromStore)
	n.maintain()
}

// step applies a control event and carries out its effects.
func (n *node) step(event core.Event) {
	for _, effect := range n.control.Step(n.clock(), event) {
		n.carryOut(effect)
	}
	n.controls++
	current := n.controls
	n.after(n.control.NextWake()-n.clock(), func() {
		if current == n.controls {
			n.step(core.Tick{})
		}
	})
}

func (n *node) carryOut(effect core.Effect) {
	switch typed := effect.(type) {
	case core.Send:
		n.sendDatagram(typed)
	case core.StartSync:
		n.sync(typed)
	case core.WatchStore:
		n.setWatch(typed.On)
	case core.Publish:
		n.publish(typed.View)
	case core.Freshened:
		n.fresh = typed.Until
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
	n.world.network.datagram(n.place, target.place, func() {
		target.do(target.run, func() { target.step(core.Datagram{Message: message}) })
	})
}

func (w *World) nodeNamed(id string) *node {
	for _, current := range w.nodes {
		if current.place.id == id {
			return current
		}
	}
	return nil
}

// sync asks a peer over a connection: it answers, or the wait ends in failure.
func (n *node) sync(effect core.StartSync) {
	const patience = 2 * time.Second
	done := false
	finish := func(answer core.SyncAnswer) {
		if !done {
			done = true
			n.step(answer)
		}
	}
	n.after(patience, func() { finish(core.SyncAnswer{Peer: effect.Peer, Failed: true}) })
	target := n.world.nodeNamed(effect.Peer)
	if target == nil {
		return
	}
	waiting := func() bool { return !done }
	run := n.run
	n.world.network.bytes(n.place, target.place, waiting, func() {
		target.do(target.run, func() {
			state := target.control.AnswerSync(effect.Since, effect.Members)
			n.world.network.bytes(target.place, n.place, waiting, func() {
				n.do(run, func() { finish(core.SyncAnswer{Peer: effect.Peer, Answer: state}) })
			})
		})
	})
}

// peersFirst is how long a newcomer tries its peers before the store; joinRetry is
// the pause between its questions to the store.
const (
	peersFirst = time.Second
	joinRetry  = 300 * time.Millisecond
)

func (n *node) joinFromStore() {
	if n.control.Ready() {
		return
	}
	since := n.control.Configuration().Complete()
	if since > 0 || n.world.Now() >= n.started+peersFirst {
		n.askStore(since)
	}
	n.after(joinRetry, n.joinFromStore)
}

// askStore reads everything above a revision from the store.
func (n *node) askStore(since uint64) {
	askedAt := n.clock()
	n.after(storeDelay, func() {
		if !n.canReachStore() {
			return
		}
		objects, complete, ok := n.world.store.since(since)
		if !ok {
			return
		}
		n.after(storeDelay, func() {
			n.step(core.StoreListing{Since: since, Objects: objects, Complete: complete, AskedAt: askedAt})
		})
	})
}

func (n *node) canReachStore() bool { return !n.world.network.cutProcesses[n.place.id] }

// watchInterval is how often a store reader looks for changes.
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
	n.askStore(n.control.Configuration().Complete())
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
			Node: n.place.id, Run: n.run, Service: service, Version: policy.Version, At: n.world.Now(),
		})
	}
	if view.Ready {
		n.beginPresence()
	}
}

// beginPresence notes that the node serves and can be reached.
func (n *node) beginPresence() {
	if n.presence == nil && n.alive && !n.paused && n.view != nil && n.view.Ready {
		n.presence = &history.Presence{Node: n.place.id, Run: n.run, From: n.world.Now()}
	}
}

func (n *node) endPresence() {
	if n.presence != nil {
		n.presence.To = n.world.Now()
		n.world.history.Presences = append(n.world.history.Presences, *n.presence)
		n.presence = nil
	}
}

// maintainInterval is how often a node looks at its groups.
const maintainInterval = 200 * time.Millisecond

func (n *node) maintain() {
	if n.view != nil && n.view.Ready {
		n.updateGroups()
		if n.view.Config.LeavingNodes[n.place.id] && !n.draining {
			n.drain()
		}
	}
	n.after(maintainInterval, n.maintain)
}

// kill ends the process at once: connections are reset, memory is lost.
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
		other.peerReset(n.place.id)
	}
}

// heal starts the process if it is dead and lets it run on if it is paused.
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

// drain stops the node as planned: no new callers, work in progress ends, then
// the process ends.
func (n *node) drain() {
	if !n.alive || n.draining {
		return
	}
	n.draining = true
	if n.world.settings.Mutations.DropOnStop {
		n.stopNow()
		return
	}
	n.step(core.Drain{})
	n.endPresence()
	n.drainMore(n.world.Now() + drainLimit)
}

// Times of a planned stop.
const (
	drainLimit = 10 * time.Second
	drainPoll  = 50 * time.Millisecond
)

func (n *node) drainMore(deadline time.Duration) {
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
		n.stopNow()
		return
	}
	n.after(drainPoll, func() { n.drainMore(deadline) })
}

// stopNow ends the process of a planned stop; what is still in progress is cut.
func (n *node) stopNow() {
	n.loseCallers(true)
	n.kill()
}

// administer returns the service by which operators change configuration here.
func (n *node) administer() *administration.Service {
	run := n.run
	service := administration.New(n.world.store, false, func() time.Time { return time.Unix(0, int64(n.world.Now())) }, func(object objectapi.Object) {
		n.do(run, func() { n.step(core.Accepted{Object: object}) })
	})
	service.SetPause(func(context.Context, time.Duration) bool { return true })
	return service
}
