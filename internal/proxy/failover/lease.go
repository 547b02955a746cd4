package failover

import (
	"time"

	"dewknot/internal/base/era"
)

// Lease is the content of a service's lease object.
type Lease struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Life tells the holder's processes of the same name apart.
	Life string `json:"life"`
	// Deputies are nodes that may act in the holder's place, in this order, while the
	// store cannot be asked who the holder is.
	Deputies []string `json:"deputies,omitempty"`
	// Target is the server whose promotion was last ordered, under Ballot, by agreement.
	// It is written before the order is sent, and serves if the voters lose their memory.
	Target string `json:"target,omitempty"`
	Ballot uint64 `json:"ballot,omitempty"`
	// Term is the newest term known before that order.
	Term uint64 `json:"term,omitempty"`
	// StoreEra is the era of the store for which the lease was written. In a later one it is
	// held by nobody until it is written again: the store has come back from an older copy,
	// and may have lost leases of holders that followed.
	StoreEra uint64 `json:"store_era,omitempty"`
}

// lostEpochs is more than the changes of a lease's holder that a store can lose which comes
// back from a copy some seconds old: each takes a takeover's delay and two calls.
const lostEpochs = 1024

// nextEpoch returns the epoch that follows the lease's when it is written in an era of the
// store. No holder whose lease the store has lost had it: two holders' tokens would collide.
func (l *Lease) nextEpoch(storeEra uint64) uint64 {
	return l.Epoch + 1 + lostEpochs*(max(storeEra, l.StoreEra)-l.StoreEra)
}

// heldBy reports whether a lease, as it stands in the store at a revision, is held by a process.
func (l *Lease) heldBy(node, life string, revision era.Revision) bool {
	return l.Holder == node && l.Life == life && l.StoreEra >= revision.Era()
}

// leaseKnown takes the lease as it stands in the store: at the start, or since
// this node wants to act.
func (m *Machine) leaseKnown(now time.Time, event LeaseKnown) []Effect {
	acting := m.phase == ReadingLease
	if event.Failed {
		if acting {
			return m.deputize(now)
		}
		return nil
	}
	if !acting && event.Revision < m.revision {
		// The listing is older than what this node has written or read.
		return nil
	}
	m.lease = event.Lease
	if event.Lease.heldBy(m.node, m.life, event.Revision) {
		m.revision = event.Revision
		if acting && m.fenced {
			return m.write(event)
		}
		m.hold(event.Lease.Epoch)
		if acting {
			return m.act(now)
		}
		return nil
	}
	m.holding = false
	m.holder = event.Lease.Holder
	mine := event.Lease.Holder == m.node
	changed := event.Revision != m.revision
	m.revision = event.Revision
	if acting && event.Lease.Life == m.life && mine {
		// This process's lease is of an earlier era of the store.
		m.fenced = true
		return m.write(event)
	}
	if acting && changed && !event.Missing && !mine {
		// Another node has taken the lease lately and is about to act.
		m.rest(now, 0)
		m.needSince, m.holderLives = now, true
		return nil
	}
	if !acting && !event.Missing && !mine {
		return nil
	}
	if !acting && m.phase != Watching {
		return nil
	}
	return m.write(event)
}

// write takes the lease under the next epoch.
func (m *Machine) write(known LeaseKnown) []Effect {
	m.phase = WritingLease
	m.storeEra = known.Revision.Era()
	m.epoch = known.Lease.nextEpoch(m.storeEra)
	return []Effect{WriteLease{
		Revision: known.Revision, Create: known.Missing,
		Lease: m.newLease(),
	}}
}

// storeRestored gives up a lease that is held: it may be lost. It is asked for, and written
// again in the new era. What is under way goes on under tokens that any holder of that era
// has higher ones than.
func (m *Machine) storeRestored() []Effect {
	if !m.holding {
		return nil
	}
	m.holding = false
	return []Effect{ReclaimLease{}}
}

// newLease is the lease as this node writes it. What was last ordered stays in it.
func (m *Machine) newLease() Lease {
	return Lease{Holder: m.node, Epoch: m.epoch, Life: m.life, Target: m.lease.Target, Ballot: m.lease.Ballot, Term: m.lease.Term, StoreEra: m.storeEra}
}

func (m *Machine) leaseWritten(now time.Time, event LeaseWritten) []Effect {
	if m.campaign.recording {
		return m.recorded(now, event)
	}
	if event.Result == Written && event.Revision.Era() > m.storeEra {
		// The store came back from an older copy before it took the lease.
		return m.write(LeaseKnown{Revision: event.Revision, Lease: m.newLease()})
	}
	switch event.Result {
	case Written:
		m.revision = event.Revision
		anew := m.fenced
		m.fenced = false
		m.hold(m.epoch)
		if m.renewed || anew {
			return m.act(now)
		}
		m.phase = Watching
		effects := m.observed(now)
		if m.phase == Watching {
			// An earlier holder may have ended between a survey and its order.
			return append(effects, m.resume()...)
		}
		return effects
	case Superseded:
		m.holding, m.renewed = false, false
		// Another node was faster and is about to act.
		m.rest(now, 0)
		m.needSince, m.holderLives = now, true
	case Uncertain:
		m.holding, m.renewed = false, false
		m.rest(now, pauseAfterFailure)
	}
	return nil
}

// hold notes that the lease is held. The counter is never reset, since a lease
// that is held again under the same epoch must not give out a token twice.
func (m *Machine) hold(epoch uint64) {
	m.holding, m.epoch = true, epoch
}

// renew writes the lease anew before a survey of a service with synchronous
// replicas. Another node that is about to take over then finds it changed and
// leaves the matter to this one; if another has taken over already, this node
// learns of it. Two nodes that change the primary at the same time would let go
// of replicas that the other one holds.
func (m *Machine) renew() []Effect {
	m.phase, m.renewed = WritingLease, true
	return []Effect{WriteLease{Revision: m.revision, Lease: m.newLease()}}
}
