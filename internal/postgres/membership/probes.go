package membership

import (
	"math"
	"slices"
	"time"
)

// Probes, suspicion and the news about members that rides on them.

func (m *Machine) answerPing(message Message) {
	sender, ok := m.members[message.From]
	if !ok {
		return // dead members that were forgotten
	}
	m.send(sender.Addresses.Gossip, Message{Kind: Ack, Sequence: message.Sequence, Target: m.self.ID})
	if sender.Status == Dead || sender.Status == Suspect {
		// Tell it what is believed, so that it can refute.
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
		if message.Configuration.Complete <= m.digest.Complete {
			m.freshAsOf = max(m.freshAsOf, current.sentAt)
		}
		if current.forAddress != "" {
			m.send(current.forAddress, Message{Kind: Ack, Sequence: current.forSequence, Target: message.Target})
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
		forAddress: requester.Addresses.Gossip, forSequence: message.Sequence,
	})
	m.send(message.TargetAddress, Message{Kind: Ping, Sequence: m.sequence, Target: message.Target})
}

// probeNext probes the next member of the round. Every few rounds a dead member
// or a seed that is no member is tried instead, which heals splits.
func (m *Machine) probeNext() {
	m.rounds++
	if m.rounds%m.settings.DeadProbeEvery == 1%m.settings.DeadProbeEvery {
		if address := m.lostAddress(); address != "" {
			m.probeAddress("", address)
			return
		}
	}
	if len(m.round) == 0 {
		m.shuffleRound()
	}
	for len(m.round) > 0 {
		id := m.round[0]
		m.round = m.round[1:]
		if known, ok := m.members[id]; ok && known.Status != Dead {
			m.probeAddress(id, known.Addresses.Gossip)
			return
		}
	}
}

// maxWarnings bounds the suspects that are told so in one period.
const maxWarnings = 2

// warnSuspects tells suspects directly, so that one that runs can refute in time
// even where news gets lost.
func (m *Machine) warnSuspects() {
	warned := 0
	for _, id := range m.suspicions {
		known, ok := m.members[id]
		if !ok || known.Status != Suspect || warned == maxWarnings {
			continue
		}
		warned++
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

func (m *Machine) shuffleRound() {
	m.round = m.round[:0]
	for _, id := range m.order {
		if id != m.self.ID && m.members[id].Status != Dead {
			m.round = append(m.round, id)
		}
	}
	m.random.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
}

// lostAddress picks the address of a dead member or of a seed that is not among
// the running members.
func (m *Machine) lostAddress() string {
	running := map[string]bool{m.self.Addresses.Gossip: true}
	var lost []string
	for _, id := range m.order {
		known := m.members[id]
		if known.Status == Dead {
			lost = append(lost, known.Addresses.Gossip)
		} else {
			running[known.Addresses.Gossip] = true
		}
	}
	for _, seed := range m.seeds {
		if !running[seed] {
			lost = append(lost, seed)
		}
	}
	if len(lost) == 0 {
		return ""
	}
	return lost[m.random.IntN(len(lost))]
}

func (m *Machine) expireProbes() {
	kept := m.probes[:0]
	for _, current := range m.probes {
		switch {
		case current.forAddress != "" && m.now >= current.sentAt+m.settings.ProbeInterval:
		case current.forAddress == "" && current.indirect && m.now >= current.sentAt+m.settings.ProbeInterval:
			if _, ok := m.members[current.target]; ok {
				m.suspect(current.target)
			}
		case !current.indirect && m.now >= current.sentAt+m.settings.ProbeTimeout:
			current.indirect = true
			m.askOthers(current)
			kept = append(kept, current)
		default:
			kept = append(kept, current)
		}
	}
	m.probes = kept
}

// askOthers probes a silent member once more and asks a few random members to
// do the same.
func (m *Machine) askOthers(silent probe) {
	target, ok := m.members[silent.target]
	if !ok {
		return
	}
	m.send(target.Addresses.Gossip, Message{Kind: Ping, Sequence: silent.sequence, Target: silent.target})
	for _, id := range m.RandomPeers(m.settings.IndirectProbes, silent.target) {
		m.send(m.members[id].Addresses.Gossip, Message{
			Kind: PingRequest, Sequence: silent.sequence, Target: silent.target, TargetAddress: target.Addresses.Gossip,
		})
	}
}

// RandomPeers returns up to count running members other than this node and one
// more; they are drawn from the whole fleet.
func (m *Machine) RandomPeers(count int, except string) []string {
	var picked []string
	for attempt := 0; attempt < 4*count+8 && len(picked) < count && len(m.order) > 1; attempt++ {
		id := m.order[m.random.IntN(len(m.order))]
		if id == m.self.ID || id == except || m.members[id].Status == Dead || slices.Contains(picked, id) {
			continue
		}
		picked = append(picked, id)
	}
	return picked
}

func (m *Machine) suspicionTime() time.Duration {
	factor := m.settings.SuspicionFactor * (1 + math.Log10(float64(len(m.members)+1)))
	return time.Duration(factor * float64(m.settings.ProbeInterval))
}

func (m *Machine) expireSuspicions() {
	suspicions := m.suspicions
	m.suspicions = nil
	for _, id := range suspicions {
		known, ok := m.members[id]
		switch {
		case !ok || known.Status != Suspect:
		case m.now >= known.since+m.suspicionTime():
			dead := known.Member
			dead.Status = Dead
			m.put(dead)
		default:
			if !slices.Contains(m.suspicions, id) {
				m.suspicions = append(m.suspicions, id)
			}
		}
	}
	if m.rounds%forgetEvery == 0 {
		m.forgetDead()
	}
}

// forgetEvery is how many probe rounds pass between looks for members to forget.
const forgetEvery = 64

func (m *Machine) forgetDead() {
	for _, id := range append([]string(nil), m.order...) {
		known := m.members[id]
		if known.Status == Dead && m.now >= known.since+m.settings.DeadRetention {
			m.forget(id)
		}
	}
}
