package group

import (
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
)

// Acknowledgement. A primary that was replaced may still say that a commit
// succeeded, so its word is not enough. A commit written in term T at position
// P is acknowledged only after a majority of the group's servers, in answers to
// questions asked after the commit's response, report no term above T and a log
// that has received P.
//
// Why that is safe: a new primary needs a majority of votes, and voting raises
// the voter's term. Any server of the majority asked above had not voted in a
// later term when it answered, and it held P already. Every later majority of
// voters shares a server with it, and the voter with the most advanced log wins,
// so every later primary's log contains P. Status questions are batched: one
// question a server at a time serves all waiting requests.
//
// A read that the primary serves is confirmed in the same way by the position
// after it: otherwise it could show a write that only a replaced primary holds
// and that is lost with it. Replicas hold what a majority holds, for a group of
// three: the primary and the replica itself.

func (m *Machine) majority() int { return len(m.servers)/2 + 1 }

// sentAsks returns the number of the last question sent to each server.
func (m *Machine) sentAsks() []uint64 {
	asks := make([]uint64, len(m.servers))
	for index := range m.servers {
		asks[index] = m.servers[index].askSent
	}
	return asks
}

func (m *Machine) awaitConfirmation(target *pending, committed position.Position) {
	target.stage = stageConfirm
	target.committed = committed
	target.since = m.now
	target.after = m.sentAsks()
	m.waiting = append(m.waiting, target)
}

// answered reports whether a server's latest report postdates the request's mark.
func (m *Machine) answered(target *pending, index int) bool {
	return m.servers[index].askAnswered > target.after[index]
}

// confirmed tells whether a commit is confirmed, or can no longer be.
func (m *Machine) confirmed(target *pending) (done, replaced bool) {
	votes := 0
	for index := range m.servers {
		if !m.answered(target, index) {
			continue
		}
		report := m.servers[index].report
		if report.Term > target.committed.Term {
			return false, true
		}
		if report.Received.Covers(target.committed) {
			votes++
		}
	}
	return votes >= m.majority(), false
}

// advanceWaiting moves waiting requests on after a new status answer.
func (m *Machine) advanceWaiting() {
	current := m.waiting
	m.waiting = nil
	for _, target := range current {
		m.advanceOne(target)
	}
}

func (m *Machine) advanceOne(target *pending) {
	switch target.stage {
	case stageConfirm:
		m.advanceConfirm(target)
	case stageIndex:
		m.advanceIndex(target)
	case stageFloor:
		m.advanceFloor(target)
	}
}

func (m *Machine) advanceConfirm(target *pending) {
	done, replaced := m.confirmed(target)
	if done {
		m.noteConfirmed(target.committed)
	}
	switch {
	case done && target.request.ReadOnly:
		m.reply(target, Reply{Server: target.server})
	case done:
		m.reply(target, Reply{Position: target.committed, Server: target.server})
	case replaced && target.request.ReadOnly && m.now < target.deadline():
		// The answer is discarded; a read may run again elsewhere.
		target.server = noServer
		target.primaryOnly = false
		m.advanceFloor(target)
	case replaced:
		m.reply(target, Reply{Kind: failure.OutcomeUnknown, Server: target.server})
	default:
		m.waiting = append(m.waiting, target)
	}
}

// waitingDeadline is when a waiting request must be looked at again.
func (m *Machine) waitingDeadline(target *pending) time.Duration {
	switch target.stage {
	case stageConfirm:
		return target.since + m.settings.ConfirmLimit
	case stageFloor:
		if !target.primaryOnly && m.now < m.replicaDeadline(target) {
			return m.replicaDeadline(target)
		}
	}
	return target.deadline()
}

func (m *Machine) expireWaiting() {
	if len(m.waiting) == 0 {
		return
	}
	current := m.waiting
	m.waiting = make([]*pending, 0, len(current))
	for _, target := range current {
		switch {
		case target.stage == stageConfirm && m.now >= m.waitingDeadline(target):
			m.reply(target, Reply{Kind: failure.OutcomeUnknown, Server: target.server})
		case target.stage != stageConfirm && m.now >= target.deadline():
			m.refuse(target, m.lateKind(target))
		case target.stage == stageFloor && m.shouldFallBack(target):
			m.advanceFloor(target)
		default:
			m.waiting = append(m.waiting, target)
		}
	}
}
