package backends

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dewknot/internal/base/placement"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/network"
)

// placements says which node owns the connections of which server, as it follows from a list
// of members and a directory. It is immutable.
type placements struct {
	members []network.Member
	// zones holds the zone of each server whose connections are owned.
	zones map[string]string
	// addresses holds the nodes' by name, regions theirs.
	addresses map[string]string
	regions   map[string]string
	// tiers are the nodes by their distance from each zone of servers, the nearest first.
	tiers map[string][][]placement.Candidate
	// owners holds the name of each server's owner.
	owners map[string]string
}

// placedAt are placements with the list of members and the directory for which they hold.
type placedAt struct {
	*placements
	members  *[]network.Member
	snapshot *catalog.Snapshot
	at       time.Time
}

// placementsPause is how long placements stand at least while only the directory changes: at
// the start of a large fleet its servers enter one by one, and placing 1,800 of them among 300
// nodes anew for each took half of each node's processor. A server that has no place yet is
// ranked by itself.
const placementsPause = 2 * time.Second

// mostPairs bounds the pairs of a server and a node of its zone among which owners are
// assigned within a bound: 5,000 take 1 ms. With more, servers go to the node that ranks
// first for each: chance makes that the more even the more there are, and to assign 300
// servers among 49 nodes in each of six zones took a small node's processor at the start.
const mostPairs = 5000

// fresh reports whether placements stand for a list of members and a directory.
func (p *placedAt) fresh(members *[]network.Member, snapshot *catalog.Snapshot) bool {
	return p != nil && p.members == members && (p.snapshot == snapshot || time.Since(p.at) < placementsPause)
}

// zoneTiers are distances between zones: the same, the same region, others.
const zoneTiers = 3

// placements returns who owns what by the present members and directory.
func (b *Backends) placements(members *[]network.Member) *placements {
	snapshot := b.catalog.Current()
	known := b.placed.Load()
	if known.fresh(members, snapshot) {
		return known.placements
	}
	// One goroutine places, and who has placements goes on with them meanwhile: 18 that did so
	// at once on each of 294 nodes before 1,800 servers took all of their processors, and 110
	// MB of each.
	if known == nil {
		b.placing.Lock()
	} else if !b.placing.TryLock() {
		return known.placements
	}
	defer b.placing.Unlock()
	if known = b.placed.Load(); known.fresh(members, snapshot) {
		return known.placements
	}
	now := time.Now()
	zones := b.ownedZones(snapshot, len(*members)+1)
	// Listings may come in any order.
	inOrder := slices.SortedFunc(slices.Values(*members), func(a, b network.Member) int { return strings.Compare(a.Name, b.Name) })
	if known != nil && maps.Equal(known.zones, zones) && slices.Equal(known.placements.members, inOrder) {
		// Nothing changed that matters: rankings that were made of it stand.
		b.placed.Store(&placedAt{known.placements, members, snapshot, now})
		return known.placements
	}
	made := b.place(zones, inOrder)
	b.placed.Store(&placedAt{made, members, snapshot, now})
	return made
}

// place ranks the nodes for servers in some zones.
func (b *Backends) place(zones map[string]string, members []network.Member) *placements {
	made := &placements{
		members: members, zones: zones, addresses: map[string]string{b.options.Name: ""},
		regions: map[string]string{b.options.Name: b.options.Regions[b.options.Zone]},
		tiers:   map[string][][]placement.Candidate{}, owners: map[string]string{},
	}
	servers := map[string][]string{}
	for id, zone := range zones {
		servers[zone] = append(servers[zone], id)
	}
	for _, member := range members {
		made.addresses[member.Name] = member.Address
		made.regions[member.Name] = b.options.Regions[member.Zone]
	}
	for zone, ids := range servers {
		made.tiers[zone] = b.tiersFrom(zone, members)
		for _, tier := range made.tiers[zone] {
			if len(tier) == 0 {
				continue
			}
			if len(ids)*len(tier) <= mostPairs {
				maps.Copy(made.owners, placement.Assign(ids, tier))
			}
			break
		}
	}
	return made
}

// inRegionOf reports whether a node is in the region of a server.
func (b *Backends) inRegionOf(id, node string, placed *placements) bool {
	entry := b.catalog.Current().Servers[id]
	return entry != nil && placed.regions[node] == b.options.Regions[entry.Zone]
}

// ownedZones returns the zones of the servers that have too few connections for each node to
// keep its own.
func (b *Backends) ownedZones(snapshot *catalog.Snapshot, nodes int) map[string]string {
	zones := map[string]string{}
	for service, entries := range snapshot.ByService {
		if b.sharesConnections(service, nodes) {
			continue
		}
		for _, entry := range entries {
			zones[entry.ID] = entry.Zone
		}
	}
	return zones
}

// tiersFrom sorts all nodes by their distance from a zone.
func (b *Backends) tiersFrom(zone string, members []network.Member) [][]placement.Candidate {
	tiers := make([][]placement.Candidate, zoneTiers)
	sort := func(name, memberZone string, capacity network.Capacity) {
		tier := b.ZoneDistance(memberZone, zone)
		tiers[tier] = append(tiers[tier], placement.Candidate{ID: name, Weight: capacity.Weight()})
	}
	sort(b.options.Name, b.options.Zone, b.options.Capacity)
	for _, member := range members {
		sort(member.Name, member.Zone, member.Capacity)
	}
	return tiers
}

// owned returns how many servers' connections are assigned to this node.
func (b *Backends) owned() float64 {
	placed := b.placed.Load()
	if placed == nil {
		return 0
	}
	count := 0
	for _, owner := range placed.owners {
		if owner == b.options.Name {
			count++
		}
	}
	return float64(count)
}
