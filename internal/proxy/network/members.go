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

// Member is a node's entry in the store, by which others find it.
type Member struct {
	Name    string `json:"-"`
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	// Messages is where messages of the agreement reach the node.
	Messages string `json:"messages,omitempty"`
	// Tokens is where messages about tenants' tokens reach the node.
	Tokens string `json:"tokens,omitempty"`
	// Revision is the entry's.
	Revision era.Revision `json:"-"`
	// Capacity is what the node may use. Nodes of an earlier version tell none.
	Capacity Capacity `json:"capacity,omitzero"`
}

// Peers asks other nodes.
type Peers interface {
	Ask(ctx context.Context, address string, question relay.Question) (relay.Answer, error)
	// Link opens a connection on which the other node serves operations.
	Link(ctx context.Context, address string) (net.Conn, error)
}

// Times of the membership.
const (
	// firstMemberLook is about when nodes that start together see each other, of which
	// each enters itself at once; secondMemberLook is the pause until a look for those
	// that were late.
	firstMemberLook  = 700 * time.Millisecond
	secondMemberLook = 2 * time.Second
	// firstStartLook is when, after its start, a node looks the second time while a whole
	// fleet starts for the first time, within firstStartSpread: all have entered themselves
	// after about 1.1 s, and a list may be a second old. A node that looks later serves
	// later.
	firstStartLook   = 2200 * time.Millisecond
	firstStartSpread = 600 * time.Millisecond
	MemberLook       = 40 * time.Second
	// settleLimit bounds the wait, from a node's start, for a list of members that is
	// likely complete, firstSettleLimit the same while a whole fleet starts for the first
	// time. A list may be seconds old then, and nodes that go by the first one take
	// themselves and others for readers by chance: of 300 nodes, 204 listed and watched the
	// store. So the second one is awaited; callers come later.
	settleLimit      = 1500 * time.Millisecond
	firstSettleLimit = 5 * time.Second
	// leasesLook is about the pause until all nodes that start together have made
	// their leases.
	leasesLook  = 6 * time.Second
	memberRetry = 2 * time.Second
)

// keepMembership enters this node among the members and looks at them at long
// intervals. A list that is old costs a few questions that nobody answers.
func (n *Network) keepMembership(ctx context.Context) {
	n.findMembers(ctx)
	n.waitAbout(ctx, firstMemberLook)
	for ctx.Err() == nil && !n.lookAtMembers(ctx) {
		n.settledUnlessFirst()
		n.waitAbout(ctx, memberRetry)
	}
	n.settledUnlessFirst()
	n.awaitSecondLook(ctx)
	for ctx.Err() == nil && !n.completeStart(ctx) {
		n.waitAbout(ctx, memberRetry)
	}
	n.waitAbout(ctx, leasesLook)
	n.duties.LookAtLeases(ctx)
	var watched neighbor
	n.tellReaders(ctx)
	for ctx.Err() == nil {
		n.waitAbout(ctx, MemberLook)
		if n.lookAtMembers(ctx) {
			n.tellReaders(ctx)
			n.checkNeighbor(ctx, &watched)
		}
	}
}

// awaitSecondLook waits until it is time for the second look at the members.
func (n *Network) awaitSecondLook(ctx context.Context) {
	if !n.options.FirstStart {
		n.waitAbout(ctx, secondMemberLook)
		return
	}
	n.wait(ctx, time.Until(n.Started.Add(firstStartLook+rand.N(firstStartSpread))))
}

// completeStart takes the second list of members and what depends on it, and reports
// whether all is done.
func (n *Network) completeStart(ctx context.Context) bool {
	if !n.lookAtMembers(ctx) {
		return false
	}
	n.settled()
	if !n.duties.TakeShare(false, time.Now()) {
		return false
	}
	// Leases are made for the configuration's services, and it may come only now.
	n.duties.AwaitInformed()
	return n.duties.MakeLeases(ctx)
}

// waitAbout waits for half to one and a half times a span, so that the calls of
// many nodes are spread.
func (n *Network) waitAbout(ctx context.Context, span time.Duration) {
	n.wait(ctx, span/2+rand.N(span))
}

func (n *Network) wait(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// settled notes that the list of members is as complete as it will soon be.
func (n *Network) settled() { n.settledOnce.Do(func() { close(n.membersSettled) }) }

// settledUnlessFirst is settled, except while a whole fleet starts for the first time.
func (n *Network) settledUnlessFirst() {
	if !n.options.FirstStart {
		n.settled()
	}
}

// awaitSettled waits until it is likely known how many other nodes there are: of a large
// fleet that starts, each would else watch the store for a moment.
func (n *Network) awaitSettled(ctx context.Context) {
	if n.ports.Peers == nil {
		return
	}
	limit := settleLimit
	if n.options.FirstStart {
		limit = firstSettleLimit
	}
	timer := time.NewTimer(time.Until(n.Started.Add(limit)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.membersSettled:
	case <-timer.C:
	}
}

// OwnMember returns what this node tells others of itself.
func (n *Network) OwnMember() Member {
	return Member{
		Name: n.options.Name, Address: n.options.PeerAddress, Zone: n.options.Zone,
		Messages: n.options.MessageAddress, Tokens: n.options.TokenAddress, Capacity: n.options.Capacity,
	}
}

// lookAtMembers lists the members and enters this node if it is missing.
func (n *Network) lookAtMembers(ctx context.Context) bool {
	own, err := n.ListMembers(ctx, StoreCallLimit)
	return err == nil && n.ensureEntry(ctx, own)
}

// ensureEntry enters this node among the members unless its entry, nil if there is
// none, says what it should.
func (n *Network) ensureEntry(ctx context.Context, own *objectstore.Object) bool {
	if n.options.PeerAddress == "" {
		return true
	}
	entry := Member{Name: n.options.Name}
	if own == nil && time.Since(n.enteredAt) < MemberLook {
		// A list that lacks the entry may be older than it.
		return true
	}
	if own != nil && json.Unmarshal(own.Content, &entry) == nil && entry == n.OwnMember() {
		return true
	}
	limited, cancel := context.WithTimeout(ctx, StoreCallLimit)
	defer cancel()
	if !n.enter(limited, own) {
		return false
	}
	n.enteredAt = time.Now()
	return true
}

// ListMembers takes the other members from the store and returns this node's own
// entry, nil if there is none. The limit bounds the time until the list begins to come.
func (n *Network) ListMembers(ctx context.Context, limit time.Duration) (*objectstore.Object, error) {
	objects, changed, err := n.ListChanged(ctx, n.options.Kinds.Members, limit)
	if err != nil {
		return nil, err
	}
	if !changed {
		return n.ownEntry, nil
	}
	n.ownEntry = n.takeMembers(objects)
	return n.ownEntry, nil
}

// takeMembers takes the other members from a listing of all, and returns this node's
// own entry, nil if there is none.
func (n *Network) takeMembers(objects []objectstore.Object) *objectstore.Object {
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
	members = n.keepMembers(members, listedEra)
	n.placeMembers(members)
	if n.Members.Swap(&members) == nil {
		close(n.membersKnown)
	}
	n.duties.MembersChanged()
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

// AwaitMembers waits, but not past a deadline, until a node that has just started
// knows how many others there are: one that does not know would open connections
// as if it were alone. It reports whether connections may be opened.
func (n *Network) AwaitMembers(deadline time.Time) bool {
	if n.Members.Load() != nil || n.ports.Peers == nil {
		return true
	}
	patience := time.Until(n.Started.Add(MembersPatience))
	timer := time.NewTimer(min(time.Until(deadline), patience))
	defer timer.Stop()
	select {
	case <-n.membersKnown:
		return true
	case <-timer.C:
		return patience <= 0
	}
}

// MembersPatience is how long after its start a node waits for a list of members.
const MembersPatience = 10 * time.Second

// enter writes this node's entry, in place of an old one if there is one.
func (n *Network) enter(ctx context.Context, old *objectstore.Object) bool {
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

// KnownMembers returns how many other nodes this node knows.
func (n *Network) KnownMembers() int {
	if known := n.Members.Load(); known != nil {
		return len(*known)
	}
	return 0
}

// SomeMembers returns up to count other nodes, chosen at random.
func (n *Network) SomeMembers(count int) []Member {
	known := n.Members.Load()
	if known == nil || n.ports.Peers == nil {
		return nil
	}
	chosen := slices.Clone(*known)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(count, len(chosen))]
}

// Capacity is what a node may use of its machine; zero for what is not known.
type Capacity struct {
	// Processors is how many processors' time it may use.
	Processors float64 `json:"processors,omitempty"`
	// LinkMbps is what its link carries, in Mbit/s.
	LinkMbps float64 `json:"link,omitempty"`
	// MemoryMB is its memory in MiB.
	MemoryMB int `json:"memory,omitempty"`
}

// What work on a server's connections uses beside a whole processor: about 5,000 statements
// a second take one at the owner, and with 300 bytes of request and answer each way they
// fill 25 Mbit/s. Sessions and answers that wait for slow askers are held in memory; a quarter
// of a GiB bears as many as a processor.
const (
	linkMbpsPerProcessor = 25
	memoryMBPerProcessor = 256
)

// Weight is how much of other nodes' work a node can own: the scarcest of what it tells, as
// the number of processors of which the rest would be in proportion. Zero if it tells none.
func (c Capacity) Weight() float64 {
	weight := 0.0
	for _, part := range []float64{c.Processors, c.LinkMbps / linkMbpsPerProcessor, float64(c.MemoryMB) / memoryMBPerProcessor} {
		if part > 0 && (weight == 0 || part < weight) {
			weight = part
		}
	}
	return weight
}
