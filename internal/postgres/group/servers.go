package group

import (
	"sort"
	"time"

	"dewknot/internal/base/failure"
)

// noServer is the index that stands for no server.
const noServer = -1

// serverState is the machine's state of a server.
type serverState struct {
	report   Report
	reported bool
	fit      bool
	answers  int // in a row
	failures int // in a row
	leaving  bool
	// leavingSince is when this machine learned that the server is leaving.
	leavingSince time.Duration
	running      int // statements
	inUse        int // connections
	// querySent is the number of the last status query, queryAnswered that of the last
	// answered one.
	querySent     uint64
	queryAnswered uint64
	queryPending  bool
	querySentAt   time.Duration
	// querySentTimes holds the send times of the latest queries, by number modulo its length.
	querySentTimes [queryWindow]time.Duration
	// reportQueriedAt is when the query was sent that report answers.
	reportQueriedAt time.Duration
	// freshAsOf is the latest time for which the server has applied every write
	// acknowledged before; valid if fresh is set.
	freshAsOf time.Duration
	fresh     bool
}

// queryWindow is the number of latest queries whose answers are still accepted.
const queryWindow = 8

// ServerView is a server's state for status pages and tests.
type ServerView struct {
	Report  Report
	Fit     bool
	Leaving bool
	Primary bool
	Running int
	InUse   int
}

// Servers returns a view of all servers.
func (m *Machine) Servers() []ServerView {
	views := make([]ServerView, len(m.servers))
	for index, server := range m.servers {
		views[index] = ServerView{
			Report: server.report, Fit: server.fit, Leaving: server.leaving, Primary: m.isPrimary(index),
			Running: server.running, InUse: server.inUse,
		}
	}
	return views
}

// isPrimary reports whether a server is the primary of the highest known term. It only
// guides routing; the safety of an answer depends on its confirmation.
func (m *Machine) isPrimary(index int) bool {
	server := &m.servers[index]
	return server.reported && server.report.Role == primaryRole && server.report.Term == m.highestTerm
}

func (m *Machine) usable(index int) bool {
	server := &m.servers[index]
	if m.settings.Mutations.IgnoreLeaving {
		return server.fit
	}
	return server.fit && !server.leaving
}

func (m *Machine) hasCapacity(index int) bool {
	server := &m.servers[index]
	return m.usable(index) && server.running < m.settings.Slots && server.inUse < m.settings.Connections
}

func (m *Machine) usablePrimary() int {
	for index := range m.servers {
		if m.isPrimary(index) && m.usable(index) {
			return index
		}
	}
	return noServer
}

func (m *Machine) fitReplicas() int {
	count := 0
	for index := range m.servers {
		if m.usable(index) && !m.isPrimary(index) {
			count++
		}
	}
	return count
}

// sendDueQueries sends the status queries that are due.
func (m *Machine) sendDueQueries() {
	for index := range m.servers {
		if !m.servers[index].queryPending && m.nextQueryAt(index) <= m.now {
			m.sendQuery(index)
		}
	}
}

func (m *Machine) sendQuery(index int) {
	server := &m.servers[index]
	server.querySent++
	server.queryPending = true
	server.querySentAt = m.now
	server.querySentTimes[server.querySent%queryWindow] = m.now
	m.emit(Ask{Server: index, Number: server.querySent})
}

// nextQueryAt returns when the next status query to a server is due or, while one is
// outstanding, when it times out.
func (m *Machine) nextQueryAt(index int) time.Duration {
	server := &m.servers[index]
	switch {
	case server.queryPending:
		return server.querySentAt + m.settings.AskTimeout
	case server.querySent == 0:
		return m.now
	case m.needsAnswer(index):
		return server.querySentAt + m.settings.AskSpacing
	case m.usablePrimary() == noServer || !server.fit:
		return server.querySentAt + m.settings.ChangePoll
	default:
		return server.querySentAt + m.settings.PollInterval
	}
}

// needsAnswer reports whether a waiting request needs another answer of a server.
func (m *Machine) needsAnswer(index int) bool {
	if !m.servers[index].fit {
		return false
	}
	for _, target := range m.waiting {
		if target.stage == stageMinPosition || m.servers[index].queryAnswered <= target.baseline[index] {
			return true
		}
		if target.stage == stageConfirmation && !m.servers[index].report.Received.Covers(target.committed) {
			return true
		}
	}
	return false
}

func (m *Machine) statusAnswer(event StatusAnswer) {
	server := &m.servers[event.Server]
	if event.Ask == server.querySent {
		server.queryPending = false
	}
	tooOld := event.Ask+queryWindow <= server.querySent
	if event.Ask <= server.queryAnswered || event.Ask > server.querySent || tooOld {
		return
	}
	previousPrimary := m.currentPrimary()
	server.queryAnswered = event.Ask
	server.failures = 0
	server.answers++
	if !server.reported || server.answers >= answersToFit {
		server.fit = true
	}
	server.report = event.Report
	server.reportQueriedAt = server.querySentTimes[event.Ask%queryWindow]
	server.reported = true
	m.adoptTerm(event.Report.Term)
	m.updateFreshness()
	m.advanceWaiting()
	if m.currentPrimary() != previousPrimary {
		m.requeueReads()
	}
}

// adoptTerm adopts a higher term and makes every server unfit that reports itself as the
// primary of a lower one, since its commits can't be acknowledged any more.
func (m *Machine) adoptTerm(term uint64) {
	m.highestTerm = max(m.highestTerm, term)
	for index := range m.servers {
		server := &m.servers[index]
		replaced := server.reported && server.report.Role == primaryRole && server.report.Term < m.highestTerm
		if replaced && server.fit {
			m.makeUnfit(index)
		}
	}
}

func (m *Machine) makeUnfit(index int) {
	server := &m.servers[index]
	server.fit = false
	server.answers = 0
	server.fresh = false
	m.emit(Disconnect{Server: index})
	m.abortTransactions(index)
	m.requeueReads()
}

// abortTransactions aborts the open transactions at a server, except those with a running
// statement.
func (m *Machine) abortTransactions(index int) {
	var sessions []SessionID
	for session, transaction := range m.pins {
		if transaction.server == index && !m.sessionRuns(session) {
			sessions = append(sessions, session)
		}
	}
	sort.Slice(sessions, func(i, j int) bool { return lessSession(sessions[i], sessions[j]) })
	for _, session := range sessions {
		m.unpin(session)
		m.emit(Abort{Session: session})
	}
}

// sessionRuns reports whether a statement of the session is running. Its result then
// ends the transaction.
func (m *Machine) sessionRuns(session SessionID) bool {
	target := m.requests[RequestID{Session: session, Number: m.lastNumber[session]}]
	return target != nil && target.stage == stageRunning
}

func lessSession(first, second SessionID) bool {
	if first.Listener != second.Listener {
		return first.Listener < second.Listener
	}
	return first.Session < second.Session
}

func sortPending(list []*pending) {
	sort.Slice(list, func(i, j int) bool {
		first, second := list[i].request.ID, list[j].request.ID
		if first.Session != second.Session {
			return lessSession(first.Session, second.Session)
		}
		return first.Number < second.Number
	})
}

func (m *Machine) statusFailure(event StatusFailure) {
	server := &m.servers[event.Server]
	if event.Ask == server.querySent && server.queryPending {
		m.queryFailed(event.Server)
	}
}

func (m *Machine) queryFailed(index int) {
	server := &m.servers[index]
	server.queryPending = false
	server.answers = 0
	server.failures++
	if server.failures >= failuresToUnfit && server.fit {
		m.makeUnfit(index)
	}
}

func (m *Machine) setLeaving(event Leaving) {
	if event.Server < 0 || event.Server >= len(m.servers) {
		return
	}
	server := &m.servers[event.Server]
	if event.On && !server.leaving {
		server.leavingSince = m.now
	}
	server.leaving = event.On
	m.requeueReads()
}

// expire handles all timeouts: of status queries, grace periods and waiting requests.
func (m *Machine) expire() {
	for index := range m.servers {
		server := &m.servers[index]
		if server.queryPending && m.now >= server.querySentAt+m.settings.AskTimeout {
			m.queryFailed(index)
		}
		if server.leaving && !m.settings.Mutations.IgnoreLeaving && m.now >= server.leavingSince+m.settings.LeavingGrace {
			m.abortTransactions(index)
		}
	}
	m.expireWaiting()
	m.expireQueues()
}

func (m *Machine) expireQueues() {
	if m.queued() == 0 || m.now < m.queueDeadline {
		return
	}
	isExpired := func(target *pending) bool { return m.now >= target.deadline() }
	expired := append(m.primaryQueue.RemoveIf(isExpired), m.replicaQueue.RemoveIf(isExpired)...)
	for _, target := range m.pinnedQueue {
		if isExpired(target) {
			expired = append(expired, target)
		}
	}
	m.pinnedQueue = without(m.pinnedQueue, isExpired)
	for _, target := range expired {
		m.reject(target, m.timeoutKind(target))
	}
	m.queueDeadline = m.now + m.settings.PollInterval
	m.scanQueueDeadlines()
}

// scanQueueDeadlines lowers queueDeadline to the earliest deadline of the queued requests.
func (m *Machine) scanQueueDeadlines() {
	include := func(target *pending) bool {
		m.queueDeadline = min(m.queueDeadline, target.deadline())
		return false
	}
	m.primaryQueue.RemoveIf(include)
	m.replicaQueue.RemoveIf(include)
	for _, target := range m.pinnedQueue {
		include(target)
	}
}

// timeoutKind returns the reason why a request could not be served in time.
func (m *Machine) timeoutKind(target *pending) failure.Kind {
	switch {
	case target.primaryOnly && m.usablePrimary() == noServer:
		return failure.NoPrimary
	case m.usablePrimary() == noServer && m.fitReplicas() == 0:
		return failure.NoServer
	default:
		return failure.WaitLimit
	}
}
