package membership

import (
	"math"
	"slices"
	"time"
)

func (m *Machine) answerPing(message Message) {
	sender, ok := m.members[message.From]
	if !ok {
		return // the sender was dead and has been removed
	}
	m.send(sender.Addresses.Gossip, Message{Kind: Ack, Sequence: message.Sequence, Target: m.self.ID})
	if sender.Status == Dead || sender.Status == Suspect {
		// Include the sender's state as known here, so that the sender can refute it.
		last := &m.effects[len(m.effects)-1].Message
		last.Updates = append(last.Updates, sender.Member)
	}
}

func (m *Machine) receiveAck(message Message) {
	for index, current := range m.probes {
		if current.sequence != message.Sequence {
			continue
		}
		m.probes = slices.Delete(m.probes, index, index+1)
		if message.Configuration.Complete <= m.configurationDigest.Complete {
			m.freshAsOf = max(m.freshAsOf, current.sentAt)
		}
		if current.requesterAddress != "" {
			m.send(current.requesterAddress, Message{
				Kind: Ack, Sequence: current.requesterSequence, Target: message.Target,
			})
		}
		return
	}
}

func (m *Machine) relayPing(message Message) {
	requester, ok := m.members[message.From]
	if !ok {
		return
	}
	m.sequence++
	m.probes = append(m.probes, probe{
		target: message.Target, sequence: m.sequence, sentAt: m.now, indirect: true,
		requesterAddress: requester.Addresses.Gossip, requesterSequence: message.Sequence,
	})
	m.send(message.TargetAddress, Message{Kind: Ping, Sequence: m.sequence, Target: message.Target})
}

// probeNext probes the next member of the round. Every few periods it probes a dead
// member or a seed that is not a running member instead, so that healed network
// partitions merge.
func (m *Machine) probeNext() {
	m.periods++
	if m.periods%m.settings.DeadProbeEvery == 1%m.settings.DeadProbeEvery {
		if address := m.rejoinAddress(); address != "" {
			m.probeAddress("", address)
			return
		}
	}
	if len(m.unprobed) == 0 {
		m.refillUnprobed()
	}
	for len(m.unprobed) > 0 {
		id := m.unprobed[0]
		m.unprobed = m.unprobed[1:]
		if known, ok := m.members[id]; ok && known.Status != Dead {
			m.probeAddress(id, known.Addresses.Gossip)
			return
		}
	}
}

// maxSuspectNotices is the maximum number of suspects notified in one period.
const maxSuspectNotices = 2

// notifySuspects sends suspects their own state, so that running ones can refute it
// in time even if disseminated updates get lost.
func (m *Machine) notifySuspects() {
	notified := 0
	for _, id := range m.suspects {
		known, ok := m.members[id]
		if !ok || known.Status != Suspect || notified == maxSuspectNotices {
			continue
		}
		notified++
		m.probeAddress("", known.Addresses.Gossip)
		last := &m.effects[len(m.effects)-1].Message
		last.Updates = append(last.Updates, known.Member)
	}
}

func (m *Machine) probeAddress(id, address string) {
	m.sequence++
	if id != "" {
		m.probes = append(m.probes, probe{target: id, sequence: m.sequence, sentAt: m.now})
	}
	m.send(address, Message{Kind: Ping, Sequence: m.sequence, Target: id})
}

func (m *Machine) refillUnprobed() {
	m.unprobed = m.unprobed[:0]
	for _, id := range m.sortedIDs {
		if id != m.self.ID && m.members[id].Status != Dead {
			m.unprobed = append(m.unprobed, id)
		}
	}
	m.random.Shuffle(len(m.unprobed), func(i, j int) {
		m.unprobed[i], m.unprobed[j] = m.unprobed[j], m.unprobed[i]
	})
}

// rejoinAddress returns the address of a random dead member or of a seed that is not
// a running member, or "".
func (m *Machine) rejoinAddress() string {
	running := map[string]bool{m.self.Addresses.Gossip: true}
	var candidates []string
	for _, id := range m.sortedIDs {
		known := m.members[id]
		if known.Status == Dead {
			candidates = append(candidates, known.Addresses.Gossip)
		} else {
			running[known.Addresses.Gossip] = true
		}
	}
	for _, seed := range m.seeds {
		if !running[seed] {
			candidates = append(candidates, seed)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[m.random.IntN(len(candidates))]
}

func (m *Machine) expireProbes() {
	kept := m.probes[:0]
	for _, current := range m.probes {
		switch {
		case current.requesterAddress != "" && m.now >= current.sentAt+m.settings.ProbeInterval:
		case current.requesterAddress == "" && current.indirect && m.now >= current.sentAt+m.settings.ProbeInterval:
			if _, ok := m.members[current.target]; ok {
				m.suspect(current.target)
			}
		case !current.indirect && m.now >= current.sentAt+m.settings.ProbeTimeout:
			current.indirect = true
			m.probeIndirectly(current)
			kept = append(kept, current)
		default:
			kept = append(kept, current)
		}
	}
	m.probes = kept
}

// probeIndirectly probes a member that has not answered once more and asks a few
// random members to probe it as well.
func (m *Machine) probeIndirectly(expired probe) {
	target, ok := m.members[expired.target]
	if !ok {
		return
	}
	m.send(target.Addresses.Gossip, Message{Kind: Ping, Sequence: expired.sequence, Target: expired.target})
	for _, id := range m.RandomPeers(m.settings.IndirectProbes, expired.target) {
		m.send(m.members[id].Addresses.Gossip, Message{
			Kind: PingRequest, Sequence: expired.sequence, Target: expired.target,
			TargetAddress: target.Addresses.Gossip,
		})
	}
}

// RandomPeers returns the IDs of up to count running members, except this node and
// the excluded member. It may return fewer than there are.
func (m *Machine) RandomPeers(count int, excluded string) []string {
	var picked []string
	for attempt := 0; attempt < 4*count+8 && len(picked) < count && len(m.sortedIDs) > 1; attempt++ {
		id := m.sortedIDs[m.random.IntN(len(m.sortedIDs))]
		if id == m.self.ID || id == excluded || m.members[id].Status == Dead || slices.Contains(picked, id) {
			continue
		}
		picked = append(picked, id)
	}
	return picked
}

func (m *Machine) suspicionTimeout() time.Duration {
	factor := m.settings.SuspicionFactor * (1 + math.Log10(float64(len(m.members)+1)))
	return time.Duration(factor * float64(m.settings.ProbeInterval))
}

func (m *Machine) expireSuspicions() {
	suspects := m.suspects
	m.suspects = nil
	for _, id := range suspects {
		known, ok := m.members[id]
		switch {
		case !ok || known.Status != Suspect:
		case m.now >= known.since+m.suspicionTimeout():
			dead := known.Member
			dead.Status = Dead
			m.storeAndQueue(dead)
		default:
			if !slices.Contains(m.suspects, id) {
				m.suspects = append(m.suspects, id)
			}
		}
	}
	if m.periods%removeDeadEvery == 0 {
		m.removeDead()
	}
}

// removeDeadEvery is the number of periods between checks for expired dead members.
const removeDeadEvery = 64

func (m *Machine) removeDead() {
	for _, id := range append([]string(nil), m.sortedIDs...) {
		known := m.members[id]
		if known.Status == Dead && m.now >= known.since+m.settings.DeadRetention {
			m.remove(id)
		}
	}
}
