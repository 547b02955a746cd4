// Package core is the control part of a node's reducer: membership,
// configuration and placement.
//
// Control.Step takes one event with its time and returns effects as data, like
// group.Machine does for the requests of one group. The reducer is split into
// these shards so that the groups' requests run in parallel; no shard reads
// another's state, only events and snapshots pass between them.
package core

import (
	"math"
	"time"

	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/membership"
	"dewknot/internal/postgres/objectapi"
)

// Event is an input of the control reducer.
type Event interface{ controlEvent() }

// The events.
type (
	// Datagram brings a membership message.
	Datagram struct{ Message membership.Message }
	// Tick lets time pass.
	Tick struct{}
	// StoreListing brings objects that complete what lies above revision Since.
	StoreListing struct {
		Since    uint64
		Objects  []objectapi.Object
		Complete uint64
		// AskedAt is when the store was asked.
		AskedAt time.Duration
	}
	// Accepted brings an object that the store accepted from this node.
	Accepted struct{ Object objectapi.Object }
	// SyncAnswer brings a peer's answer to StartSync; Failed if there was none.
	SyncAnswer struct {
		Peer   string
		Failed bool
		Answer SyncState
	}
	// MachineList brings the platform's list of machines.
	MachineList struct{ Machines []objectapi.Machine }
	// Drain marks this node as being stopped.
	Drain struct{}
)

func (Datagram) controlEvent()     {}
func (Tick) controlEvent()         {}
func (StoreListing) controlEvent() {}
func (Accepted) controlEvent()     {}
func (SyncAnswer) controlEvent()   {}
func (MachineList) controlEvent()  {}
func (Drain) controlEvent()        {}

// SyncState is what a node gives to a peer that synchronizes.
type SyncState struct {
	// Members is empty when the asker's list has the same digest.
	Members  []membership.Member `msgpack:"m"`
	Objects  []objectapi.Object  `msgpack:"o"`
	Complete uint64              `msgpack:"c"`
	// Ready is false while the answering node is a newcomer itself.
	Ready bool `msgpack:"r"`
}

// Effect is an output of the control reducer.
type Effect interface{ controlEffect() }

// The effects.
type (
	// Send tells to send a datagram.
	Send struct {
		To      string
		Message membership.Message
	}
	// StartSync tells to ask a peer for its state above a revision.
	StartSync struct {
		Peer    string
		Since   uint64
		Members uint64
	}
	// WatchStore tells to begin or end watching the platform's store.
	WatchStore struct{ On bool }
	// Publish tells to put a new snapshot in force.
	Publish struct{ View *View }
	// Freshened tells until when the node may begin new work without hearing
	// from a peer or the store again.
	Freshened struct{ Until time.Duration }
)

func (Send) controlEffect()       {}
func (StartSync) controlEffect()  {}
func (WatchStore) controlEffect() {}
func (Publish) controlEffect()    {}
func (Freshened) controlEffect()  {}

// MembersOnly is the revision from which a newcomer asks when it wants a peer's
// list of members and no configuration.
const MembersOnly = math.MaxUint64

// maxPushBytes bounds the objects on a datagram; larger changes are fetched.
const maxPushBytes = 900

// Times of a newcomer and of synchronization.
const (
	// joinPeers is from how many peers a newcomer takes the highest configuration.
	joinPeers = 2
	// storePatience is how long a newcomer that has asked its peers waits for the
	// store to tell what is newer.
	storePatience = time.Second
	// joinPatience is after how long one peer is enough.
	joinPatience = 3 * time.Second
	// syncTimeout is after how long a synchronization counts as failed.
	syncTimeout = 2 * time.Second
	// FreshLimit is how long a node begins new work without having asked a peer or
	// the store that knew no newer configuration. A node that was paused, or cut
	// off from all others, so stops before marks and policies can be long overdue.
	FreshLimit = 4 * time.Second
	// aloneLimit stands for no limit, on a node that never knew another.
	aloneLimit = 365 * 24 * time.Hour
	// memberBatch is the least time between snapshots that only renew members.
	memberBatch = 100 * time.Millisecond
)

// Control is the control state of one node.
type Control struct {
	members  *membership.Machine
	config   *configuration.State
	decoded  *configuration.Decoded
	now      time.Duration
	started  time.Duration
	begun    bool
	ready    bool
	watching bool
	// joined holds the peers from which a newcomer has taken configuration.
	joined map[string]bool
	// listed is set once a newcomer has taken a peer's list of members: it then
	// fetches the configuration from random members. Newcomers know few nodes at
	// first, all the same ones, which must not serve them all.
	listed      bool
	syncing     bool
	syncStarted time.Duration
	nextJoin    time.Duration
	effects     []Effect
	// publish is set when the snapshot must be renewed.
	publish        bool
	membersChanged bool
	publishedAt    time.Duration
	// freshAsOf is the latest time at which a peer or the store was asked that
	// then told everything newer.
	freshAsOf  time.Duration
	freshUntil time.Duration
}

// NewControl returns the control state of a node that knows only itself.
func NewControl(members *membership.Machine) *Control {
	return &Control{
		members: members, config: configuration.NewState(), decoded: configuration.NewDecoded(),
		joined: map[string]bool{}, publish: true,
	}
}

// Configuration gives read access to the configuration state.
func (c *Control) Configuration() *configuration.State { return c.config }

// Members gives read access to the member list.
func (c *Control) Members() *membership.Machine { return c.members }

// Ready reports whether the node may serve.
func (c *Control) Ready() bool { return c.ready }

// Step applies one event and returns its effects.
func (c *Control) Step(now time.Duration, event Event) []Effect {
	c.now = now
	c.effects = nil
	if !c.begun {
		c.begun = true
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
		c.members.Hint(now, typed.Machines)
	case Drain:
		c.members.Leave(true)
		c.sendAll(c.members.Pushes(nil, 0, 0))
	}
	c.joinIfNew()
	c.syncIfDifferent()
	c.renewSnapshot()
	c.renewFreshness()
	return c.effects
}

// NextWake returns when the next Tick is needed.
func (c *Control) NextWake() time.Duration {
	wake := c.members.NextWake()
	if c.membersChanged {
		wake = min(wake, max(c.publishedAt+memberBatch, c.now+time.Millisecond))
	}
	if !c.ready {
		wake = min(wake, max(c.nextJoin, c.now+time.Millisecond))
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
			complete = 0 // something before Base is missing here
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
	c.freshAsOf = max(c.freshAsOf, listing.AskedAt)
	if !gap {
		// The store itself has told everything above what was known: nothing newer
		// can be missing.
		c.becomeReady()
	}
}

// merge takes in objects and passes on what was new. Passing on only news makes
// the spread end by itself.
func (c *Control) merge(objects []objectapi.Object, base, complete uint64) {
	before := c.config.Complete()
	changed := c.config.Merge(objects, complete)
	c.members.SetConfiguration(c.config.Digest())
	if len(changed) == 0 {
		return
	}
	c.decoded = c.decoded.Clone()
	c.decoded.Apply(changed)
	c.publish = true
	if !c.ready {
		return
	}
	c.push(before, changed)
}

// push passes news on. When the complete revision moved, everything above the
// old one goes along: a receiver at that revision then is complete as well.
func (c *Control) push(before uint64, changed []objectapi.Object) {
	objects, base, complete := changed, uint64(0), uint64(0)
	if c.config.Complete() > before {
		objects, complete = c.config.Since(before)
		base = before
	}
	if objectsSize(objects) > maxPushBytes {
		objects = nil
	}
	c.sendAll(c.members.Pushes(objects, base, complete))
}

func objectsSize(objects []objectapi.Object) int {
	const overhead = 24
	size := 0
	for _, object := range objects {
		size += len(object.Key) + len(object.Value) + overhead
	}
	return size
}

func (c *Control) becomeReady() {
	if !c.ready && c.config.Len() > 0 {
		c.ready = true
		c.publish = true
	}
}

// joinIfNew lets a newcomer ask peers until it has a configuration to serve by.
func (c *Control) joinIfNew() {
	if c.ready {
		return
	}
	waited := c.now - c.started
	enough := len(c.joined) >= joinPeers && waited >= storePatience || len(c.joined) >= 1 && waited >= joinPatience
	if enough {
		c.becomeReady()
	}
	if c.ready || c.syncing && c.now < c.syncStarted+syncTimeout || c.now < c.nextJoin {
		return
	}
	c.nextJoin = c.now + joinRetry
	since := c.config.Complete()
	if !c.listed {
		since = MembersOnly
	}
	for _, peer := range c.members.RandomPeers(joinPeers+1, "") {
		if !c.joined[peer] {
			c.startSync(peer, since)
			return
		}
	}
}

// joinRetry is the pause between a newcomer's questions.
const joinRetry = 100 * time.Millisecond

func (c *Control) syncIfDifferent() {
	peer := c.members.TakeSync()
	if peer == "" || c.syncing && c.now < c.syncStarted+syncTimeout {
		return
	}
	if !c.ready {
		return // a newcomer asks in its own order
	}
	c.startSync(peer, c.config.Complete())
}

func (c *Control) startSync(peer string, since uint64) {
	if _, known := c.members.Get(peer); !known {
		return
	}
	c.syncing = true
	c.syncStarted = c.now
	c.emit(StartSync{Peer: peer, Since: since, Members: c.members.Digest()})
}

// AnswerSync returns what a peer asks for; it changes nothing.
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
	c.members.Learn(c.now, event.Answer.Members)
	if !c.listed && !c.ready {
		c.listed = true
		return
	}
	base := c.config.Complete()
	c.merge(event.Answer.Objects, base, event.Answer.Complete)
	c.freshAsOf = max(c.freshAsOf, c.syncStarted)
	if event.Answer.Ready {
		c.joined[event.Peer] = true
	}
}

func (c *Control) renewFreshness() {
	until := max(c.freshAsOf, c.members.FreshAsOf()) + FreshLimit
	if c.members.Alone() {
		until = aloneLimit
	}
	if until != c.freshUntil {
		c.freshUntil = until
		c.emit(Freshened{Until: until})
	}
}

// renewSnapshot publishes a new view after changes, and begins or ends watching
// the store when this node's role changed.
func (c *Control) renewSnapshot() {
	c.membersChanged = c.members.Changed() || c.membersChanged
	// Changes of members alone wait a little for more of them: the loss of a zone
	// brings hundreds at once.
	due := c.membersChanged && c.now >= c.publishedAt+memberBatch
	if !due && !c.publish {
		return
	}
	c.publish, c.membersChanged = false, false
	c.publishedAt = c.now
	view := newView(c.members, c.decoded, c.config.Digest(), c.ready)
	c.emit(Publish{View: view})
	if watch := view.IsReader(); watch != c.watching {
		c.watching = watch
		c.emit(WatchStore{On: watch})
	}
}
