// Package quota bounds the operations of tenants over all nodes.
//
// Each node has a share of every quota. It delegates its share for a short time to an allocator,
// which is a node near it. An allocator issues tokens at the rate of the shares that are
// delegated to it, keeps them in a balance, and grants them to the nodes that request some. Each
// operation takes a token. A share is at one allocator at a time, so the bounds hold if nodes are
// partitioned, freeze, restart, or disagree on which of them are allocators
// (docs/design/tenants-and-quotas.md).
//
// Machine is a state machine without a clock and I/O. Keeper runs it.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewknot/internal/proxy/catalog"
)

// Bounds limit the operations of each tenant: in any Window they are at most (rate x Window +
// burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// MaxOperations returns the maximum number of operations of a tenant in any window.
func (b Bounds) MaxOperations(quota catalog.Quota) float64 {
	return (quota.PerSecond*b.Window.Seconds()+quota.Burst)*(1+b.Overage) + b.Slack
}

// Limit is the rate of issue, maximum balance and lifetime of a tenant's tokens over all nodes.
type Limit struct {
	// Rate is the number of tokens issued per second.
	Rate float64
	// MaxBalance is the maximum number of issued tokens that are kept.
	MaxBalance float64
	// TTL is how long a granted token is valid.
	TTL time.Duration
}

const (
	// shareErrorMargin is the part of the bounds that is reserved for nodes whose views of the
	// membership differ, so that their shares add up to more than 1.
	shareErrorMargin = 0.04
	// minTokenTTL and maxTokenTTL bound the lifetime of tokens: several round-trip times between
	// regions, and a time in which a busy tenant uses several tokens.
	minTokenTTL = 100 * time.Millisecond
	maxTokenTTL = 800 * time.Millisecond
	// spareForRate is the part of what the bounds allow beyond the rate that is added to the rate
	// of issue. spareForTTL is the part of the remainder that is used for the lifetime of tokens.
	// The rest is used for the maximum balance.
	spareForRate = 0.4
	spareForTTL  = 0.5
	// reservedBalance is the part of the maximum balance, in tokens, that is reserved before the
	// rest is divided: a few tokens at each of several allocators.
	reservedBalance = 8
)

// Limit returns the limit that keeps the bounds for a quota. Tokens used in a window were granted
// in it or at most TTL before, so there are at most MaxBalance + Rate x (Window + TTL).
func (b Bounds) Limit(quota catalog.Quota) Limit {
	maxOperations := b.MaxOperations(quota) / (1 + shareErrorMargin)
	window := b.Window.Seconds()
	limit := Limit{Rate: quota.PerSecond, TTL: maxTokenTTL}
	if limit.Rate == 0 {
		return Limit{TTL: maxTokenTTL}
	}
	spare := maxOperations - limit.Rate*window
	if ttlMargin := limit.Rate * minTokenTTL.Seconds(); spare < 2*ttlMargin {
		limit.Rate = maxOperations / (window + 2*minTokenTTL.Seconds())
		spare = maxOperations - limit.Rate*window
	}
	// Reserve a small tenant's balance first, since parts of it are at the allocators of several
	// regions.
	maxBalance := min(reservedBalance, spare-limit.Rate*minTokenTTL.Seconds())
	spare -= maxBalance
	rate := limit.Rate + spareForRate*(spare-limit.Rate*minTokenTTL.Seconds())/window
	spare -= (rate - limit.Rate) * window
	limit.Rate = rate
	ttl := min(max(spareForTTL*spare/limit.Rate, minTokenTTL.Seconds()), maxTokenTTL.Seconds())
	limit.TTL = time.Duration(ttl * float64(time.Second))
	limit.MaxBalance = maxBalance + max(0, spare-limit.Rate*ttl)
	return limit
}

// Part is the set of tenants that one of several allocators serves: those whose hash modulo Count
// is Index.
type Part struct {
	Index uint16
	Count uint16
}

// PartOf returns the part of a tenant among count parts.
func PartOf(tenant string, count int) Part {
	return Part{Index: uint16(xxhash.Sum64String(tenant) % uint64(max(1, count))), Count: uint16(max(1, count))}
}

// Covers reports whether a tenant belongs to the part.
func (p Part) Covers(tenant string) bool { return PartOf(tenant, int(p.Count)) == p }

func (p Part) valid() bool { return p.Count > 0 && p.Index < p.Count }

// Message is a message between nodes. One of its fields is set.
type Message struct {
	Request *Request
	Reply   *Reply
}

// Echo is a reading of an allocator's clock.
type Echo struct {
	// Incarnation identifies the allocator's process, Clock is the time since its start.
	Incarnation uint64
	Clock       time.Duration
}

// Request requests tokens from an allocator and delegates shares to it.
type Request struct {
	// Node is the requester's name, Sequence the number of its request, Echo the last clock
	// reading that it received from the allocator.
	Node        string
	Sequence    uint64
	Echo        Echo
	Delegations []Delegation
	Wants       []Want
}

// Delegation delegates the requester's share of a part, until delegationDuration after the clock
// reading that the request echoes.
type Delegation struct {
	Part  Part
	Share float64
}

// Want requests tokens of a tenant: Need for waiting operations, Prefetch ahead of need.
type Want struct {
	Tenant   string
	Need     uint32
	Prefetch uint32
	// Levels splits Need by level, the most urgent first. Missing levels need none. Wants of the
	// previous version have no levels.
	Levels []uint32 `msgpack:"-"`
}

// Reply is the reply to a Request.
type Reply struct {
	Sequence uint64
	Clock    Echo
	Grants   []Grant
	// Leaving is set if the allocator's process is about to end.
	Leaving bool
}

// Grant grants tokens: Count at once, and Future ones that are still to be issued, the first
// after FirstDelay and each further one after Interval.
type Grant struct {
	Tenant     string
	Count      uint32
	Future     uint32
	FirstDelay time.Duration
	Interval   time.Duration
	// TTL is how long a token is valid, from the time when it was requested or will be issued.
	TTL time.Duration
	// RetryAfter is when there will be a token, if fewer than needed were granted. Starting is
	// set if the allocator has only just started.
	RetryAfter time.Duration
	Starting   bool
	// Levels splits the tokens by the level for which they are granted. The first tokens are for
	// the most urgent level, and so on; those beyond the sum are for any level. LevelsRetryAfter
	// is RetryAfter by level, zero for a level that got what it needs. Both are set for wants
	// with levels.
	Levels           []uint32        `msgpack:"-"`
	LevelsRetryAfter []time.Duration `msgpack:"-"`
}

// Limits of a request.
const (
	maxDelegations = 64
	maxWants       = 256
	maxCount       = 1 << 16
	// maxLevels allows for the levels of later versions.
	maxLevels = 16
)

// isValid reports whether a request may be served.
func (r *Request) isValid() bool {
	if r.Node == "" || len(r.Delegations) > maxDelegations || len(r.Wants) > maxWants {
		return false
	}
	for _, d := range r.Delegations {
		if !d.Part.valid() || !(d.Share >= 0 && d.Share <= 1) {
			return false
		}
	}
	for _, w := range r.Wants {
		if w.Need > maxCount || w.Prefetch > maxCount || len(w.Levels) > maxLevels {
			return false
		}
	}
	return true
}

// wholeTokens rounds an amount down to whole tokens, except for rounding errors.
func wholeTokens(tokens float64) uint32 {
	const rounding = 1e-9
	return uint32(max(0, math.Floor(tokens+rounding)))
}
