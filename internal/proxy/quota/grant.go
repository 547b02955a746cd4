package quota

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

const (
	// prefetchReserve is the part of the maximum balance that is kept for waiting operations.
	// Tokens are granted ahead of need only from the balance above it.
	prefetchReserve = 0.5
	// minRetryAfter and maxRetryAfter bound the time after which an allocator without tokens is
	// asked again.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = time.Second
	// maxFutureDelay bounds how long an operation waits for tokens that are still to be issued.
	// Together with the statement itself it is within a usual latency objective. Waiting avoids
	// rejections after a restart of all nodes, when no allocator has tokens.
	maxFutureDelay = 400 * time.Millisecond
)

// handleWant grants tokens of a tenant.
func (a *Allocator) handleWant(now time.Time, want *Want) Grant {
	limit, limited := a.limits(want.Tenant)
	if !limited {
		// The requester does not know yet that the quota was removed, or this node does not know
		// the tenant yet.
		return Grant{Tenant: want.Tenant, RetryAfter: maxRetryAfter}
	}
	acc := a.accounts[want.Tenant]
	if acc == nil {
		acc = &account{limit: limit}
		a.accounts[want.Tenant] = acc
	}
	share := a.settle(now, want.Tenant, acc)
	if acc.limit != limit {
		acc.limit = limit
		acc.balance = min(acc.balance, limit.MaxBalance*share)
	}
	grant := Grant{Tenant: want.Tenant, TTL: limit.TTL}
	a.distribute(now, acc, want, share, &grant)
	return grant
}

// distribute grants a tenant's tokens to the levels of a want, the most urgent first.
func (a *Allocator) distribute(now time.Time, acc *account, want *Want, share float64, grant *Grant) {
	needs, known := acc.claims.needsByLevel(now, want)
	acc.claims.recordDemand(now, &needs, known, a.supply(now, acc, want.Tenant, share))
	var granted LevelCounts
	for level, need := range needs {
		granted[level] = a.grantLevel(now, acc, level, need, share, grant)
	}
	missing := granted.sum() < want.Need
	if !missing {
		a.grantPrefetch(now, acc, want, share, grant)
	}
	if len(want.Levels) > 0 {
		grant.Levels = granted.encode()
	}
	if missing || wholeTokens(acc.balance) == 0 && want.Need == 0 {
		a.setRetryTimes(now, acc, want, &needs, &granted, share, grant)
	}
}

// setRetryTimes sets when levels that got less than they need may get a token, or when tokens may
// be requested ahead of need again.
func (a *Allocator) setRetryTimes(now time.Time, acc *account, want *Want, needs, granted *LevelCounts, share float64, grant *Grant) {
	s := a.supply(now, acc, want.Tenant, share)
	grant.Starting = now.Sub(a.started) < startupPeriod
	grant.RetryAfter = a.retryAfter(now, acc, int(urgency.Least), s)
	retryAfter := make([]time.Duration, urgency.Levels)
	for level := urgency.Levels - 1; level >= 0; level-- {
		if granted[level] == needs[level] {
			continue
		}
		if acc.claims.moreUrgentDemand(now, level, s) > 0 {
			a.recordThrottling(now, want.Tenant, acc, level, needs[level]-granted[level], s)
		}
		retryAfter[level] = a.retryAfter(now, acc, level, s)
		grant.RetryAfter = retryAfter[level]
	}
	if len(want.Levels) > 0 {
		grant.LevelsRetryAfter = retryAfter
	}
}

func (a *Allocator) supply(now time.Time, acc *account, tenant string, share float64) supply {
	return supply{
		balance: acc.balance, assured: acc.balance + acc.limit.Rate*a.futureShareSeconds(now, tenant),
		rate: acc.limit.Rate * share, maxBalance: acc.limit.MaxBalance * share,
	}
}

// grantLevel grants what a level needs and may take: tokens of the balance first, and then tokens
// that the present delegations are certain to issue soon. Until a delegation expires, its share
// issues tokens only here.
func (a *Allocator) grantLevel(now time.Time, acc *account, level int, need uint32, share float64, grant *Grant) uint32 {
	if need == 0 {
		return 0
	}
	count := min(need, acc.claims.availableNow(now, level, a.supply(now, acc, grant.Tenant, share)))
	acc.balance -= float64(count)
	acc.claims.recordGrant(level, count)
	grant.Count += count
	s := a.supply(now, acc, grant.Tenant, share)
	if count == need || wholeTokens(s.balance) > 0 || s.rate <= 0 {
		return count
	}
	future := min(need-count, acc.claims.availableFuture(now, level, s))
	if future == 0 {
		return count
	}
	if grant.Future == 0 {
		grant.FirstDelay = max(0, time.Duration((1-s.balance)/s.rate*float64(time.Second)))
		grant.Interval = time.Duration(float64(time.Second) / s.rate)
	}
	acc.balance -= float64(future)
	acc.claims.recordGrant(level, future)
	grant.Future += future
	return count + future
}

// grantPrefetch grants tokens ahead of need from the part of the balance that is kept neither for
// waiting operations nor for more urgent work.
func (a *Allocator) grantPrefetch(now time.Time, acc *account, want *Want, share float64, grant *Grant) {
	s := a.supply(now, acc, want.Tenant, share)
	reserved := max(prefetchReserve*s.maxBalance, acc.claims.reserve(now, int(urgency.Least), s))
	count := min(want.Prefetch, wholeTokens(s.balance-reserved))
	acc.balance -= float64(count)
	grant.Count += count
}

// futureShareSeconds returns the delegated share of a tenant's part, integrated until each
// delegation expires but at most over maxFutureDelay, in seconds.
func (a *Allocator) futureShareSeconds(now time.Time, tenant string) float64 {
	shareSeconds := 0.0
	for _, d := range a.delegations {
		if d.part.Covers(tenant) {
			shareSeconds += d.share * min(d.validUntil.Sub(now), maxFutureDelay).Seconds()
		}
	}
	return shareSeconds
}

// retryAfter returns the time after which a level may get a token.
func (a *Allocator) retryAfter(now time.Time, acc *account, level int, s supply) time.Duration {
	wait, known := acc.claims.timeToToken(now, level, s)
	if !known {
		wait = maxRetryAfter
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	if now.Sub(a.started) < startupPeriod {
		wait = min(wait, startupRetryAfter)
	}
	return wait
}
