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

// Timing and sizes of table maintenance.
const (
	// tableName is the name of the table's object in the store.
	tableName = "voters"
	// reviewInterval is the pause between checks of the table.
	reviewInterval = 200 * time.Millisecond
	// lossReviewInterval is the same while this node's voter recovers its state or is sealed.
	// Callers may be waiting for the next generation.
	lossReviewInterval = 15 * time.Millisecond
	// silenceTimeout is how long a voter may be silent before another node replaces it. It is
	// longer than a restart or a short network failure.
	silenceTimeout = 4 * time.Second
	// maintainerTimeout is how long the voter that maintains the table may be silent before the
	// next one maintains it instead.
	maintainerTimeout = 1500 * time.Millisecond
	// firstAnswerTimeout is the same for voters that have not answered since the table was
	// installed.
	firstAnswerTimeout = 600 * time.Millisecond
	// growInterval is the pause between checks whether the known nodes allow more or better voters.
	growInterval = 10 * time.Second
	// shortageInterval is the same while there are fewer voters or supporters than the known nodes
	// allow.
	shortageInterval = time.Second
	// sealTimeout bounds an attempt to seal a generation. sealRetryInterval is the first pause
	// between requests; it doubles, because more requests would delay the answers on a slow link
	// further.
	sealTimeout       = time.Second
	sealRetryInterval = 30 * time.Millisecond
	// maxQueuedAnswers is how many answers of sealed voters may be queued: some pages of each
	// voter.
	maxQueuedAnswers = 128
	// minChangeBackoff is the pause after a failed change of generation. It doubles up to
	// maxChangeBackoff, because each attempt seals voters and asks many nodes.
	minChangeBackoff = 25 * time.Millisecond
	maxChangeBackoff = 400 * time.Millisecond
	// maxDirectAnnouncements is the largest number of other nodes that the writer of a new table
	// tells itself. Beyond it, each voter announces the table to a share of them.
	maxDirectAnnouncements = 48
)

// keepTable loads the table, creates the first one and maintains it until ctx is done.
func (k *Keeper) keepTable(ctx context.Context) {
	k.fetch(ctx)
	var lastGrowthCheck time.Time
	var backoff time.Duration
	for ctx.Err() == nil {
		timer := time.NewTimer(max(backoff, k.reviewPause()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		now := time.Now()
		if k.table() == nil {
			k.findTable(ctx, now)
			continue
		}
		k.announceLeaving()
		reason := noChange
		switch {
		case k.leavesTable():
			reason = handover
		case k.maintainsTable(now):
			reason = k.neededChange(now, &lastGrowthCheck)
		}
		if k.votersLost(now) {
			k.abandonGeneration(ctx)
		}
		if reason == noChange {
			continue
		}
		generation := k.table().Generation
		k.changeGeneration(ctx, reason)
		if k.table().Generation > generation {
			backoff = 0
		} else {
			backoff = min(max(minChangeBackoff, 2*backoff), maxChangeBackoff)
		}
	}
}

// reviewPause returns the pause until the next check of the table. It is short while voters that
// lost their state may require a new generation.
func (k *Keeper) reviewPause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.voter.Recovering() || k.voter.Sealed() {
		return lossReviewInterval
	}
	return reviewInterval
}

func (k *Keeper) table() *quorum.Table {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.voter.Table()
}

// fetchSoon reads the table from the store in the background, unless a read is in progress. k.mu
// must be held.
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

// fetch reads the table from the store and installs it. It reports whether the store answered.
func (k *Keeper) fetch(ctx context.Context) bool {
	timeoutCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	readAt := time.Now()
	object, err := k.cfg.Store.Get(timeoutCtx, k.cfg.Kind, tableName)
	if err != nil {
		return objectstore.OutcomeOf(err) == objectstore.NotFound
	}
	k.installStored(object, readAt)
	return true
}

// installStored installs the table from its object in the store, read at a time or later. It returns
// nil if the object can't be read.
func (k *Keeper) installStored(object objectstore.Object, readAt time.Time) *quorum.Table {
	table := &quorum.Table{}
	if err := json.Unmarshal(object.Content, table); err != nil || len(table.Entries) == 0 {
		k.cfg.Log.Write(eventlog.VotersRefused, zap.Stringer("revision", object.Revision), zap.Error(err))
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tableRevision = max(k.tableRevision, object.Revision)
	k.install(time.Now(), table)
	k.confirmStored(table, object.Revision.Era(), readAt)
	return table
}

// confirmStored notes that the store held a table at a time. A store that was restored from an older
// copy may have lost that the generation was abandoned. k.mu must be held.
func (k *Keeper) confirmStored(table *quorum.Table, storeEra uint64, readAt time.Time) {
	if table.StoreEra != storeEra {
		return
	}
	k.supporter.ReadTable(table)
	if !table.Abandoned {
		k.voter.ConfirmByStore(table.Generation, readAt)
	}
}

// write writes a table to the store and announces it to the other nodes. Revision 0 creates it.
func (k *Keeper) write(ctx context.Context, table *quorum.Table, revision era.Revision) {
	content, err := json.Marshal(table)
	if err != nil {
		k.cfg.Log.Write(eventlog.VotersRefused, zap.Uint64("era", table.Generation), zap.Error(err))
		return
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var object objectstore.Object
	writtenAt := time.Now()
	if revision == 0 {
		object, err = k.cfg.Store.Create(timeoutCtx, k.cfg.Kind, tableName, content)
	} else {
		object, err = k.cfg.Store.Replace(timeoutCtx, k.cfg.Kind, tableName, revision, content)
	}
	if err != nil {
		k.cfg.Log.Write(eventlog.VotersRefused, zap.Uint64("era", table.Generation), zap.Error(err))
		k.mu.Lock()
		k.tableRevision = 0
		k.mu.Unlock()
		k.fetch(ctx)
		return
	}
	k.mu.Lock()
	k.tableRevision = object.Revision
	k.install(time.Now(), table)
	k.confirmStored(table, object.Revision.Era(), writtenAt)
	k.mu.Unlock()
	k.announce(table, true)
}

// announce announces a table that was just installed. Its writer sends it to the voters first,
// since they need its records. In a large fleet each voter then sends it to a share of the other
// nodes; in a small one the writer does. A node that is missed learns the table with its next
// request to a voter.
func (k *Keeper) announce(table *quorum.Table, written bool) {
	var voters, others []Peer
	for _, peer := range k.peers() {
		if table.VoterEntry(peer.Name) != nil {
			voters = append(voters, peer)
		} else {
			others = append(others, peer)
		}
	}
	if written {
		k.sendTable(voters, table)
	}
	if len(others) > maxDirectAnnouncements {
		voterIndex := slices.IndexFunc(table.Entries, func(entry quorum.VoterEntry) bool { return entry.Name == k.cfg.Name })
		others = shareOf(others, voterIndex, len(table.Entries))
	} else if !written {
		return
	}
	k.sendTable(others, table)
}

// shareOf returns the peers to which a voter announces the table; none if its index is negative.
func shareOf(peers []Peer, voterIndex, voters int) []Peer {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	var share []Peer
	for i, peer := range peers {
		if i%voters == voterIndex {
			share = append(share, peer)
		}
	}
	return share
}

func (k *Keeper) sendTable(peers []Peer, table *quorum.Table) {
	k.mu.Lock()
	leaving := k.leaving
	k.mu.Unlock()
	for _, peer := range peers {
		m := quorum.Message{
			Kind: quorum.Announce, From: k.cfg.Name, Incarnation: k.cfg.Incarnation, Leaving: leaving, NeedsSupport: true, Generation: table.Generation, Table: table.ForNode(peer.Name),
		}
		k.cfg.Sender.SendMessage(peer.Address, &m)
	}
}

// maintainsTable reports whether this node maintains the table: it is the first voter that is not
// silent.
func (k *Keeper) maintainsTable(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.voter.Table()
	if table.VoterEntry(k.cfg.Name) == nil || k.member.Table() != table {
		return false
	}
	silent := k.member.SilentVoters(now, maintainerTimeout, firstAnswerTimeout)
	for _, entry := range table.Entries {
		if !slices.Contains(silent, entry.Name) {
			return entry.Name == k.cfg.Name
		}
	}
	return false
}

// changeReason says why a table needs a new generation.
type changeReason uint8

const (
	noChange changeReason = iota
	// improvement means that voters are silent or too few, or that one zone or region has a
	// majority of them. The current voters continue until then.
	improvement
	// handover means that this node is a voter and stops. The current voters continue until then.
	handover
	// inoperable means that the current voters can't decide anything any more.
	inoperable
	// abandoned means that a majority of the voters is gone for good.
	abandoned
	// firstTable means that there is no table yet.
	firstTable
)

var changeReasonNames = [...]string{noChange: "none", improvement: "improvement", handover: "handover", inoperable: "inoperable", abandoned: "abandoned", firstTable: "first_table"}

// String implements fmt.Stringer.
func (r changeReason) String() string { return changeReasonNames[r] }

// neededChange returns whether the table needs a new generation. It does if voters failed or lost
// their state, if the known nodes allow more or better voters, or if the store was restored from an
// older copy. Starting nodes would ask the voters of an earlier table that the copy may hold.
func (k *Keeper) neededChange(now time.Time, lastGrowthCheck *time.Time) changeReason {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.voter.Table()
	if table.StoreEra < k.cfg.StoreEra() {
		return inoperable
	}
	lostVoters := k.member.VotersWithoutState(now, maintainerTimeout)
	if k.voter.Recovering() {
		if k.voter.Age(now) < quorum.StateLossAge {
			return noChange
		}
		lostVoters++
	}
	if len(table.Entries)-lostVoters < table.Majority() || k.voter.Sealed() {
		return inoperable
	}
	if !k.voter.Normal() {
		return noChange
	}
	if k.voter.Supported(now) {
		k.supportedAt = now
	} else if now.Sub(k.supportedAt) > unsupportedTimeout {
		return inoperable
	}
	if k.needsHandover(table, now) {
		return improvement
	}
	silent := len(k.member.SilentVoters(now, silenceTimeout, silenceTimeout)) > 0
	nodes := len(k.cfg.Peers()) + 1
	tooFew, interval := len(table.Entries) < voterCountFor(nodes), growInterval
	supportShort := k.supportShort(table, now)
	if tooFew || supportShort {
		interval = shortageInterval
	}
	if now.Sub(*lastGrowthCheck) < interval && !silent {
		return noChange
	}
	first := lastGrowthCheck.IsZero()
	*lastGrowthCheck = now
	if (silent && nodes > len(table.Entries)) || tooFew || supportShort || (!first && (k.unbalanced(table.Entries) || k.supportersOutdated(table))) {
		return improvement
	}
	return noChange
}

// changeGeneration replaces the table by its next generation. While the current voters can continue,
// it waits until there are nodes for the next table and the store answers, because no leases are
// granted between sealing and the next table.
func (k *Keeper) changeGeneration(ctx context.Context, reason changeReason) {
	k.mu.Lock()
	revisionKnown, before := k.tableRevision > 0, k.voter.Table()
	k.mu.Unlock()
	var alive []Peer
	if reason != inoperable {
		alive = k.inquire(ctx, inquiryPeers, time.Now())
		voters := k.selectVoters(before, alive)
		betterSupport := k.betterSupport(before, voters, alive)
		if len(voters) == 0 || (sameVoters(before.Entries, voters) && !betterSupport) {
			return
		}
	}
	if (!revisionKnown || reason != inoperable) && !k.fetch(ctx) {
		return
	}
	k.mu.Lock()
	table, revision := k.voter.Table(), k.tableRevision
	k.mu.Unlock()
	if table != before {
		return
	}
	var inquiring sync.WaitGroup
	if reason == inoperable {
		inquiring.Go(func() { alive = k.inquire(ctx, inquiryPeers, time.Now()) })
	}
	records, sealed := k.seal(ctx, table)
	inquiring.Wait()
	if !sealed {
		return
	}
	k.writeNext(ctx, table, alive, records, revision, reason)
}

// writeNext writes the table after another one, whose generation has ended with some records.
func (k *Keeper) writeNext(ctx context.Context, table *quorum.Table, alive []Peer, records []quorum.Record, revision era.Revision, reason changeReason) {
	storeEra, voters := k.cfg.StoreEra(), k.selectVoters(table, alive)
	next := &quorum.Table{
		Generation: table.NextGeneration(storeEra), StoreEra: storeEra, Entries: voters, Records: records, Count: len(records),
		Supporters: k.selectSupporters(table, voters, alive),
	}
	k.logSelection(next, table, alive, reason)
	k.write(ctx, next, revision)
}

// logSelection logs what the voters of a new table were selected from. before is nil for the first
// table.
func (k *Keeper) logSelection(table, before *quorum.Table, alive []Peer, reason changeReason) {
	peers, previous := k.cfg.Peers(), 0
	if before != nil {
		previous = len(before.Entries)
	}
	k.cfg.Log.Write(eventlog.VotersSelected, zap.Uint64("era", table.Generation), zap.Stringer("reason", reason), zap.Bool("listed", peers != nil),
		zap.Int("peers", len(peers)), zap.Int("alive", len(alive)), zap.Int("voters_before", previous), zap.Int("voters", len(table.Entries)))
}

// sameVoters reports whether two lists name the same voters.
func sameVoters(a, b []quorum.VoterEntry) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !slices.ContainsFunc(b, func(entry quorum.VoterEntry) bool { return entry.Name == a[i].Name }) {
			return false
		}
	}
	return true
}

// seal ends a generation and returns its records. It returns false if too few voters answered;
// their records are kept for the next attempt.
func (k *Keeper) seal(ctx context.Context, table *quorum.Table) ([]quorum.Record, bool) {
	if k.activeSealing == nil || !k.activeSealing.Ends(table) {
		k.activeSealing = quorum.NewSealing(table)
	}
	sealing := k.activeSealing
	sealing.Resume()
	answers := make(chan quorum.Message, maxQueuedAnswers)
	k.mu.Lock()
	k.sequence++
	sequence := k.sequence
	k.sealAnswers = answers
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.sealAnswers = nil
		k.mu.Unlock()
	}()
	timeoutCtx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	pause := sealRetryInterval
	k.send(sealing.Requests(k.cfg.Name, k.cfg.Incarnation, sequence))
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case m := <-answers:
			if m.Sequence != sequence {
				// Answer to an earlier attempt.
				continue
			}
			added := sealing.AddAnswer(&m)
			if records, sealed := sealing.Outcome(); sealed {
				return records, true
			}
			if !added {
				continue
			}
			k.send(sealing.NextRequests(&m, k.cfg.Name, k.cfg.Incarnation, sequence))
			pause = sealRetryInterval
		case <-timer.C:
			k.send(sealing.Requests(k.cfg.Name, k.cfg.Incarnation, sequence))
			pause *= 2
		case <-timeoutCtx.Done():
			k.cfg.Log.Write(eventlog.EraNotEnded, zap.Uint64("era", table.Generation), zap.Any("told", sealing.RecordCounts()))
			return nil, false
		}
		timer.Reset(pause)
	}
}
