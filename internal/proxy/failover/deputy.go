package failover

import (
	"hash/fnv"
	"time"
)

// A deputy acts for a lost lease holder while the store does not answer, so that a primary that
// fails meanwhile is still replaced. This needs no agreement: the tokens of an epoch are divided
// into a range for the holder and one for each deputy, each above the one before. A holder that
// is still alive is fenced off, and takes a new epoch as soon as it can.
const (
	// MaxDeputies limits the number of deputies in a lease.
	MaxDeputies = 3
	// tokensPerRank is the number of an epoch's tokens for the holder and for each deputy.
	tokensPerRank = tokensPerEpoch / (MaxDeputies + 1)
	// deputyConfirmationTTL is how long a deputy relies on other nodes' statements that the
	// primary is down. It exceeds the timeout of a store call.
	deputyConfirmationTTL = 2500 * time.Millisecond
	// deputyRejectionPause is the pause after the platform has rejected a deputy's order.
	deputyRejectionPause = time.Second
)

// deputyRank returns this node's rank among the deputies of the last known lease, starting at 1,
// or 0 if it is not a deputy.
func (m *Machine) deputyRank() int {
	for i, name := range m.lease.Deputies {
		if name == m.node && i < MaxDeputies {
			return i + 1
		}
	}
	return 0
}

// superiors returns the holder and the deputies that act before this node.
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

// actAsDeputy acts without the lease if this node is a deputy, and other nodes have recently
// confirmed that the primary is down or no primary is known. It leaves out services with
// synchronous replicas, which must not be held without the lease.
func (m *Machine) actAsDeputy(now time.Time) []Effect {
	recently := !m.confirmedAt.IsZero() && now.Sub(m.confirmedAt) < deputyConfirmationTTL
	confirmed := m.observation.LeaderDown && m.confirmedDown == m.observation.Leader && recently
	if m.deputyRank() == 0 || m.observation.SynchronousReplicas > 0 || (m.observation.Leader != "" && !confirmed) {
		m.watchAgain(now, pauseAfterFailure)
		return nil
	}
	m.actingAsDeputy = true
	if m.usesTenures {
		return m.prepare(now)
	}
	// The lease may change before the order; its tokens then belong to other nodes.
	m.deputyTokenBase = m.lease.Epoch*tokensPerEpoch + uint64(m.deputyRank())*tokensPerRank + m.deputyTokenOffset()
	m.phase = Surveying
	return []Effect{m.survey(now)}
}

// nextToken returns a token that was never used: the next one in the epoch's range of the holder
// or deputy, or the next ballot.
func (m *Machine) nextToken() uint64 {
	if m.usesTenures {
		// The voters promise a ballot to one candidate only.
		baseEpoch := m.epoch
		if m.actingAsDeputy {
			baseEpoch = m.lease.Epoch + 1
		}
		m.highestBallot = max(m.highestBallot, m.observation.LeastBallot+baseEpoch*tokensPerEpoch) + 1
		return m.highestBallot
	}
	m.counter++
	if m.actingAsDeputy {
		return m.deputyTokenBase + m.counter
	}
	return m.epoch*tokensPerEpoch + m.counter
}

// deputyTokenOffset keeps the tokens of a node's incarnations apart, since the tokens that an
// earlier one used are not stored anywhere.
func (m *Machine) deputyTokenOffset() uint64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(m.incarnation))
	return uint64(hash.Sum32()) % (tokensPerRank / 2)
}
