package group

import (
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
)

// Acknowledgement of commits. A replaced primary may still report that a commit
// succeeded, so its response alone is not sufficient. A commit in term T at position
// P is acknowledged only after a majority of the group's servers has reported a log
// that has received P and no term above T, in answers to status queries sent after
// the commit's response.
//
// This is safe because a new primary needs a majority of votes, and voting raises
// the voter's term. No server of the confirming majority had voted in a later term
// when it answered, and each had received P. Every later majority of voters shares
// a server with it, and the voter with the most advanced log wins, so the log of
// every later primary contains P. Status queries are shared: there is at most one
// outstanding query per server, and its answer serves all waiting requests.
//
// A read at the primary is confirmed in the same way, by the log position after the
// read. Otherwise it could return a write that only a replaced primary has and that
// is lost with it. Reads at replicas need no confirmation: in a group of three, what
// a replica has is on a majority, the primary and the replica itself.

func (m *Machine) majority() int { return len(m.servers)/2 + 1 }

// lastQueryNumbers returns the number of the last status query sent to each server.
func (m *Machine) lastQueryNumbers() []uint64 {
	numbers := make([]uint64, len(m.servers))
	for index := range m.servers {
		numbers[index] = m.servers[index].querySent
	}
	return numbers
}

func (m *Machine) awaitConfirmation(target *pending, committed position.Position) {
	target.stage = stageConfirmation
	target.committed = committed
	target.stageStarted = m.now
	target.baseline = m.lastQueryNumbers()
	m.waiting = append(m.waiting, target)
}

// answered reports whether a server has answered a query sent after the request's baseline.
func (m *Machine) answered(target *pending, index int) bool {
	return m.servers[index].queryAnswered > target.baseline[index]
}

// checkConfirmation reports whether a commit is confirmed (done), or can't be confirmed
// any more because a later term exists (replaced).
func (m *Machine) checkConfirmation(target *pending) (done, replaced bool) {
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

// advanceWaiting re-evaluates all waiting requests after a status answer.
func (m *Machine) advanceWaiting() {
	current := m.waiting
	m.waiting = nil
	for _, target := range current {
		m.advanceOne(target)
	}
}

func (m *Machine) advanceOne(target *pending) {
	switch target.stage {
	case stageConfirmation:
		m.advanceConfirmation(target)
	case stageReadIndex:
		m.advanceReadIndex(target)
	case stageMinPosition:
		m.advanceMinPosition(target)
	}
}

func (m *Machine) advanceConfirmation(target *pending) {
	done, replaced := m.checkConfirmation(target)
	if done {
		m.recordConfirmed(target.committed)
	}
	switch {
	case done && target.request.ReadOnly:
		m.reply(target, Reply{Server: target.server})
	case done:
		m.reply(target, Reply{Position: target.committed, Server: target.server})
	case replaced && target.request.ReadOnly && m.now < target.deadline():
		// The answer is discarded. A read is safe to repeat on another server.
		target.server = noServer
		target.primaryOnly = false
		m.advanceMinPosition(target)
	case replaced:
		m.reply(target, Reply{Kind: failure.OutcomeUnknown, Server: target.server})
	default:
		m.waiting = append(m.waiting, target)
	}
}

// waitingDeadline returns when a waiting request must be evaluated again without new answers.
func (m *Machine) waitingDeadline(target *pending) time.Duration {
	switch target.stage {
	case stageConfirmation:
		return target.stageStarted + m.settings.ConfirmLimit
	case stageMinPosition:
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
		case target.stage == stageConfirmation && m.now >= m.waitingDeadline(target):
			m.reply(target, Reply{Kind: failure.OutcomeUnknown, Server: target.server})
		case target.stage != stageConfirmation && m.now >= target.deadline():
			m.reject(target, m.timeoutKind(target))
		case target.stage == stageMinPosition && m.shouldFallBack(target):
			m.advanceMinPosition(target)
		default:
			m.waiting = append(m.waiting, target)
		}
	}
}
