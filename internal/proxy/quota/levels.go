package quota

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

// Distribution of a tenant's tokens among levels while demand exceeds the rate at which tokens are
// issued. Tokens are only taken from the supply, so no more than the issued ones are granted,
// whatever the recorded demand is.
const (
	// reserveWindow is the time for which the demand of more urgent work is kept in the balance:
	// several round-trip times. Demand beyond it is served by tokens that are issued meanwhile,
	// which more urgent work gets first. With a longer time the balance would be full more often,
	// and tokens would be lost.
	reserveWindow = 100 * time.Millisecond
	// guaranteedShare is the part of the issued tokens that each less urgent level with demand
	// may take whatever more urgent work needs. guaranteeWindow bounds what accumulates of it:
	// the time until rejected callers retry.
	guaranteedShare = 0.1
	guaranteeWindow = maxRetryAfter
	// minDemand is the demand, in tokens per second, below which a level counts as having none.
	// The demand of a single request decays to it within three seconds.
	minDemand = 0.1
)

// LevelCounts are numbers of tokens or operations by level.
type LevelCounts [urgency.Levels]uint32

// decodeLevels decodes the levels of a message. Levels that only a later version knows count as
// the least urgent one.
func decodeLevels(encoded []uint32) (counts LevelCounts) {
	for level, count := range encoded {
		counts[min(level, int(urgency.Least))] += min(count, maxCount)
	}
	return counts
}

// encode encodes the levels for a message, without trailing zeros.
func (n *LevelCounts) encode() []uint32 {
	for last := len(n); last > 0; last-- {
		if n[last-1] > 0 {
			return append([]uint32(nil), n[:last]...)
		}
	}
	return nil
}

func (n *LevelCounts) sum() (sum uint32) {
	for _, count := range n {
		sum += count
	}
	return sum
}

// supply is an allocator's supply of a tenant's tokens at a point in time.
type supply struct {
	// balance is the number of tokens that are available now; negative if tokens were granted
	// that are still to be issued.
	balance float64
	// assured is the balance with the tokens that are certain to be issued soon.
	assured float64
	// rate is the number of tokens issued per second, maxBalance the maximum that is kept.
	rate, maxBalance float64
}

// claims is the recent demand for a tenant's tokens by level, and what less urgent levels have
// accumulated of their guaranteed minimum.
type claims struct {
	levelDemand [urgency.Levels]demand
	// unlevelledDemand is the demand without a level while no level had any.
	unlevelledDemand demand
	guaranteed       [urgency.Levels]float64
	updated          time.Time
}

// needsByLevel returns the needs of a want by level. The needs of the previous version, which
// have no level, count for the least urgent level with demand; known is false if there is none.
func (c *claims) needsByLevel(now time.Time, want *Want) (needs LevelCounts, known bool) {
	needs = decodeLevels(want.Levels)
	sum := needs.sum()
	for level := urgency.Levels - 1; sum > want.Need; level-- {
		excess := min(needs[level], sum-want.Need)
		needs[level] -= excess
		sum -= excess
	}
	rest := want.Need - sum
	if rest == 0 {
		return needs, true
	}
	for level := urgency.Levels - 1; level >= 0; level-- {
		if needs[level] > 0 || c.hasDemand(now, level) {
			needs[level] += rest
			return needs, true
		}
	}
	needs[urgency.Least] = rest
	return needs, false
}

// recordDemand records the needs of a want and updates the guaranteed minimum of the less urgent
// levels.
func (c *claims) recordDemand(now time.Time, needs *LevelCounts, known bool, s supply) {
	c.accrueGuaranteed(now, s)
	if !known {
		c.unlevelledDemand.add(now, needs.sum())
		return
	}
	for level, count := range needs {
		c.levelDemand[level].add(now, count)
	}
}

// accrueGuaranteed adds to the guaranteed minimum of each less urgent level with demand.
func (c *claims) accrueGuaranteed(now time.Time, s supply) {
	elapsed := now.Sub(c.updated).Seconds()
	c.updated = now
	maximum := max(1, guaranteedShare*s.rate*guaranteeWindow.Seconds())
	for level := 1; level < urgency.Levels; level++ {
		if !c.hasDemand(now, level) {
			c.guaranteed[level] = 0
			continue
		}
		c.guaranteed[level] = min(maximum, c.guaranteed[level]+guaranteedShare*s.rate*elapsed)
	}
}

// hasDemand reports whether a level has had demand recently.
func (c *claims) hasDemand(now time.Time, level int) bool {
	return c.levelDemand[level].current(now) >= minDemand
}

// scarce reports whether demand exceeds the rate at which tokens are issued.
func (c *claims) scarce(now time.Time, s supply) bool {
	sum := c.unlevelledDemand.current(now)
	for level := range c.levelDemand {
		sum += c.levelDemand[level].current(now)
	}
	return sum > s.rate
}

// moreUrgentDemand returns the demand of levels more urgent than the given one in tokens per
// second; zero while tokens are not scarce.
func (c *claims) moreUrgentDemand(now time.Time, level int, s supply) float64 {
	if !c.scarce(now, s) {
		return 0
	}
	sum := 0.0
	for l := range level {
		if c.hasDemand(now, l) {
			sum += c.levelDemand[l].current(now)
		}
	}
	return sum
}

// reserve returns the part of the balance that is kept from a level for more urgent work: its
// expected demand and one token. It is at most what is kept for waiting operations, because
// tokens issued while the balance is full are lost.
func (c *claims) reserve(now time.Time, level int, s supply) float64 {
	demand := c.moreUrgentDemand(now, level, s)
	if demand == 0 {
		return 0
	}
	return min(demand*reserveWindow.Seconds()+1, prefetchReserve*s.maxBalance)
}

// availableNow returns how many tokens of the balance a level may take.
func (c *claims) availableNow(now time.Time, level int, s supply) uint32 {
	reserve := c.reserve(now, level, s)
	if reserve == 0 {
		return wholeTokens(s.balance)
	}
	return min(wholeTokens(s.balance), max(wholeTokens(s.balance-reserve), wholeTokens(c.guaranteed[level])))
}

// availableFuture returns how many tokens that are still to be issued a level may take. While
// more urgent work has demand, less urgent work gets only its guaranteed minimum, because more
// urgent work would have to wait for tokens that are issued later.
func (c *claims) availableFuture(now time.Time, level int, s supply) uint32 {
	if c.moreUrgentDemand(now, level, s) > 0 {
		return min(wholeTokens(s.assured), wholeTokens(c.guaranteed[level]))
	}
	guaranteed := 0.0
	if c.scarce(now, s) {
		for l := level + 1; l < urgency.Levels; l++ {
			guaranteed += c.guaranteed[l]
		}
	}
	return wholeTokens(s.assured - guaranteed)
}

// recordGrant deducts tokens granted to a level from its guaranteed minimum.
func (c *claims) recordGrant(level int, count uint32) {
	c.guaranteed[level] = max(0, c.guaranteed[level]-float64(count))
}

// timeToToken returns the time until a level may get a token; false if it is unknown. While less
// urgent work is throttled, several operations compete for each token that is left to it. Each
// should retry after a time in which one token is issued for each of them.
func (c *claims) timeToToken(now time.Time, level int, s supply) (time.Duration, bool) {
	if s.rate <= 0 || s.maxBalance < 1 {
		return 0, false
	}
	wait := (1 - s.balance) / s.rate
	if demand := c.moreUrgentDemand(now, level, s); demand > 0 {
		remaining := max(s.rate-demand, guaranteedShare*s.rate)
		wait = max(wait, c.levelDemand[level].current(now)/remaining/remaining)
	}
	return time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second)), true
}
