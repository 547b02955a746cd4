package failover

import "time"

// The replicas of a service with synchronous replicas are held while the primary is changed. Whoever
// lets them receive again fences off the orders that may still be carried out: the promoted server
// would lack what the replicas acknowledge from then on. A node that is lost before leaves them held.
// Another node then finds that the replication has stalled, takes the lease and does the same.

const (
	// fenceSettleTime is the wait between the answer that fences off earlier orders and the end of
	// the hold. An order that was accepted just before takes effect in this time.
	fenceSettleTime = time.Second
	// repairPause is the pause after a repair of the replication: the replicas have to catch up.
	repairPause = 5 * time.Second
)

// replicationStalled reports whether the replication needs a repair.
func (m *Machine) replicationStalled(now time.Time) bool {
	obs := &m.observation
	return obs.ReplicationStalled && obs.SynchronousReplicas > 0 && obs.Leader != "" && !obs.Degraded && !now.Before(m.repairNotBefore)
}

// onlyRepairs reports whether the holder of the lease acts only to repair the replication. Where the
// nodes agree on tenures, opening one again does that.
func (m *Machine) onlyRepairs(now time.Time) bool {
	needed, _ := m.needsOtherPrimary(now)
	return !m.usesTenures && !needed && m.replicationStalled(now)
}

// repair fences off earlier orders if the reports confirm that too few replicas receive what the
// primary has. The replicas then receive again.
func (m *Machine) repair(now time.Time, reports []Report) []Effect {
	primary, found := Report{}, false
	for _, report := range reports {
		if report.ID == m.observation.Leader && (report.Primary || report.Assumed) {
			primary, found = report, true
		}
	}
	received, behind := 0, 0
	for _, report := range reports {
		switch {
		case report.ID == primary.ID || report.Assumed || report.Ended:
		case report.Received.Covers(primary.Received):
			received++
		default:
			behind++
		}
	}
	if !found || behind == 0 || received >= m.observation.SynchronousReplicas {
		m.watchAgain(now, pauseAfterFailure)
		return nil
	}
	m.phase = Withdrawing
	return m.orderPromotion(m.observation.Leader)
}

// withdraw fences off an order that was not answered or had no effect and is no longer needed, or one
// of an earlier holder, by ordering the present primary under a higher token. Only services with
// synchronous replicas need it. Their replicas are held until then, since an order carried out late
// would lose what they acknowledge afterwards. If the late order is carried out first, the present
// primary is the only replica that is not held, so it holds everything that was acknowledged since.
func (m *Machine) withdraw() []Effect {
	obs := &m.observation
	if m.usesTenures || !m.holdsLease || obs.SynchronousReplicas == 0 || obs.Leader == "" || obs.Degraded {
		return nil
	}
	if !m.orderUnanswered && !m.earlierHolderActed && !m.replicasHeld {
		return nil
	}
	m.phase = Withdrawing
	return m.orderPromotion(obs.Leader)
}

func (m *Machine) handleWithdrawn(now time.Time, event Ordered) []Effect {
	switch event.Outcome {
	case Accepted:
		m.resumeAt = now.Add(fenceSettleTime)
	case Rejected:
		// Another node holds a newer token and may hold the replicas, or the primary does not run.
		m.watchAgain(now, pauseAfterFailure)
		m.holdsLease, m.needsNewEpoch = false, true
		m.orderUnanswered, m.earlierHolderActed = false, true
	default:
		m.watchAgain(now, pauseAfterFailure)
	}
	return nil
}

// resumeIfSettled lets the replicas receive again once no earlier order can take effect any more. If
// the primary has failed meanwhile, they stay held until it is replaced.
func (m *Machine) resumeIfSettled(now time.Time) []Effect {
	if now.Before(m.resumeAt) {
		return nil
	}
	m.resumeAt = time.Time{}
	m.watchAgain(now, 0)
	m.orderUnanswered, m.earlierHolderActed = false, false
	if m.isHandover(now) {
		return append(m.resumeReplicas(), m.handleObserved(now)...)
	}
	if needed, _ := m.needsOtherPrimary(now); needed {
		return m.handleObserved(now)
	}
	m.needSince, m.holderAlive = time.Time{}, false
	m.repairNotBefore = now.Add(repairPause)
	return m.resumeReplicas()
}
