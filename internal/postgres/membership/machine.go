package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/objectapi"
)

// Settings are the intervals of the protocol.
type Settings struct {
	// ProbeInterval is the time between probes of other members.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct answer may take before others are asked.
	ProbeTimeout time.Duration
	// IndirectProbes is how many members are asked to probe on this node's behalf.
	IndirectProbes int
	// SuspicionFactor times log10(members)+1 probe intervals is how long a member
	// stays suspected before it counts as dead.
	SuspicionFactor float64
	// DeadRetention is how long dead members are remembered and probed.
	DeadRetention time.Duration
	// DeadProbeEvery makes every n-th probe go to a dead member or a seed.
	DeadProbeEvery int
	// Fanout is how many members get a configuration change pushed at once.
	Fanout int
}

// DefaultSettings returns the intervals used in production.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3,
		SuspicionFactor: 1.5, DeadRetention: 6 * time.Hour, DeadProbeEvery: 4, Fanout: 4,
	}
}

// maxUpdates bounds the member updates on one datagram.
const maxUpdates = 6

// spreadFactor times log2(members+1) is how often an update is passed on.
const spreadFactor = 3

// Kind is the type of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	Ping Kind = iota
	Ack
	// PingRequest asks the receiver to probe Target and pass the answer on.
	PingRequest
	// Push carries configuration objects to a member that may lack them.
	Push
)

// Message is one datagram of the protocol.
type Message struct {
	Kind Kind   `msgpack:"k"`
	From string `msgpack:"f"`
	// Sender is the sender's own entry: a receiver that does not know the sender
	// yet can answer it.
	Sender   Member `msgpack:"e"`
	Sequence uint64 `msgpack:"q"`
	Target   string `msgpack:"t"`
	// TargetAddress is where the target of a PingRequest listens.
	TargetAddress string   `msgpack:"ta"`
	Updates       []Member `msgpack:"u"`
	// Members and Configuration are digests of the sender's knowledge.
	Members       uint64               `msgpack:"m"`
	Configuration configuration.Digest `msgpack:"c"`
	// Objects complete what lies between the revisions Base and Complete.
	Objects  []objectapi.Object `msgpack:"o"`
	Base     uint64             `msgpack:"cb"`
	Complete uint64             `msgpack:"cr"`
}

// Effect is an output of the machine.
type Effect struct {
	// To is the gossip address that Message goes to.
	To      string
	Message Message
}

// update is news that is still being passed on.
type update struct {
	id        string
	transmits int
}

// probe is a question that awaits its answer.
type probe struct {
	target   string
	sequence uint64
	sentAt   time.Duration
	indirect bool
	// forID and forSequence name on whose behalf the probe was sent.
	forAddress  string
	forSequence uint64
}

// Machine is a node's view of the fleet.
type Machine struct {
	settings Settings
	self     Member
	seeds    []string
	members  map[string]*entry
	order    []string // identifiers, sorted
	updates  []update
	probes   []probe
	sequence uint64
	rounds   int
	// round is a shuffled list of members still to be probed.
	round      []string
	nextProbe  time.Duration
	random     *rand.Rand
	hash       uint64
	now        time.Duration
	effects    []Effect
	changed    bool
	digest     configuration.Digest
	wantSync   string
	hint       map[string]bool
	suspicions []string
	// freshAsOf is the latest time at which a probe was sent whose answer showed
	// that the peer knows no newer configuration.
	freshAsOf time.Duration
	// differSince is when a peer's member list was first seen to differ.
	differSince time.Duration
}

// New returns a machine that knows itself and the gossip addresses of seeds.
func New(settings Settings, self Member, seeds []string, seed uint64) *Machine {
	created := &Machine{
		settings: settings, self: self, seeds: seeds, members: map[string]*entry{},
		random: rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
	created.put(self)
	return created
}

// Self returns this node as others see it.
func (m *Machine) Self() Member { return m.members[m.self.ID].Member }

// Changed reports whether the list changed since the last call.
func (m *Machine) Changed() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// Digest returns the member list's digest.
func (m *Machine) Digest() uint64 { return m.hash }

// FreshAsOf returns the latest time at which this node asked a peer that then
// answered and knew no newer configuration.
func (m *Machine) FreshAsOf() time.Duration { return m.freshAsOf }

// Alone reports whether no other member has ever been known.
func (m *Machine) Alone() bool { return len(m.members) <= 1 }

// SetConfiguration tells the machine the configuration digest to announce.
func (m *Machine) SetConfiguration(digest configuration.Digest) { m.digest = digest }

// put stores a member's new state and queues it to be passed on.
func (m *Machine) put(member Member) {
	m.store(member)
	m.updates = slices.DeleteFunc(m.updates, func(queued update) bool { return queued.id == member.ID })
	m.updates = append([]update{{id: member.ID}}, m.updates...)
}

func (m *Machine) store(member Member) {
	known, ok := m.members[member.ID]
	if !ok {
		known = &entry{}
		m.members[member.ID] = known
		at, _ := slices.BinarySearch(m.order, member.ID)
		m.order = slices.Insert(m.order, at, member.ID)
	} else {
		m.hash ^= known.hash()
	}
	m.hash ^= member.hash()
	if member.Status == Suspect && !slices.Contains(m.suspicions, member.ID) {
		m.suspicions = append(m.suspicions, member.ID)
	}
	*known = entry{Member: member, since: m.now}
	m.changed = true
}

func (m *Machine) forget(id string) {
	m.hash ^= m.members[id].hash()
	delete(m.members, id)
	m.order = slices.DeleteFunc(m.order, func(known string) bool { return known == id })
	m.updates = slices.DeleteFunc(m.updates, func(queued update) bool { return queued.id == id })
}

// Leave marks this node as being stopped.
func (m *Machine) Leave(draining bool) {
	self := m.Self()
	if self.Draining == draining {
		return
	}
	self.Draining = draining
	self.Incarnation++
	m.put(self)
}

// Learn takes in a peer's whole list. What comes from there is not passed on as
// news: the fleet knows it, and lists that still differ are compared again.
func (m *Machine) Learn(now time.Duration, members []Member) {
	m.now = now
	for _, member := range members {
		m.accept(member, m.store)
	}
}

func (m *Machine) learn(member Member) { m.accept(member, m.put) }

// accept keeps a member's state if it is newer than what is known.
func (m *Machine) accept(member Member, keep func(Member)) {
	known, ok := m.members[member.ID]
	switch {
	case member.ID == m.self.ID:
		m.refute(member)
	case !ok:
		if member.Status != Dead {
			keep(member)
		}
	case member.overrides(known.Member):
		keep(member)
	}
}

// refute answers news that this node is suspected, dead or differs from itself.
func (m *Machine) refute(news Member) {
	self := m.Self()
	if news.Incarnation < self.Incarnation || news.Incarnation == self.Incarnation && news.Status <= self.Status {
		return
	}
	self.Incarnation = news.Incarnation + 1
	m.put(self)
}

// Hint takes the platform's list of machines, which lags: a machine missing from
// it is suspected rather than believed dead.
func (m *Machine) Hint(now time.Duration, machines []objectapi.Machine) {
	m.now = now
	listed := map[string]bool{}
	for _, machine := range machines {
		listed[machine.ID] = true
	}
	for id := range m.hint {
		if known, ok := m.members[id]; ok && !listed[id] && known.Status == Alive && id != m.self.ID {
			m.suspect(id)
		}
	}
	m.hint = listed
}

func (m *Machine) suspect(id string) {
	known := m.members[id].Member
	if known.Status == Dead || known.Status == Suspect {
		return
	}
	known.Status = Suspect
	m.put(known)
}

// TakeSync returns the gossip identity of a peer whose state differs from ours
// and should be compared in full, or "".
func (m *Machine) TakeSync() string {
	peer := m.wantSync
	m.wantSync = ""
	return peer
}

// Tick lets time pass and returns datagrams to send.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.now = now
	m.effects = nil
	m.expireProbes()
	m.expireSuspicions()
	if now >= m.nextProbe {
		m.nextProbe = now + m.settings.ProbeInterval
		m.probeNext()
		m.warnSuspects()
	}
	return m.effects
}

// NextWake returns when Tick is needed next.
func (m *Machine) NextWake() time.Duration {
	wake := m.nextProbe
	for _, current := range m.probes {
		if !current.indirect {
			wake = min(wake, current.sentAt+m.settings.ProbeTimeout)
		}
	}
	return max(wake, m.now+time.Millisecond)
}

// Receive handles a datagram and returns datagrams to send.
func (m *Machine) Receive(now time.Duration, message Message) []Effect {
	m.now = now
	m.effects = nil
	if message.Sender.ID != "" {
		m.learn(message.Sender)
	}
	for _, member := range message.Updates {
		m.learn(member)
	}
	m.compare(message)
	switch message.Kind {
	case Ping:
		m.answerPing(message)
	case Ack:
		m.receiveAck(message)
	case PingRequest:
		m.relayPing(message)
	}
	return m.effects
}

// compare asks for a full comparison when digests differ and no news is under way.
func (m *Machine) compare(message Message) {
	if message.Kind == PingRequest || len(message.Objects) > 0 {
		return
	}
	membersDiffer := m.membersDiffer(message)
	configurationDiffers := message.Configuration != m.digest && message.Configuration.Complete >= m.digest.Complete
	if membersDiffer || configurationDiffers {
		m.wantSync = message.From
	}
}

// differPatience is how long member lists may differ while news is under way
// before they are compared in full.
const differPatience = 5 * time.Second

// membersDiffer reports whether the lists must be compared in full: at once when
// no news is under way, else when they have differed for long.
func (m *Machine) membersDiffer(message Message) bool {
	if message.Members == m.hash {
		m.differSince = 0
		return false
	}
	if m.differSince == 0 {
		m.differSince = m.now
	}
	quiet := len(m.updates) == 0 && len(message.Updates) == 0
	if !quiet && m.now < m.differSince+differPatience {
		return false
	}
	m.differSince = m.now
	return true
}

func (m *Machine) send(to string, message Message) {
	message.From = m.self.ID
	message.Sender = m.Self()
	message.Members = m.hash
	message.Configuration = m.digest
	message.Updates = m.takeUpdates()
	m.effects = append(m.effects, Effect{To: to, Message: message})
}

// takeUpdates returns the news passed on least often so far.
func (m *Machine) takeUpdates() []Member {
	if len(m.updates) == 0 {
		return nil
	}
	limit := int(math.Ceil(spreadFactor * math.Log2(float64(len(m.members)+1))))
	sort.SliceStable(m.updates, func(i, j int) bool { return m.updates[i].transmits < m.updates[j].transmits })
	var taken []Member
	for index := range m.updates[:min(maxUpdates, len(m.updates))] {
		m.updates[index].transmits++
		taken = append(taken, m.members[m.updates[index].id].Member)
	}
	m.updates = slices.DeleteFunc(m.updates, func(queued update) bool { return queued.transmits >= limit })
	return taken
}

// Pushes returns datagrams that carry configuration objects to random members.
// Without objects they only carry the digest, and receivers synchronize.
func (m *Machine) Pushes(objects []objectapi.Object, base, complete uint64) []Effect {
	m.effects = nil
	for _, id := range m.RandomPeers(m.settings.Fanout, "") {
		m.send(m.members[id].Addresses.Gossip, Message{Kind: Push, Objects: objects, Base: base, Complete: complete})
	}
	return m.effects
}
