package tenure

import (
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/quorum"
)

const (
	// handoverTimeout is how long a voter that stops may take to hand over its place itself. It can't
	// if it doesn't reach the store.
	handoverTimeout = 500 * time.Millisecond
	// leavingTimeout is how long a node counts as stopping after it has last said so.
	leavingTimeout = time.Second
)

// leavingPeer is when a node first and last said that it stops.
type leavingPeer struct{ first, last time.Time }

// Leave makes a node that stops hand over its place among the voters and take no new one. If several
// voters stopped without that, a majority of them could be gone for good.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
	k.cfg.Log.Write(eventlog.VoterLeaves, zap.Bool("voter", k.voter.Table() != nil && k.voter.Table().VoterEntry(k.cfg.Name) != nil))
}

// leavesTable reports whether this node stops and is a voter.
func (k *Keeper) leavesTable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving && k.voter.Table().VoterEntry(k.cfg.Name) != nil
}

// announceLeaving tells the voters that this node stops.
func (k *Keeper) announceLeaving() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.leaving {
		return
	}
	for _, entry := range k.voter.Table().Entries {
		if entry.Name != k.cfg.Name {
			k.cfg.Sender.SendMessage(entry.Address, &quorum.Message{Kind: quorum.Announce, From: k.cfg.Name, Incarnation: k.cfg.Incarnation, Leaving: true})
		}
	}
}

// noteLeaving notes that a node says that it stops. k.mu must be held.
func (k *Keeper) noteLeaving(name string, now time.Time) {
	peer, known := k.leavingPeers[name]
	if !known || now.Sub(peer.last) >= leavingTimeout {
		peer.first = now
	}
	peer.last = now
	k.leavingPeers[name] = peer
}

// isLeaving reports whether a node stops. k.mu must be held.
func (k *Keeper) isLeaving(name string, now time.Time) bool {
	peer, known := k.leavingPeers[name]
	return known && now.Sub(peer.last) < leavingTimeout
}

// needsHandover reports whether nodes that stop have to be replaced in the table: a voter that has not
// done so itself, or several supporters. k.mu must be held.
func (k *Keeper) needsHandover(table *quorum.Table, now time.Time) bool {
	for _, entry := range table.Entries {
		if k.isLeaving(entry.Name, now) && now.Sub(k.leavingPeers[entry.Name].first) >= handoverTimeout {
			return true
		}
	}
	leaving := 0
	for _, supporter := range table.Supporters {
		if k.isLeaving(supporter.Name, now) {
			leaving++
		}
	}
	return leaving > supporterShortage
}
