package quota

import (
	"time"

	"dewknot/internal/proxy/urgency"
)

// How an allocator shares a tenant's tokens out while more are asked for than are minted.
// Tokens are only ever taken from what there is, so nothing here can hand out more than
// was minted, whatever is remembered of demand.
const (
	// reserveSpan is the time for which the demand of more urgent work is kept of a tenant's
	// stock from less urgent work: some round trips. What comes beyond it is minted meanwhile,
	// and more urgent work has that first. With the whole of mostDelay a fifth of a busy
	// tenant's tokens found a full stock and were lost (replay, four times its rate).
	reserveSpan = 100 * time.Millisecond
	// floorShare is the part of what is minted that each less urgent level may have while it
	// asks, whatever more urgent work wants. floorSpan bounds what it saves up: until those
	// come back who were told to.
	floorShare = 0.1
	floorSpan  = mostDry
	// leastAsked is the demand, in tokens a second, below which a level counts as not asking:
	// a single question has faded to it after three seconds.
	leastAsked = 0.1
)

// Needs are numbers of tokens by level.
type Needs [urgency.Levels]uint32

// needsOf reads what a message says of the levels. Those that only a later version knows
// count as the least urgent one.
func needsOf(told []uint32) (n Needs) {
	for level, count := range told {
		n[min(level, int(urgency.Least))] += min(count, maxCount)
	}
	return n
}

// told returns what a message says of the levels: nothing of those behind the last that
// needs any.
func (n *Needs) told() []uint32 {
	for last := len(n); last > 0; last-- {
		if n[last-1] > 0 {
			return append([]uint32(nil), n[:last]...)
		}
	}
	return nil
}

func (n *Needs) sum() (sum uint32) {
	for _, count := range n {
		sum += count
	}
	return sum
}

// supply is what an allocator has of a tenant's tokens at a moment.
type supply struct {
	// tokens are on hand; below zero if some were handed out that are still to be minted.
	tokens float64
	// sure includes those that are sure to be minted soon.
	sure float64
	// pace is how many are minted a second, stock the most that are kept.
	pace, stock float64
}

// claims is what was lately asked of a tenant's tokens, by level, and what is owed to less
// urgent levels.
type claims struct {
	asked [urgency.Levels]pace
	// unknown is what was asked without a level while none was known.
	unknown pace
	owed    [urgency.Levels]float64
	at      time.Time
}

// levels returns what a want needs by level. What a node of an earlier version asks has
// none: it counts as the least urgent level that asks; false if no level does.
func (c *claims) levels(now time.Time, want *Want) (needs Needs, known bool) {
	needs = needsOf(want.Levels)
	sum := needs.sum()
	for level := urgency.Levels - 1; sum > want.Need; level-- {
		less := min(needs[level], sum-want.Need)
		needs[level] -= less
		sum -= less
	}
	rest := want.Need - sum
	if rest == 0 {
		return needs, true
	}
	for level := urgency.Levels - 1; level >= 0; level-- {
		if needs[level] > 0 || c.asks(now, level) {
			needs[level] += rest
			return needs, true
		}
	}
	needs[urgency.Least] = rest
	return needs, false
}

// ask notes what is asked for at a moment, and what the less urgent levels are owed by then.
func (c *claims) ask(now time.Time, needs *Needs, known bool, s supply) {
	c.owe(now, s)
	if !known {
		c.unknown.add(now, needs.sum())
		return
	}
	for level, count := range needs {
		c.asked[level].add(now, count)
	}
}

// owe adds the floor of each level that asks.
func (c *claims) owe(now time.Time, s supply) {
	span := now.Sub(c.at).Seconds()
	c.at = now
	most := max(1, floorShare*s.pace*floorSpan.Seconds())
	for level := 1; level < urgency.Levels; level++ {
		if !c.asks(now, level) {
			c.owed[level] = 0
			continue
		}
		c.owed[level] = min(most, c.owed[level]+floorShare*s.pace*span)
	}
}

// asks reports whether a level has asked lately.
func (c *claims) asks(now time.Time, level int) bool { return c.asked[level].now(now) >= leastAsked }

// scarce reports whether more is asked for than is minted.
func (c *claims) scarce(now time.Time, s supply) bool {
	sum := c.unknown.now(now)
	for level := range c.asked {
		sum += c.asked[level].now(now)
	}
	return sum > s.pace
}

// moreUrgent returns what levels more urgent than one ask for a second; zero while tokens are
// not scarce, or none of them asks.
func (c *claims) moreUrgent(now time.Time, level int, s supply) float64 {
	if !c.scarce(now, s) {
		return 0
	}
	sum := 0.0
	for l := range level {
		if c.asks(now, l) {
			sum += c.asked[l].now(now)
		}
	}
	return sum
}

// reserve returns how much of the stock is kept from a level for more urgent work: what that
// is expected to ask for, and a whole token, but no more than is kept for operations that
// wait: a full stock would lose what is minted.
func (c *claims) reserve(now time.Time, level int, s supply) float64 {
	demand := c.moreUrgent(now, level, s)
	if demand == 0 {
		return 0
	}
	return min(demand*reserveSpan.Seconds()+1, aheadShare*s.stock)
}

// atOnce returns how many tokens on hand a level may take.
func (c *claims) atOnce(now time.Time, level int, s supply) uint32 {
	reserve := c.reserve(now, level, s)
	if reserve == 0 {
		return whole(s.tokens)
	}
	return min(whole(s.tokens), max(whole(s.tokens-reserve), whole(c.owed[level])))
}

// ahead returns how many tokens that are still to be minted a level may take. While more
// urgent work asks, less urgent work has no more than its floor: it would make the urgent
// work wait for what is minted after.
func (c *claims) ahead(now time.Time, level int, s supply) uint32 {
	if c.moreUrgent(now, level, s) > 0 {
		return min(whole(s.sure), whole(c.owed[level]))
	}
	owed := 0.0
	if c.scarce(now, s) {
		for l := level + 1; l < urgency.Levels; l++ {
			owed += c.owed[l]
		}
	}
	return whole(s.sure - owed)
}

// take notes that a level was given tokens.
func (c *claims) take(level int, count uint32) {
	c.owed[level] = max(0, c.owed[level]-float64(count))
}

// next returns the time until a level may have a token; false if that cannot be told. While
// less urgent work is held back, several ask for each token that is left to it: each has its
// turn once there was one for all of them.
func (c *claims) next(now time.Time, level int, s supply) (time.Duration, bool) {
	if s.pace <= 0 || s.stock < 1 {
		return 0, false
	}
	wait := (1 - s.tokens) / s.pace
	if demand := c.moreUrgent(now, level, s); demand > 0 {
		left := max(s.pace-demand, floorShare*s.pace)
		wait = max(wait, c.asked[level].now(now)/left/left)
	}
	return time.Duration(min(wait, mostDry.Seconds()) * float64(time.Second)), true
}
