package tenure

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dewknot/internal/base/placement"
	"dewknot/internal/proxy/quorum"
)

// Times and sizes of the choice of voters.
const (
	// createAfter is how long after its start a fleet makes its first table: its nodes
	// have entered themselves and know each other by then.
	createAfter = 2500 * time.Millisecond
	// createPatience is how long after its start a fleet makes do with fewer voters than its
	// size asks for, or with voters that one loss may leave without a majority. Nodes that are
	// busy with their start answer late.
	createPatience = 5 * time.Second
	// inquiryWait is the wait for the answers to inquiries: a round trip between regions
	// and some.
	inquiryWait = 120 * time.Millisecond
	// inquiryLook is the pause between looks at the answers.
	inquiryLook = 10 * time.Millisecond
	// livesSpan is how old an answer may be by which the voters of the first table are chosen.
	livesSpan = time.Second
	// inquiredPeers is how many peers are asked for the table, or whether they live.
	inquiredPeers = 12
)

// peerLife is a peer's process as it answered an inquiry at a time.
type peerLife struct {
	life uint64
	at   time.Time
}

// seek asks other nodes for the table, and makes the first one if there is none.
func (k *Keeper) seek(ctx context.Context, now time.Time) {
	known := k.cfg.Peers()
	peers := k.inquire(ctx, inquiredPeers, now.Add(-livesSpan))
	if k.table() != nil || now.Sub(k.started) < createAfter {
		return
	}
	seats := k.seats(nil, peers)
	if now.Sub(k.started) < createPatience && (known == nil || len(seats) < seatsFor(len(known)+1) || k.crowded(seats)) {
		return
	}
	if !k.fetch(ctx) || k.table() != nil || !k.first(peers) {
		return
	}
	var none *quorum.Table
	storeEra := k.cfg.StoreEra()
	k.write(ctx, &quorum.Table{Era: none.NextEra(storeEra), StoreEra: storeEra, Seats: seats}, 0)
}

// first reports whether this node is the one to make the table: of nodes with the same
// view one, and with views that differ the store's condition decides.
func (k *Keeper) first(peers []Peer) bool {
	candidates := []placement.Candidate{{ID: k.cfg.Name}}
	for _, peer := range peers {
		candidates = append(candidates, placement.Candidate{ID: peer.Name})
	}
	return placement.Rank(tableName, "", candidates, 1)[0] == k.cfg.Name
}

// inquire asks up to count peers whether they live and what table they know, and
// returns those that have answered since a time.
func (k *Keeper) inquire(ctx context.Context, count int, since time.Time) []Peer {
	peers := k.cfg.Peers()
	chosen := asked(peers, k.table(), count)
	for _, peer := range peers {
		if slices.Contains(chosen, peer.Name) {
			k.cfg.Sender.SendMessage(peer.Address, &quorum.Message{Kind: quorum.Inquire, From: k.cfg.Name, Life: k.cfg.Life})
		}
	}
	living := k.living(peers, since)
	for deadline := time.Now().Add(inquiryWait); len(living) < len(chosen) && ctx.Err() == nil && time.Now().Before(deadline); {
		time.Sleep(inquiryLook)
		living = k.living(peers, since)
	}
	return living
}

// living returns the peers that have answered an inquiry since a time.
func (k *Keeper) living(peers []Peer, since time.Time) []Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	var living []Peer
	for _, peer := range peers {
		if answered, found := k.lives[peer.Name]; found && !answered.at.Before(since) {
			living = append(living, peer)
		}
	}
	return living
}

// asked chooses the peers of an inquiry: for one half those with most capacity, of each zone
// as many, any others, the same for all nodes, for the rest, and the voters of the table
// besides.
func asked(peers []Peer, table *quorum.Table, count int) []string {
	candidates := make([]placement.Candidate, 0, len(peers))
	byName := map[string]Peer{}
	for _, peer := range peers {
		candidates = append(candidates, placement.Candidate{ID: peer.Name})
		byName[peer.Name] = peer
	}
	ranked := placement.Rank(tableName, "", candidates, len(candidates))
	strong := slices.Clone(ranked)
	slices.SortStableFunc(strong, func(a, b string) int { return cmp.Compare(byName[b].Capacity, byName[a].Capacity) })
	inZone, place := map[string]int{}, map[string]int{}
	for _, name := range strong {
		zone := byName[name].Zone
		place[name] = inZone[zone]
		inZone[zone]++
	}
	slices.SortStableFunc(strong, func(a, b string) int { return cmp.Compare(place[a], place[b]) })
	chosen := slices.Clone(strong[:min(count/2, len(strong))])
	for _, name := range ranked {
		if len(chosen) < count && !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	if table == nil {
		return chosen
	}
	for _, peer := range peers {
		if table.Seat(peer.Name) != nil && !slices.Contains(chosen, peer.Name) {
			chosen = append(chosen, peer.Name)
		}
	}
	return chosen
}

// seatsFor returns how many voters a number of nodes has: an odd one, since an even one
// bears no more losses.
func seatsFor(nodes int) int {
	return min(quorum.MaxVoters, nodes-(nodes+1)%2)
}

// places are the nodes' zones and regions by name.
type places map[string]Peer

func (k *Keeper) places(peers []Peer) places {
	known := places{k.cfg.Name: {Name: k.cfg.Name, Address: k.cfg.Address, Zone: k.cfg.Zone, Region: k.cfg.Region, Capacity: k.cfg.Capacity}}
	for _, peer := range peers {
		known[peer.Name] = peer
	}
	return known
}

// distances returns how far a table's voters are from this node; nil if no place is known.
func (k *Keeper) distances(table *quorum.Table) map[string]int {
	known := k.places(k.cfg.Peers())
	var distances map[string]int
	for _, seat := range table.Seats {
		peer, found := known[seat.Name]
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
		distances[seat.Name] = distance
	}
	return distances
}

func zoneOf(p Peer) string   { return p.Zone }
func regionOf(p Peer) string { return p.Region }

// seatsEach returns how many of some seats one zone, or region, may have: fewer than a majority,
// if there are nodes enough in others.
func (p places) seatsEach(placeOf func(Peer) string, seats int) int {
	nodes := map[string]int{}
	for _, peer := range p {
		nodes[placeOf(peer)]++
	}
	for each := (seats - 1) / 2; each < seats; each++ {
		room := 0
		for _, count := range nodes {
			room += min(each, count)
		}
		if room >= seats {
			return max(each, 1)
		}
	}
	return seats
}

// crowded reports whether the loss of one zone or region takes the majority of some seats
// though the nodes that are known allow others.
func (k *Keeper) crowded(seats []quorum.Seat) bool {
	known := k.places(k.cfg.Peers())
	for _, placeOf := range []func(Peer) string{zoneOf, regionOf} {
		most, count := known.seatsEach(placeOf, len(seats)), map[string]int{}
		for _, seat := range seats {
			peer, found := known[seat.Name]
			if !found {
				continue
			}
			count[placeOf(peer)]++
			if count[placeOf(peer)] > most {
				return true
			}
		}
	}
	return false
}

// seats chooses the voters of a new table: those of the table before that live, then
// nodes of the regions and zones that have the fewest, of a zone's the ones with most capacity,
// then silent ones of the table before: they may return, and a table that shrinks bears fewer
// losses. No zone or region has a majority if there are nodes enough in others.
func (k *Keeper) seats(before *quorum.Table, living []Peer) []quorum.Seat {
	wanted := seatsFor(len(k.cfg.Peers()) + 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	c := newChoice(k.places(living), wanted)
	var silent []quorum.Seat
	if before != nil {
		for _, seat := range before.Seats {
			if _, lives := c.available[seat.Name]; !lives {
				silent = append(silent, quorum.Seat{Name: seat.Name, Address: seat.Address})
			} else if c.fits(seat.Name) {
				c.choose(seat.Name)
			}
		}
	}
	for len(c.chosen) < wanted && len(c.available) > 0 {
		c.choose(c.best())
	}
	var seats []quorum.Seat
	for _, peer := range c.chosen {
		seats = append(seats, quorum.Seat{Name: peer.Name, Address: peer.Address, Life: k.lifeOf(peer.Name)})
	}
	for _, seat := range silent {
		if len(seats) < wanted {
			seats = append(seats, seat)
		}
	}
	return seats
}

// lifeOf returns the process of a node that lives; the lock is held.
func (k *Keeper) lifeOf(name string) uint64 {
	if name == k.cfg.Name {
		return k.cfg.Life
	}
	return k.lives[name].life
}

// choice is a choice of voters under way.
type choice struct {
	available places
	wanted    int
	chosen    []Peer
	// zoneMost and regionMost are how many voters a zone and a region may have.
	zoneMost, regionMost int
	inZone, inRegion     map[string]int
}

func newChoice(available places, wanted int) *choice {
	return &choice{
		available: available, wanted: wanted, inZone: map[string]int{}, inRegion: map[string]int{},
		zoneMost: available.seatsEach(zoneOf, wanted), regionMost: available.seatsEach(regionOf, wanted),
	}
}

// fits reports whether a node may be chosen as far as its zone and region go.
func (c *choice) fits(name string) bool {
	peer := c.available[name]
	return len(c.chosen) < c.wanted && c.inZone[peer.Zone] < c.zoneMost && c.inRegion[peer.Region] < c.regionMost
}

func (c *choice) choose(name string) {
	peer := c.available[name]
	c.chosen = append(c.chosen, peer)
	c.inZone[peer.Zone]++
	c.inRegion[peer.Region]++
	delete(c.available, name)
}

// best returns the node to choose next.
func (c *choice) best() string {
	names := make([]string, 0, len(c.available))
	for name := range c.available {
		names = append(names, name)
	}
	unfit := func(name string) int {
		if c.fits(name) {
			return 0
		}
		return 1
	}
	return slices.MinFunc(names, func(a, b string) int {
		one, other := c.available[a], c.available[b]
		return cmp.Or(
			cmp.Compare(unfit(a), unfit(b)), cmp.Compare(c.inRegion[one.Region], c.inRegion[other.Region]),
			cmp.Compare(c.inZone[one.Zone], c.inZone[other.Zone]), cmp.Compare(other.Capacity, one.Capacity), cmp.Compare(a, b),
		)
	})
}
