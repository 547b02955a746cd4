package proxy

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/failure"
	"dewknot/internal/base/placement"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/quota"
	"dewknot/internal/proxy/upstream"
)

const (
	// nodesPerAllocator is about how many nodes of a region share an allocator: each sends some
	// datagrams a second.
	nodesPerAllocator = 24
	// allocatorsRanked is how many nodes may stand in for an allocator.
	allocatorsRanked = 3
	// joinPause is how long a node that is new to the fleet has no share of its own: by
	// then all others have looked at the members again, and count it.
	joinPause = 3 * network.MemberLook / 2
	// tokenShare is the part of the latency objective for which an operation may wait for a
	// token; the rest is for what it asks.
	tokenShare = 0.6
)

// newQuotas returns the node's part in the quotas; nil if the deployment has none.
func (n *Node) newQuotas() *quota.Keeper {
	if n.options.Quotas.Window <= 0 || n.ports.Tokens == nil {
		return nil
	}
	return quota.NewKeeper(quota.Config{
		Node: n.options.Name, Address: n.options.TokenAddress, Life: backends.LifeNumber(n.options.Life), Started: n.started, Limits: n.limitOf,
		OnHeldBack: n.logHeldBack,
	}, n.ports.Tokens)
}

// quotaOf returns a tenant's quota; nil if it has none.
func (n *Node) quotaOf(tenant string) *catalog.Quota {
	configuration := n.catalog.Current().Configuration
	if configuration == nil {
		return nil
	}
	return configuration.Tenants[tenant].Quota
}

// limitOf returns how a tenant's tokens are minted; false if it has no quota.
func (n *Node) limitOf(tenant string) (quota.Limit, bool) {
	known := n.quotaOf(tenant)
	if known == nil {
		return quota.Limit{}, false
	}
	return n.options.Quotas.Limit(*known), true
}

// ReceiveTokens takes a message about tokens from the node at an address.
func (n *Node) ReceiveTokens(from string, m *quota.Message) {
	if n.quotas != nil {
		n.quotas.Receive(from, m)
	}
}

// lookAtQuotas renews what is delegated, while there are quotas.
func (n *Node) lookAtQuotas() {
	if n.quotas == nil {
		return
	}
	if configuration := n.catalog.Current().Configuration; configuration != nil && configuration.HasQuotas {
		n.quotas.Tick()
	}
}

// fleetChanged tells the quotas who the other nodes are.
func (n *Node) fleetChanged() {
	known := n.Members.Load()
	if n.quotas == nil || known == nil {
		return
	}
	own := n.OwnMember()
	byRegion := map[string][]network.Member{}
	for _, member := range append([]network.Member{own}, *known...) {
		region := n.options.Regions[member.Zone]
		byRegion[region] = append(byRegion[region], member)
	}
	home := n.options.Regions[n.options.Zone]
	fleet := quota.Fleet{Nodes: len(*known) + 1, Home: allocatorsOf(byRegion[home])}
	// What no other allocator of the region answers for, the node does itself.
	for i := range fleet.Home.Allocators {
		if !slices.Contains(fleet.Home.Allocators[i], own.Tokens) {
			fleet.Home.Allocators[i] = append(fleet.Home.Allocators[i], own.Tokens)
		}
	}
	var others []placement.Candidate
	for region := range byRegion {
		if region != home {
			others = append(others, placement.Candidate{ID: region})
		}
	}
	for _, region := range placement.Rank(n.options.Name, "", others, len(others)) {
		fleet.Far = append(fleet.Far, allocatorsOf(byRegion[region]))
	}
	n.quotas.SetFleet(fleet)
}

// allocatorsOf ranks the nodes of a region that may be its allocators, by part of the tenants.
func allocatorsOf(members []network.Member) quota.Region {
	addresses := map[string]string{}
	var candidates []placement.Candidate
	for _, member := range members {
		if member.Tokens != "" {
			addresses[member.Name] = member.Tokens
			candidates = append(candidates, placement.Candidate{ID: member.Name})
		}
	}
	if len(candidates) == 0 {
		return quota.Region{}
	}
	parts := int(math.Ceil(float64(len(candidates)) / nodesPerAllocator))
	region := quota.Region{Allocators: make([][]string, parts)}
	for i := range parts {
		for _, name := range placement.Rank(quotaKey(i), "", candidates, allocatorsRanked) {
			region.Allocators[i] = append(region.Allocators[i], addresses[name])
		}
	}
	return region
}

// quotaKey ranks the allocators of a part of the tenants.
// Nodes of earlier versions rank by the same key.
func quotaKey(part int) string { return "quota bank " + string(rune('a'+part)) }

// giveShare gives the node its share of the quotas, once, and reports whether it has one.
// Others count a node that was listed before it started, so its share is its own at once.
// One that is new to a running fleet has none until they do. Of a fleet that starts for the
// first time, a list is taken for whole that has not grown since the one before.
func (n *Node) giveShare(listed bool, now time.Time) bool {
	if n.quotas == nil || n.hasShare {
		return true
	}
	count, before := n.KnownMembers(), n.listedBefore
	n.listedBefore = count
	from := now
	switch {
	case listed:
	case !n.options.FirstStart:
		from = n.started.Add(joinPause)
	case before == 0 || count != before:
		return false
	}
	n.hasShare = true
	n.quotas.SetShare(from)
	n.log.Write(eventlog.QuotaShare, zap.Int("nodes", n.KnownMembers()+1), zap.Bool("listed", listed), zap.Duration("in", from.Sub(now)))
	return true
}

// tokenOutcomes are the values of the metric's label.
var tokenOutcomes = map[bool]string{true: "granted", false: "refused"}

// logHeldBack writes that the node's allocator begins to hold less urgent work of a tenant
// back, or has ended it.
func (n *Node) logHeldBack(change quota.HeldBack) {
	fields := []zap.Field{zap.String("tenant", change.Tenant), zap.Stringer("level", change.Level), zap.Bool("began", change.Began)}
	if change.Began {
		fields = append(fields, zap.Float64s("asked", change.Asked[:]), zap.Float64("minted", change.Minted))
	} else {
		fields = append(fields, zap.Uint64("refused", change.Refused), zap.Duration("lasted", change.Lasted))
	}
	n.log.Write(eventlog.QuotaHeldBack, fields...)
}

// charge takes a token of the tenant's quota for the operation that begins with the
// statement, waiting a moment for one. The reply is final if it reports false.
func (r *run) charge() (Reply, bool) {
	n := r.session.node
	if n.quotas == nil || r.session.principal == upstream.Own {
		return Reply{}, true
	}
	tenant := string(r.session.principal)
	if n.quotaOf(tenant) == nil {
		return Reply{}, true
	}
	deadline := r.arrived.Add(time.Duration(tokenShare * float64(r.session.bound.TargetLatency)))
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	token, after, granted := n.quotas.Take(tenant, r.work.Level, deadline)
	n.metrics.tokens.WithLabelValues(r.work.Level.String(), tokenOutcomes[granted]).Inc()
	if !granted {
		return r.session.fail(failure.Refuse(failure.OverQuota, spread(after))), false
	}
	r.token, r.charged = token, true
	return Reply{}, true
}

// recharge takes a token for another attempt, after one that may have run.
func (r *run) recharge() bool {
	if !r.charged {
		return true
	}
	token, _, granted := r.session.node.quotas.Take(string(r.session.principal), r.work.Level, time.Now())
	if granted {
		r.token = token
	}
	return granted
}

// putBack returns the token of an operation that did not run.
func (r *run) putBack() {
	if r.charged {
		r.charged = false
		r.session.node.quotas.PutBack(r.token)
	}
}
