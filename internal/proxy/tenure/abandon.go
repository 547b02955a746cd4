package tenure

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/era"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/quorum"
)

// A generation is abandoned if a majority of its voters is gone for good; see package quorum for why
// that is safe. Any node may do it that reaches the store and a majority of the supporters.

const (
	// lostVotersTimeout is how long a majority of the voters must have been silent or without state
	// before their generation is abandoned. It is longer than a restart.
	lostVotersTimeout = 3 * time.Second
	// abandonInterval is the pause between a node's attempts. Each asks many nodes, and all nodes may
	// have lost the voters.
	abandonInterval = time.Second
	// abandonPrecedence is how long the node that ranks first may take to abandon a generation before
	// others do.
	abandonPrecedence = time.Second
	// agreementTimeout bounds the wait for the supporters' answers, agreementRetryInterval is the pause
	// before a question is repeated.
	agreementTimeout       = 600 * time.Millisecond
	agreementRetryInterval = 80 * time.Millisecond
	// abandonedSealTimeout bounds the wait for the records of the voters that are left.
	abandonedSealTimeout = 300 * time.Millisecond
	// storeConfirmationInterval is the least interval at which a voter lets the store confirm the
	// generation.
	storeConfirmationInterval = time.Second
	// unsupportedTimeout is how long a voter waits for support before the next generation is needed.
	unsupportedTimeout = 1500 * time.Millisecond
)

// abandonment is the state of an abandonment by this node.
type abandonment struct {
	generation uint64
	// agreedAt is when a majority of the supporters had promised.
	agreedAt time.Time
}

// inoperableFor returns how long the voters have been unable to decide anything, as far as this node
// knows: a majority of them is silent or has lost its state. k.mu must be held.
func (k *Keeper) inoperableFor(now time.Time) time.Duration {
	table := k.member.Table()
	if table == nil {
		return 0
	}
	operable := k.member.OperableVoters(now, isolationTimeout)
	if table.VoterEntry(k.cfg.Name) != nil && !k.voter.Recovering() {
		operable++
	}
	if operable >= table.Majority() {
		k.operableAt = now
	}
	return now.Sub(k.operableAt)
}

// votersLost reports whether the voters have been unable to decide anything for so long that their
// generation is abandoned.
func (k *Keeper) votersLost(now time.Time) bool { return k.votersLostFor(now) >= 0 }

// votersLostFor returns how long that has been so; it is negative before.
func (k *Keeper) votersLostFor(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inoperableFor(now) - (lostVotersTimeout - isolationTimeout)
}

// abandons reports whether this node abandons the generation: the one that ranks first among those that
// are alive, and any after abandonPrecedence, since the first may not reach the store.
func (k *Keeper) abandons(alive []Peer) bool {
	lostFor := k.votersLostFor(time.Now())
	return lostFor >= abandonPrecedence || (lostFor >= 0 && k.createsTable(alive))
}

// abandonGeneration takes the next step to abandon the generation of the table.
func (k *Keeper) abandonGeneration(ctx context.Context) {
	table := k.table()
	agreed := k.abandoning.generation == table.Generation
	if agreed && time.Since(k.abandoning.agreedAt) < quorum.AbandonWait || time.Since(k.abandonTriedAt) < abandonInterval {
		return
	}
	k.abandonTriedAt = time.Now()
	alive := k.inquire(ctx, inquiryPeers, time.Now())
	if !agreed && !k.abandons(alive) {
		return
	}
	stored, revision, known := k.readStored(ctx)
	if !known || stored.Generation != table.Generation || len(stored.Supporters) == 0 {
		return
	}
	if agreed {
		k.endAbandoned(ctx, stored, alive, revision)
		return
	}
	if !k.askSupporters(ctx, stored, false) {
		return
	}
	if !stored.Abandoned {
		flagged := *stored
		flagged.Abandoned = true
		if !k.replaceStored(ctx, &flagged, revision) {
			return
		}
	}
	if !k.askSupporters(ctx, stored, true) {
		return
	}
	k.abandoning = abandonment{table.Generation, time.Now()}
	k.cfg.Log.Write(eventlog.VotersAbandoned, zap.Uint64("era", table.Generation), zap.Int("alive", len(alive)))
}

// readStored reads the table from the store. It installs the table if it is newer.
func (k *Keeper) readStored(ctx context.Context) (table *quorum.Table, revision era.Revision, known bool) {
	timeoutCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	readAt := time.Now()
	object, err := k.cfg.Store.Get(timeoutCtx, k.cfg.Kind, tableName)
	if err != nil {
		return nil, 0, false
	}
	table = k.installStored(object, readAt)
	return table, object.Revision, table != nil
}

// replaceStored replaces the table in the store.
func (k *Keeper) replaceStored(ctx context.Context, table *quorum.Table, revision era.Revision) bool {
	content, err := json.Marshal(table)
	if err != nil {
		return false
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = k.cfg.Store.Replace(timeoutCtx, k.cfg.Kind, tableName, revision, content)
	return err == nil
}

// askSupporters asks the supporters to abandon a generation and reports whether a majority agrees.
func (k *Keeper) askSupporters(ctx context.Context, table *quorum.Table, binding bool) bool {
	asked := quorum.NewAbandonment(table)
	answers := make(chan quorum.Message, maxQueuedAnswers)
	k.mu.Lock()
	k.sequence++
	sequence := k.sequence
	k.supporterAnswers = answers
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.supporterAnswers = nil
		k.mu.Unlock()
	}()
	timeoutCtx, cancel := context.WithTimeout(ctx, agreementTimeout)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case m := <-answers:
			if m.Sequence == sequence && m.Ordering == binding && asked.AddAnswer(&m) {
				return true
			}
		case <-timer.C:
			k.send(asked.Requests(k.cfg.Name, k.cfg.Incarnation, sequence, binding))
			timer.Reset(agreementRetryInterval)
		case <-timeoutCtx.Done():
			return false
		}
	}
}

// endAbandoned writes the table after an abandoned generation. No voter acts in that any more.
func (k *Keeper) endAbandoned(ctx context.Context, table *quorum.Table, alive []Peer, revision era.Revision) {
	timeoutCtx, cancel := context.WithTimeout(ctx, abandonedSealTimeout)
	defer cancel()
	records, sealed := k.seal(timeoutCtx, table)
	if !sealed {
		records = k.activeSealing.Remaining()
	}
	k.writeNext(ctx, table, alive, records, revision, abandoned)
}

// handleSupporter handles the messages between voters, supporters and nodes that abandon a
// generation. k.mu must be held.
func (k *Keeper) handleSupporter(now time.Time, from string, m *quorum.Message) []quorum.Envelope {
	var answer *quorum.Message
	switch m.Kind {
	case quorum.Support:
		newest := uint64(0)
		if table := k.voter.Table(); table != nil {
			newest = table.Generation
		}
		var mustRead bool
		if answer, mustRead = k.supporter.Confirm(m, newest); mustRead {
			k.confirmSoon(now)
		}
	case quorum.Abandon:
		if table := k.member.Table(); table != nil && table.Generation == m.Generation && k.inoperableFor(now) > 0 {
			answer = k.supporter.Abandon(m)
		}
	case quorum.AbandonAgreed:
		select {
		case k.supporterAnswers <- *m:
		default:
			// Nobody waits for it, or it is repeated.
		}
	}
	if answer == nil {
		return nil
	}
	return []quorum.Envelope{{To: from, Message: *answer}}
}

// confirmSoon reads the table from the store in the background, to confirm its generation to this
// node's voter or supporter. k.mu must be held.
func (k *Keeper) confirmSoon(now time.Time) {
	if k.confirming || now.Sub(k.confirmedAt) < storeConfirmationInterval {
		return
	}
	k.confirming, k.confirmedAt = true, now
	go func() {
		_, _, _ = k.readStored(context.Background())
		k.mu.Lock()
		k.confirming = false
		k.mu.Unlock()
	}()
}

// supporterCountFor returns the number of supporters for a number of nodes.
func supporterCountFor(nodes int) int { return min(quorum.MaxSupporters, voterLimit(nodes)) }

// supporterShortage is how many supporters may be gone for good before the table needs others.
const supporterShortage = 2

// supportersOutdated reports whether several supporters of a table are no longer among the nodes, or
// the table has too few.
func (k *Keeper) supportersOutdated(table *quorum.Table) bool {
	peers := k.cfg.Peers()
	listed := 0
	for _, supporter := range table.Supporters {
		if supporter.Name == k.cfg.Name || slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == supporter.Name }) {
			listed++
		}
	}
	return listed+supporterShortage < supporterCountFor(len(peers)+1)
}

// supportShort reports whether a table needs other supporters: a majority doesn't answer, or the known
// nodes allow more. k.mu must be held.
func (k *Keeper) supportShort(table *quorum.Table, now time.Time) bool {
	return k.voter.NeedsStore(now) || len(table.Supporters)+supporterShortage < supporterCountFor(len(k.cfg.Peers())+1)
}

// betterSupport reports whether the next table would have better supporters: more of them, or others in
// place of those that are gone or stop.
func (k *Keeper) betterSupport(before *quorum.Table, voters []quorum.VoterEntry, alive []Peer) bool {
	selected := k.selectSupporters(before, voters, alive)
	if len(selected) == 0 {
		return false
	}
	k.mu.Lock()
	needsHandover := k.needsHandover(before, time.Now())
	k.mu.Unlock()
	left := 0
	for _, supporter := range before.Supporters {
		if slices.ContainsFunc(selected, func(s quorum.SupporterEntry) bool { return s.Name == supporter.Name }) {
			left++
		}
	}
	grows := len(selected) > len(before.Supporters)+1
	return grows || needsHandover || left < before.SupportMajority() || (left < len(selected) && k.supportersOutdated(before))
}

// needSupport reports whether all voters act only while their generation is supported. Those of earlier
// versions don't. k.mu must be held.
func (k *Keeper) needSupport(before *quorum.Table, voters []quorum.VoterEntry) bool {
	for _, entry := range voters {
		known := before != nil && len(before.Supporters) > 0 && before.VoterEntry(entry.Name) != nil
		if entry.Name != k.cfg.Name && !known && !k.incarnations[entry.Name].needsSupport {
			return false
		}
	}
	return true
}

// selectSupporters selects the supporters of a new table among the nodes that are alive, its voters
// first, spread over regions and zones. A table with voters of earlier versions has none.
func (k *Keeper) selectSupporters(before *quorum.Table, voters []quorum.VoterEntry, alive []Peer) []quorum.SupporterEntry {
	wanted := supporterCountFor(len(k.peers()) + 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.needSupport(before, voters) {
		return nil
	}
	available := k.locations(alive)
	if k.leaving {
		delete(available, k.cfg.Name)
	}
	c := newSelection(available, wanted)
	for _, entry := range voters {
		if _, isAlive := available[entry.Name]; isAlive {
			c.choose(entry.Name)
		}
	}
	for len(c.chosen) < wanted && len(c.available) > 0 {
		c.choose(c.next())
	}
	var supporters []quorum.SupporterEntry
	for _, peer := range c.chosen {
		supporters = append(supporters, quorum.SupporterEntry{Name: peer.Name, Address: peer.Address, Incarnation: k.incarnationOf(peer.Name)})
	}
	return supporters
}
