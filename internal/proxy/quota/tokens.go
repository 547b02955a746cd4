package quota

import (
	"math"
	"time"

	"dewknot/internal/proxy/urgency"
)

// tokenBatch is a number of tokens with the same validity period.
type tokenBatch struct {
	count uint32
	// level is the level for which the tokens were granted, or anyLevel.
	level      int
	validFrom  time.Time
	validUntil time.Time
}

// anyLevel marks tokens that were not granted for a particular level.
const anyLevel = urgency.Levels

// tenantTokens holds a node's tokens of a tenant and the operations that wait for them.
type tenantTokens struct {
	batches []tokenBatch
	// waiting counts the waiting operations by level.
	waiting LevelCounts
	// pendingAllocator is the allocator of the pending request; empty if there is none.
	pendingAllocator string
	// requested is what the last request asked for.
	requested LevelCounts
	// exhausted holds, by allocator and level, until when the allocator has no tokens.
	exhausted map[string]*[urgency.Levels]time.Time
	// nextPrefetch is the earliest time of the next prefetch.
	nextPrefetch time.Time
	demand       demand
	// starting is set if the allocator that replied last had only just started.
	starting bool
	// lastUsed is when an operation last asked for a token.
	lastUsed time.Time
}

// tokenCounts counts a node's tokens of a tenant by the level for which they were granted; usable
// are those that are valid already.
type tokenCounts struct {
	total, usable [urgency.Levels + 1]uint32
}

// tokenCounts drops expired tokens and counts the others.
func (t *tenantTokens) tokenCounts(now time.Time) (c tokenCounts) {
	kept := 0
	for _, b := range t.batches {
		if b.count == 0 || !b.validUntil.After(now) {
			continue
		}
		t.batches[kept] = b
		kept++
		c.total[b.level] += b.count
		if !b.validFrom.After(now) {
			c.usable[b.level] += b.count
		}
	}
	t.batches = t.batches[:kept]
	return c
}

// total returns the number of tokens, including those that become valid later.
func (t *tenantTokens) total(now time.Time) (sum uint32) {
	c := t.tokenCounts(now)
	for _, count := range c.total {
		sum += count
	}
	return sum
}

// spare returns how many tokens granted for tokenLevel an operation of another level may take:
// those that no operation of tokenLevel waits for. Tokens that become valid later are left to a
// more urgent level. Its waiting operations have shorter deadlines and may not be able to use
// them, but operations that arrive soon can.
func (t *tenantTokens) spare(c *tokenCounts, tokenLevel, level int) uint32 {
	spare := c.total[tokenLevel]
	if tokenLevel != anyLevel {
		spare -= min(spare, t.waiting[tokenLevel])
	}
	if tokenLevel < level {
		spare = min(spare, c.usable[tokenLevel])
	}
	return spare
}

// available returns how many tokens an operation of a level may take: those granted for its
// level, and the spare ones of other levels that waiting operations of more urgent levels do not
// need.
func (t *tenantTokens) available(now time.Time, level urgency.Level) uint32 {
	c := t.tokenCounts(now)
	spare, unmet := uint32(0), uint32(0)
	for other := range c.total {
		if other == int(level) {
			continue
		}
		spare += t.spare(&c, other, int(level))
		if other < int(level) {
			unmet += t.waiting[other] - min(c.total[other], t.waiting[other])
		}
	}
	return c.total[level] + spare - min(spare, unmet)
}

// take takes a token that a level may use: one of its own, or else a spare one of another level.
// Among these it takes the first to expire. There must be an available token.
func (t *tenantTokens) take(now time.Time, level urgency.Level) tokenBatch {
	c := t.tokenCounts(now)
	chosen := -1
	for i := range t.batches {
		b := &t.batches[i]
		switch {
		case c.total[level] > 0 && b.level != int(level):
			continue
		case c.total[level] == 0 && t.spare(&c, b.level, int(level)) == 0, b.level < int(level) && b.validFrom.After(now):
			continue
		}
		if chosen < 0 || b.validUntil.Before(t.batches[chosen].validUntil) {
			chosen = i
		}
	}
	t.batches[chosen].count--
	return tokenBatch{count: 1, validFrom: t.batches[chosen].validFrom, validUntil: t.batches[chosen].validUntil}
}

// isExhausted reports whether an allocator has reported that it has no token for a level now.
func (t *tenantTokens) isExhausted(allocator string, level int, now time.Time) bool {
	exhausted := t.exhausted[allocator]
	return exhausted != nil && exhausted[level].After(now)
}

// setExhausted records until when an allocator has no token for a level.
func (t *tenantTokens) setExhausted(allocator string, level int, until time.Time) {
	exhausted := t.exhausted[allocator]
	if exhausted == nil {
		exhausted = new([urgency.Levels]time.Time)
		t.exhausted[allocator] = exhausted
	}
	exhausted[level] = until
}

// shortage returns by level how many waiting operations the present tokens do not cover.
func (t *tenantTokens) shortage(now time.Time) (shortage LevelCounts) {
	c := t.tokenCounts(now)
	used := uint32(0)
	for level, waiting := range t.waiting {
		spare := uint32(0)
		for other := range c.total {
			if other != level {
				spare += t.spare(&c, other, level)
			}
		}
		shortage[level] = waiting - min(waiting, c.total[level])
		taken := min(shortage[level], spare-min(spare, used))
		shortage[level] -= taken
		used += taken
	}
	return shortage
}

// demandWindow is the time constant with which demand is smoothed.
const demandWindow = 2 * time.Second

// demand is the exponentially smoothed number of tokens used or requested per second.
type demand struct {
	perSecond float64
	updated   time.Time
}

// add records that tokens were used or requested.
func (d *demand) add(now time.Time, count uint32) {
	if count == 0 {
		return
	}
	d.perSecond = d.current(now) + float64(count)/demandWindow.Seconds()
	d.updated = now
}

func (d *demand) current(now time.Time) float64 {
	if d.perSecond == 0 {
		return 0
	}
	return d.perSecond * math.Exp(-now.Sub(d.updated).Seconds()/demandWindow.Seconds())
}

// expected returns how many tokens are expected to be used within a token's lifetime.
func (d *demand) expected(now time.Time, ttl time.Duration) uint32 {
	return uint32(d.current(now) * ttl.Seconds())
}
