package failover

import (
	"time"

	"dewknot/internal/base/era"
)

// Lease is the content of a service's lease object.
type Lease struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Incarnation identifies the incarnation of the holder's process.
	Incarnation string `json:"life"`
	// Deputies are the nodes that may act for the holder, in this order, while the store does not
	// answer.
	Deputies []string `json:"deputies,omitempty"`
	// Target is the server whose promotion was last ordered by agreement, under Ballot. It is
	// written before the order is sent, and used if the voters lose their state.
	Target string `json:"target,omitempty"`
	Ballot uint64 `json:"ballot,omitempty"`
	// Term is the newest term known before that order.
	Term uint64 `json:"term,omitempty"`
	// StoreEra is the era of the store in which the lease was written. In a later era nobody
	// holds the lease until it is written again: the store was restored from an older copy and
	// may have lost the leases of later holders.
	StoreEra uint64 `json:"store_era,omitempty"`
}

// epochGapPerEra exceeds the number of holder changes that a store can lose when it is restored
// from a copy that is some seconds old. Each change takes a takeover delay and two store calls.
const epochGapPerEra = 1024

// nextEpoch returns the epoch that follows the lease's when it is written in an era of the store.
// It is above the epochs of all leases that the store may have lost, so that the tokens of two
// holders never collide.
func (l *Lease) nextEpoch(storeEra uint64) uint64 {
	return l.Epoch + 1 + epochGapPerEra*(max(storeEra, l.StoreEra)-l.StoreEra)
}

// heldBy reports whether a process holds the lease that was read at a revision.
func (l *Lease) heldBy(node, incarnation string, revision era.Revision) bool {
	return l.Holder == node && l.Incarnation == incarnation && l.StoreEra >= revision.Era()
}

// handleLeaseKnown processes the lease as read from the store: at startup, or because this node
// wants to act.
func (m *Machine) handleLeaseKnown(now time.Time, event LeaseKnown) []Effect {
	acting := m.phase == ReadingLease
	if event.Failed {
		if acting {
			return m.actAsDeputy(now)
		}
		return nil
	}
	if !acting && event.Revision < m.revision {
		// The listing is older than what this node has written or read.
		return nil
	}
	m.lease = event.Lease
	if event.Lease.heldBy(m.node, m.incarnation, event.Revision) {
		m.revision = event.Revision
		if acting && m.needsNewEpoch {
			return m.writeNextEpoch(event)
		}
		m.markHeld(event.Lease.Epoch)
		if acting {
			return m.beginChange(now)
		}
		return nil
	}
	m.holdsLease = false
	m.holder = event.Lease.Holder
	sameNode := event.Lease.Holder == m.node
	changed := event.Revision != m.revision
	m.revision = event.Revision
	if acting && event.Lease.Incarnation == m.incarnation && sameNode {
		// This process wrote the lease in an earlier era of the store.
		m.needsNewEpoch = true
		return m.writeNextEpoch(event)
	}
	if acting && changed && !event.Missing && !sameNode {
		// Another node took the lease recently and is about to act.
		m.watchAgain(now, 0)
		m.needSince, m.holderAlive = now, true
		return nil
	}
	if !acting && !event.Missing && !sameNode {
		return nil
	}
	if !acting && m.phase != Watching {
		return nil
	}
	return m.writeNextEpoch(event)
}

// writeNextEpoch takes the lease under the next epoch.
func (m *Machine) writeNextEpoch(current LeaseKnown) []Effect {
	m.phase = WritingLease
	m.storeEra = current.Revision.Era()
	m.epoch = current.Lease.nextEpoch(m.storeEra)
	// An earlier holder may have stopped between a survey and the end of its change.
	m.earlierHolderActed = m.earlierHolderActed || !current.Missing
	return []Effect{WriteLease{
		Revision: current.Revision, Create: current.Missing,
		Lease: m.newLease(),
	}}
}

// handleStoreRestored gives up a held lease, which the store may have lost. The lease is read and
// written again in the new era. Steps under way continue, since any holder of the new era has
// higher tokens.
func (m *Machine) handleStoreRestored() []Effect {
	if !m.holdsLease {
		return nil
	}
	m.holdsLease = false
	return []Effect{ReclaimLease{}}
}

// newLease returns the lease as this node writes it. It keeps the last ordered target.
func (m *Machine) newLease() Lease {
	return Lease{Holder: m.node, Epoch: m.epoch, Incarnation: m.incarnation, Target: m.lease.Target, Ballot: m.lease.Ballot, Term: m.lease.Term, StoreEra: m.storeEra}
}

func (m *Machine) handleLeaseWritten(now time.Time, event LeaseWritten) []Effect {
	if m.campaign.recordingTarget {
		return m.handleTargetRecorded(now, event)
	}
	if event.Result == Written && event.Revision.Era() > m.storeEra {
		// The store was restored from an older copy before it accepted the lease.
		return m.writeNextEpoch(LeaseKnown{Revision: event.Revision, Lease: m.newLease()})
	}
	switch event.Result {
	case Written:
		m.revision = event.Revision
		newEpoch := m.needsNewEpoch
		m.needsNewEpoch = false
		m.markHeld(m.epoch)
		if m.leaseRenewed || newEpoch {
			return m.beginChange(now)
		}
		m.phase = Watching
		effects := m.handleObserved(now)
		if m.phase == Watching && !m.earlierHolderActed {
			return append(effects, m.resumeReplicas()...)
		}
		return effects
	case Superseded:
		m.holdsLease, m.leaseRenewed = false, false
		// Another node was faster and is about to act.
		m.watchAgain(now, 0)
		m.needSince, m.holderAlive = now, true
	case Uncertain:
		m.holdsLease, m.leaseRenewed = false, false
		m.watchAgain(now, pauseAfterFailure)
	}
	return nil
}

// markHeld records that the lease is held. The counter is never reset, since a lease that is held
// again under the same epoch must not issue a token twice.
func (m *Machine) markHeld(epoch uint64) {
	m.holdsLease, m.epoch = true, epoch
}

// renewLease writes the lease again before a survey of a service with synchronous replicas.
// Another node that is about to take over then finds it changed and defers to this one. If
// another node has already taken over, this node learns of it. Two nodes that change the primary
// at the same time would resume replicas that the other one holds.
func (m *Machine) renewLease() []Effect {
	m.phase, m.leaseRenewed = WritingLease, true
	return []Effect{WriteLease{Revision: m.revision, Lease: m.newLease()}}
}
