package quota

import (
	"slices"
	"time"
)

// Timing of the exchange with allocators.
const (
	// renewInterval is the interval at which delegations are renewed.
	renewInterval = 150 * time.Millisecond
	// replyTimeout is the timeout of a request: several round-trip times between regions. After
	// maxMissedReplies timeouts in a row the allocator counts as unavailable.
	replyTimeout     = 200 * time.Millisecond
	maxMissedReplies = 2
	// minBackoff is the time after which an unavailable allocator is asked again. It doubles up
	// to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// unreachableRetryAfter is the time after which callers retry while no allocator can be
	// asked.
	unreachableRetryAfter = 300 * time.Millisecond
	// idleTenantTTL is how long the tokens of a tenant without operations are kept.
	idleTenantTTL = 10 * time.Second
)

// Config configures a Machine.
type Config struct {
	// Node is the node's name, Address the address for messages to it.
	Node    string
	Address string
	// Incarnation identifies the process. Started is a time before it sent any message.
	Incarnation uint64
	Started     time.Time
	Limits      Limits
	// OnThrottleEvent is called by a Keeper with each of Machine.ThrottleEvents; it may be nil.
	OnThrottleEvent func(ThrottleEvent)
}

// Fleet is what a node knows of the other nodes.
type Fleet struct {
	// Nodes is the number of nodes that share the quotas, including this one.
	Nodes int
	// Home is the node's region. Far are the others, in the order in which they are asked.
	Home Region
	Far  []Region
}

// regions yields the regions in the order in which they are asked.
func (f *Fleet) regions(yield func(Region) bool) {
	if !yield(f.Home) {
		return
	}
	for _, region := range f.Far {
		if !yield(region) {
			return
		}
	}
}

// Region holds the allocators of a region: for each part of the tenants, the addresses of the
// nodes that may be its allocator, in order of preference.
type Region struct {
	Allocators [][]string
}

// Machine is the state of one node: its callers' tokens, its share and its allocator. It has no
// clock, does no I/O and is not safe for concurrent use.
type Machine struct {
	cfg       Config
	allocator *Allocator

	fleet Fleet
	// maxNodes is the highest number of nodes that was known to share the quotas.
	maxNodes int
	// shareFrom is when the node may first use its share; zero while it has none.
	shareFrom time.Time
	// sentDelegations holds the delegations that may still be valid, by part.
	sentDelegations map[Part]sentDelegation
	allocators      map[string]*peer
	// allocatorOrder holds the addresses of allocators in the order in which they became known,
	// so that the machine is deterministic.
	allocatorOrder []string
	tenants        map[string]*tenantTokens
	sequence       uint64
	lastSweep      time.Time
	out            []Envelope
}

// NewMachine returns a machine that knows no other node and has no share.
func NewMachine(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, allocator: NewAllocator(cfg.Incarnation, cfg.Started, cfg.Limits),
		sentDelegations: map[Part]sentDelegation{}, allocators: map[string]*peer{}, tenants: map[string]*tenantTokens{},
	}
}

// Drain returns and clears the messages to send.
func (m *Machine) Drain() []Envelope {
	out := m.out
	m.out = nil
	return out
}

// SetFleet sets the fleet as this node knows it. The node's share never grows: a process that sees
// fewer nodes than before cannot know whether the others still use their shares.
func (m *Machine) SetFleet(fleet Fleet) {
	m.fleet = fleet
	m.maxNodes = max(m.maxNodes, fleet.Nodes)
}

// Leave makes the node's allocator tell the requesters to use other ones.
func (m *Machine) Leave() { m.allocator.leaving = true }

// Receive handles a message from the node at an address.
func (m *Machine) Receive(now time.Time, from string, message *Message) {
	switch {
	case message.Request != nil && message.Request.isValid():
		m.out = append(m.out, Envelope{To: from, Message: Message{Reply: m.allocator.Handle(now, message.Request)}})
	case message.Reply != nil:
		m.handleReply(now, from, message.Reply)
	}
}

// Tick handles timeouts of requests and renews the delegations. It must be called several times
// per renewInterval.
func (m *Machine) Tick(now time.Time) {
	for _, address := range m.allocatorOrder {
		p := m.allocators[address]
		if p.pendingSequence != 0 && now.Sub(p.lastRequest) >= replyTimeout {
			m.recordMiss(now, p)
		}
		if p.unavailable && p.pendingSequence == 0 && !now.Before(p.retryAt) {
			// Check whether it replies again. The request delegates nothing.
			m.sendRequest(now, p)
		}
	}
	m.renewDelegations(now)
	m.allocator.endThrottling(now)
	if now.Sub(m.lastSweep) >= idleTenantTTL {
		m.sweep(now)
	}
}

// sweep removes unused state.
func (m *Machine) sweep(now time.Time) {
	m.lastSweep = now
	for tenant, t := range m.tenants {
		if now.Sub(t.lastUsed) >= idleTenantTTL && t.waiting == (LevelCounts{}) && t.pendingAllocator == "" {
			delete(m.tenants, tenant)
		}
	}
	for address, p := range m.allocators {
		if p.pendingSequence == 0 && len(p.queued) == 0 && !m.isAllocator(address) {
			delete(m.allocators, address)
		}
	}
	m.allocatorOrder = slices.DeleteFunc(m.allocatorOrder, func(address string) bool { return m.allocators[address] == nil })
	m.allocator.RemoveUnlimited()
}

// isAllocator reports whether an address is that of an allocator of the fleet.
func (m *Machine) isAllocator(address string) bool {
	for region := range m.fleet.regions {
		for _, addresses := range region.Allocators {
			if slices.Contains(addresses, address) {
				return true
			}
		}
	}
	return false
}
