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

// promise is to whom a share is delegated, and until when at the latest. Another process
// at the same address is another allocator: the last one may have handed out what the share was
// sure to mint.
type promise struct {
	allocator string
	life      uint64
	until     time.Time
}

// correspondent is another node as an allocator.
type correspondent struct {
	address string
	echo    Echo
	// heard is when it last answered, sent when it was last asked.
	heard time.Time
	sent  time.Time
	// awaited is the sequence of the request that it has not answered yet; 0 if none.
	awaited uint64
	// wanted are the tenants of that request, queued those to ask for next.
	wanted []string
	queued []string
	missed int
	// silent is set once it has missed too many, or has said that its process ends; it is
	// looked at again at retryAt.
	silent  bool
	retryAt time.Time
	backoff time.Duration
}

// Envelope is a message to the node at an address.
type Envelope struct {
	To      string
	Message Message
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

// SetShare gives the node its share from a time on. What an earlier life of the process
// has delegated has run out by then if that is delegationSpan after the process began.
func (m *Machine) SetShare(from time.Time) {
	if earliest := m.cfg.Started.Add(delegationSpan); from.Before(earliest) {
		from = earliest
	}
	if m.shareFrom.IsZero() || from.Before(m.shareFrom) {
		m.shareFrom = from
	}
}

// Leave makes the node's allocator tell its askers to turn to others.
func (m *Machine) Leave() { m.allocator.leaving = true }

// Verdict is whether an operation may run.
type Verdict struct {
	Granted bool
	// From and Until are when the token of a granted operation is good: it may have to wait
	// a moment.
	From  time.Time
	Until time.Time
	// Pending is set if an allocator is being asked: the operation is to ask again once
	// something has come, and counts as waiting until then.
	Pending bool
	// After is when a refused operation may have a chance. Young is set if that is soon,
	// since the allocators have only just started.
	After time.Duration
	Young bool
}

// Take asks for a token for an operation. waits is set if the operation waits already.
func (m *Machine) Take(now time.Time, tenant string, waits bool) Verdict {
	w := m.balances[tenant]
	if w == nil {
		w = &balance{dry: map[string]time.Time{}}
		m.balances[tenant] = w
	}
	w.used = now
	if waits {
		w.waiting--
	}
	if w.held(now) > 0 {
		taken := w.take()
		w.pace.used(now)
		m.askAhead(now, tenant, w)
		return Verdict{Granted: true, From: taken.from, Until: taken.until}
	}
	w.waiting++
	if w.asked != "" || m.ask(now, tenant, w) {
		return Verdict{Pending: true}
	}
	w.waiting--
	return Verdict{After: m.comeBack(now, w), Young: w.young}
}

// Abandon ends the wait of an operation.
func (m *Machine) Abandon(tenant string) {
	if w := m.balances[tenant]; w != nil && w.waiting > 0 {
		w.waiting--
	}
}

// PutBack returns the token of an operation that did not run.
func (m *Machine) PutBack(now time.Time, tenant string, from, until time.Time) {
	if w := m.balances[tenant]; w != nil && until.After(now) {
		w.lots = append(w.lots, lot{count: 1, from: from, until: until})
	}
}

// comeBack returns when one of the allocators will have a token.
func (m *Machine) comeBack(now time.Time, w *balance) time.Duration {
	first := time.Duration(0)
	for _, until := range w.dry {
		if left := until.Sub(now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	if first == 0 {
		return unreachedPause
	}
	return first
}

// askAhead asks for tokens before they are wanted, for a tenant whose callers use several
// while one is good.
func (m *Machine) askAhead(now time.Time, tenant string, w *balance) {
	limit, limited := m.cfg.Limits(tenant)
	if !limited || w.asked != "" {
		return
	}
	if more := w.pace.ahead(now, limit.Life); more > 0 && w.held(now) <= more/2 {
		m.ask(now, tenant, w)
	}
}

// ask asks the first allocator for tokens of a tenant that may have some; it reports false if
// there is none.
func (m *Machine) ask(now time.Time, tenant string, w *balance) bool {
	address, found := m.allocatorFor(now, tenant, w)
	if !found {
		return false
	}
	w.asked = address
	c := m.correspondent(address)
	c.queued = append(c.queued, tenant)
	if c.awaited == 0 {
		m.request(now, c)
	}
	return true
}

// allocatorFor returns the allocator to ask for tokens of a tenant: that of the node's own region,
// or one of another region if that has none.
func (m *Machine) allocatorFor(now time.Time, tenant string, w *balance) (string, bool) {
	for region := range m.fleet.regions {
		address, found := m.present(region, tenant)
		if found && !w.isDry(address, now) {
			return address, true
		}
	}
	return "", false
}

// present returns the allocator of a region for a tenant's part: the first that answers.
func (m *Machine) present(region Region, tenant string) (string, bool) {
	if len(region.Allocators) == 0 {
		return "", false
	}
	return m.firstAnswering(region.Allocators[PartOf(tenant, len(region.Allocators)).Index])
}

func (m *Machine) firstAnswering(addresses []string) (string, bool) {
	for _, address := range addresses {
		if c := m.allocators[address]; c == nil || !c.silent {
			return address, true
		}
	}
	return "", false
}

func (m *Machine) correspondent(address string) *correspondent {
	c := m.allocators[address]
	if c == nil {
		c = &correspondent{address: address}
		m.allocators[address] = c
		m.order = append(m.order, address)
	}
	return c
}

// request sends an allocator what is to be told and asked.
func (m *Machine) request(now time.Time, c *correspondent) {
	m.sequence++
	asked := &Request{Node: m.cfg.Node, Sequence: m.sequence, Echo: c.echo, Delegations: m.promise(now, c)}
	c.wanted, c.queued = c.queued, nil
	if len(c.wanted) > maxWants {
		c.wanted, c.queued = c.wanted[:maxWants], c.wanted[maxWants:]
	}
	for _, tenant := range c.wanted {
		if w := m.balances[tenant]; w != nil {
			asked.Wants = append(asked.Wants, m.want(now, tenant, w))
		}
	}
	c.awaited, c.sent = m.sequence, now
	m.out = append(m.out, Envelope{To: c.address, Message: Message{Request: asked}})
}

func (m *Machine) want(now time.Time, tenant string, w *balance) Want {
	limit, _ := m.cfg.Limits(tenant)
	return Want{Tenant: tenant, Need: min(w.lack(now), maxCount), More: min(w.pace.ahead(now, limit.Life), maxCount)}
}

// promise returns the delegations that a request to an allocator carries: the parts whose allocator
// it is, unless the node has no share yet, the share may still be at another allocator, or the
// allocator's clock is not known well enough for the delegation to hold for a while.
func (m *Machine) promise(now time.Time, c *correspondent) []Delegation {
	if !m.usable(now) || c.echo.Life == 0 || now.Sub(c.heard) >= delegationSpan/2 {
		return nil
	}
	var delegations []Delegation
	for index, addresses := range m.fleet.Home.Allocators {
		part := m.homePart(index)
		if present, found := m.firstAnswering(addresses); !found || present != c.address || m.heldElsewhere(now, part, c.address, c.echo.Life) {
			continue
		}
		m.promises[part] = promise{allocator: c.address, life: c.echo.Life, until: now.Add(delegationSpan)}
		delegations = append(delegations, Delegation{Part: part, Share: 1 / float64(m.nodes)})
	}
	return delegations
}

// homePart returns the part of the tenants that an allocator of the node's region serves.
func (m *Machine) homePart(index int) Part {
	return Part{Index: uint16(index), Of: uint16(len(m.fleet.Home.Allocators))}
}

// heldElsewhere reports whether the share of a part, or of one that overlaps it, may still
// be delegated to another allocator.
func (m *Machine) heldElsewhere(now time.Time, part Part, allocator string, life uint64) bool {
	for other, known := range m.promises {
		if !known.until.After(now) {
			delete(m.promises, other)
			continue
		}
		if other != part && other.Of != part.Of || other == part && (known.allocator != allocator || known.life != life) {
			return true
		}
	}
	return false
}

// Receive takes a message from the node at an address.
func (m *Machine) Receive(now time.Time, from string, message *Message) {
	switch {
	case message.Request != nil && message.Request.acceptable():
		m.out = append(m.out, Envelope{To: from, Message: Message{Reply: m.allocator.Handle(now, message.Request)}})
	case message.Reply != nil:
		m.answered(now, from, message.Reply)
	}
}

// answered takes an allocator's answer. One that comes late, or again, brings nothing.
func (m *Machine) answered(now time.Time, from string, reply *Reply) {
	c := m.allocators[from]
	if c == nil || reply.Sequence != c.awaited {
		return
	}
	fresh := c.echo.Life != reply.Clock.Life || now.Sub(c.heard) >= delegationSpan/2
	c.echo, c.heard = reply.Clock, now
	c.awaited, c.missed, c.silent, c.backoff = 0, 0, reply.Leaving, 0
	if reply.Leaving {
		c.retryAt = now.Add(firstRetry)
	}
	wanted := c.wanted
	c.wanted = nil
	for i := range reply.Grants {
		m.granted(now, c, &reply.Grants[i])
	}
	for _, tenant := range wanted {
		m.settled(now, tenant, c)
	}
	if c.awaited == 0 && (len(c.queued) > 0 || fresh && m.isHome(c.address)) {
		m.request(now, c)
	}
}

// granted takes tokens, which are good from when they were asked for.
func (m *Machine) granted(now time.Time, c *correspondent, granted *Grant) {
	w := m.balances[granted.Tenant]
	if w == nil {
		return
	}
	if until := c.sent.Add(granted.Life); granted.Count > 0 && until.After(now) {
		w.lots = append(w.lots, lot{count: granted.Count, from: now, until: until})
	}
	// The allocator counts from a moment between the question and its answer.
	for i := range min(granted.Later, maxWants) {
		delay := granted.First + time.Duration(i)*granted.Pace
		w.lots = append(w.lots, lot{count: 1, from: now.Add(delay), until: c.sent.Add(delay + granted.Life)})
	}
	w.young = granted.Young
	if granted.Dry > 0 {
		w.dry[c.address] = now.Add(min(granted.Dry, mostDry))
	}
}

// settled goes on to the next allocator if operations still wait for tokens of a tenant.
func (m *Machine) settled(now time.Time, tenant string, c *correspondent) {
	w := m.balances[tenant]
	if w == nil || w.asked != c.address {
		return
	}
	w.asked = ""
	if w.lack(now) > 0 {
		m.ask(now, tenant, w)
	}
}

// isHome reports whether a node is an allocator to which this one delegates.
func (m *Machine) isHome(address string) bool {
	for _, addresses := range m.fleet.Home.Allocators {
		if present, found := m.firstAnswering(addresses); found && present == address {
			return true
		}
	}
	return false
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
	if now.Sub(m.swept) >= balanceLife {
		m.sweep(now)
	}
}

// renew tells the allocators of this node's region that its share is still theirs.
func (m *Machine) renew(now time.Time) {
	for index, addresses := range m.fleet.Home.Allocators {
		address, found := m.firstAnswering(addresses)
		if !found {
			continue
		}
		c := m.correspondent(address)
		if c.awaited == 0 && (now.Sub(c.sent) >= renewInterval || m.idle(now, index) && now.Sub(c.heard) < delegationSpan/2) {
			m.request(now, c)
		}
	}
}

// idle reports whether the node's share of a part could be delegated, and is not.
func (m *Machine) idle(now time.Time, index int) bool {
	part := m.homePart(index)
	return m.usable(now) && !m.promises[part].until.After(now) && !m.heldElsewhere(now, part, "", 0)
}

// usable reports whether the node has a share that it may delegate.
func (m *Machine) usable(now time.Time) bool {
	return !m.shareFrom.IsZero() && !now.Before(m.shareFrom) && m.nodes > 0
}

// miss takes note that an allocator has not answered. What was asked of it is asked again, of
// another one if it counts as silent.
func (m *Machine) miss(now time.Time, c *correspondent) {
	wanted := append(c.wanted, c.queued...)
	c.awaited, c.wanted, c.queued = 0, nil, nil
	c.missed++
	if c.missed >= missesToSilent || c.silent {
		c.silent = true
		c.backoff = min(max(2*c.backoff, firstRetry), lastRetry)
		c.retryAt = now.Add(c.backoff)
	}
	for _, tenant := range wanted {
		m.settled(now, tenant, c)
	}
}

// sweep forgets what is no longer used.
func (m *Machine) sweep(now time.Time) {
	m.swept = now
	for tenant, w := range m.balances {
		if now.Sub(w.used) >= balanceLife && w.waiting == 0 && w.asked == "" {
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

// Ready reports whether an operation that waits for a token of a tenant should ask again.
func (m *Machine) Ready(now time.Time, tenant string) bool {
	w := m.balances[tenant]
	return w == nil || w.asked == "" || w.held(now) > 0
}
