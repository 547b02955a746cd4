package quota

import (
	"cmp"
	"slices"
	"time"
)

// delegationDuration is how long a delegation is valid: several renewals plus lost datagrams. It is
// short because a restarted process also waits this long before it delegates its share.
const delegationDuration = 500 * time.Millisecond

const (
	// startupPeriod is how long after its start an allocator may have fewer shares than usual,
	// because nodes that started with it do not delegate theirs yet. During this time RetryAfter
	// of its grants is at most startupRetryAfter.
	startupPeriod     = 1500 * time.Millisecond
	startupRetryAfter = 50 * time.Millisecond
)

// Limits returns the token limit of a tenant; false if the tenant has no quota.
type Limits func(tenant string) (Limit, bool)

// Allocator issues and grants the tokens of the shares that are delegated to it. It has no clock,
// does no I/O and is not safe for concurrent use.
type Allocator struct {
	incarnation uint64
	started     time.Time
	limits      Limits
	leaving     bool

	delegations map[delegationKey]*delegation
	// parts is in the order of first delegation.
	parts    []*partShare
	accounts map[string]*account
	// nextExpiry is when the next delegation expires; zero if there is none.
	nextExpiry time.Time
	// throttled holds the tenants whose less urgent work is throttled, events the starts and ends
	// of throttling that were not fetched yet.
	throttled map[string]*throttling
	events    []ThrottleEvent
}

type delegationKey struct {
	node string
	part Part
}

type delegation struct {
	delegationKey
	share float64
	// echoedClock is the clock reading that the request echoed; the delegation is valid for
	// delegationDuration from then.
	echoedClock time.Duration
	validUntil  time.Time
}

// partShare is the total share delegated for one part.
type partShare struct {
	part  Part
	share float64
	// shareSeconds is the share integrated over time up to at, in seconds.
	shareSeconds float64
	at           time.Time
}

// account holds a tenant's tokens at an allocator.
type account struct {
	balance float64
	limit   Limit
	// shareSeconds is the sum over the tenant's parts when the account was last settled.
	shareSeconds float64
	claims       claims
}

// NewAllocator returns an allocator without tokens.
func NewAllocator(incarnation uint64, started time.Time, limits Limits) *Allocator {
	return &Allocator{
		incarnation: incarnation, started: started, limits: limits,
		delegations: map[delegationKey]*delegation{}, accounts: map[string]*account{}, throttled: map[string]*throttling{},
	}
}

// Handle applies the delegations of a request and grants tokens for its wants.
func (a *Allocator) Handle(now time.Time, request *Request) *Reply {
	a.expire(now)
	a.applyDelegations(now, request)
	reply := &Reply{Sequence: request.Sequence, Clock: Echo{Incarnation: a.incarnation, Clock: now.Sub(a.started)}, Leaving: a.leaving}
	for i := range request.Wants {
		reply.Grants = append(reply.Grants, a.handleWant(now, &request.Wants[i]))
	}
	return reply
}

// applyDelegations applies the delegations of a request. It ignores them if the echoed clock
// reading is too old or belongs to another process.
func (a *Allocator) applyDelegations(now time.Time, request *Request) {
	validUntil := a.started.Add(request.Echo.Clock + delegationDuration)
	if request.Echo.Incarnation != a.incarnation || request.Echo.Clock > now.Sub(a.started) || !validUntil.After(now) {
		return
	}
	for _, requested := range request.Delegations {
		key := delegationKey{request.Node, requested.Part}
		current := a.delegations[key]
		if current != nil && current.echoedClock > request.Echo.Clock {
			// A later request was handled before this one.
			continue
		}
		delta := requested.Share
		if current != nil {
			delta -= current.share
		}
		a.adjustShare(now, requested.Part, delta)
		a.delegations[key] = &delegation{delegationKey: key, share: requested.Share, echoedClock: request.Echo.Clock, validUntil: validUntil}
		if a.nextExpiry.IsZero() || validUntil.Before(a.nextExpiry) {
			a.nextExpiry = validUntil
		}
	}
}

// expire removes the expired delegations and ends each share at its own expiry time.
func (a *Allocator) expire(now time.Time) {
	if a.nextExpiry.IsZero() || a.nextExpiry.After(now) {
		return
	}
	var expired []*delegation
	a.nextExpiry = time.Time{}
	for _, d := range a.delegations {
		switch {
		case !d.validUntil.After(now):
			expired = append(expired, d)
		case a.nextExpiry.IsZero() || d.validUntil.Before(a.nextExpiry):
			a.nextExpiry = d.validUntil
		}
	}
	slices.SortFunc(expired, func(x, y *delegation) int {
		return cmp.Or(x.validUntil.Compare(y.validUntil), cmp.Compare(x.node, y.node), cmp.Compare(x.part.Index, y.part.Index))
	})
	for _, d := range expired {
		delete(a.delegations, d.delegationKey)
		a.adjustShare(d.validUntil, d.part, -d.share)
	}
	for _, p := range a.parts {
		if !a.isDelegated(p.part) {
			// Clear accumulated rounding errors.
			p.share = 0
		}
	}
}

func (a *Allocator) isDelegated(part Part) bool {
	for key := range a.delegations {
		if key.part == part {
			return true
		}
	}
	return false
}

// adjustShare changes the share delegated for a part at a given time. When the share shrinks,
// tokens beyond the maximum balance of the remaining share are dropped, because the node that
// withdraws its share accumulates a balance at another allocator.
func (a *Allocator) adjustShare(at time.Time, part Part, delta float64) {
	p := a.partShare(at, part)
	if delta >= 0 {
		p.advance(at)
		p.share += delta
		return
	}
	a.settlePart(at, part)
	p.advance(at)
	p.share = max(0, p.share+delta)
	a.settlePart(at, part)
}

// settlePart settles the accounts of all tenants in a part.
func (a *Allocator) settlePart(at time.Time, part Part) {
	for tenant, acc := range a.accounts {
		if part.Covers(tenant) {
			a.settle(at, tenant, acc)
		}
	}
}

// partShare returns the share delegated for a part, adding an entry if there is none.
func (a *Allocator) partShare(at time.Time, part Part) *partShare {
	for _, p := range a.parts {
		if p.part == part {
			return p
		}
	}
	p := &partShare{part: part, at: at}
	a.parts = append(a.parts, p)
	return p
}

// advance updates shareSeconds to the given time.
func (p *partShare) advance(now time.Time) {
	if now.After(p.at) {
		p.shareSeconds += p.share * now.Sub(p.at).Seconds()
		p.at = now
	}
}

// settle issues a tenant's tokens up to the given time and returns the share that issues them.
func (a *Allocator) settle(now time.Time, tenant string, acc *account) float64 {
	shareSeconds, share := 0.0, 0.0
	for _, p := range a.parts {
		if p.part.Covers(tenant) {
			p.advance(now)
			shareSeconds += p.shareSeconds
			share += p.share
		}
	}
	acc.balance = min(acc.balance+acc.limit.Rate*(shareSeconds-acc.shareSeconds), acc.limit.MaxBalance*share)
	acc.shareSeconds = shareSeconds
	return share
}

// RemoveUnlimited removes the accounts of tenants that no longer have a quota.
func (a *Allocator) RemoveUnlimited() {
	for tenant := range a.accounts {
		if _, limited := a.limits(tenant); !limited {
			delete(a.accounts, tenant)
		}
	}
}
