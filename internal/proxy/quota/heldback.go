package quota

import (
	"maps"
	"slices"
	"time"

	"dewknot/internal/proxy/urgency"
)

// heldBackEnd is how long nothing of a tenant's must have been held back for it to be over:
// longer than callers are told to stay away, so that it does not begin and end with each.
const heldBackEnd = 2 * mostDry

// leastHeldBack is how many tokens must not have been given before it is told: a tenant below
// its quota whose callers meet for a moment at one allocator is asked for elsewhere, and of no
// interest to its operator.
const leastHeldBack = 10

// HeldBack tells that an allocator begins to hold less urgent work of a tenant back for more
// urgent work, or has ended it.
type HeldBack struct {
	Tenant string
	// Level is the level that was held back first.
	Level urgency.Level
	Began bool
	// Asked is what each level asks a second, Minted what the allocator mints.
	Asked  [urgency.Levels]float64
	Minted float64
	// Refused counts the tokens that were not given, Lasted is for how long, once it is over.
	Refused uint64
	Lasted  time.Duration
}

// holding is a tenant's work that is being held back.
type holding struct {
	level       urgency.Level
	since, last time.Time
	refused     uint64
	told        bool
}

// holdBack notes that a level was not given some tokens since more urgent work asks.
func (b *Allocator) holdBack(now time.Time, tenant string, a *account, level int, refused uint32, s supply) {
	h := b.held[tenant]
	if h == nil {
		h = &holding{level: urgency.Level(level), since: now}
		b.held[tenant] = h
	}
	h.last = now
	h.refused += uint64(refused)
	if h.told || h.refused < leastHeldBack {
		return
	}
	h.told = true
	change := HeldBack{Tenant: tenant, Level: h.level, Began: true, Minted: s.pace}
	for l := range change.Asked {
		change.Asked[l] = a.claims.asked[l].now(now)
	}
	b.changes = append(b.changes, change)
}

// endHoldings notes what is no longer held back.
func (b *Allocator) endHoldings(now time.Time) {
	if len(b.held) == 0 {
		return
	}
	for _, tenant := range slices.Sorted(maps.Keys(b.held)) {
		h := b.held[tenant]
		if now.Sub(h.last) < heldBackEnd {
			continue
		}
		delete(b.held, tenant)
		if !h.told {
			continue
		}
		b.changes = append(b.changes, HeldBack{Tenant: tenant, Level: h.level, Refused: h.refused, Lasted: h.last.Sub(h.since)})
	}
}

// Changes returns what the node's allocator began or ended to hold back.
func (m *Machine) Changes() []HeldBack {
	changes := m.allocator.changes
	m.allocator.changes = nil
	return changes
}
