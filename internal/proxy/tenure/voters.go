package tenure

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dewknot/internal/base/placement"
	"dewknot/internal/proxy/quorum"
)

// Timing and sizes of voter selection.
const (
	// createDelay is how long after its start a node waits before it creates the first table. By
	// then the nodes of a new fleet are registered and know each other.
	createDelay = 2500 * time.Millisecond
	// fallbackCreateDelay is how long after its start a node waits before it accepts fewer voters
	// than the fleet's size requires, or voters that may lose their majority with one zone or
	// region. Nodes may answer late during their start.
	fallbackCreateDelay = 5 * time.Second
	// inquiryTimeout bounds the wait for answers to inquiries. It is longer than the round-trip
	// time between regions.
	inquiryTimeout = 120 * time.Millisecond
	// inquiryPollInterval is the pause between checks for answers.
	inquiryPollInterval = 10 * time.Millisecond
	// maxAnswerAge is the maximum age of answers that are used to select the first voters.
	maxAnswerAge = time.Second
	// inquiryPeers is how many peers an inquiry asks, in addition to the voters.
	inquiryPeers = 12
)

// peerIncarnation is the incarnation of a peer in its last answer to an inquiry.
type peerIncarnation struct {
	number     uint64
	answeredAt time.Time
	// needsSupport is set if the peer's voter acts only while its generation is supported.
	needsSupport bool
}

// peers returns the other nodes: those that are listed, or, before the first list is loaded, the other
// voters of the table. A node that counted as alone until then would end a generation with itself as
// the only voter. It returns nil if no other node is known. k.mu must not be held.
func (k *Keeper) peers() []Peer {
	if listed := k.cfg.Peers(); listed != nil {
		return listed
	}
	table := k.table()
	if table == nil {
		return nil
	}
	var voters []Peer
	for _, entry := range table.Entries {
		if entry.Name != k.cfg.Name {
			voters = append(voters, Peer{Name: entry.Name, Address: entry.Address})
		}
	}
	return voters
}

// findTable asks other nodes for the table, and creates the first one if there is none.
func (k *Keeper) findTable(ctx context.Context, now time.Time) {
	knownPeers := k.cfg.Peers()
	peers := k.inquire(ctx, inquiryPeers, now.Add(-maxAnswerAge))
	if k.table() != nil || now.Sub(k.started) < createDelay {
		return
	}
	if knownPeers == nil {
		return
	}
	voters := k.selectVoters(nil, peers)
	if now.Sub(k.started) < fallbackCreateDelay && (len(voters) < voterCountFor(len(knownPeers)+1) || k.unbalanced(voters)) {
		return
	}
	if !k.fetch(ctx) || k.table() != nil || !k.createsTable(peers) {
		return
	}
	var noTable *quorum.Table
	storeEra := k.cfg.StoreEra()
	table := &quorum.Table{Generation: noTable.NextGeneration(storeEra), StoreEra: storeEra, Entries: voters, Supporters: k.selectSupporters(noTable, voters, peers)}
	k.logSelection(table, noTable, peers, firstTable)
	k.write(ctx, table, 0)
}

// createsTable reports whether this node has to create the first table. Nodes with the same list of
// peers pick the same node; otherwise the conditional write to the store decides.
func (k *Keeper) createsTable(peers []Peer) bool {
	candidates := []placement.Candidate{{ID: k.cfg.Name}}
	for _, peer := range peers {
		candidates = append(candidates, placement.Candidate{ID: peer.Name})
	}
	return placement.Rank(tableName, "", candidates, 1)[0] == k.cfg.Name
}

// inquire asks up to count peers, and the voters, for their incarnations and tables. It returns the
// peers that have answered since a time.
func (k *Keeper) inquire(ctx context.Context, count int, since time.Time) []Peer {
	peers := k.peers()
	chosen := inquiryTargets(peers, k.table(), count)
	for _, peer := range peers {
		if slices.Contains(chosen, peer.Name) {
			k.cfg.Sender.SendMessage(peer.Address, &quorum.Message{Kind: quorum.Inquire, From: k.cfg.Name, Incarnation: k.cfg.Incarnation})
		}
	}
	alive := k.alive(peers, since)
	for deadline := time.Now().Add(inquiryTimeout); len(alive) < len(chosen) && ctx.Err() == nil && time.Now().Before(deadline); {
		time.Sleep(inquiryPollInterval)
		alive = k.alive(peers, since)
	}
	return alive
}

// alive returns the peers that have answered an inquiry since a time.
func (k *Keeper) alive(peers []Peer, since time.Time) []Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	var alive []Peer
	for _, peer := range peers {
		if incarnation, found := k.incarnations[peer.Name]; found && !incarnation.answeredAt.Before(since) {
			alive = append(alive, peer)
		}
	}
	return alive
}

// inquiryTargets selects the peers to ask. One half are the peers with most capacity, spread evenly
// over zones, the other half are the same for all nodes. The voters of the table are added to them.
func inquiryTargets(peers []Peer, table *quorum.Table, count int) []string {
	candidates := make([]placement.Candidate, 0, len(peers))
	byName := map[string]Peer{}
	for _, peer := range peers {
		candidates = append(candidates, placement.Candidate{ID: peer.Name})
		byName[peer.Name] = peer
	}
	ranked := placement.Rank(tableName, "", candidates, len(candidates))
	byCapacity := slices.Clone(ranked)
	slices.SortStableFunc(byCapacity, func(a, b string) int { return cmp.Compare(byName[b].Capacity, byName[a].Capacity) })
	zoneCount, rankInZone := map[string]int{}, map[string]int{}
	for _, name := range byCapacity {
		zone := byName[name].Zone
		rankInZone[name] = zoneCount[zone]
		zoneCount[zone]++
	}
	slices.SortStableFunc(byCapacity, func(a, b string) int { return cmp.Compare(rankInZone[a], rankInZone[b]) })
	chosen := slices.Clone(byCapacity[:min(count/2, len(byCapacity))])
	for _, name := range ranked {
		if len(chosen) < count && !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	if table == nil {
		return chosen
	}
	for _, peer := range peers {
		if table.VoterEntry(peer.Name) != nil && !slices.Contains(chosen, peer.Name) {
			chosen = append(chosen, peer.Name)
		}
	}
	return chosen
}

// voterCountFor returns the number of voters for a number of nodes. It is odd because an even
// number tolerates no more failures.
func voterCountFor(nodes int) int { return min(quorum.MaxVoters, voterLimit(nodes)) }

// voterLimit returns the largest odd number that is not above a number of nodes.
func voterLimit(nodes int) int { return nodes - (nodes+1)%2 }

// locations are nodes by name, with their zones and regions.
type locations map[string]Peer

func (k *Keeper) locations(peers []Peer) locations {
	known := locations{k.cfg.Name: {Name: k.cfg.Name, Address: k.cfg.Address, Zone: k.cfg.Zone, Region: k.cfg.Region, Capacity: k.cfg.Capacity}}
	for _, peer := range peers {
		known[peer.Name] = peer
	}
	return known
}

// distances returns the distance of each voter of a table: 0 in this node's zone, 1 in its region,
// otherwise 2. It returns nil if no voter's location is known.
func (k *Keeper) distances(table *quorum.Table) map[string]int {
	known := k.locations(k.cfg.Peers())
	var distances map[string]int
	for _, entry := range table.Entries {
		peer, found := known[entry.Name]
		if !found {
			continue
		}
		distance := 2
		switch {
		case peer.Zone == k.cfg.Zone:
			distance = 0
		case peer.Region == k.cfg.Region:
			distance = 1
		}
		if distances == nil {
			distances = map[string]int{}
		}
		distances[entry.Name] = distance
	}
	return distances
}

func zoneOf(p Peer) string   { return p.Zone }
func regionOf(p Peer) string { return p.Region }

// maxVotersPer returns how many of a number of voters one zone or region may have: less than a
// majority if there are enough nodes elsewhere.
func (l locations) maxVotersPer(locationOf func(Peer) string, voters int) int {
	nodes := map[string]int{}
	for _, peer := range l {
		nodes[locationOf(peer)]++
	}
	for limit := (voters - 1) / 2; limit < voters; limit++ {
		total := 0
		for _, count := range nodes {
			total += min(limit, count)
		}
		if total >= voters {
			return max(limit, 1)
		}
	}
	return voters
}

// unbalanced reports whether the voters would lose their majority with one zone or region although
// the known nodes allow a better selection.
func (k *Keeper) unbalanced(voters []quorum.VoterEntry) bool {
	known := k.locations(k.cfg.Peers())
	for _, locationOf := range []func(Peer) string{zoneOf, regionOf} {
		limit, count := known.maxVotersPer(locationOf, len(voters)), map[string]int{}
		for _, entry := range voters {
			peer, found := known[entry.Name]
			if !found {
				continue
			}
			count[locationOf(peer)]++
			if count[locationOf(peer)] > limit {
				return true
			}
		}
	}
	return false
}

// selectVoters selects the voters of a new table. It takes the previous voters that are alive, then
// nodes of the regions and zones with the fewest voters, in a zone those with most capacity. Then
// it keeps silent previous voters: they may return, and a smaller table tolerates fewer failures.
// No zone or region gets a majority if there are enough nodes elsewhere. A node that stops selects
// neither itself nor silent nodes, which may be stopping as well; the result is empty if no other node
// is alive.
func (k *Keeper) selectVoters(before *quorum.Table, alive []Peer) []quorum.VoterEntry {
	wanted := voterCountFor(len(k.peers()) + 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	available := k.locations(alive)
	if k.leaving {
		delete(available, k.cfg.Name)
		wanted = min(wanted, max(0, voterCountFor(len(available))))
	}
	c := newSelection(available, wanted)
	var silent []quorum.VoterEntry
	if before != nil {
		for _, entry := range before.Entries {
			if _, isAlive := c.available[entry.Name]; !isAlive {
				silent = append(silent, quorum.VoterEntry{Name: entry.Name, Address: entry.Address})
			} else if c.fits(entry.Name) {
				c.choose(entry.Name)
			}
		}
	}
	for len(c.chosen) < wanted && len(c.available) > 0 {
		c.choose(c.next())
	}
	var voters []quorum.VoterEntry
	for _, peer := range c.chosen {
		voters = append(voters, quorum.VoterEntry{Name: peer.Name, Address: peer.Address, Incarnation: k.incarnationOf(peer.Name)})
	}
	for _, entry := range silent {
		if len(voters) < wanted && !k.isLeaving(entry.Name, time.Now()) {
			voters = append(voters, entry)
		}
	}
	return voters
}

// incarnationOf returns the incarnation of a node that is alive. k.mu must be held.
func (k *Keeper) incarnationOf(name string) uint64 {
	if name == k.cfg.Name {
		return k.cfg.Incarnation
	}
	return k.incarnations[name].number
}

// selection is a selection of voters in progress.
type selection struct {
	available locations
	size      int
	chosen    []Peer
	// maxPerZone and maxPerRegion limit the voters of a zone and a region.
	maxPerZone, maxPerRegion int
	inZone, inRegion         map[string]int
}

func newSelection(available locations, size int) *selection {
	return &selection{
		available: available, size: size, inZone: map[string]int{}, inRegion: map[string]int{},
		maxPerZone: available.maxVotersPer(zoneOf, size), maxPerRegion: available.maxVotersPer(regionOf, size),
	}
}

// fits reports whether a node may be chosen within the limits of its zone and region.
func (c *selection) fits(name string) bool {
	peer := c.available[name]
	return len(c.chosen) < c.size && c.inZone[peer.Zone] < c.maxPerZone && c.inRegion[peer.Region] < c.maxPerRegion
}

func (c *selection) choose(name string) {
	peer := c.available[name]
	c.chosen = append(c.chosen, peer)
	c.inZone[peer.Zone]++
	c.inRegion[peer.Region]++
	delete(c.available, name)
}

// next returns the best node that is still available.
func (c *selection) next() string {
	names := make([]string, 0, len(c.available))
	for name := range c.available {
		names = append(names, name)
	}
	exceedsLimit := func(name string) int {
		if c.fits(name) {
			return 0
		}
		return 1
	}
	return slices.MinFunc(names, func(a, b string) int {
		nodeA, nodeB := c.available[a], c.available[b]
		return cmp.Or(
			cmp.Compare(exceedsLimit(a), exceedsLimit(b)), cmp.Compare(c.inRegion[nodeA.Region], c.inRegion[nodeB.Region]),
			cmp.Compare(c.inZone[nodeA.Zone], c.inZone[nodeB.Zone]), cmp.Compare(nodeB.Capacity, nodeA.Capacity), cmp.Compare(a, b),
		)
	})
}
