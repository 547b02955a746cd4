package quota

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

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

// ask asks for the tokens of a tenant that are lacking: the first allocator that may have some
// for the most urgent operations that wait, or the first of all if none waits.
func (m *Machine) ask(now time.Time, tenant string, w *balance) {
	address, found := m.toAsk(now, tenant, w)
	if !found {
		return
	}
	w.asked = address
	c := m.correspondent(address)
	c.queued = append(c.queued, tenant)
	if c.awaited == 0 {
		m.request(now, c)
	}
}

func (m *Machine) toAsk(now time.Time, tenant string, w *balance) (string, bool) {
	lack := w.lack(now)
	if lack == (Needs{}) {
		return m.allocatorFor(now, tenant, w, int(urgency.Least))
	}
	for level, count := range lack {
		if count == 0 {
			continue
		}
		if address, found := m.allocatorFor(now, tenant, w, level); found {
			return address, true
		}
	}
	return "", false
}

// allocatorFor returns the allocator to ask for tokens of a tenant for a level: that of the
// node's own region, or one of another region if that has none.
func (m *Machine) allocatorFor(now time.Time, tenant string, w *balance, level int) (string, bool) {
	for region := range m.fleet.regions {
		address, found := m.present(region, tenant)
		if found && !w.isDry(address, level, now) {
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
			asked.Wants = append(asked.Wants, m.want(now, tenant, w, c.address))
		}
	}
	c.awaited, c.sent = m.sequence, now
	m.out = append(m.out, Envelope{To: c.address, Message: Message{Request: asked}})
}

// want returns what to ask an allocator for: what is lacking at the levels for which it may
// have some.
func (m *Machine) want(now time.Time, tenant string, w *balance, allocator string) Want {
	limit, _ := m.cfg.Limits(tenant)
	needs := w.lack(now)
	for level := range needs {
		if w.isDry(allocator, level, now) {
			needs[level] = 0
		}
		needs[level] = min(needs[level], maxCount/urgency.Levels)
	}
	w.wanted = needs
	return Want{Tenant: tenant, Need: needs.sum(), More: min(w.pace.ahead(now, limit.Life), maxCount), Levels: needs.told()}
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
	levels := needsOf(granted.Levels)
	if until := c.sent.Add(granted.Life); until.After(now) {
		w.add(granted.Count, &levels, now, until)
	}
	// The allocator counts from a moment between the question and its answer.
	for i := range min(granted.Later, maxWants) {
		delay := granted.First + time.Duration(i)*granted.Pace
		w.add(1, &levels, now.Add(delay), c.sent.Add(delay+granted.Life))
	}
	w.young = granted.Young
	if granted.Dry <= 0 {
		return
	}
	w.aheadFrom = now.Add(min(granted.Dry, mostDry))
	for level, wanted := range w.wanted {
		dry := granted.Dry
		if len(granted.LevelsDry) == urgency.Levels {
			dry = granted.LevelsDry[level]
		}
		if wanted > 0 && dry > 0 {
			w.setDry(c.address, level, now.Add(min(dry, mostDry)))
		}
	}
}

// add adds tokens, and takes them off what each level is still to be given of a grant.
func (w *balance) add(count uint32, levels *Needs, from, until time.Time) {
	for level := range levels {
		given := min(count, levels[level])
		levels[level] -= given
		count -= given
		if given > 0 {
			w.lots = append(w.lots, lot{count: given, level: level, from: from, until: until})
		}
	}
	if count > 0 {
		w.lots = append(w.lots, lot{count: count, level: anybody, from: from, until: until})
	}
}

// settled goes on to the next allocator if operations still wait for tokens of a tenant.
func (m *Machine) settled(now time.Time, tenant string, c *correspondent) {
	w := m.balances[tenant]
	if w == nil || w.asked != c.address {
		return
	}
	w.asked = ""
	if w.lack(now) != (Needs{}) {
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
