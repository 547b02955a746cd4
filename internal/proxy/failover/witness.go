package failover

import "time"

// rankShare is the part of its rank by which a node waits before it looks
// whether the holder lives.
const rankShare = 4

// deference is how long a node that does not hold the lease leaves a need to
// the holder.
func (m *Machine) deference() time.Duration {
	if m.holderLives || (m.observation.Leader == "" && !(m.agreed && m.observation.Closed)) {
		return takeoverDelay + m.rank
	}
	return holderDelay + m.rank/rankShare
}

// detourTrial is how long a way through another node is given before only a
// majority that reaches the primary keeps it.
const detourTrial = 3 * time.Second

// justCorroborated reports whether other nodes have just said that the primary is
// down, so that a node which has taken the lease over since need not ask again.
func (m *Machine) justCorroborated(now time.Time) bool {
	return m.holding && m.observation.LeaderDown && m.confirmedDown == m.observation.Leader &&
		!m.confirmedAt.IsZero() && now.Sub(m.confirmedAt) < corroborationLife
}

// confirmationsNeeded is how many other nodes have to say that they do not reach a
// primary before it is replaced. One might have the same sick link as this node.
const confirmationsNeeded = 2

// confirmed reports whether there is evidence, besides this node's own, that the
// primary is down. Silence of other nodes is none: it is what a node with a sick link
// of its own hears. So enough of those that were asked have to confirm, one of another
// zone among them if there are any, since a zone may be cut off as a whole. If too few
// answer, the store's word does in their place: the primary, which keeps its entry in
// the directory alive, has vanished from there. A primary that has announced its end
// needs no other witness, and a fleet of one node has none.
func (m *Machine) confirmed(event Corroborated) bool {
	if m.observation.LeaderDraining || m.observation.LeaderGone {
		return true
	}
	enough := event.Answers-event.Reached >= min(confirmationsNeeded, event.Asked)
	return enough && event.ConfirmedElsewhere >= min(1, event.AskedElsewhere)
}

// corroborated weighs what other nodes see. A primary that another node reaches
// lives, and replacing it would lose what it has not replicated: its work goes
// through that node. If that has been tried and the primary is still silent, it
// stays only while most nodes reach it. One that nobody says to be down stays too.
func (m *Machine) corroborated(now time.Time, event Corroborated) []Effect {
	if m.phase != Corroborating {
		return nil
	}
	m.phase = Watching
	needed, _ := m.need(now)
	if !needed {
		return nil
	}
	tried := now.Sub(m.detourAt) < detourTrial
	mostReach := 2*event.Reached > event.Answers
	if m.observation.LeaderDown && event.Reached > 0 && (!tried || mostReach) {
		m.rest(now, contradictedPause)
		m.needSince, m.holderLives, m.detourAt = time.Time{}, false, now
		return []Effect{Detour{Server: m.observation.Leader}}
	}
	if m.observation.LeaderDown && !m.confirmed(event) {
		m.rest(now, pauseAfterFailure)
		return nil
	}
	if event.Reached == 0 && m.observation.LeaderDown {
		m.confirmedDown, m.confirmedAt = m.observation.Leader, now
	}
	if m.holding || !event.HolderAnswered || m.holderLives {
		return m.act(now)
	}
	m.holderLives = true
	return nil
}
