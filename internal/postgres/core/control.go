// Package core implements a node's control state machine: membership, configuration and
// placement.
//
// Control.Step takes an event with its time and returns effects as data, as group.Machine
// does for the requests of one group. The state machines are separate so that the groups'
// requests run in parallel. They share no state and only exchange events and snapshots.
package core

import (
	"math"
	"time"

	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/membership"
	"dewknot/internal/postgres/objectapi"
)

// Event is an input of Control.
type Event interface{ controlEvent() }

// The events.
type (
	// Datagram carries a membership message.
	Datagram struct{ Message membership.Message }
	// Tick only advances the time.
	Tick struct{}
	// StoreListing carries the store's objects above revision Since, up to Complete.
	StoreListing struct {
		Since    uint64
		Objects  []objectapi.Object
		Complete uint64
		// RequestedAt is when the request to the store was sent.
		RequestedAt time.Duration
	}
	// Accepted carries an object that the store accepted from this node.
	Accepted struct{ Object objectapi.Object }
	// SyncAnswer carries a peer's answer to StartSync. Failed is set if there was none.
	SyncAnswer struct {
		Peer   string
		Failed bool
		Answer SyncState
	}
	// MachineList carries the platform's list of machines.
	MachineList struct{ Machines []objectapi.Machine }
	// Drain marks this node as leaving because it is being stopped.
	Drain struct{}
)

func (Datagram) controlEvent()     {}
func (Tick) controlEvent()         {}
func (StoreListing) controlEvent() {}
func (Accepted) controlEvent()     {}
func (SyncAnswer) controlEvent()   {}
func (MachineList) controlEvent()  {}
func (Drain) controlEvent()        {}

// SyncState is a node's answer to a peer's synchronization request.
type SyncState struct {
	// Members is empty if the requester's list has the same digest.
	Members  []membership.Member `msgpack:"m"`
	Objects  []objectapi.Object  `msgpack:"o"`
	Complete uint64              `msgpack:"c"`
	// Ready is false while the answering node is still joining.
	Ready bool `msgpack:"r"`
}

// Effect is an output of Control.
type Effect interface{ controlEffect() }

// The effects.
type (
	// Send sends a datagram.
	Send struct {
		To      string
		Message membership.Message
	}
	// StartSync requests a peer's state above revision Since. Members is the digest of
	// this node's member list.
	StartSync struct {
		Peer    string
		Since   uint64
		Members uint64
	}
	// WatchStore starts or stops watching the platform's store.
	WatchStore struct{ On bool }
	// Publish installs a new snapshot.
	Publish struct{ View *View }
	// FreshUntil sets until when the node may begin new work unless a peer or the store
	// answers again.
	FreshUntil struct{ Until time.Duration }
)

func (Send) controlEffect()       {}
func (StartSync) controlEffect()  {}
func (WatchStore) controlEffect() {}
func (Publish) controlEffect()    {}
func (FreshUntil) controlEffect() {}

// MembersOnly is the revision in a synchronization request that asks for a peer's member
// list without configuration.
const MembersOnly = math.MaxUint64

// maxPushBytes is the maximum size of the objects in a datagram. Receivers fetch larger
// changes themselves.
const maxPushBytes = 900

// Joining the fleet and synchronization.
const (
	// minJoinPeers is the number of peers from which a joining node fetches configuration
	// before it becomes ready.
	minJoinPeers = 2
	// joinStoreTimeout is how long a joining node waits for the store, whose answer alone
	// is sufficient, before the answers of minJoinPeers make it ready.
	joinStoreTimeout = time.Second
	// singlePeerTimeout is how long a joining node waits before one peer's answer is
	// sufficient.
	singlePeerTimeout = 3 * time.Second
	// syncTimeout is the timeout of a synchronization.
	syncTimeout = 2 * time.Second
	// FreshnessTimeout is how long a node begins new work after it sent the last request
	// whose answer confirmed or completed its configuration. A node that was paused or
	// partitioned stops before it misses leaving marks or policies for long.
	FreshnessTimeout = 4 * time.Second
	// aloneFreshness replaces the timeout on a node that never knew another node.
	aloneFreshness = 365 * 24 * time.Hour
	// memberBatchDelay is the minimum time between snapshots that only change members.
	memberBatchDelay = 100 * time.Millisecond
)

// Control is the control state of one node. It isn't safe for concurrent use.
type Control struct {
	members     *membership.Machine
	config      *configuration.State
	decoded     *configuration.Decoded
	now         time.Duration
	started     time.Duration
	initialized bool
	ready       bool
	watching    bool
	// joined holds the ready peers from which a joining node has fetched configuration.
	joined map[string]bool
	// hasMemberList is set once a joining node has a peer's member list. It then fetches
	// the configuration from random members, since all joining nodes know the same few
	// nodes at first and would overload them.
	hasMemberList bool
	syncing       bool
	syncStarted   time.Duration
	nextJoinAt    time.Duration
	effects       []Effect
	// publishNeeded is set when a new snapshot must be published immediately.
	publishNeeded  bool
	membersChanged bool
	publishedAt    time.Duration
	// freshAsOf is the latest send time of a request to which a peer or the store answered
	// with all newer objects.
	freshAsOf  time.Duration
	freshUntil time.Duration
}

// NewControl returns the control state of a node without configuration.
func NewControl(members *membership.Machine) *Control {
	return &Control{
		members: members, config: configuration.NewState(), decoded: configuration.NewDecoded(),
		joined: map[string]bool{}, publishNeeded: true,
	}
}

// Configuration returns the configuration state, which callers must not change.
func (c *Control) Configuration() *configuration.State { return c.config }

// Members returns the membership state, which callers must not change.
func (c *Control) Members() *membership.Machine { return c.members }

// Ready reports whether the node may serve.
func (c *Control) Ready() bool { return c.ready }

// Step applies one event and returns its effects.
func (c *Control) Step(now time.Duration, event Event) []Effect {
	c.now = now
	c.effects = nil
	if !c.initialized {
		c.initialized = true
		c.started = now
	}
	switch typed := event.(type) {
	case Datagram:
		c.datagram(typed.Message)
	case Tick:
		c.sendAll(c.members.Tick(now))
	case StoreListing:
		c.storeListing(typed)
	case Accepted:
		c.merge([]objectapi.Object{typed.Object}, c.config.Complete(), 0)
	case SyncAnswer:
		c.syncAnswer(typed)
	case MachineList:
		c.members.ApplyMachineList(now, typed.Machines)
	case Drain:
		c.members.SetDraining(true)
		c.sendAll(c.members.ConfigurationPushes(nil, 0, 0))
	}
	c.joinFleet()
	c.syncIfDifferent()
	c.publishSnapshot()
	c.updateFreshness()
	return c.effects
}

// NextWake returns when the next Tick is needed.
func (c *Control) NextWake() time.Duration {
	wake := c.members.NextWake()
	if c.membersChanged {
		wake = min(wake, max(c.publishedAt+memberBatchDelay, c.now+time.Millisecond))
	}
	if !c.ready {
		wake = min(wake, max(c.nextJoinAt, c.now+time.Millisecond))
	}
	return wake
}

func (c *Control) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Control) sendAll(sends []membership.Effect) {
	for _, send := range sends {
		c.emit(Send{To: send.To, Message: send.Message})
	}
}

func (c *Control) datagram(message membership.Message) {
	if message.Kind == membership.Push && len(message.Objects) > 0 {
		complete := message.Complete
		if c.config.Complete() < message.Base {
			complete = 0 // objects below Base are missing on this node
		}
		c.merge(message.Objects, message.Base, complete)
	}
	c.sendAll(c.members.Receive(c.now, message))
}

func (c *Control) storeListing(listing StoreListing) {
	complete := listing.Complete
	gap := c.config.Complete() < listing.Since
	if gap {
		complete = 0
	}
	c.merge(listing.Objects, listing.Since, complete)
	c.freshAsOf = max(c.freshAsOf, listing.RequestedAt)
	if !gap {
		// The store has listed everything above the known revision, so nothing is missing.
		c.becomeReady()
	}
}

// merge adds objects to the configuration and pushes those that are new. Known objects
// aren't pushed again, so that the propagation ends.
func (c *Control) merge(objects []objectapi.Object, base, complete uint64) {
	previousComplete := c.config.Complete()
	changed := c.config.Merge(objects, complete)
	c.members.SetConfiguration(c.config.Digest())
	if len(changed) == 0 {
		return
	}
	c.decoded = c.decoded.Clone()
	c.decoded.Apply(changed)
	c.publishNeeded = true
	if !c.ready {
		return
	}
	c.pushChanges(previousComplete, changed)
}

// pushChanges sends changed objects to other members. If the complete revision has
// advanced, everything above the previous one is included, so that a receiver at the
// previous revision becomes complete as well.
func (c *Control) pushChanges(previousComplete uint64, changed []objectapi.Object) {
	objects, base, complete := changed, uint64(0), uint64(0)
	if c.config.Complete() > previousComplete {
		objects, complete = c.config.Since(previousComplete)
		base = previousComplete
	}
	if objectsSize(objects) > maxPushBytes {
		objects = nil
	}
	c.sendAll(c.members.ConfigurationPushes(objects, base, complete))
}

func objectsSize(objects []objectapi.Object) int {
	const overheadBytes = 24
	size := 0
	for _, object := range objects {
		size += len(object.Key) + len(object.Value) + overheadBytes
	}
	return size
}

func (c *Control) becomeReady() {
	if !c.ready && c.config.Len() > 0 {
		c.ready = true
		c.publishNeeded = true
	}
}

// joinFleet requests state from peers until a joining node has enough configuration to
// serve.
func (c *Control) joinFleet() {
	if c.ready {
		return
	}
	waited := c.now - c.started
	enough := len(c.joined) >= minJoinPeers && waited >= joinStoreTimeout || len(c.joined) >= 1 && waited >= singlePeerTimeout
	if enough {
		c.becomeReady()
	}
	if c.ready || c.syncing && c.now < c.syncStarted+syncTimeout || c.now < c.nextJoinAt {
		return
	}
	c.nextJoinAt = c.now + joinRetryDelay
	since := c.config.Complete()
	if !c.hasMemberList {
		since = MembersOnly
	}
	for _, peer := range c.members.RandomPeers(minJoinPeers+1, "") {
		if !c.joined[peer] {
			c.startSync(peer, since)
			return
		}
	}
}

// joinRetryDelay is the delay between a joining node's requests.
const joinRetryDelay = 100 * time.Millisecond

func (c *Control) syncIfDifferent() {
	peer := c.members.TakeSyncPeer()
	if peer == "" || c.syncing && c.now < c.syncStarted+syncTimeout {
		return
	}
	if !c.ready {
		return // joinFleet chooses the peers of a joining node
	}
	c.startSync(peer, c.config.Complete())
}

func (c *Control) startSync(peer string, since uint64) {
	if _, found := c.members.Get(peer); !found {
		return
	}
	c.syncing = true
	c.syncStarted = c.now
	c.emit(StartSync{Peer: peer, Since: since, Members: c.members.Digest()})
}

// AnswerSync returns the answer to a peer's synchronization request. It doesn't change
// the state.
func (c *Control) AnswerSync(since, membersDigest uint64) SyncState {
	answer := SyncState{Ready: c.ready}
	if since != MembersOnly {
		answer.Objects, answer.Complete = c.config.Since(since)
	}
	if membersDigest != c.members.Digest() {
		answer.Members = c.members.All()
	}
	return answer
}

func (c *Control) syncAnswer(event SyncAnswer) {
	c.syncing = false
	if event.Failed {
		return
	}
	c.members.MergeMembers(c.now, event.Answer.Members)
	if !c.hasMemberList && !c.ready {
		c.hasMemberList = true
		return
	}
	base := c.config.Complete()
	c.merge(event.Answer.Objects, base, event.Answer.Complete)
	c.freshAsOf = max(c.freshAsOf, c.syncStarted)
	if event.Answer.Ready {
		c.joined[event.Peer] = true
	}
}

func (c *Control) updateFreshness() {
	until := max(c.freshAsOf, c.members.FreshAsOf()) + FreshnessTimeout
	if c.members.Alone() {
		until = aloneFreshness
	}
	if until != c.freshUntil {
		c.freshUntil = until
		c.emit(FreshUntil{Until: until})
	}
}

// publishSnapshot publishes a new view after changes, and starts or stops watching the
// store if this node has become or ceased to be a reader.
func (c *Control) publishSnapshot() {
	c.membersChanged = c.members.Changed() || c.membersChanged
	// Changes of members alone are batched: the loss of a zone causes hundreds at once.
	membersDue := c.membersChanged && c.now >= c.publishedAt+memberBatchDelay
	if !membersDue && !c.publishNeeded {
		return
	}
	c.publishNeeded, c.membersChanged = false, false
	c.publishedAt = c.now
	view := newView(c.members, c.decoded, c.config.Digest(), c.ready)
	c.emit(Publish{View: view})
	if watch := view.IsReader(); watch != c.watching {
		c.watching = watch
		c.emit(WatchStore{On: watch})
	}
}
