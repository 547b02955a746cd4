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

// corroborated weighs what other nodes see. A primary that another node reaches
// lives, and replacing it would lose what it has not replicated: its work goes
// through that node. If that has been tried and the primary is still silent, it
// stays only while most nodes reach it.
func (m *Machine) corroborated(now time.Time, event Corroborated) []Effect {
	if m.phase != Corroborating {
		return nil
	}
	m.phase = Watching
	needed, _ := m.need()
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
	if event.Reached == 0 && m.observation.LeaderDown {
		m.confirmedDown, m.confirmedAt = m.observation.Leader, now
	}
	if m.holding || !event.HolderAnswered || m.holderLives {
		return m.act(now)
	}
	m.holderLives = true
	return nil
}
