package group

import (
	"dewknot/internal/base/failure"
	"dewknot/internal/postgres/fairqueue"
)

func (m *Machine) sessionEnd(session SessionID) {
	delete(m.lastNumber, session)
	for _, target := range m.sessionRequests(session) {
		if target.stage == stageRunning {
			m.emit(CancelRun{ID: target.request.ID, Server: target.server})
			m.releaseRun(target)
		}
		target.ended = true
		delete(m.requests, target.request.ID)
	}
	if m.pins[session] != nil {
		m.unpin(session)
		m.emit(Abort{Session: session})
	}
	m.dropEnded()
}

// releaseRun releases the resources of a run whose result isn't needed any more. The
// runtime closes the connection.
func (m *Machine) releaseRun(target *pending) {
	if target.pinned {
		m.servers[target.server].running--
		m.primaryQueue.Release(target.request.Caller, fairqueue.Resources{Slots: 1})
		return
	}
	m.stopRunning(target, false)
}

func (m *Machine) sessionRequests(session SessionID) []*pending {
	var found []*pending
	for id, target := range m.requests {
		if id.Session == session {
			found = append(found, target)
		}
	}
	sortPending(found)
	return found
}

func (m *Machine) cancel(id RequestID) {
	target := m.requests[id]
	if target == nil {
		return
	}
	switch target.stage {
	case stageRunning:
		target.canceled = true
		m.emit(CancelRun{ID: id, Server: target.server})
	case stageConfirmation:
		// The request has run: it is too late to cancel it.
	default:
		m.reject(target, failure.Canceled)
		m.dropEnded()
	}
}

// dropEnded removes ended requests from every list.
func (m *Machine) dropEnded() {
	hasEnded := func(target *pending) bool { return target.ended }
	m.primaryQueue.RemoveIf(hasEnded)
	m.replicaQueue.RemoveIf(hasEnded)
	m.waiting = without(m.waiting, hasEnded)
	m.pinnedQueue = without(m.pinnedQueue, hasEnded)
}

func without(list []*pending, remove func(*pending) bool) []*pending {
	kept := list[:0]
	for _, target := range list {
		if !remove(target) {
			kept = append(kept, target)
		}
	}
	clear(list[len(kept):])
	return kept
}
