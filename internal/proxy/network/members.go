package network

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"dewknot/internal/base/era"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

// Member is a node's entry in the store, by which other nodes find it.
type Member struct {
	Name    string `json:"-"`
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	// MessageAddress is the address for messages of the tenure protocol.
	MessageAddress string `json:"messages,omitempty"`
	// TokenAddress is the address for messages about tenants' tokens.
	TokenAddress string `json:"tokens,omitempty"`
	// Revision is the revision of the entry.
	Revision era.Revision `json:"-"`
	// Capacity is what the node may use. Nodes of earlier versions don't report it.
	Capacity Capacity `json:"capacity,omitzero"`
}

// Peers sends requests to other nodes.
type Peers interface {
	Ask(ctx context.Context, address string, request relay.Request) (relay.Answer, error)
	// Link opens a connection on which the other node serves operations.
	Link(ctx context.Context, address string) (net.Conn, error)
}

// Timing of the membership.
const (
	// firstMembersPollDelay is the mean delay after which nodes that start together list each
	// other. secondMembersPollDelay is the mean delay until the list that includes late ones.
	firstMembersPollDelay  = 700 * time.Millisecond
	secondMembersPollDelay = 2 * time.Second
	// firstStartPollDelay is when, after its start, a node polls the members for the second time
	// during the first start of a fleet, spread over firstStartPollSpread. By then all nodes have
	// written their entries, and the list, which may be a second old, includes them.
	firstStartPollDelay  = 2200 * time.Millisecond
	firstStartPollSpread = 600 * time.Millisecond
	// MembersPollInterval is the mean interval between polls of the members.
	MembersPollInterval = 40 * time.Second
	// settleTimeout bounds the wait, from a node's start, for a list of members that is likely
	// complete. firstStartSettleTimeout applies to the first start of a fleet, where the first
	// list is incomplete: nodes that rely on it choose wrong readers, so the second one is
	// awaited. By the first list, 204 of 300 nodes listed and watched the store.
	settleTimeout           = 1500 * time.Millisecond
	firstStartSettleTimeout = 5 * time.Second
	// leasesPollDelay is the mean delay until nodes that start together have created their
	// leases.
	leasesPollDelay   = 6 * time.Second
	membersRetryDelay = 2 * time.Second
)

// maintainMembership writes this node's entry and polls the members at long intervals. An outdated
// list only costs a few unanswered requests.
func (n *Network) maintainMembership(ctx context.Context) {
	n.discoverMembers(ctx)
	n.waitJittered(ctx, firstMembersPollDelay)
	for ctx.Err() == nil && !n.pollMembers(ctx) {
		n.markMembersSettledUnlessFirstStart()
		n.waitJittered(ctx, membersRetryDelay)
	}
	n.markMembersSettledUnlessFirstStart()
	n.awaitSecondPoll(ctx)
	for ctx.Err() == nil && !n.finishStart(ctx) {
		n.waitJittered(ctx, membersRetryDelay)
	}
	n.waitJittered(ctx, leasesPollDelay)
	n.delegate.PollLeases(ctx)
	var watched neighbor
	n.publishReaders(ctx)
	for ctx.Err() == nil {
		n.waitJittered(ctx, MembersPollInterval)
		if n.pollMembers(ctx) {
			n.publishReaders(ctx)
			n.checkNeighbor(ctx, &watched)
		}
	}
}

// awaitSecondPoll waits until the second poll of the members is due.
func (n *Network) awaitSecondPoll(ctx context.Context) {
	if !n.options.FirstStart {
		n.waitJittered(ctx, secondMembersPollDelay)
		return
	}
	n.wait(ctx, time.Until(n.Started.Add(firstStartPollDelay+rand.N(firstStartPollSpread))))
}

// finishStart takes the second list of members and does what depends on it. It reports whether all
// of that succeeded.
func (n *Network) finishStart(ctx context.Context) bool {
	if !n.pollMembers(ctx) {
		return false
	}
	n.markMembersSettled()
	if !n.delegate.AssignQuotaShare(false, time.Now()) {
		return false
	}
	// Leases are created for the configuration's services, so wait for the configuration.
	n.delegate.AwaitCatalogLoaded()
	return n.delegate.CreateLeases(ctx)
}

// waitJittered waits between 0.5 and 1.5 times the mean, so that the calls of many nodes are
// spread.
func (n *Network) waitJittered(ctx context.Context, mean time.Duration) {
	n.wait(ctx, mean/2+rand.N(mean))
}

func (n *Network) wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// markMembersSettled records that the list of members is as complete as it will soon be.
func (n *Network) markMembersSettled() { n.membersSettledOnce.Do(func() { close(n.membersSettled) }) }

// markMembersSettledUnlessFirstStart calls markMembersSettled, except during the first start of a
// fleet.
func (n *Network) markMembersSettledUnlessFirstStart() {
	if !n.options.FirstStart {
		n.markMembersSettled()
	}
}

// awaitMembersSettled waits until the number of other nodes is likely known. Without it, every node
// of a large fleet that starts would watch the store for a moment.
func (n *Network) awaitMembersSettled(ctx context.Context) {
	if n.ports.Peers == nil {
		return
	}
	timeout := settleTimeout
	if n.options.FirstStart {
		timeout = firstStartSettleTimeout
	}
	timer := time.NewTimer(time.Until(n.Started.Add(timeout)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.membersSettled:
	case <-timer.C:
	}
}

// OwnMember returns this node's entry.
func (n *Network) OwnMember() Member {
	return Member{
		Name: n.options.Name, Address: n.options.PeerAddress, Zone: n.options.Zone,
		MessageAddress: n.options.MessageAddress, TokenAddress: n.options.TokenAddress, Capacity: n.options.Capacity,
	}
}

// pollMembers lists the members and writes this node's entry if it is missing or outdated.
func (n *Network) pollMembers(ctx context.Context) bool {
	own, err := n.ListMembers(ctx, StoreCallTimeout)
	return err == nil && n.ensureOwnEntry(ctx, own)
}

// ensureOwnEntry writes this node's entry unless own, the listed entry or nil, is up to date.
func (n *Network) ensureOwnEntry(ctx context.Context, own *objectstore.Object) bool {
	if n.options.PeerAddress == "" {
		return true
	}
	entry := Member{Name: n.options.Name}
	if own == nil && time.Since(n.ownEntryWrittenAt) < MembersPollInterval {
		// The list may be older than the entry.
		return true
	}
	if own != nil && json.Unmarshal(own.Content, &entry) == nil && entry == n.OwnMember() {
		return true
	}
	limited, cancel := context.WithTimeout(ctx, StoreCallTimeout)
	defer cancel()
	if !n.writeOwnEntry(limited, own) {
		return false
	}
	n.ownEntryWrittenAt = time.Now()
	return true
}

// ListMembers updates the members from the store and returns this node's own entry, or nil if there
// is none. The timeout bounds the time until the list begins to arrive.
func (n *Network) ListMembers(ctx context.Context, timeout time.Duration) (*objectstore.Object, error) {
	objects, changed, err := n.ListChanged(ctx, n.options.Kinds.Members, timeout)
	if err != nil {
		return nil, err
	}
	if !changed {
		return n.ownEntry, nil
	}
	n.ownEntry = n.applyMembers(objects)
	return n.ownEntry, nil
}

// applyMembers takes the other members from a complete list and returns this node's own entry, or
// nil if there is none.
func (n *Network) applyMembers(objects []objectstore.Object) *objectstore.Object {
	var own *objectstore.Object
	members := make([]Member, 0, len(objects))
	listedEra := uint64(0)
	for i := range objects {
		listedEra = max(listedEra, objects[i].Revision.Era())
		member := Member{Name: objects[i].Name, Revision: objects[i].Revision}
		if member.Name == n.options.Name {
			own = &objects[i]
			continue
		}
		if err := member.decode(objects[i].Content); err != nil {
			n.RefuseEntry(n.options.Kinds.Members, &objects[i], err)
			continue
		}
		members = append(members, member)
	}
	members = n.retainMembers(members, listedEra)
	n.recordMemberZones(members)
	if n.Members.Swap(&members) == nil {
		close(n.membersKnown)
	}
	n.delegate.MembersChanged()
	return own
}

// decode reads a member's entry.
func (m *Member) decode(content []byte) error {
	if err := json.Unmarshal(content, m); err != nil {
		return &objectstore.EntryError{Kind: "members", Name: m.Name, Reason: err.Error()}
	}
	if m.Address == "" {
		return &objectstore.EntryError{Kind: "members", Name: m.Name, Reason: "it has no address"}
	}
	return nil
}

// AwaitMembers waits until the number of other nodes is known or the deadline has passed. A node
// that doesn't know the others would open as many connections as if it were alone. It reports
// whether connections may be opened.
func (n *Network) AwaitMembers(deadline time.Time) bool {
	if n.Members.Load() != nil || n.ports.Peers == nil {
		return true
	}
	remaining := time.Until(n.Started.Add(MembersTimeout))
	timer := time.NewTimer(min(time.Until(deadline), remaining))
	defer timer.Stop()
	select {
	case <-n.membersKnown:
		return true
	case <-timer.C:
		return remaining <= 0
	}
}

// MembersTimeout bounds, from a node's start, the wait for a list of members.
const MembersTimeout = 10 * time.Second

// writeOwnEntry writes this node's entry, replacing an old one unless that is nil.
func (n *Network) writeOwnEntry(ctx context.Context, old *objectstore.Object) bool {
	content, err := json.Marshal(n.OwnMember())
	if err != nil {
		return false
	}
	if old == nil {
		_, err = n.ports.Store.Create(ctx, n.options.Kinds.Members, n.options.Name, content)
	} else {
		_, err = n.ports.Store.Replace(ctx, n.options.Kinds.Members, n.options.Name, old.Revision, content)
	}
	return err == nil
}

// KnownMemberCount returns the number of other nodes that this node knows.
func (n *Network) KnownMemberCount() int {
	if members := n.Members.Load(); members != nil {
		return len(*members)
	}
	return 0
}

// RandomMembers returns up to count other nodes in random order.
func (n *Network) RandomMembers(count int) []Member {
	members := n.Members.Load()
	if members == nil || n.ports.Peers == nil {
		return nil
	}
	chosen := slices.Clone(*members)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(count, len(chosen))]
}

// Capacity is what a node may use of its machine. Unknown values are zero.
type Capacity struct {
	// Processors is the processor time that the node may use, in processors.
	Processors float64 `json:"processors,omitempty"`
	// LinkMbps is the bandwidth of the node's link in Mbit/s.
	LinkMbps float64 `json:"link,omitempty"`
	// MemoryMB is the node's memory in MiB.
	MemoryMB int `json:"memory,omitempty"`
}

// What work on servers' connections needs besides one processor. A processor serves about 5,000
// statements a second, which with 300 bytes per request and answer use 25 Mbit/s. Memory holds
// sessions and the answers to slow clients.
const (
	linkMbpsPerProcessor = 25
	memoryMBPerProcessor = 256
)

// Weight returns the node's relative share of shared work: its scarcest resource, expressed as a
// number of processors. It is zero if no resource is known.
func (c Capacity) Weight() float64 {
	weight := 0.0
	for _, part := range []float64{c.Processors, c.LinkMbps / linkMbpsPerProcessor, float64(c.MemoryMB) / memoryMBPerProcessor} {
		if part > 0 && (weight == 0 || part < weight) {
			weight = part
		}
	}
	return weight
}
