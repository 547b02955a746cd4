package quota

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

// Verdict is the result of Machine.Take.
type Verdict struct {
	Granted bool
	// ValidFrom and ValidUntil are when the token of a granted operation is valid. The operation
	// may have to wait for ValidFrom.
	ValidFrom  time.Time
	ValidUntil time.Time
	// Pending is set if an allocator is being asked. The operation counts as waiting and should
	// call Take again once Machine.Ready reports true.
	Pending bool
	// RetryAfter is when a rejected operation should retry. Starting is set if that is soon
	// because the allocators have only just started.
	RetryAfter time.Duration
	Starting   bool
}

// Take asks for a token for an operation of a level. alreadyWaiting is set if the operation
// counts as waiting from an earlier call.
func (m *Machine) Take(now time.Time, tenant string, level urgency.Level, alreadyWaiting bool) Verdict {
	t := m.tenants[tenant]
	if t == nil {
		t = &tenantTokens{exhausted: map[string]*[urgency.Levels]time.Time{}}
		m.tenants[tenant] = t
	}
	t.lastUsed = now
	if alreadyWaiting {
		t.waiting[level]--
	}
	if t.available(now, level) > 0 {
		token := t.take(now, level)
		t.demand.add(now, 1)
		m.prefetchTokens(now, tenant, t)
		return Verdict{Granted: true, ValidFrom: token.validFrom, ValidUntil: token.validUntil}
	}
	if !m.canRequest(now, tenant, t, int(level)) {
		return Verdict{RetryAfter: t.retryAfter(now, int(level)), Starting: t.starting}
	}
	t.waiting[level]++
	if t.pendingAllocator == "" {
		m.requestTokens(now, tenant, t)
	}
	return Verdict{Pending: true}
}

// canRequest reports whether an allocator that may have a token for a level is being asked or can
// be asked.
func (m *Machine) canRequest(now time.Time, tenant string, t *tenantTokens, level int) bool {
	if t.pendingAllocator != "" && !t.isExhausted(t.pendingAllocator, level, now) {
		return true
	}
	_, found := m.allocatorFor(now, tenant, t, level)
	return found
}

// Ready reports whether a waiting operation of a level should call Take again.
func (m *Machine) Ready(now time.Time, tenant string, level urgency.Level) bool {
	t := m.tenants[tenant]
	return t == nil || t.pendingAllocator == "" || t.available(now, level) > 0 || !m.canRequest(now, tenant, t, int(level))
}

// Abandon ends the wait of an operation.
func (m *Machine) Abandon(tenant string, level urgency.Level) {
	if t := m.tenants[tenant]; t != nil && t.waiting[level] > 0 {
		t.waiting[level]--
	}
}

// Refund returns the token of an operation of a level that did not run.
func (m *Machine) Refund(now time.Time, tenant string, level urgency.Level, validFrom, validUntil time.Time) {
	if t := m.tenants[tenant]; t != nil && validUntil.After(now) {
		t.batches = append(t.batches, tokenBatch{count: 1, level: int(level), validFrom: validFrom, validUntil: validUntil})
	}
}

// retryAfter returns the time until one of the allocators has a token for a level.
func (t *tenantTokens) retryAfter(now time.Time, level int) time.Duration {
	first := time.Duration(0)
	for _, exhausted := range t.exhausted {
		if remaining := exhausted[level].Sub(now); remaining > 0 && (first == 0 || remaining < first) {
			first = remaining
		}
	}
	if first == 0 {
		return unreachableRetryAfter
	}
	return first
}

// prefetchTokens requests tokens ahead of need for a tenant that uses several within a token's
// lifetime.
func (m *Machine) prefetchTokens(now time.Time, tenant string, t *tenantTokens) {
	limit, limited := m.cfg.Limits(tenant)
	if !limited || t.pendingAllocator != "" || now.Before(t.nextPrefetch) {
		return
	}
	if count := t.demand.expected(now, limit.TTL); count > 0 && t.total(now) <= count/2 {
		m.requestTokens(now, tenant, t)
	}
}
