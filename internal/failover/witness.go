package failover

import "time"

// rankShare is the part of its rank by which a node waits before it looks
// whether the holder lives.
const rankShare = 4

// deference is how long a node that does not hold the lease leaves a need to
// the holder.
func (m *Machine) deference() time.Duration {
	if m.holderLives || m.observation.Leader == "" {
		return takeoverDelay + m.rank
	}
	return holderDelay + m.rank/rankShare
}

// enoughAnswers is how many answers may contradict this node's own evidence.
const enoughAnswers = 2

// corroborated weighs what other nodes see. If most of them reach the primary,
// it is this node that is cut off, and replacing the primary would lose what it
// has not replicated yet.
func (m *Machine) corroborated(now time.Time, event Corroborated) []Effect {
	if m.phase != Corroborating {
		return nil
	}
	m.phase = Watching
	needed, _ := m.need()
	if !needed {
		return nil
	}
	if m.observation.LeaderDown && event.Answers >= enoughAnswers && 2*event.Reached > event.Answers {
		m.rest(now, contradictedPause)
		m.needSince, m.holderLives = time.Time{}, false
		return nil
	}
	if m.holding || !event.HolderAnswered || m.holderLives {
		return m.act()
	}
	m.holderLives = true
	return nil
}
