package quota

import "time"

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
