package quota

import (
	"slices"
	"time"
)

// Times of the exchange with allocators.
const (
	// renewInterval is the pause between a node's delegations to its allocator.
	renewInterval = 150 * time.Millisecond
	// answerLimit is how long an allocator's answer is waited for: some round trips between
	// regions. After missesToSilent in a row the allocator counts as silent.
	answerLimit    = 200 * time.Millisecond
	missesToSilent = 2
	// firstRetry is the pause until a silent allocator is asked again; it doubles up to
	// lastRetry.
	firstRetry = 500 * time.Millisecond
	lastRetry  = 4 * time.Second
	// unreachedPause is when to come back while no allocator can be asked.
	unreachedPause = 300 * time.Millisecond
	// balanceLife is how long the balance of a tenant without callers is kept.
	balanceLife = 10 * time.Second
)

// Config configures a Machine.
type Config struct {
	// Node names the node, Address is where messages reach it.
	Node    string
	Address string
	// Life names the process, Started is a time before it sent anything.
	Life    uint64
	Started time.Time
	Limits  Limits
	// OnHeldBack is called by a Keeper with what Machine.Changes returns; it may be nil.
	OnHeldBack func(HeldBack)
}

// Fleet is what a node knows of the others.
type Fleet struct {
	// Nodes is how many share the quotas, this one included.
	Nodes int
	// Home is the node's region, Far are the others, those to ask first in front.
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

// Region is the allocators of a region: for each part of the tenants, the addresses of those
// nodes that may be its allocator, best first.
type Region struct {
	Allocators [][]string
}

// Machine is one node's part: the tokens of its callers, its share and its allocator. It is
// pure, and used by one goroutine at a time.
type Machine struct {
	cfg       Config
	allocator *Allocator

	fleet Fleet
	// nodes is the most that were seen to share the quotas.
	nodes int
	// shareFrom is when the node's share may first be used; zero while it has none.
	shareFrom time.Time
	// promises are the delegations that may still hold, by part.
	promises   map[Part]promise
	allocators map[string]*correspondent
	// order holds the addresses of allocators in the order in which they became known, so that
	// the same events have the same effects.
	order    []string
	balances map[string]*balance
	sequence uint64
	swept    time.Time
	out      []Envelope
}

// NewMachine returns a machine that knows of no other node and has no share.
func NewMachine(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, allocator: NewAllocator(cfg.Life, cfg.Started, cfg.Limits),
		promises: map[Part]promise{}, allocators: map[string]*correspondent{}, balances: map[string]*balance{},
	}
}

// Drain returns the messages to send.
func (m *Machine) Drain() []Envelope {
	out := m.out
	m.out = nil
	return out
}

// SetFleet takes what is now known of the other nodes. The share never grows again: a
// process that sees fewer nodes than before cannot know whether the others are gone.
func (m *Machine) SetFleet(fleet Fleet) {
	m.fleet = fleet
	m.nodes = max(m.nodes, fleet.Nodes)
}

// Leave makes the node's allocator tell its askers to turn to others.
func (m *Machine) Leave() { m.allocator.leaving = true }

// Receive takes a message from the node at an address.
func (m *Machine) Receive(now time.Time, from string, message *Message) {
	switch {
	case message.Request != nil && message.Request.acceptable():
		m.out = append(m.out, Envelope{To: from, Message: Message{Reply: m.allocator.Handle(now, message.Request)}})
	case message.Reply != nil:
		m.answered(now, from, message.Reply)
	}
}

// Tick looks for answers that have not come and renews the delegations. It is called some
// times in a renewInterval.
func (m *Machine) Tick(now time.Time) {
	for _, address := range m.order {
		c := m.allocators[address]
		if c.awaited != 0 && now.Sub(c.sent) >= answerLimit {
			m.miss(now, c)
		}
		if c.silent && c.awaited == 0 && !now.Before(c.retryAt) {
			// A look whether it answers again, which delegates nothing.
			m.request(now, c)
		}
	}
	m.renew(now)
	m.allocator.endHoldings(now)
	if now.Sub(m.swept) >= balanceLife {
		m.sweep(now)
	}
}

// sweep forgets what is no longer used.
func (m *Machine) sweep(now time.Time) {
	m.swept = now
	for tenant, w := range m.balances {
		if now.Sub(w.used) >= balanceLife && w.waiting == (Needs{}) && w.asked == "" {
			delete(m.balances, tenant)
		}
	}
	for address, c := range m.allocators {
		if c.awaited == 0 && len(c.queued) == 0 && !m.knows(address) {
			delete(m.allocators, address)
		}
	}
	m.order = slices.DeleteFunc(m.order, func(address string) bool { return m.allocators[address] == nil })
	m.allocator.Forget()
}

// knows reports whether an address is that of an allocator of the fleet.
func (m *Machine) knows(address string) bool {
	for region := range m.fleet.regions {
		for _, addresses := range region.Allocators {
			if slices.Contains(addresses, address) {
				return true
			}
		}
	}
	return false
}
