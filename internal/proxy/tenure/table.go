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
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/quorum"
)

// Times of the table.
const (
	// tableName is the object's name.
	tableName = "voters"
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
		case k.inCharge(now):
			need := k.lacking(now, &grown)
			if need == nothing {
				continue
			}
			era := k.table().Era
			k.change(ctx, need)
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

// need tells why a table needs a new era.
type need uint8

const (
	nothing need = iota
	// better: voters are silent or too few, or one zone or region has a majority of them. The
	// present ones go on meanwhile.
	better
	// broken: the present voters decide nothing any more.
	broken
)

// lacking returns whether the table needs a new era: voters are gone or have lost their
// memory, there are nodes for more or better seats, or the store has come back from an older
// copy and may hold an earlier table, whose voters nodes that start would ask.
func (k *Keeper) lacking(now time.Time, grown *time.Time) need {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.voter.Table()
	if table.StoreEra < k.cfg.StoreEra() {
		return broken
	}
	lost := k.member.Lost(now, deputySpan)
	if k.voter.Recovering() {
		if k.voter.Age(now) < quorum.LostSpan {
			return nothing
		}
		lost++
	}
	if len(table.Seats)-lost < table.Majority() || k.voter.Sealed() {
		return broken
	}
	if !k.voter.Normal() {
		return nothing
	}
	silent := len(k.member.Silent(now, silentSpan, silentSpan)) > 0
	if now.Sub(*grown) < growInterval && !silent {
		return nothing
	}
	first := grown.IsZero()
	*grown = now
	nodes := len(k.cfg.Peers()) + 1
	if (silent && nodes > len(table.Seats)) || (!first && (len(table.Seats) < seatsFor(nodes) || k.crowded(table.Seats))) {
		return better
	}
	return nothing
}

// change moves the table to its next era. What only gets better waits until there are nodes for
// it and the store answers: between the end of an era and the next table no leases are given.
func (k *Keeper) change(ctx context.Context, need need) {
	k.mu.Lock()
	known, before := k.tableRevision > 0, k.voter.Table()
	k.mu.Unlock()
	var living []Peer
	if need == better {
		living = k.inquire(ctx, inquiredPeers, time.Now())
		if sameVoters(before.Seats, k.seats(before, living)) {
			return
		}
	}
	if (!known || need == better) && !k.fetch(ctx) {
		return
	}
	k.mu.Lock()
	table, revision := k.voter.Table(), k.tableRevision
	k.mu.Unlock()
	if table != before {
		return
	}
	var inquiring sync.WaitGroup
	if need == broken {
		inquiring.Go(func() { living = k.inquire(ctx, inquiredPeers, time.Now()) })
	}
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

// sameVoters reports whether two tables have the same voters.
func sameVoters(a, b []quorum.Seat) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !slices.ContainsFunc(b, func(seat quorum.Seat) bool { return seat.Name == a[i].Name }) {
			return false
		}
	}
	return true
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
