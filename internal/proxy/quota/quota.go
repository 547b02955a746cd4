// Package quota bounds what tenants' callers may do over all nodes.
//
// Each node has a share of every quota. It delegates its share for a moment to an allocator, a
// node near it, which hands tokens out to the nodes that ask; an operation takes one. A
// share is at one place at a time, so the sum over all nodes holds whoever is cut off,
// stands still, starts anew or believes to be an allocator (docs/design/tenants-and-quotas.md).
//
// Machine is pure: it has no clock and sends nothing itself. Keeper runs it.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewknot/internal/proxy/catalog"
)

// Bounds are what is promised of quotas: in any Window, a tenant's operations are at most
// (rate x Window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Most returns how many operations of a tenant may run in any window.
func (b Bounds) Most(quota catalog.Quota) float64 {
	return (quota.PerSecond*b.Window.Seconds()+quota.Burst)*(1+b.Overage) + b.Slack
}

// Limit is how tokens of a tenant are minted and kept over all nodes.
type Limit struct {
	// Rate is how many are minted a second.
	Rate float64
	// Stock bounds those that are kept.
	Stock float64
	// Life is how long one that was handed out is good.
	Life time.Duration
}

const (
	// shareError is the part of the promise that is kept for nodes whose views of the
	// membership differ, so that their shares add up to more than the whole.
	shareError = 0.04
	// leastLife and mostLife bound the life of tokens: some round trips between regions,
	// and a span in which a busy tenant uses several.
	leastLife = 100 * time.Millisecond
	mostLife  = 800 * time.Millisecond
	// rateShare is the part of what the promise allows beyond the rate that is minted
	// besides: of a tenant that sends 1.6 times its rate, 1.6% of all callers' operations are
	// refused on a calm day in place of 2.2%. lifeShare of what is left is spent on the life
	// of tokens, the rest on stock.
	rateShare = 0.4
	lifeShare = 0.5
	// leastStock is the stock that comes before both, in tokens: a few at each of some allocators.
	leastStock = 8
)

// Limit returns the limit that keeps the promise for a quota: tokens used in a window were
// handed out in it or at most Life before, which are Stock and Rate x (Window + Life).
func (b Bounds) Limit(quota catalog.Quota) Limit {
	most := b.Most(quota) / (1 + shareError)
	window := b.Window.Seconds()
	limit := Limit{Rate: quota.PerSecond, Life: mostLife}
	if limit.Rate == 0 {
		return Limit{Life: mostLife}
	}
	spare := most - limit.Rate*window
	if least := limit.Rate * leastLife.Seconds(); spare < 2*least {
		limit.Rate = most / (window + 2*leastLife.Seconds())
		spare = most - limit.Rate*window
	}
	// A small tenant's stock comes first: parts of it lie at the allocators of several regions.
	stock := min(leastStock, spare-limit.Rate*leastLife.Seconds())
	spare -= stock
	faster := limit.Rate + rateShare*(spare-limit.Rate*leastLife.Seconds())/window
	spare -= (faster - limit.Rate) * window
	limit.Rate = faster
	life := min(max(lifeShare*spare/limit.Rate, leastLife.Seconds()), mostLife.Seconds())
	limit.Life = time.Duration(life * float64(time.Second))
	limit.Stock = stock + max(0, spare-limit.Rate*life)
	return limit
}

// Part is the tenants that one of several allocators serves: those whose hash leaves Index when
// divided by Of.
type Part struct {
	Index uint16
	Of    uint16
}

// PartOf returns the part of a tenant among a number of parts.
func PartOf(tenant string, of int) Part {
	return Part{Index: uint16(xxhash.Sum64String(tenant) % uint64(max(1, of))), Of: uint16(max(1, of))}
}

// Covers reports whether a tenant belongs to the part.
func (p Part) Covers(tenant string) bool { return PartOf(tenant, int(p.Of)) == p }

// valid reports whether a part can be one.
func (p Part) valid() bool { return p.Of > 0 && p.Index < p.Of }

// Message is what nodes send each other; one of the two is set.
type Message struct {
	Request *Request
	Reply   *Reply
}

// Echo is an allocator's clock, as an asker has last heard it.
type Echo struct {
	// Life names the allocator's process, Clock is the time since its start.
	Life  uint64
	Clock time.Duration
}

// Request asks an allocator for tokens, and delegates shares to it.
type Request struct {
	// Node names the asker, Sequence counts its requests.
	Node        string
	Sequence    uint64
	Echo        Echo
	Delegations []Delegation
	Wants       []Want
}

// Delegation delegates the asker's share of a part's tenants, until a span after the
// moment that the request echoes.
type Delegation struct {
	Part  Part
	Share float64
}

// Want asks for tokens of a tenant: Need for operations that wait, More to have some ahead.
type Want struct {
	Tenant string
	Need   uint32
	More   uint32
	// Levels are the parts of Need by level, the most urgent first; those that are left out
	// need none. An earlier version's want has none at all.
	Levels []uint32 `msgpack:"-"`
}

// Reply answers a request.
type Reply struct {
	Sequence uint64
	Clock    Echo
	Grants   []Grant
	// Leaving is set by an allocator whose process is about to end.
	Leaving bool
}

// Grant hands out tokens: Count at once, and Later ones that are still to be minted, the
// first after First and each further one after Pace.
type Grant struct {
	Tenant string
	Count  uint32
	Later  uint32
	First  time.Duration
	Pace   time.Duration
	// Life is how long a token is good: from when it was asked for, or will be minted.
	Life time.Duration
	// Dry is when there will be a token, if these are fewer than were needed. Young is set if
	// the allocator has only just started.
	Dry   time.Duration
	Young bool
	// Levels are the tokens by the level for which they are handed out: the first of them all
	// for the most urgent level, and so on; what is left is anybody's. LevelsDry is Dry by
	// level, zero for a level that was given what it needed. Both answer a want with levels.
	Levels    []uint32        `msgpack:"-"`
	LevelsDry []time.Duration `msgpack:"-"`
}

// Bounds of a request.
const (
	maxDelegations = 64
	maxWants       = 256
	maxCount       = 1 << 16
	// maxLevels is how many levels a later version may know.
	maxLevels = 16
)

// acceptable reports whether a request may be served.
func (r *Request) acceptable() bool {
	if r.Node == "" || len(r.Delegations) > maxDelegations || len(r.Wants) > maxWants {
		return false
	}
	for _, d := range r.Delegations {
		if !d.Part.valid() || !(d.Share >= 0 && d.Share <= 1) {
			return false
		}
	}
	for _, w := range r.Wants {
		if w.Need > maxCount || w.More > maxCount || len(w.Levels) > maxLevels {
			return false
		}
	}
	return true
}

// whole returns the whole tokens of an amount. What is a whole but for rounding counts.
func whole(tokens float64) uint32 {
	const rounding = 1e-9
	return uint32(max(0, math.Floor(tokens+rounding)))
}
