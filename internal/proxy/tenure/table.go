package tenure

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/era"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/placement"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/quorum"
)

// Times of the table.
const (
	// tableName is the object's name.
	tableName = "voters"
	// createAfter is how long after its start a fleet makes its first table: its nodes
	// have entered themselves and know each other by then.
	createAfter = 2500 * time.Millisecond
	// reviewInterval is the pause between looks at the voters.
	reviewInterval = 200 * time.Millisecond
	// lossInterval is the same while this node's voter has no memory or is sealed: an era may
	// have to end, and callers wait for it.
	lossInterval = 15 * time.Millisecond
	// silentSpan is how long a voter may be silent before another node takes its seat:
	// longer than a restart or a short cut.
	silentSpan = 4 * time.Second
	// deputySpan is how long a voter may be silent before another one looks after the
	// table in its place.
	deputySpan = 1500 * time.Millisecond
	// firstAnswerSpan is the same for voters that have not answered since the table was
	// taken.
	firstAnswerSpan = 600 * time.Millisecond
	// growInterval is the pause between looks whether there are nodes for more seats.
	growInterval = 10 * time.Second
	// inquiryWait is the wait for the answers to inquiries: a round trip between regions
	// and some.
	inquiryWait = 120 * time.Millisecond
	// inquiryLook is the pause between looks at the answers.
	inquiryLook = 10 * time.Millisecond
	// inquiredPeers is how many peers are asked for the table, or whether they live.
	inquiredPeers = 12
	// sealLimit bounds the end of an era. sealInterval is the pause between questions, which
	// doubles: what is late for want of room on a link is not hastened by more of it.
	sealLimit    = time.Second
	sealInterval = 30 * time.Millisecond
	// answersKept is how many answers to the end of an era may wait: some pages of each voter.
	answersKept = 128
	// firstEraPause is the pause after an era that could not be ended or begun, which
	// doubles up to longestEraPause: each attempt seals voters and asks many nodes.
	firstEraPause   = 25 * time.Millisecond
	longestEraPause = 400 * time.Millisecond
	// toldDirectly is how many nodes at most are told of a new table by the one that has
	// written it; if there are more, each voter tells its share of them. A table takes
	// some 300 bytes.
	toldDirectly = 48
)

// keepTable learns the table, makes the first one, and looks after it.
func (k *Keeper) keepTable(ctx context.Context) {
	k.fetch(ctx)
	var grown time.Time
	var pause time.Duration
	for ctx.Err() == nil {
		timer := time.NewTimer(max(pause, k.reviewPause()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		switch now := time.Now(); {
		case k.table() == nil:
			k.seek(ctx, now)
		case k.inCharge(now) && k.lacking(now, &grown):
			era := k.table().Era
			k.change(ctx)
			if k.table().Era > era {
				pause = 0
			} else {
				pause = min(max(firstEraPause, 2*pause), longestEraPause)
			}
		}
	}
}

// reviewPause is the pause until the next look at the table: short while an era may
// have to end because voters have lost their memory.
func (k *Keeper) reviewPause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.voter.Recovering() || k.voter.Sealed() {
		return lossInterval
	}
	return reviewInterval
}

func (k *Keeper) table() *quorum.Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.voter.Table()
}

// fetchSoon reads the table from the store, unless that is under way; the lock is held.
func (k *Keeper) fetchSoon() {
	if k.fetching {
		return
	}
	k.fetching = true
	known := k.voter.Table()
	go func() {
		k.fetch(context.Background())
		k.mu.Lock()
		k.fetching = false
		table := k.voter.Table()
		k.mu.Unlock()
		if table != known {
			k.announce(table, false)
		}
	}()
}

// fetch reads the table from the store. It reports whether the store answered.
func (k *Keeper) fetch(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	object, err := k.cfg.Store.Get(limited, k.cfg.Kind, tableName)
	if err != nil {
		return objectstore.OutcomeOf(err) == objectstore.NotFound
	}
	k.take(object)
	return true
}

// take takes the table as the store holds it.
func (k *Keeper) take(object objectstore.Object) {
	table := &quorum.Table{}
	if err := json.Unmarshal(object.Content, table); err != nil || len(table.Seats) == 0 {
		k.cfg.Log.Write(eventlog.VotersRefused, zap.Stringer("revision", object.Revision), zap.Error(err))
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tableRevision = max(k.tableRevision, object.Revision)
	k.install(time.Now(), table)
}

// seek asks other nodes for the table, and makes the first one if there is none.
func (k *Keeper) seek(ctx context.Context, now time.Time) {
	peers := k.inquire(ctx, inquiredPeers)
	if k.table() != nil || now.Sub(k.started) < createAfter {
		return
	}
	if !k.fetch(ctx) || k.table() != nil || !k.first(peers) {
		return
	}
	var none *quorum.Table
	storeEra := k.cfg.StoreEra()
	k.write(ctx, &quorum.Table{Era: none.NextEra(storeEra), StoreEra: storeEra, Seats: k.seats(nil, peers)}, 0)
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
// returns those that answered.
func (k *Keeper) inquire(ctx context.Context, count int) []Peer {
	peers := k.cfg.Peers()
	chosen := asked(peers, k.table(), count)
	k.mu.Lock()
	clear(k.lives)
	k.mu.Unlock()
	for _, peer := range peers {
		if slices.Contains(chosen, peer.Name) {
			k.cfg.Sender.SendMessage(peer.Address, &quorum.Message{Kind: quorum.Inquire, From: k.cfg.Name, Life: k.cfg.Life})
		}
	}
	k.awaitLives(ctx, len(chosen))
	k.mu.Lock()
	defer k.mu.Unlock()
	var living []Peer
	for _, peer := range peers {
		if _, lives := k.lives[peer.Name]; lives {
			living = append(living, peer)
		}
	}
	return living
}

// asked chooses the peers of an inquiry: those with most capacity for one half, any others,
// the same for all nodes, for the rest, and the voters of the table besides.
func asked(peers []Peer, table *quorum.Table, count int) []string {
	candidates := make([]placement.Candidate, 0, len(peers))
	capacity := map[string]float64{}
	for _, peer := range peers {
		candidates = append(candidates, placement.Candidate{ID: peer.Name})
		capacity[peer.Name] = peer.Capacity
	}
	ranked := placement.Rank(tableName, "", candidates, len(candidates))
	strong := slices.Clone(ranked)
	slices.SortStableFunc(strong, func(a, b string) int { return cmp.Compare(capacity[b], capacity[a]) })
	chosen := strong[:min(count/2, len(strong))]
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

// awaitLives waits until a number of peers have answered an inquiry, but not for long.
func (k *Keeper) awaitLives(ctx context.Context, count int) {
	deadline := time.Now().Add(inquiryWait)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		k.mu.Lock()
		answered := len(k.lives)
		k.mu.Unlock()
		if answered >= count {
			return
		}
		time.Sleep(inquiryLook)
	}
}

// seats chooses the voters of a new table: those of the table before that live, then
// nodes of the zones that have the fewest, of a zone's the ones with most capacity, then
// silent ones of the table before: they may return, and a table that shrinks bears fewer
// losses.
func (k *Keeper) seats(before *quorum.Table, living []Peer) []quorum.Seat {
	wanted := seatsFor(len(k.cfg.Peers()) + 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	available := map[string]quorum.Seat{k.cfg.Name: {Name: k.cfg.Name, Address: k.cfg.Address, Life: k.cfg.Life}}
	zones := map[string]string{k.cfg.Name: k.cfg.Zone}
	capacity := map[string]float64{k.cfg.Name: k.cfg.Capacity}
	for _, peer := range living {
		available[peer.Name] = quorum.Seat{Name: peer.Name, Address: peer.Address, Life: k.lives[peer.Name]}
		zones[peer.Name] = peer.Zone
		capacity[peer.Name] = peer.Capacity
	}
	var seats []quorum.Seat
	inZone := map[string]int{}
	add := func(name string) {
		seats = append(seats, available[name])
		inZone[zones[name]]++
		delete(available, name)
	}
	var silent []quorum.Seat
	if before != nil {
		for _, seat := range before.Seats {
			if _, lives := available[seat.Name]; !lives {
				silent = append(silent, quorum.Seat{Name: seat.Name, Address: seat.Address})
			} else if len(seats) < wanted {
				add(seat.Name)
			}
		}
	}
	for len(seats) < wanted && len(available) > 0 {
		names := make([]string, 0, len(available))
		for name := range available {
			names = append(names, name)
		}
		add(slices.MinFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(inZone[zones[a]], inZone[zones[b]]), cmp.Compare(capacity[b], capacity[a]), cmp.Compare(a, b))
		}))
	}
	for _, seat := range silent {
		if len(seats) < wanted {
			seats = append(seats, seat)
		}
	}
	return seats
}

// seatsFor returns how many voters a number of nodes has: an odd one, since an even one
// bears no more losses.
func seatsFor(nodes int) int {
	return min(quorum.MaxVoters, nodes-(nodes+1)%2)
}

// write writes a table and tells it to the other nodes. Era 1 is created.
func (k *Keeper) write(ctx context.Context, table *quorum.Table, revision era.Revision) {
	content, err := json.Marshal(table)
	if err != nil {
		k.cfg.Log.Write(eventlog.VotersRefused, zap.Uint64("era", table.Era), zap.Error(err))
		return
	}
	limited, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	var object objectstore.Object
	if revision == 0 {
		object, err = k.cfg.Store.Create(limited, k.cfg.Kind, tableName, content)
	} else {
		object, err = k.cfg.Store.Replace(limited, k.cfg.Kind, tableName, revision, content)
	}
	if err != nil {
		k.cfg.Log.Write(eventlog.VotersRefused, zap.Uint64("era", table.Era), zap.Error(err))
		k.mu.Lock()
		k.tableRevision = 0
		k.mu.Unlock()
		k.fetch(ctx)
		return
	}
	k.mu.Lock()
	k.tableRevision = object.Revision
	k.install(time.Now(), table)
	k.mu.Unlock()
	k.announce(table, true)
}

// announce tells other nodes of a table that has just been taken: voters first and whole, since
// they need its records. In a large fleet the one that has written it tells the other voters,
// and each voter a share of the rest. Whoever is missed learns of it with its next question to a
// voter.
func (k *Keeper) announce(table *quorum.Table, written bool) {
	var voters, others []Peer
	for _, peer := range k.cfg.Peers() {
		if table.Seat(peer.Name) != nil {
			voters = append(voters, peer)
		} else {
			others = append(others, peer)
		}
	}
	if written {
		k.tellTable(voters, table)
	}
	if len(others) > toldDirectly {
		seat := slices.IndexFunc(table.Seats, func(seat quorum.Seat) bool { return seat.Name == k.cfg.Name })
		others = shareOf(others, seat, len(table.Seats))
	} else if !written {
		return
	}
	k.tellTable(others, table)
}

// shareOf returns the peers that are a voter's to tell; none if it is no voter.
func shareOf(peers []Peer, seat, seats int) []Peer {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	var share []Peer
	for i, peer := range peers {
		if i%seats == seat {
			share = append(share, peer)
		}
	}
	return share
}

func (k *Keeper) tellTable(peers []Peer, table *quorum.Table) {
	for _, peer := range peers {
		m := quorum.Message{Kind: quorum.Announce, From: k.cfg.Name, Life: k.cfg.Life, Era: table.Era, Table: table.Told(peer.Name)}
		k.cfg.Sender.SendMessage(peer.Address, &m)
	}
}

// inCharge reports whether this node looks after the table: it is the first voter that
// is not silent.
func (k *Keeper) inCharge(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.voter.Table()
	if table.Seat(k.cfg.Name) == nil || k.member.Table() != table {
		return false
	}
	silent := k.member.Silent(now, deputySpan, firstAnswerSpan)
	for _, seat := range table.Seats {
		if !slices.Contains(silent, seat.Name) {
			return seat.Name == k.cfg.Name
		}
	}
	return false
}

// lacking reports whether the table needs a new era: voters are gone or have lost their
// memory, there are nodes for more seats, or the store has come back from an older copy and
// may hold an earlier table, whose voters nodes that start would ask.
func (k *Keeper) lacking(now time.Time, grown *time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.voter.Table()
	if table.StoreEra < k.cfg.StoreEra() {
		return true
	}
	lost := k.member.Lost(now, deputySpan)
	if k.voter.Recovering() {
		if k.voter.Age(now) < quorum.LostSpan {
			return false
		}
		lost++
	}
	if len(table.Seats)-lost < table.Majority() || k.voter.Sealed() {
		return true
	}
	if !k.voter.Normal() {
		return false
	}
	if now.Sub(*grown) < growInterval && len(k.member.Silent(now, silentSpan, silentSpan)) == 0 {
		return false
	}
	first := grown.IsZero()
	*grown = now
	nodes := len(k.cfg.Peers()) + 1
	return len(k.member.Silent(now, silentSpan, silentSpan)) > 0 && nodes > len(table.Seats) || (!first && len(table.Seats) < seatsFor(nodes))
}

// change moves the table to its next era.
func (k *Keeper) change(ctx context.Context) {
	k.mu.Lock()
	known := k.tableRevision > 0
	k.mu.Unlock()
	if !known && !k.fetch(ctx) {
		return
	}
	k.mu.Lock()
	table, revision := k.voter.Table(), k.tableRevision
	k.mu.Unlock()
	var living []Peer
	var inquiring sync.WaitGroup
	inquiring.Go(func() { living = k.inquire(ctx, inquiredPeers) })
	records, ended := k.seal(ctx, table)
	inquiring.Wait()
	if !ended {
		return
	}
	storeEra := k.cfg.StoreEra()
	k.write(ctx, &quorum.Table{
		Era: table.NextEra(storeEra), StoreEra: storeEra, Seats: k.seats(table, living), Records: records, Count: len(records),
	}, revision)
}

// seal ends an era. It reports false if too few voters answered; what they have told is kept
// for the next attempt.
func (k *Keeper) seal(ctx context.Context, table *quorum.Table) ([]quorum.Record, bool) {
	if k.ending == nil || !k.ending.Ends(table) {
		k.ending = quorum.NewSealing(table)
	}
	sealing := k.ending
	sealing.Resume()
	answers := make(chan quorum.Message, answersKept)
	k.mu.Lock()
	k.sequence++
	sequence := k.sequence
	k.sealings = answers
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.sealings = nil
		k.mu.Unlock()
	}()
	limited, cancel := context.WithTimeout(ctx, sealLimit)
	defer cancel()
	pause := sealInterval
	k.send(sealing.Questions(k.cfg.Name, k.cfg.Life, sequence))
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case m := <-answers:
			if m.Sequence != sequence {
				// It answers an earlier attempt.
				continue
			}
			news := sealing.Take(&m)
			if records, ended := sealing.Outcome(); ended {
				return records, true
			}
			if !news {
				continue
			}
			k.send(sealing.Next(&m, k.cfg.Name, k.cfg.Life, sequence))
			pause = sealInterval
		case <-timer.C:
			k.send(sealing.Questions(k.cfg.Name, k.cfg.Life, sequence))
			pause *= 2
		case <-limited.Done():
			k.cfg.Log.Write(eventlog.EraNotEnded, zap.Uint64("era", table.Era), zap.Any("told", sealing.Told()))
			return nil, false
		}
		timer.Reset(pause)
	}
}
