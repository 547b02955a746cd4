package group

import (
	"sort"
	"time"

	"dewknot/internal/base/failure"
)

// noServer stands for the absence of a server.
const noServer = -1

// serverState is what the machine knows of a server.
type serverState struct {
	report   Report
	reported bool
	fit      bool
	answers  int // in a row
	failures int // in a row
	leaving  bool
	// leavingSince is when the mark arrived here.
	leavingSince time.Duration
	running      int
	inUse        int
	// askSent is the number of the last question, askAnswered of the last answer.
	askSent     uint64
	askAnswered uint64
	askPending  bool
	askAt       time.Duration
	// askTimes holds when the latest questions were asked, by number.
	askTimes [rememberedAsks]time.Duration
	// reportAskedAt is when the question was asked that report answers.
	reportAskedAt time.Duration
	// freshAsOf is the latest time at which a confirmed primary position was
	// asked for that this server has applied.
	freshAsOf time.Duration
	fresh     bool
}

// rememberedAsks is how many questions back an answer may be late.
const rememberedAsks = 8

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

// isPrimary reports whether a server is primary of the highest term known. This
// is a hint for routing; what makes an answer safe is its confirmation.
func (m *Machine) isPrimary(index int) bool {
	server := &m.servers[index]
	return server.reported && server.report.Role == roleOfPrimary && server.report.Term == m.highestTerm
}

func (m *Machine) usable(index int) bool {
	server := &m.servers[index]
	if m.settings.Mutations.IgnoreLeaving {
		return server.fit
	}
	return server.fit && !server.leaving
}

func (m *Machine) hasRoom(index int) bool {
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

// askServers sends the status questions that are due.
func (m *Machine) askServers() {
	for index := range m.servers {
		if !m.servers[index].askPending && m.nextAsk(index) <= m.now {
			m.ask(index)
		}
	}
}

func (m *Machine) ask(index int) {
	server := &m.servers[index]
	server.askSent++
	server.askPending = true
	server.askAt = m.now
	server.askTimes[server.askSent%rememberedAsks] = m.now
	m.emit(Ask{Server: index, Number: server.askSent})
}

// nextAsk returns when a server must be asked next, or, while a question is
// pending, when that question times out.
func (m *Machine) nextAsk(index int) time.Duration {
	server := &m.servers[index]
	switch {
	case server.askPending:
		return server.askAt + m.settings.AskTimeout
	case server.askSent == 0:
		return m.now
	case m.answersWanted(index):
		return server.askAt + m.settings.AskSpacing
	case m.usablePrimary() == noServer || !server.fit:
		return server.askAt + m.settings.ChangePoll
	default:
		return server.askAt + m.settings.PollInterval
	}
}

// answersWanted reports whether a waiting request needs a further answer.
func (m *Machine) answersWanted(index int) bool {
	if !m.servers[index].fit {
		return false
	}
	for _, target := range m.waiting {
		if target.stage == stageFloor || m.servers[index].askAnswered <= target.after[index] {
			return true
		}
		if target.stage == stageConfirm && !m.servers[index].report.Received.Covers(target.committed) {
			return true
		}
	}
	return false
}

func (m *Machine) statusAnswer(event StatusAnswer) {
	server := &m.servers[event.Server]
	if event.Ask == server.askSent {
		server.askPending = false
	}
	tooOld := event.Ask+rememberedAsks <= server.askSent
	if event.Ask <= server.askAnswered || event.Ask > server.askSent || tooOld {
		return
	}
	before := m.currentPrimary()
	server.askAnswered = event.Ask
	server.failures = 0
	server.answers++
	if !server.reported || server.answers >= answersToFit {
		server.fit = true
	}
	server.report = event.Report
	server.reportAskedAt = server.askTimes[event.Ask%rememberedAsks]
	server.reported = true
	m.noticeTerm(event.Report.Term)
	m.noticeFreshness()
	m.advanceWaiting()
	if m.currentPrimary() != before {
		m.requeueReads()
	}
}

// noticeTerm adopts a higher term and drops every server that still believes
// itself primary of a lower one: what runs there can no longer be acknowledged.
func (m *Machine) noticeTerm(term uint64) {
	m.highestTerm = max(m.highestTerm, term)
	for index := range m.servers {
		server := &m.servers[index]
		replaced := server.reported && server.report.Role == roleOfPrimary && server.report.Term < m.highestTerm
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
	m.abortPins(index)
	m.requeueReads()
}

// abortPins ends the open transactions at a server.
func (m *Machine) abortPins(index int) {
	var sessions []SessionID
	for session, held := range m.pins {
		if held.server == index && !m.sessionRuns(session) {
			sessions = append(sessions, session)
		}
	}
	sort.Slice(sessions, func(i, j int) bool { return lessSession(sessions[i], sessions[j]) })
	for _, session := range sessions {
		m.unpin(session)
		m.emit(Abort{Session: session})
	}
}

// sessionRuns reports whether a statement of the session runs now; its result
// then ends the transaction.
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
	if event.Ask == server.askSent && server.askPending {
		m.askFailed(event.Server)
	}
}

func (m *Machine) askFailed(index int) {
	server := &m.servers[index]
	server.askPending = false
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

// expire ends what has waited too long.
func (m *Machine) expire() {
	for index := range m.servers {
		server := &m.servers[index]
		if server.askPending && m.now >= server.askAt+m.settings.AskTimeout {
			m.askFailed(index)
		}
		if server.leaving && !m.settings.Mutations.IgnoreLeaving && m.now >= server.leavingSince+m.settings.LeavingGrace {
			m.abortPins(index)
		}
	}
	m.expireWaiting()
	m.expireQueues()
}

func (m *Machine) expireQueues() {
	if m.queued() == 0 || m.now < m.queueDeadline {
		return
	}
	passed := func(target *pending) bool { return m.now >= target.deadline() }
	late := append(m.primaryQueue.RemoveIf(passed), m.replicaQueue.RemoveIf(passed)...)
	for _, target := range m.pinnedQueue {
		if passed(target) {
			late = append(late, target)
		}
	}
	m.pinnedQueue = without(m.pinnedQueue, passed)
	for _, target := range late {
		m.refuse(target, m.lateKind(target))
	}
	m.queueDeadline = m.now + m.settings.PollInterval
	m.lowerQueueDeadline()
}

// lowerQueueDeadline finds the earliest deadline among queued requests.
func (m *Machine) lowerQueueDeadline() {
	note := func(target *pending) bool {
		m.queueDeadline = min(m.queueDeadline, target.deadline())
		return false
	}
	m.primaryQueue.RemoveIf(note)
	m.replicaQueue.RemoveIf(note)
	for _, target := range m.pinnedQueue {
		note(target)
	}
}

// lateKind names why a request could not be served in time.
func (m *Machine) lateKind(target *pending) failure.Kind {
	switch {
	case target.primaryOnly && m.usablePrimary() == noServer:
		return failure.NoPrimary
	case m.usablePrimary() == noServer && m.fitReplicas() == 0:
		return failure.NoServer
	default:
		return failure.WaitLimit
	}
}
