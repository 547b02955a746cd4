package quota

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

const (
	// aheadShare is the part of its stock that an allocator keeps for operations that wait:
	// tokens ahead of need are handed out beyond it only.
	aheadShare = 0.5
	// leastDry and mostDry bound the time after which an allocator that has no token is asked
	// again.
	leastDry = 10 * time.Millisecond
	mostDry  = time.Second
	// mostDelay bounds how long tokens that are still to be minted are waited for: with the
	// statement itself it is within a usual objective. It takes the place of a refusal
	// after a loss of all nodes, when no allocator has any tokens: 8.1% of a day with two such
	// losses are refused in place of 10.5% (one play, 59 nodes, 72 tenants).
	mostDelay = 400 * time.Millisecond
)

// grant hands out tokens of a tenant.
func (b *Allocator) grant(now time.Time, want *Want) Grant {
	limit, limited := b.limits(want.Tenant)
	if !limited {
		// A configuration that the asker does not know has lifted the quota, or this node
		// does not know of the tenant yet.
		return Grant{Tenant: want.Tenant, Dry: mostDry}
	}
	a := b.accounts[want.Tenant]
	if a == nil {
		a = &account{limit: limit}
		b.accounts[want.Tenant] = a
	}
	share := b.settle(now, want.Tenant, a)
	if a.limit != limit {
		a.limit = limit
		a.tokens = min(a.tokens, limit.Stock*share)
	}
	granted := Grant{Tenant: want.Tenant, Life: limit.Life}
	b.share(now, a, want, share, &granted)
	return granted
}

// share hands a tenant's tokens out to the levels of a want, the most urgent first.
func (b *Allocator) share(now time.Time, a *account, want *Want, share float64, granted *Grant) {
	needs, known := a.claims.levels(now, want)
	a.claims.ask(now, &needs, known, b.supply(now, a, want.Tenant, share))
	var given Needs
	for level, need := range needs {
		given[level] = b.grantLevel(now, a, level, need, share, granted)
	}
	missing := given.sum() < want.Need
	if !missing {
		b.grantMore(now, a, want, share, granted)
	}
	if len(want.Levels) > 0 {
		granted.Levels = given.told()
	}
	if missing || whole(a.tokens) == 0 && want.Need == 0 {
		b.refuse(now, a, want, &needs, &given, share, granted)
	}
}

// refuse tells when the levels that were not given what they need may have a token, or
// tokens may be asked for ahead again.
func (b *Allocator) refuse(now time.Time, a *account, want *Want, needs, given *Needs, share float64, granted *Grant) {
	s := b.supply(now, a, want.Tenant, share)
	granted.Young = now.Sub(b.started) < youngSpan
	granted.Dry = b.dry(now, a, int(urgency.Least), s)
	dry := make([]time.Duration, urgency.Levels)
	for level := urgency.Levels - 1; level >= 0; level-- {
		if given[level] == needs[level] {
			continue
		}
		if a.claims.moreUrgent(now, level, s) > 0 {
			b.holdBack(now, want.Tenant, a, level, needs[level]-given[level], s)
		}
		dry[level] = b.dry(now, a, level, s)
		granted.Dry = dry[level]
	}
	if len(want.Levels) > 0 {
		granted.LevelsDry = dry
	}
}

func (b *Allocator) supply(now time.Time, a *account, tenant string, share float64) supply {
	return supply{
		tokens: a.tokens, sure: a.tokens + a.limit.Rate*b.ahead(now, tenant),
		pace: a.limit.Rate * share, stock: a.limit.Stock * share,
	}
}

// grantLevel hands out what a level needs and may have: tokens on hand, and once there are
// none, those that the present delegations are sure to mint soon: until a delegation ends,
// its share mints here and nowhere else.
func (b *Allocator) grantLevel(now time.Time, a *account, level int, need uint32, share float64, granted *Grant) uint32 {
	if need == 0 {
		return 0
	}
	count := min(need, a.claims.atOnce(now, level, b.supply(now, a, granted.Tenant, share)))
	a.tokens -= float64(count)
	a.claims.take(level, count)
	granted.Count += count
	s := b.supply(now, a, granted.Tenant, share)
	if count == need || whole(s.tokens) > 0 || s.pace <= 0 {
		return count
	}
	later := min(need-count, a.claims.ahead(now, level, s))
	if later == 0 {
		return count
	}
	if granted.Later == 0 {
		granted.First = max(0, time.Duration((1-s.tokens)/s.pace*float64(time.Second)))
		granted.Pace = time.Duration(float64(time.Second) / s.pace)
	}
	a.tokens -= float64(later)
	a.claims.take(level, later)
	granted.Later += later
	return count + later
}

// grantMore hands out tokens ahead of need, of what is neither kept for operations that wait
// nor for more urgent work.
func (b *Allocator) grantMore(now time.Time, a *account, want *Want, share float64, granted *Grant) {
	s := b.supply(now, a, want.Tenant, share)
	kept := max(aheadShare*s.stock, a.claims.reserve(now, int(urgency.Least), s))
	more := min(want.More, whole(s.tokens-kept))
	a.tokens -= float64(more)
	granted.Count += more
}

// ahead returns the share of a tenant's part that is delegated, summed over the time until
// each delegation ends, in seconds.
func (b *Allocator) ahead(now time.Time, tenant string) float64 {
	volume := 0.0
	for _, d := range b.delegations {
		if d.part.Covers(tenant) {
			volume += d.share * min(d.until.Sub(now), mostDelay).Seconds()
		}
	}
	return volume
}

// dry returns the time after which a level has a chance of a token.
func (b *Allocator) dry(now time.Time, a *account, level int, s supply) time.Duration {
	wait, known := a.claims.next(now, level, s)
	if !known {
		wait = mostDry
	}
	wait = min(max(wait, leastDry), mostDry)
	if now.Sub(b.started) < youngSpan {
		wait = min(wait, youngDry)
	}
	return wait
}
