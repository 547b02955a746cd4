package group

import (
	"slices"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/postgres/policy"
	"dewknot/internal/postgres/replication"
)

const primaryRole = replication.Primary

// Freshness of reads. Each level is implemented as a minimum position, which a server
// must have applied before it may run the read.
//
//   - any: no minimum position.
//   - session, if the request carries a position: that position.
//   - lag(L): a primary position confirmed by status queries sent at most L ago. Each
//     server's freshAsOf is the send time of the latest such queries whose position it
//     has applied.
//   - current, and session without a position: the read index, which is the primary's
//     position in its answer to a query sent after the request arrived. It is valid only
//     if a majority of servers, also queried after the arrival, reports no higher term.
//     Then every write acknowledged before the arrival is at or below it.
//
// An explicit transaction that may write also begins with a read index, so that its
// reads at the primary see the session's earlier writes. The minimum position applies
// to reads at the primary as well: a replaced primary does not cover it.

// enterFirstStage puts a new request into the first stage that it needs.
func (m *Machine) enterFirstStage(target *pending) {
	target.baseline = m.lastQueryNumbers()
	if m.needsReadIndex(target) {
		target.stage = stageReadIndex
		m.waiting = append(m.waiting, target)
		return
	}
	m.enterMinPositionStage(target)
}

func (m *Machine) needsReadIndex(target *pending) bool {
	request := target.request
	if m.settings.Mutations.SkipFloor {
		return false
	}
	if !request.ReadOnly && !request.Begins {
		return false // the confirmation of its commit also covers its reads
	}
	switch request.Rule.Freshness {
	case policy.Any:
		return !request.ReadOnly && request.Floor.IsZero()
	case policy.Session:
		return request.Floor.IsZero()
	case policy.Bounded:
		return !request.ReadOnly || !m.hasFreshReplica(request.Rule.MaxLag)
	default:
		return true
	}
}

// advanceReadIndex sets the read index once a majority has answered.
func (m *Machine) advanceReadIndex(target *pending) {
	index, found := m.readIndex(target)
	if !found {
		m.waiting = append(m.waiting, target)
		return
	}
	target.minPosition = position.Max(target.minPosition, index)
	target.hasReadIndex = true
	m.enterMinPositionStage(target)
}

// readIndex returns the primary's position if a majority confirms it for the request.
func (m *Machine) readIndex(target *pending) (position.Position, bool) {
	answers := 0
	highest := uint64(0)
	for index := range m.servers {
		if m.answered(target, index) {
			answers++
			highest = max(highest, m.servers[index].report.Term)
		}
	}
	if answers < m.majority() {
		return position.Position{}, false
	}
	for index := range m.servers {
		report := m.servers[index].report
		if m.answered(target, index) && report.Role == primaryRole && report.Term == highest {
			return report.Received, true
		}
	}
	return position.Position{}, false
}

// enterMinPositionStage queues a request if some server can run it, and otherwise makes it wait.
func (m *Machine) enterMinPositionStage(target *pending) {
	m.advanceMinPosition(target)
}

func (m *Machine) replicaDeadline(target *pending) time.Duration {
	return min(target.arrived+target.request.Rule.ReplicaWait, target.deadline())
}

// advanceMinPosition queues a request for the servers that may run it. A read falls back
// to the primary if no replica has caught up within its replica wait.
func (m *Machine) advanceMinPosition(target *pending) {
	primary := m.usablePrimary()
	if m.shouldFallBack(target) && primary != noServer {
		target.primaryOnly = true
	}
	behind := primary != noServer && !m.mayRun(primary, target)
	switch {
	case target.primaryOnly && !behind, !target.primaryOnly && m.replicaCovers(target):
		m.enqueue(target)
	default:
		target.stage = stageMinPosition
		m.waiting = append(m.waiting, target)
	}
}

func (m *Machine) shouldFallBack(target *pending) bool {
	if target.primaryOnly || m.replicaCovers(target) {
		return false
	}
	return m.now >= m.replicaDeadline(target) || m.fitReplicas() == 0
}

// requeueReads re-evaluates queued reads after a server became unfit or is leaving, or
// the primary changed.
func (m *Machine) requeueReads() {
	isRead := func(target *pending) bool { return target.request.ReadOnly }
	reads := append(m.replicaQueue.RemoveIf(isRead), m.primaryQueue.RemoveIf(isRead)...)
	for _, target := range reads {
		target.primaryOnly = false
		m.advanceMinPosition(target)
	}
}

func (m *Machine) replicaCovers(target *pending) bool {
	for index := range m.servers {
		if m.usable(index) && !m.isPrimary(index) && m.covers(index, target) {
			return true
		}
	}
	return false
}

// covers reports whether a server's data is recent enough for a request.
func (m *Machine) covers(index int, target *pending) bool {
	server := &m.servers[index]
	if m.settings.Mutations.SkipFloor {
		return true
	}
	if !server.reported || !server.report.Applied.Covers(target.minPosition) || !m.notDivergent(index) {
		return false
	}
	if target.request.Rule.Freshness == policy.Bounded && !target.hasReadIndex {
		return m.freshWithin(index, target.request.Rule.MaxLag)
	}
	return true
}

// notDivergent reports whether a server certainly has no applied entries that only a
// replaced primary had. A server that has applied an entry of the current term follows
// the current primary. Any other server may still have the divergent tail of an earlier
// term, unless its applied position was confirmed in that term.
func (m *Machine) notDivergent(index int) bool {
	applied := m.servers[index].report.Applied
	if applied.Term == m.highestTerm || m.settings.Mutations.SkipClean {
		return true
	}
	return applied.Offset <= m.confirmedOffsets[applied.Term]
}

// recordConfirmed records a position that a majority has received.
func (m *Machine) recordConfirmed(at position.Position) {
	m.confirmedOffsets[at.Term] = max(m.confirmedOffsets[at.Term], at.Offset)
	for term := range m.confirmedOffsets {
		if term+keptTerms < at.Term {
			delete(m.confirmedOffsets, term)
		}
	}
}

// keptTerms is the number of earlier terms whose confirmed offsets are kept.
const keptTerms = 4

// chooseServer returns the server with the fewest running statements among those that
// may run a queued request now, or noServer.
func (m *Machine) chooseServer(target *pending) int {
	best := noServer
	for index := range m.servers {
		if !m.hasCapacity(index) || m.isPrimary(index) != target.primaryOnly {
			continue
		}
		if !m.mayRun(index, target) {
			continue
		}
		if best == noServer || m.servers[index].running < m.servers[best].running {
			best = index
		}
	}
	return best
}

// mayRun checks the minimum position. Single writes need none because they are confirmed
// after they have run.
func (m *Machine) mayRun(index int, target *pending) bool {
	if !target.request.ReadOnly && !target.request.Begins {
		return true
	}
	return m.covers(index, target)
}

// updateFreshness records, for lag bounds, as of when each server's data is complete. A
// primary position is valid as of a time t if the primary and a majority have answered
// queries sent at t or later and none has reported a higher term. Then every write
// acknowledged before t is at or below that position.
func (m *Machine) updateFreshness() {
	primary := m.currentPrimary()
	if primary == noServer {
		return
	}
	asOf, confirmed := m.confirmedAsOf(primary)
	if !confirmed {
		return
	}
	m.marks.add(freshnessMark{asOf: asOf, position: m.servers[primary].report.Received})
	for index := range m.servers {
		server := &m.servers[index]
		if !server.reported {
			continue
		}
		if asOf, ok := m.marks.covered(server.report.Applied); ok && asOf > server.freshAsOf {
			server.freshAsOf = asOf
			server.fresh = true
		}
	}
}

// freshnessMark is a primary position with a time: every write acknowledged before that
// time is at or below the position.
type freshnessMark struct {
	asOf     time.Duration
	position position.Position
}

// freshnessMarks keeps recent marks, so that the age of a lagging replica's data is known.
type freshnessMarks struct {
	marks []freshnessMark // ordered by time
}

// Minimum spacing and maximum number of marks. They cover at least the last 5 seconds; a
// replica that is behind all marks satisfies no lag bound.
const (
	markSpacing = 20 * time.Millisecond
	markCount   = 512
)

func (f *freshnessMarks) add(mark freshnessMark) {
	last := len(f.marks) - 1
	if last >= 0 && mark.asOf < f.marks[last].asOf+markSpacing {
		return
	}
	if len(f.marks) == markCount {
		f.marks = append(f.marks[:0], f.marks[markCount/2:]...)
	}
	f.marks = append(f.marks, mark)
}

// covered returns the time of the latest mark at or below an applied position.
func (f *freshnessMarks) covered(applied position.Position) (time.Duration, bool) {
	for index := len(f.marks) - 1; index >= 0; index-- {
		if applied.Covers(f.marks[index].position) {
			return f.marks[index].asOf, true
		}
	}
	return 0, false
}

// confirmedAsOf returns the latest time t such that the primary and a majority have
// answered status queries sent at t or later.
func (m *Machine) confirmedAsOf(primary int) (time.Duration, bool) {
	var others []time.Duration
	for index := range m.servers {
		server := &m.servers[index]
		if index != primary && server.reported && server.report.Term == m.highestTerm {
			others = append(others, server.reportQueriedAt)
		}
	}
	needed := m.majority() - 1
	if len(others) < needed {
		return 0, false
	}
	asOf := m.servers[primary].reportQueriedAt
	if needed > 0 {
		slices.Sort(others)
		asOf = min(asOf, others[len(others)-needed])
	}
	return asOf, true
}

func (m *Machine) currentPrimary() int {
	for index := range m.servers {
		if m.isPrimary(index) {
			return index
		}
	}
	return noServer
}

func (m *Machine) freshWithin(index int, lag time.Duration) bool {
	server := &m.servers[index]
	return server.fresh && m.now-server.freshAsOf <= lag
}

func (m *Machine) hasFreshReplica(lag time.Duration) bool {
	for index := range m.servers {
		if m.usable(index) && !m.isPrimary(index) && m.freshWithin(index, lag) {
			return true
		}
	}
	return false
}
