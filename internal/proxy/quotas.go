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
	// nodesPerAllocator is about how many nodes of a region share an allocator. Each node sends it
	// some datagrams per second.
	nodesPerAllocator = 24
	// allocatorCandidates is how many nodes may act as an allocator, in order of preference.
	allocatorCandidates = 3
	// joinDelay is how long a node that is new to the fleet has no share of its own. By then all
	// other nodes have listed the members again and count it.
	joinDelay = 3 * network.MembersPollInterval / 2
	// tokenWaitShare is the part of the latency objective for which an operation may wait for a
	// token. The rest is left for running it.
	tokenWaitShare = 0.6
)

// newQuotas returns the node's quota keeper; nil if quotas are disabled.
func (n *Node) newQuotas() *quota.Keeper {
	if n.options.Quotas.Window <= 0 || n.ports.Tokens == nil {
		return nil
	}
	return quota.NewKeeper(quota.Config{
		Node: n.options.Name, Address: n.options.TokenAddress,
		Incarnation: backends.IncarnationNumber(n.options.Incarnation), Started: n.started, Limits: n.limitOf,
		OnThrottleEvent: n.logThrottled,
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

// limitOf returns how tokens of a tenant are issued; false if it has no quota.
func (n *Node) limitOf(tenant string) (quota.Limit, bool) {
	tenantQuota := n.quotaOf(tenant)
	if tenantQuota == nil {
		return quota.Limit{}, false
	}
	return n.options.Quotas.Limit(*tenantQuota), true
}

// ReceiveTokens handles a message about quota tokens from the node at an address.
func (n *Node) ReceiveTokens(from string, m *quota.Message) {
	if n.quotas != nil {
		n.quotas.Receive(from, m)
	}
}

// tickQuotas renews the delegation of the node's share, if any tenant has a quota.
func (n *Node) tickQuotas() {
	if n.quotas == nil {
		return
	}
	if configuration := n.catalog.Current().Configuration; configuration != nil && configuration.HasQuotas {
		n.quotas.Tick()
	}
}

// updateQuotaFleet passes the current members to the quota keeper.
func (n *Node) updateQuotaFleet() {
	members := n.Members.Load()
	if n.quotas == nil || members == nil {
		return
	}
	self := n.OwnMember()
	byRegion := map[string][]network.Member{}
	for _, member := range append([]network.Member{self}, *members...) {
		region := n.options.Regions[member.Zone]
		byRegion[region] = append(byRegion[region], member)
	}
	homeRegion := n.options.Regions[n.options.Zone]
	fleet := quota.Fleet{Nodes: len(*members) + 1, Home: allocatorsOf(byRegion[homeRegion])}
	// The node itself is the last candidate for each allocator of its region.
	for i := range fleet.Home.Allocators {
		if !slices.Contains(fleet.Home.Allocators[i], self.TokenAddress) {
			fleet.Home.Allocators[i] = append(fleet.Home.Allocators[i], self.TokenAddress)
		}
	}
	var otherRegions []placement.Candidate
	for region := range byRegion {
		if region != homeRegion {
			otherRegions = append(otherRegions, placement.Candidate{ID: region})
		}
	}
	for _, region := range placement.Rank(n.options.Name, "", otherRegions, len(otherRegions)) {
		fleet.Far = append(fleet.Far, allocatorsOf(byRegion[region]))
	}
	n.quotas.SetFleet(fleet)
}

// allocatorsOf ranks the nodes of a region that may act as its allocators. Each allocator handles a
// part of the tenants.
func allocatorsOf(members []network.Member) quota.Region {
	addresses := map[string]string{}
	var candidates []placement.Candidate
	for _, member := range members {
		if member.TokenAddress != "" {
			addresses[member.Name] = member.TokenAddress
			candidates = append(candidates, placement.Candidate{ID: member.Name})
		}
	}
	if len(candidates) == 0 {
		return quota.Region{}
	}
	parts := int(math.Ceil(float64(len(candidates)) / nodesPerAllocator))
	region := quota.Region{Allocators: make([][]string, parts)}
	for i := range parts {
		for _, name := range placement.Rank(quotaKey(i), "", candidates, allocatorCandidates) {
			region.Allocators[i] = append(region.Allocators[i], addresses[name])
		}
	}
	return region
}

// quotaKey is the ranking key of a part's allocators. It must not change: nodes of different
// versions have to rank alike.
func quotaKey(part int) string { return "quota bank " + string(rune('a'+part)) }

// assignQuotaShare gives the node its share of the quotas once, and reports whether it has one. A
// node that was listed before it started is already counted by the others, so it gets its share at
// once. A node that is new to a running fleet waits until the others count it. While a fleet starts
// for the first time, the list of members counts as complete once it has not grown since the
// previous one.
func (n *Node) assignQuotaShare(listed bool, now time.Time) bool {
	if n.quotas == nil || n.hasShare {
		return true
	}
	count, previous := n.KnownMemberCount(), n.previousMembers
	n.previousMembers = count
	validFrom := now
	switch {
	case listed:
	case !n.options.FirstStart:
		validFrom = n.started.Add(joinDelay)
	case previous == 0 || count != previous:
		return false
	}
	n.hasShare = true
	n.quotas.SetShare(validFrom)
	n.log.Write(eventlog.QuotaShare, zap.Int("nodes", n.KnownMemberCount()+1), zap.Bool("listed", listed),
		zap.Duration("in", validFrom.Sub(now)))
	return true
}

// tokenOutcomes are the values of the outcome label.
var tokenOutcomes = map[bool]string{true: "granted", false: "refused"}

// logThrottled logs that the node's allocator begins or stops to throttle less urgent work of a
// tenant.
func (n *Node) logThrottled(change quota.ThrottleEvent) {
	fields := []zap.Field{
		zap.String("tenant", change.Tenant), zap.Stringer("level", change.Level),
		zap.Bool("began", change.Began),
	}
	if change.Began {
		fields = append(fields, zap.Float64s("asked", change.Requested[:]), zap.Float64("minted", change.IssueRate))
	} else {
		fields = append(fields, zap.Uint64("refused", change.Refused), zap.Duration("lasted", change.ThrottledFor))
	}
	n.log.Write(eventlog.QuotaHeldBack, fields...)
}

// charge takes a token of the tenant's quota for the operation that the statement begins, and waits
// a moment for one if necessary. If it reports false, the reply is final.
func (r *run) charge() (Reply, bool) {
	n := r.session.node
	if n.quotas == nil || r.session.principal == upstream.Own {
		return Reply{}, true
	}
	tenant := string(r.session.principal)
	if n.quotaOf(tenant) == nil {
		return Reply{}, true
	}
	deadline := r.arrived.Add(time.Duration(tokenWaitShare * float64(r.session.route.TargetLatency)))
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	token, retryAfter, granted := n.quotas.Take(tenant, r.work.Level, deadline)
	n.metrics.tokens.WithLabelValues(r.work.Level.String(), tokenOutcomes[granted]).Inc()
	if !granted {
		return r.session.fail(failure.Refuse(failure.OverQuota, withJitter(retryAfter))), false
	}
	r.token, r.charged = token, true
	return Reply{}, true
}

// chargeRetry takes another token for a retry after an attempt that may have run.
func (r *run) chargeRetry() bool {
	if !r.charged {
		return true
	}
	token, _, granted := r.session.node.quotas.Take(string(r.session.principal), r.work.Level, time.Now())
	if granted {
		r.token = token
	}
	return granted
}

// refund returns the token of an operation that did not run.
func (r *run) refund() {
	if r.charged {
		r.charged = false
		r.session.node.quotas.Refund(r.token)
	}
}
