package group

import (
	"slices"
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/postgres/policy"
	"dewknot/internal/postgres/replication"
)

const roleOfPrimary = replication.Primary

// Freshness. Every level comes down to a floor: a position that a server must
// have applied before it may run the read.
//
//   - any: no floor.
//   - session with a carried position: that position.
//   - lag(L): a primary position that was confirmed by a question asked at most
//     L ago; servers remember up to which such question they are fresh.
//   - current, and session without a position: the read index, the primary's
//     position in an answer to a question asked after the request arrived. It
//     counts only when a majority of servers, asked after the arrival too, report
//     no higher term: then every write acknowledged before the arrival lies at or
//     below it.
//
// An explicit transaction that may write begins with a read index as well, so
// that its reads at the primary see what the session wrote before. The floor
// also guards reads at the primary itself: a replaced primary does not cover it.

// enterFirstStage decides what a new request must wait for.
func (m *Machine) enterFirstStage(target *pending) {
	target.after = m.sentAsks()
	if m.needsIndex(target) {
		target.stage = stageIndex
		m.waiting = append(m.waiting, target)
		return
	}
	m.enterFloorStage(target)
}

func (m *Machine) needsIndex(target *pending) bool {
	request := target.request
	if m.settings.Mutations.SkipFloor {
		return false
	}
	if !request.ReadOnly && !request.Begins {
		return false // confirmed after its commit, which covers what it read
	}
	switch request.Rule.Freshness {
	case policy.Any:
		return !request.ReadOnly && request.Floor.IsZero()
	case policy.Session:
		return request.Floor.IsZero()
	case policy.Bounded:
		return !request.ReadOnly || !m.freshReplica(request.Rule.MaxLag)
	default:
		return true
	}
}

// advanceIndex completes a read index when a majority has answered.
func (m *Machine) advanceIndex(target *pending) {
	index, found := m.readIndex(target)
	if !found {
		m.waiting = append(m.waiting, target)
		return
	}
	target.floor = position.Max(target.floor, index)
	target.indexed = true
	m.enterFloorStage(target)
}

// readIndex returns the primary's position if it is confirmed for the request.
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
		if m.answered(target, index) && report.Role == roleOfPrimary && report.Term == highest {
			return report.Received, true
		}
	}
	return position.Position{}, false
}

// enterFloorStage queues a request that some server can run, and lets others wait.
func (m *Machine) enterFloorStage(target *pending) {
	m.advanceFloor(target)
}

func (m *Machine) replicaDeadline(target *pending) time.Duration {
	return min(target.arrived+target.request.Rule.ReplicaWait, target.deadline())
}

// advanceFloor queues a request for the servers that may run it. A read whose
// replicas stay behind past its replica wait goes to the primary.
func (m *Machine) advanceFloor(target *pending) {
	primary := m.usablePrimary()
	if m.shouldFallBack(target) && primary != noServer {
		target.primaryOnly = true
	}
	behind := primary != noServer && !m.mayRun(primary, target)
	switch {
	case target.primaryOnly && !behind, !target.primaryOnly && m.replicaCovers(target):
		m.ready(target)
	default:
		target.stage = stageFloor
		m.waiting = append(m.waiting, target)
	}
}

func (m *Machine) shouldFallBack(target *pending) bool {
	if target.primaryOnly || m.replicaCovers(target) {
		return false
	}
	return m.now >= m.replicaDeadline(target) || m.fitReplicas() == 0
}

// requeueReads lets queued reads choose again after a server became unfit or
// the primary changed.
func (m *Machine) requeueReads() {
	isRead := func(target *pending) bool { return target.request.ReadOnly }
	reads := append(m.replicaQueue.RemoveIf(isRead), m.primaryQueue.RemoveIf(isRead)...)
	for _, target := range reads {
		target.primaryOnly = false
		m.advanceFloor(target)
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

// covers reports whether a server's data is fresh enough for a request.
func (m *Machine) covers(index int, target *pending) bool {
	server := &m.servers[index]
	if m.settings.Mutations.SkipFloor {
		return true
	}
	if !server.reported || !server.report.Applied.Covers(target.floor) || !m.clean(index) {
		return false
	}
	if target.request.Rule.Freshness == policy.Bounded && !target.indexed {
		return m.freshWithin(index, target.request.Rule.MaxLag)
	}
	return true
}

// clean reports whether a server surely shows nothing that only a replaced
// primary held. A server that has applied an entry of the current term follows
// the current primary. One that has not may still hold the divergent tail of an
// earlier term, unless what it has applied lies within what was confirmed in
// that term.
func (m *Machine) clean(index int) bool {
	applied := m.servers[index].report.Applied
	if applied.Term == m.highestTerm || m.settings.Mutations.SkipClean {
		return true
	}
	return applied.Offset <= m.confirmedOffsets[applied.Term]
}

// noteConfirmed remembers what a majority has received, by term.
func (m *Machine) noteConfirmed(at position.Position) {
	m.confirmedOffsets[at.Term] = max(m.confirmedOffsets[at.Term], at.Offset)
	for term := range m.confirmedOffsets {
		if term+rememberedTerms < at.Term {
			delete(m.confirmedOffsets, term)
		}
	}
}

// rememberedTerms is for how many terms back confirmed positions are remembered.
const rememberedTerms = 4

// choose returns the server that may run a queued request now, or noServer.
// Among several it takes the one with the fewest running statements.
func (m *Machine) choose(target *pending) int {
	best := noServer
	for index := range m.servers {
		if !m.hasRoom(index) || m.isPrimary(index) != target.primaryOnly {
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

// mayRun checks the floor. Single writes need none: their confirmation follows.
func (m *Machine) mayRun(index int, target *pending) bool {
	if !target.request.ReadOnly && !target.request.Begins {
		return true
	}
	return m.covers(index, target)
}

// noticeFreshness records, for lag bounds, up to when each server is fresh. A
// primary's position counts from a time t when the primary and a majority
// answered questions asked at t or later and none reported a higher term: every
// write acknowledged before t then lies at or below that position.
func (m *Machine) noticeFreshness() {
	primary := m.currentPrimary()
	if primary == noServer {
		return
	}
	asOf, confirmed := m.confirmedSince(primary)
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

// freshnessMark is a primary position and the time up to which every write
// acknowledged before lies at or below it.
type freshnessMark struct {
	asOf     time.Duration
	position position.Position
}

// freshnessMarks remembers confirmed marks, so that a replica that applies late
// still shows up to when it is fresh.
type freshnessMarks struct {
	marks []freshnessMark // ordered by time
}

// Spacing and number of remembered marks: together they look back ten seconds; a
// replica further behind counts as not fresh for any bound.
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

// covered returns the time of the latest mark that an applied position covers.
func (f *freshnessMarks) covered(applied position.Position) (time.Duration, bool) {
	for index := len(f.marks) - 1; index >= 0; index-- {
		if applied.Covers(f.marks[index].position) {
			return f.marks[index].asOf, true
		}
	}
	return 0, false
}

// confirmedSince returns the latest time for which the primary and a majority
// have answered questions asked no earlier.
func (m *Machine) confirmedSince(primary int) (time.Duration, bool) {
	var others []time.Duration
	for index := range m.servers {
		server := &m.servers[index]
		if index != primary && server.reported && server.report.Term == m.highestTerm {
			others = append(others, server.reportAskedAt)
		}
	}
	needed := m.majority() - 1
	if len(others) < needed {
		return 0, false
	}
	asOf := m.servers[primary].reportAskedAt
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

func (m *Machine) freshReplica(lag time.Duration) bool {
	for index := range m.servers {
		if m.usable(index) && !m.isPrimary(index) && m.freshWithin(index, lag) {
			return true
		}
	}
	return false
}
