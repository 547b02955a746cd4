package failover

import (
	"hash/fnv"
	"time"
)

// A deputy acts in the place of a lost holder while the store does not answer, so
// that a primary which fails then is replaced all the same. It needs no agreement:
// the tokens of an epoch are divided among the holder and its deputies, each of whom
// has higher ones than those before it. So a holder that lives after all is fenced
// off, and takes a new epoch once it can.
const (
	// MaxDeputies is how many deputies a lease may name.
	MaxDeputies = 3
	// ownTokens is the part of an epoch's tokens for the holder and for each deputy.
	ownTokens = tokensPerEpoch / (MaxDeputies + 1)
	// deputyConfirmation is for how long a deputy relies on other nodes' word that the
	// primary is down: longer than the store is waited for.
	deputyConfirmation = 2500 * time.Millisecond
	// deputyPause is the pause after the platform rejected a deputy's order.
	deputyPause = time.Second
)

// deputyRank returns this node's place among the deputies of the lease that it last
// knew, from 1 on; 0 if it is none.
func (m *Machine) deputyRank() int {
	for i, name := range m.lease.Deputies {
		if name == m.node && i < MaxDeputies {
			return i + 1
		}
	}
	return 0
}

// superiors are the holder and the deputies before this node, who act first.
func (m *Machine) superiors() []string {
	if m.holder == "" {
		return nil
	}
	superiors := []string{m.holder}
	if rank := m.deputyRank(); rank > 1 {
		superiors = append(superiors, m.lease.Deputies[:rank-1]...)
	}
	return superiors
}

// deputize acts without the lease if this node is a deputy and others have lately
// said that the primary is down, or if no primary is known. The replicas of a service
// with synchronous ones must not be held without the lease.
func (m *Machine) deputize(now time.Time) []Effect {
	lately := !m.confirmedAt.IsZero() && now.Sub(m.confirmedAt) < deputyConfirmation
	confirmed := m.observation.LeaderDown && m.confirmedDown == m.observation.Leader && lately
	if m.deputyRank() == 0 || m.observation.SynchronousReplicas > 0 || (m.observation.Leader != "" && !confirmed) {
		m.rest(now, pauseAfterFailure)
		return nil
	}
	m.deputizing = true
	if m.agreed {
		return m.prepare(now)
	}
	// The lease may be told anew before the order; its tokens are others' then.
	m.deputyTokens = m.lease.Epoch*tokensPerEpoch + uint64(m.deputyRank())*ownTokens + m.firstDeputyToken()
	m.phase = Surveying
	return []Effect{m.survey()}
}

// nextToken returns a token that was never used: a later one of the holder's part of
// the epoch, or of a deputy's.
func (m *Machine) nextToken() uint64 {
	if m.agreed {
		// The voters promise a ballot to one candidate only.
		floor := m.epoch
		if m.deputizing {
			floor = m.lease.Epoch + 1
		}
		m.highest = max(m.highest, m.observation.LeastBallot+floor*tokensPerEpoch) + 1
		return m.highest
	}
	m.counter++
	if m.deputizing {
		return m.deputyTokens + m.counter
	}
	return m.epoch*tokensPerEpoch + m.counter
}

// firstDeputyToken keeps the lives of a node apart: what an earlier one used is
// nowhere written.
func (m *Machine) firstDeputyToken() uint64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(m.life))
	return uint64(hash.Sum32()) % (ownTokens / 2)
}
