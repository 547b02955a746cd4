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

// Settings holds the parameters of the protocol.
type Settings struct {
	// ProbeInterval is the time between probes of other members.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which indirect probes follow a direct one.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that send indirect probes.
	IndirectProbes int
	// SuspicionFactor scales the suspicion timeout. A suspected member is declared
	// dead after SuspicionFactor * (1+log10(members+1)) probe intervals.
	SuspicionFactor float64
	// DeadRetention is how long dead members are kept and probed.
	DeadRetention time.Duration
	// DeadProbeEvery is the number of probe intervals between probes of dead members or
	// seeds.
	DeadProbeEvery int
	// Fanout is the number of members to which a configuration change is pushed.
	Fanout int
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3,
		SuspicionFactor: 1.5, DeadRetention: 6 * time.Hour, DeadProbeEvery: 4, Fanout: 4,
	}
}

// maxUpdates is the maximum number of member updates in one datagram.
const maxUpdates = 6

// retransmitFactor scales the number of times an update is sent, which is
// retransmitFactor * log2(members+1).
const retransmitFactor = 3

// Kind is the type of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	Ping Kind = iota
	Ack
	// PingRequest asks the receiver to probe Target and to forward its answer.
	PingRequest
	// Push carries configuration objects that the receiver may not have yet.
	Push
)

// Message is one datagram of the protocol.
type Message struct {
	Kind Kind   `msgpack:"k"`
	From string `msgpack:"f"`
	// Sender is the sender's own state. With it, a receiver that does not know the
	// sender yet can answer.
	Sender   Member `msgpack:"e"`
	Sequence uint64 `msgpack:"q"`
	Target   string `msgpack:"t"`
	// TargetAddress is the gossip address of the target of a PingRequest.
	TargetAddress string   `msgpack:"ta"`
	Updates       []Member `msgpack:"u"`
	// Members and Configuration are the digests of the sender's member list and
	// configuration.
	Members       uint64               `msgpack:"m"`
	Configuration configuration.Digest `msgpack:"c"`
	// Objects holds all changes after revision Base up to revision Complete. If
	// both are zero, it may hold single objects.
	Objects  []objectapi.Object `msgpack:"o"`
	Base     uint64             `msgpack:"cb"`
	Complete uint64             `msgpack:"cr"`
}

// Effect is a message that the caller must send.
type Effect struct {
	// To is the gossip address of the receiver.
	To      string
	Message Message
}

// update is a member update that is still being disseminated.
type update struct {
	id        string
	transmits int
}

// probe is a probe without an answer so far.
type probe struct {
	target   string
	sequence uint64
	sentAt   time.Duration
	indirect bool
	// requesterAddress and requesterSequence are set if the probe was sent for the
	// PingRequest of another member.
	requesterAddress  string
	requesterSequence uint64
}

// Machine is the protocol state of one node.
type Machine struct {
	settings  Settings
	self      Member
	seeds     []string
	members   map[string]*entry
	sortedIDs []string // keys of members
	updates   []update
	probes    []probe
	sequence  uint64
	periods   int
	// unprobed lists the members not probed yet in this round, in random order.
	unprobed            []string
	nextProbe           time.Duration
	random              *rand.Rand
	digest              uint64
	now                 time.Duration
	effects             []Effect
	changed             bool
	configurationDigest configuration.Digest
	syncPeer            string
	listedMachines      map[string]bool
	suspects            []string
	// freshAsOf is the latest time at which a probe was sent to a peer whose answer
	// showed no newer configuration.
	freshAsOf time.Duration
	// membersDifferSince is when the member lists began to differ or were last
	// synchronized for that reason; zero if they are equal.
	membersDifferSince time.Duration
}

// New returns a machine whose only member is self. The seeds are gossip addresses
// through which it joins the fleet.
func New(settings Settings, self Member, seeds []string, seed uint64) *Machine {
	machine := &Machine{
		settings: settings, self: self, seeds: seeds, members: map[string]*entry{},
		random: rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
	machine.storeAndQueue(self)
	return machine
}

// Self returns the member that represents this node.
func (m *Machine) Self() Member { return m.members[m.self.ID].Member }

// Changed reports whether the member list changed since the last call.
func (m *Machine) Changed() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// Digest returns the digest of the member list.
func (m *Machine) Digest() uint64 { return m.digest }

// FreshAsOf returns the latest time at which this node sent a probe to a peer whose
// answer showed no newer configuration.
func (m *Machine) FreshAsOf() time.Duration { return m.freshAsOf }

// Alone reports whether no other member is known, not even a dead one.
func (m *Machine) Alone() bool { return len(m.members) <= 1 }

// SetConfiguration sets the configuration digest that messages carry.
func (m *Machine) SetConfiguration(configurationDigest configuration.Digest) {
	m.configurationDigest = configurationDigest
}

// storeAndQueue stores a member's new state and queues it for dissemination.
func (m *Machine) storeAndQueue(member Member) {
	m.store(member)
	m.updates = slices.DeleteFunc(m.updates, func(queued update) bool { return queued.id == member.ID })
	m.updates = append([]update{{id: member.ID}}, m.updates...)
}

func (m *Machine) store(member Member) {
	known, ok := m.members[member.ID]
	if !ok {
		known = &entry{}
		m.members[member.ID] = known
		at, _ := slices.BinarySearch(m.sortedIDs, member.ID)
		m.sortedIDs = slices.Insert(m.sortedIDs, at, member.ID)
	} else {
		m.digest ^= known.digest()
	}
	m.digest ^= member.digest()
	if member.Status == Suspect && !slices.Contains(m.suspects, member.ID) {
		m.suspects = append(m.suspects, member.ID)
	}
	*known = entry{Member: member, since: m.now}
	m.changed = true
}

func (m *Machine) remove(id string) {
	m.digest ^= m.members[id].digest()
	delete(m.members, id)
	m.sortedIDs = slices.DeleteFunc(m.sortedIDs, func(known string) bool { return known == id })
	m.updates = slices.DeleteFunc(m.updates, func(queued update) bool { return queued.id == id })
}

// SetDraining sets whether this node is draining before a planned shutdown.
func (m *Machine) SetDraining(draining bool) {
	self := m.Self()
	if self.Draining == draining {
		return
	}
	self.Draining = draining
	self.Incarnation++
	m.storeAndQueue(self)
}

// MergeMembers merges the complete member list of a peer. The changes are not queued for
// dissemination, because the fleet already has them; lists that still differ are
// synchronized again.
func (m *Machine) MergeMembers(now time.Duration, members []Member) {
	m.now = now
	for _, member := range members {
		m.merge(member, m.store)
	}
}

func (m *Machine) applyUpdate(member Member) { m.merge(member, m.storeAndQueue) }

// merge calls store with the member if it is newer than the known state.
func (m *Machine) merge(member Member, store func(Member)) {
	known, ok := m.members[member.ID]
	switch {
	case member.ID == m.self.ID:
		m.refute(member)
	case !ok:
		if member.Status != Dead {
			store(member)
		}
	case member.overrides(known.Member):
		store(member)
	}
}

// refute overrides a report that this node is suspected or dead, or that is newer
// than its own state, by raising the incarnation.
func (m *Machine) refute(reported Member) {
	self := m.Self()
	if reported.Incarnation < self.Incarnation ||
		reported.Incarnation == self.Incarnation && reported.Status <= self.Status {
		return
	}
	self.Incarnation = reported.Incarnation + 1
	m.storeAndQueue(self)
}

// ApplyMachineList processes the platform's machine list. As the list lags behind, a machine
// that disappears from it becomes suspected and not dead.
func (m *Machine) ApplyMachineList(now time.Duration, machines []objectapi.Machine) {
	m.now = now
	listed := map[string]bool{}
	for _, machine := range machines {
		listed[machine.ID] = true
	}
	for id := range m.listedMachines {
		if known, ok := m.members[id]; ok && !listed[id] && known.Status == Alive && id != m.self.ID {
			m.suspect(id)
		}
	}
	m.listedMachines = listed
}

func (m *Machine) suspect(id string) {
	known := m.members[id].Member
	if known.Status == Dead || known.Status == Suspect {
		return
	}
	known.Status = Suspect
	m.storeAndQueue(known)
}

// TakeSyncPeer returns the ID of a peer whose state differs and with which this node
// should synchronize, or "". It clears the pending synchronization.
func (m *Machine) TakeSyncPeer() string {
	peer := m.syncPeer
	m.syncPeer = ""
	return peer
}

// Tick handles timeouts and sends the probes that are due.
func (m *Machine) Tick(now time.Duration) []Effect {
	m.now = now
	m.effects = nil
	m.expireProbes()
	m.expireSuspicions()
	if now >= m.nextProbe {
		m.nextProbe = now + m.settings.ProbeInterval
		m.probeNext()
		m.notifySuspects()
	}
	return m.effects
}

// NextWake returns the time at which Tick must be called next.
func (m *Machine) NextWake() time.Duration {
	wake := m.nextProbe
	for _, current := range m.probes {
		if !current.indirect {
			wake = min(wake, current.sentAt+m.settings.ProbeTimeout)
		}
	}
	return max(wake, m.now+time.Millisecond)
}

// Receive handles a message of another member and returns the messages to send.
func (m *Machine) Receive(now time.Duration, message Message) []Effect {
	m.now = now
	m.effects = nil
	if message.Sender.ID != "" {
		m.applyUpdate(message.Sender)
	}
	for _, member := range message.Updates {
		m.applyUpdate(member)
	}
	m.compareDigests(message)
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

// compareDigests requests a synchronization with the sender if the digests differ.
func (m *Machine) compareDigests(message Message) {
	if message.Kind == PingRequest || len(message.Objects) > 0 {
		return
	}
	membersDiffer := m.membersDiffer(message)
	configurationDiffers := message.Configuration != m.configurationDigest &&
		message.Configuration.Complete >= m.configurationDigest.Complete
	if membersDiffer || configurationDiffers {
		m.syncPeer = message.From
	}
}

// maxDivergence is how long member lists may differ while updates are being
// disseminated before they are synchronized.
const maxDivergence = 5 * time.Second

// membersDiffer reports whether the member lists need a synchronization: at once if
// no updates are being disseminated, otherwise after maxDivergence.
func (m *Machine) membersDiffer(message Message) bool {
	if message.Members == m.digest {
		m.membersDifferSince = 0
		return false
	}
	if m.membersDifferSince == 0 {
		m.membersDifferSince = m.now
	}
	idle := len(m.updates) == 0 && len(message.Updates) == 0
	if !idle && m.now < m.membersDifferSince+maxDivergence {
		return false
	}
	m.membersDifferSince = m.now
	return true
}

func (m *Machine) send(to string, message Message) {
	message.From = m.self.ID
	message.Sender = m.Self()
	message.Members = m.digest
	message.Configuration = m.configurationDigest
	message.Updates = m.takeUpdates()
	m.effects = append(m.effects, Effect{To: to, Message: message})
}

// takeUpdates returns the updates that were sent least often and counts them as
// sent once more.
func (m *Machine) takeUpdates() []Member {
	if len(m.updates) == 0 {
		return nil
	}
	maxTransmits := int(math.Ceil(retransmitFactor * math.Log2(float64(len(m.members)+1))))
	sort.SliceStable(m.updates, func(i, j int) bool { return m.updates[i].transmits < m.updates[j].transmits })
	var taken []Member
	for index := range m.updates[:min(maxUpdates, len(m.updates))] {
		m.updates[index].transmits++
		taken = append(taken, m.members[m.updates[index].id].Member)
	}
	m.updates = slices.DeleteFunc(m.updates, func(queued update) bool {
		return queued.transmits >= maxTransmits
	})
	return taken
}

// ConfigurationPushes returns messages that carry configuration objects to random members.
// Without objects they carry only the digests, and the receivers synchronize.
func (m *Machine) ConfigurationPushes(objects []objectapi.Object, base, complete uint64) []Effect {
	m.effects = nil
	for _, id := range m.RandomPeers(m.settings.Fanout, "") {
		m.send(m.members[id].Addresses.Gossip, Message{Kind: Push, Objects: objects, Base: base, Complete: complete})
	}
	return m.effects
}
