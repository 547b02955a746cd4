package quota

import (
	"cmp"
	"slices"
	"time"
)

// delegationSpan is how long a delegation holds: some renewals and lost datagrams. A
// process that starts lets its share rest as long, so it is kept short.
const delegationSpan = 500 * time.Millisecond

const (
	// youngSpan is how long after its start an allocator has less than usual, since those that
	// have started with it let their shares rest. It is asked again after youngDry.
	youngSpan = 1500 * time.Millisecond
	youngDry  = 50 * time.Millisecond
)

// Limits tells how a tenant's tokens are minted; false if it has no quota.
type Limits func(tenant string) (Limit, bool)

// Allocator hands out what the shares that are delegated to it mint. It is pure, and used by one
// goroutine at a time.
type Allocator struct {
	life    uint64
	started time.Time
	limits  Limits
	leaving bool

	delegations map[delegator]*delegation
	// parts are in the order in which they were first delegated.
	parts    []*partition
	accounts map[string]*account
	// expires is when the first delegation ends; zero if there is none.
	expires time.Time
	// held is what is held back of tenants' work, changes what began or ended of it.
	held    map[string]*holding
	changes []HeldBack
}

type delegator struct {
	node string
	part Part
}

type delegation struct {
	delegator
	share float64
	// asOf is the moment, by the allocator's clock, from which it holds for a span.
	asOf  time.Duration
	until time.Time
}

// partition is what is delegated of one part.
type partition struct {
	part  Part
	share float64
	// volume is the share summed over time, in seconds, up to a time.
	volume float64
	at     time.Time
}

// account is a tenant's tokens.
type account struct {
	tokens float64
	limit  Limit
	// volume is that of the tenant's parts when the account was last settled.
	volume float64
	claims claims
}

// NewAllocator returns an allocator without any tokens.
func NewAllocator(life uint64, started time.Time, limits Limits) *Allocator {
	return &Allocator{
		life: life, started: started, limits: limits,
		delegations: map[delegator]*delegation{}, accounts: map[string]*account{}, held: map[string]*holding{},
	}
}

// Handle serves a request.
func (b *Allocator) Handle(now time.Time, asked *Request) *Reply {
	b.expire(now)
	b.delegate(now, asked)
	reply := &Reply{Sequence: asked.Sequence, Clock: Echo{Life: b.life, Clock: now.Sub(b.started)}, Leaving: b.leaving}
	for i := range asked.Wants {
		reply.Grants = append(reply.Grants, b.grant(now, &asked.Wants[i]))
	}
	return reply
}

// delegate takes the delegations of a request, unless what it echoes is too old, or of
// another process.
func (b *Allocator) delegate(now time.Time, asked *Request) {
	until := b.started.Add(asked.Echo.Clock + delegationSpan)
	if asked.Echo.Life != b.life || asked.Echo.Clock > now.Sub(b.started) || !until.After(now) {
		return
	}
	for _, taken := range asked.Delegations {
		from := delegator{asked.Node, taken.Part}
		known := b.delegations[from]
		if known != nil && known.asOf > asked.Echo.Clock {
			// A datagram that was overtaken.
			continue
		}
		more := taken.Share
		if known != nil {
			more -= known.share
		}
		b.change(now, taken.Part, more)
		b.delegations[from] = &delegation{delegator: from, share: taken.Share, asOf: asked.Echo.Clock, until: until}
		if b.expires.IsZero() || until.Before(b.expires) {
			b.expires = until
		}
	}
}

// expire ends the delegations whose time is over, each at its time.
func (b *Allocator) expire(now time.Time) {
	if b.expires.IsZero() || b.expires.After(now) {
		return
	}
	var over []*delegation
	b.expires = time.Time{}
	for _, d := range b.delegations {
		switch {
		case !d.until.After(now):
			over = append(over, d)
		case b.expires.IsZero() || d.until.Before(b.expires):
			b.expires = d.until
		}
	}
	slices.SortFunc(over, func(x, y *delegation) int {
		return cmp.Or(x.until.Compare(y.until), cmp.Compare(x.node, y.node), cmp.Compare(x.part.Index, y.part.Index))
	})
	for _, d := range over {
		delete(b.delegations, d.delegator)
		b.change(d.until, d.part, -d.share)
	}
	for _, p := range b.parts {
		if !b.delegated(p.part) {
			// Without rounding that adds up.
			p.share = 0
		}
	}
}

func (b *Allocator) delegated(part Part) bool {
	for from := range b.delegations {
		if from.part == part {
			return true
		}
	}
	return false
}

// change changes what is delegated of a part at a time. Where it becomes less, tokens
// beyond the stock of what is left are dropped: a node that takes its share back begins a
// stock elsewhere.
func (b *Allocator) change(at time.Time, part Part, more float64) {
	p := b.partition(at, part)
	if more >= 0 {
		p.advance(at)
		p.share += more
		return
	}
	b.settleAll(at, part)
	p.advance(at)
	p.share = max(0, p.share+more)
	b.settleAll(at, part)
}

// settleAll settles the tenants of a part.
func (b *Allocator) settleAll(at time.Time, part Part) {
	for tenant, known := range b.accounts {
		if part.Covers(tenant) {
			b.settle(at, tenant, known)
		}
	}
}

// partition returns what is delegated of a part.
func (b *Allocator) partition(at time.Time, part Part) *partition {
	for _, p := range b.parts {
		if p.part == part {
			return p
		}
	}
	p := &partition{part: part, at: at}
	b.parts = append(b.parts, p)
	return p
}

// advance sums the share up to a time.
func (p *partition) advance(now time.Time) {
	if now.After(p.at) {
		p.volume += p.share * now.Sub(p.at).Seconds()
		p.at = now
	}
}

// settle mints a tenant's tokens up to a time and returns the share that mints them.
func (b *Allocator) settle(now time.Time, tenant string, a *account) float64 {
	volume, share := 0.0, 0.0
	for _, p := range b.parts {
		if p.part.Covers(tenant) {
			p.advance(now)
			volume += p.volume
			share += p.share
		}
	}
	a.tokens = min(a.tokens+a.limit.Rate*(volume-a.volume), a.limit.Stock*share)
	a.volume = volume
	return share
}

// Forget drops the accounts of tenants that have no quota any more.
func (b *Allocator) Forget() {
	for tenant := range b.accounts {
		if _, limited := b.limits(tenant); !limited {
			delete(b.accounts, tenant)
		}
	}
}
