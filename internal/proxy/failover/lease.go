package failover

import "time"

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
	if event.Lease.Holder == m.node && event.Lease.Life == m.life {
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
	m.epoch = known.Lease.Epoch + 1
	return []Effect{WriteLease{
		Revision: known.Revision, Create: known.Missing,
		Lease: m.newLease(),
	}}
}

// newLease is the lease as this node writes it. What was last ordered stays in it.
func (m *Machine) newLease() Lease {
	return Lease{Holder: m.node, Epoch: m.epoch, Life: m.life, Target: m.lease.Target, Ballot: m.lease.Ballot, Term: m.lease.Term}
}

func (m *Machine) leaseWritten(now time.Time, event LeaseWritten) []Effect {
	if m.campaign.recording {
		return m.recorded(now, event)
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
