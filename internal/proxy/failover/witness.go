package failover

import "time"

// rankDelayDivisor shortens the rank delay for the check whether the holder is alive.
const rankDelayDivisor = 4

// nonHolderDelay returns how long a node that does not hold the lease leaves a change to the
// holder.
func (m *Machine) nonHolderDelay() time.Duration {
	if m.holderAlive || (m.observation.Leader == "" && !(m.usesTenures && m.observation.Closed)) {
		return takeoverDelay + m.rankDelay
	}
	return holderCheckDelay + m.rankDelay/rankDelayDivisor
}

// indirectPathTrial is how long a switch to an indirect path counts as tried. If the primary does
// not answer in this time, it stays only if a majority of the answering nodes reaches it.
const indirectPathTrial = 3 * time.Second

// recentlyCorroborated reports whether other nodes have confirmed recently that the primary is
// down, so that a node that has taken over the lease since need not ask again.
func (m *Machine) recentlyCorroborated(now time.Time) bool {
	return m.holdsLease && m.observation.LeaderDown && m.confirmedDown == m.observation.Leader &&
		!m.confirmedAt.IsZero() && now.Sub(m.confirmedAt) < corroborationTTL
}

// confirmationsNeeded is how many other nodes have to report that they do not reach a primary
// before it is replaced. A single one may have the same degraded link as this node.
const confirmationsNeeded = 2

// independentlyConfirmed reports whether there is evidence besides this node's own that the
// primary is down. Missing answers are no evidence, since a node whose own link is degraded gets
// none either. So enough of the asked nodes have to confirm, among them one of another zone if
// any was asked, since a whole zone may be partitioned. If too few answer, the directory is
// evidence enough: a primary that no longer renews its entry vanishes from it. A primary that has
// announced that it is leaving needs no further evidence, and a node without peers can get none.
func (m *Machine) independentlyConfirmed(event Corroborated) bool {
	if m.observation.LeaderDraining || m.observation.LeaderGone {
		return true
	}
	enough := event.Answers-event.Reached >= min(confirmationsNeeded, event.Asked)
	return enough && event.ConfirmedElsewhere >= min(1, event.AskedElsewhere)
}

// handleCorroborated evaluates the answers of other nodes. A primary that another node reaches is
// alive, and replacing it would lose what it has not replicated: its requests take an indirect
// path through that node. If that has been tried and the primary still does not answer, it stays
// only while most nodes reach it. A primary that too few nodes report as down stays, too.
func (m *Machine) handleCorroborated(now time.Time, event Corroborated) []Effect {
	if m.phase != Corroborating {
		return nil
	}
	m.phase = Watching
	needed, _ := m.needsChange(now)
	if !needed {
		return nil
	}
	indirectPathTried := now.Sub(m.indirectPathAt) < indirectPathTrial
	majorityReaches := 2*event.Reached > event.Answers
	if m.observation.LeaderDown && event.Reached > 0 && (!indirectPathTried || majorityReaches) {
		m.watchAgain(now, contradictedPause)
		m.needSince, m.holderAlive, m.indirectPathAt = time.Time{}, false, now
		return []Effect{Detour{Server: m.observation.Leader}}
	}
	if m.observation.LeaderDown && !m.independentlyConfirmed(event) {
		m.watchAgain(now, pauseAfterFailure)
		return nil
	}
	if event.Reached == 0 && m.observation.LeaderDown {
		m.confirmedDown, m.confirmedAt = m.observation.Leader, now
	}
	if m.holdsLease || !event.HolderAnswered || m.holderAlive {
		return m.beginChange(now)
	}
	m.holderAlive = true
	return nil
}
