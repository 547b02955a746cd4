package quota

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

// peer is the state of the exchange with an allocator.
type peer struct {
	address string
	echo    Echo
	// lastReply and lastRequest are the times of the last reply and the last request.
	lastReply   time.Time
	lastRequest time.Time
	// pendingSequence is the sequence number of the unanswered request; 0 if there is none.
	pendingSequence uint64
	// requested holds the tenants of the unanswered request, queued those of the next one.
	requested []string
	queued    []string
	missed    int
	// unavailable is set after too many missed replies, or if the allocator has announced that
	// its process ends. It is asked again at retryAt.
	unavailable bool
	retryAt     time.Time
	backoff     time.Duration
}

// Envelope is a message with the address of its receiver.
type Envelope struct {
	To      string
	Message Message
}

// requestTokens requests the missing tokens of a tenant. It asks the first allocator that may
// have some for the most urgent waiting operations, or the first one of all if none waits.
func (m *Machine) requestTokens(now time.Time, tenant string, t *tenantTokens) {
	address, found := m.chooseAllocator(now, tenant, t)
	if !found {
		return
	}
	t.pendingAllocator = address
	p := m.peer(address)
	p.queued = append(p.queued, tenant)
	if p.pendingSequence == 0 {
		m.sendRequest(now, p)
	}
}

func (m *Machine) chooseAllocator(now time.Time, tenant string, t *tenantTokens) (string, bool) {
	shortage := t.shortage(now)
	if shortage == (LevelCounts{}) {
		return m.allocatorFor(now, tenant, t, int(urgency.Least))
	}
	for level, count := range shortage {
		if count == 0 {
			continue
		}
		if address, found := m.allocatorFor(now, tenant, t, level); found {
			return address, true
		}
	}
	return "", false
}

// allocatorFor returns the allocator to ask for a tenant's tokens for a level: that of the node's
// region, or if that has none, one of another region.
func (m *Machine) allocatorFor(now time.Time, tenant string, t *tenantTokens, level int) (string, bool) {
	for region := range m.fleet.regions {
		address, found := m.availableAllocator(region, tenant)
		if found && !t.isExhausted(address, level, now) {
			return address, true
		}
	}
	return "", false
}

// availableAllocator returns the first available allocator of a tenant's part in a region.
func (m *Machine) availableAllocator(region Region, tenant string) (string, bool) {
	if len(region.Allocators) == 0 {
		return "", false
	}
	return m.firstAvailable(region.Allocators[PartOf(tenant, len(region.Allocators)).Index])
}

func (m *Machine) firstAvailable(addresses []string) (string, bool) {
	for _, address := range addresses {
		if p := m.allocators[address]; p == nil || !p.unavailable {
			return address, true
		}
	}
	return "", false
}

func (m *Machine) peer(address string) *peer {
	p := m.allocators[address]
	if p == nil {
		p = &peer{address: address}
		m.allocators[address] = p
		m.allocatorOrder = append(m.allocatorOrder, address)
	}
	return p
}

// sendRequest sends an allocator the delegations and the queued wants.
func (m *Machine) sendRequest(now time.Time, p *peer) {
	m.sequence++
	request := &Request{Node: m.cfg.Node, Sequence: m.sequence, Echo: p.echo, Delegations: m.delegationsTo(now, p)}
	p.requested, p.queued = p.queued, nil
	if len(p.requested) > maxWants {
		p.requested, p.queued = p.requested[:maxWants], p.requested[maxWants:]
	}
	for _, tenant := range p.requested {
		if t := m.tenants[tenant]; t != nil {
			request.Wants = append(request.Wants, m.buildWant(now, tenant, t, p.address))
		}
	}
	p.pendingSequence, p.lastRequest = m.sequence, now
	m.out = append(m.out, Envelope{To: p.address, Message: Message{Request: request}})
}

// buildWant returns the want for a tenant: the shortage at the levels for which the allocator may
// have tokens.
func (m *Machine) buildWant(now time.Time, tenant string, t *tenantTokens, allocator string) Want {
	limit, _ := m.cfg.Limits(tenant)
	needs := t.shortage(now)
	for level := range needs {
		if t.isExhausted(allocator, level, now) {
			needs[level] = 0
		}
		needs[level] = min(needs[level], maxCount/urgency.Levels)
	}
	t.requested = needs
	return Want{Tenant: tenant, Need: needs.sum(), Prefetch: min(t.demand.expected(now, limit.TTL), maxCount), Levels: needs.encode()}
}

// handleReply handles an allocator's reply. Late and repeated replies are ignored.
func (m *Machine) handleReply(now time.Time, from string, reply *Reply) {
	p := m.allocators[from]
	if p == nil || reply.Sequence != p.pendingSequence {
		return
	}
	fresh := p.echo.Incarnation != reply.Clock.Incarnation || now.Sub(p.lastReply) >= delegationDuration/2
	p.echo, p.lastReply = reply.Clock, now
	p.pendingSequence, p.missed, p.unavailable, p.backoff = 0, 0, reply.Leaving, 0
	if reply.Leaving {
		p.retryAt = now.Add(minBackoff)
	}
	requested := p.requested
	p.requested = nil
	for i := range reply.Grants {
		m.applyGrant(now, p, &reply.Grants[i])
	}
	for _, tenant := range requested {
		m.requestRemaining(now, tenant, p)
	}
	if p.pendingSequence == 0 && (len(p.queued) > 0 || fresh && m.isHomeAllocator(p.address)) {
		m.sendRequest(now, p)
	}
}

// applyGrant stores granted tokens. Their lifetime starts with the request.
func (m *Machine) applyGrant(now time.Time, p *peer, grant *Grant) {
	t := m.tenants[grant.Tenant]
	if t == nil {
		return
	}
	levels := decodeLevels(grant.Levels)
	if until := p.lastRequest.Add(grant.TTL); until.After(now) {
		t.add(grant.Count, &levels, now, until)
	}
	// The allocator's delays start at some time between the request and the reply. Count the
	// start of validity from the reply and the expiry from the request, which is safe in both
	// cases.
	for i := range min(grant.Future, maxWants) {
		delay := grant.FirstDelay + time.Duration(i)*grant.Interval
		t.add(1, &levels, now.Add(delay), p.lastRequest.Add(delay+grant.TTL))
	}
	t.starting = grant.Starting
	if grant.RetryAfter <= 0 {
		return
	}
	t.nextPrefetch = now.Add(min(grant.RetryAfter, maxRetryAfter))
	for level, requested := range t.requested {
		retryAfter := grant.RetryAfter
		if len(grant.LevelsRetryAfter) == urgency.Levels {
			retryAfter = grant.LevelsRetryAfter[level]
		}
		if requested > 0 && retryAfter > 0 {
			t.setExhausted(p.address, level, now.Add(min(retryAfter, maxRetryAfter)))
		}
	}
}

// add stores tokens and deducts them from what each level is still to get of a grant.
func (t *tenantTokens) add(count uint32, levels *LevelCounts, validFrom, validUntil time.Time) {
	for level := range levels {
		taken := min(count, levels[level])
		levels[level] -= taken
		count -= taken
		if taken > 0 {
			t.batches = append(t.batches, tokenBatch{count: taken, level: level, validFrom: validFrom, validUntil: validUntil})
		}
	}
	if count > 0 {
		t.batches = append(t.batches, tokenBatch{count: count, level: anyLevel, validFrom: validFrom, validUntil: validUntil})
	}
}

// requestRemaining asks the next allocator if operations of a tenant still wait for tokens.
func (m *Machine) requestRemaining(now time.Time, tenant string, p *peer) {
	t := m.tenants[tenant]
	if t == nil || t.pendingAllocator != p.address {
		return
	}
	t.pendingAllocator = ""
	if t.shortage(now) != (LevelCounts{}) {
		m.requestTokens(now, tenant, t)
	}
}

// recordMiss records that an allocator has not replied. Its wants are requested again, from
// another allocator if it counts as unavailable.
func (m *Machine) recordMiss(now time.Time, p *peer) {
	requested := append(p.requested, p.queued...)
	p.pendingSequence, p.requested, p.queued = 0, nil, nil
	p.missed++
	if p.missed >= maxMissedReplies || p.unavailable {
		p.unavailable = true
		p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
		p.retryAt = now.Add(p.backoff)
	}
	for _, tenant := range requested {
		m.requestRemaining(now, tenant, p)
	}
}
