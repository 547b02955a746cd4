package group

import (
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/postgres/fairqueue"
)

// stage is the processing stage of a request.
type stage uint8

const (
	stageReadIndex    stage = iota // waits for the primary's confirmed position
	stageMinPosition               // waits for a server that has applied its minimum position
	stageQueued                    // waits for a slot and a connection
	stageRunning                   // runs on a server
	stageConfirmation              // has run; waits for confirmation by a majority
)

// pending is a request that has not been answered yet.
type pending struct {
	request  Request
	stage    stage
	arrived  time.Duration
	attempts int
	server   int
	pinned   bool // belongs to an open transaction
	// minPosition is the position that a server must have applied; valid after stageReadIndex.
	minPosition position.Position
	// hasReadIndex is true when minPosition includes a read index.
	hasReadIndex bool
	// baseline holds, per server, the number of the last status query sent before the
	// request arrived or, in stageConfirmation, before its run ended. Only answers to
	// later queries count.
	baseline []uint64
	// committed is the position to confirm in stageConfirmation.
	committed position.Position
	// stageStarted is when stageRunning or stageConfirmation began.
	stageStarted time.Duration
	// primaryOnly is true when only the primary may run the request.
	primaryOnly bool
	// needsConfirmation is true when a majority must confirm the answer, since the run may
	// commit or reads at the primary.
	needsConfirmation bool
	canceled          bool
	ended             bool
}

func (p *pending) deadline() time.Duration { return p.arrived + p.request.Rule.Wait }

// pin binds a session to the connection of its open transaction.
type pin struct {
	server   int
	caller   string
	readOnly bool
}

// Machine is the state machine of one database group. It isn't safe for concurrent use.
type Machine struct {
	settings Settings
	now      time.Duration
	servers  []serverState
	requests map[RequestID]*pending
	// waiting holds the requests in stageReadIndex, stageMinPosition and stageConfirmation
	// in the order in which they entered the stage.
	waiting []*pending
	// primaryQueue and replicaQueue hold the requests in stageQueued outside transactions.
	primaryQueue *fairqueue.Queue[*pending]
	replicaQueue *fairqueue.Queue[*pending]
	// pinnedQueue holds the statements of open transactions that wait for a slot.
	pinnedQueue []*pending
	pins        map[SessionID]*pin
	lastNumber  map[SessionID]uint64
	closed      bool
	// freshUntil is until when new work may begin, if Settings.NeedsFresh is set.
	freshUntil  time.Duration
	highestTerm uint64
	marks       freshnessMarks
	// confirmedOffsets holds the highest confirmed offset of each term.
	confirmedOffsets map[uint64]uint64
	// serviceTime is a moving average of the duration of a run.
	serviceTime time.Duration
	// queueDeadline is a lower bound for the earliest deadline in the queues.
	queueDeadline time.Duration
	effects       []Effect
}

// initialServiceTime is the estimate before the first run has ended.
const initialServiceTime = 2 * time.Millisecond

// New returns a machine that has no reports of its servers yet.
func New(settings Settings) *Machine {
	capacity := fairqueue.Resources{Slots: settings.Slots, Connections: settings.Connections}
	return &Machine{
		settings: settings, servers: make([]serverState, settings.Servers),
		requests: map[RequestID]*pending{}, pins: map[SessionID]*pin{}, lastNumber: map[SessionID]uint64{},
		confirmedOffsets: map[uint64]uint64{},
		primaryQueue:     fairqueue.New[*pending](settings.Discipline, capacity),
		replicaQueue:     fairqueue.New[*pending](settings.Discipline, capacity),
		serviceTime:      initialServiceTime,
	}
}

// Step applies one event and returns its effects in order. The slice is valid
// until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.now = now
	m.effects = m.effects[:0]
	switch typed := event.(type) {
	case Arrive:
		m.arrive(typed.Request)
	case Finish:
		m.finish(typed)
	case StatusAnswer:
		m.statusAnswer(typed)
	case StatusFailure:
		m.statusFailure(typed)
	case SessionEnd:
		m.sessionEnd(typed.Session)
	case Cancel:
		m.cancel(typed.ID)
	case Leaving:
		m.setLeaving(typed)
	case Accept:
		m.closed = !typed.Open
	case Fresh:
		m.freshUntil = typed.Until
	case Resize:
		m.resize(typed)
	}
	m.expire()
	m.dispatch()
	m.sendDueQueries()
	return m.effects
}

func (m *Machine) resize(event Resize) {
	m.settings.Slots, m.settings.Connections = event.Slots, event.Connections
	capacity := fairqueue.Resources{Slots: event.Slots, Connections: event.Connections}
	m.primaryQueue.SetCapacity(capacity)
	m.replicaQueue.SetCapacity(capacity)
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// NextWake returns when the machine needs its next Tick.
func (m *Machine) NextWake() time.Duration {
	wake := m.now + m.settings.PollInterval
	for index := range m.servers {
		wake = min(wake, m.nextQueryAt(index))
	}
	for _, waiting := range m.waiting {
		wake = min(wake, m.waitingDeadline(waiting))
	}
	if m.queued() > 0 {
		wake = min(wake, m.queueDeadline)
	}
	return max(wake, m.now+minWakeDelay)
}

// minWakeDelay is the minimum time between ticks.
const minWakeDelay = time.Millisecond

func (m *Machine) queued() int {
	return m.primaryQueue.Len() + m.replicaQueue.Len() + len(m.pinnedQueue)
}

// Queued returns the number of requests that wait in queues or for status answers.
func (m *Machine) Queued() int { return m.queued() + len(m.waiting) }

// OpenTransactions returns the number of transactions that hold connections.
func (m *Machine) OpenTransactions() int { return len(m.pins) }

// InProgress returns the number of requests without a reply.
func (m *Machine) InProgress() int { return len(m.requests) }

func (m *Machine) arrive(request Request) {
	session := request.ID.Session
	// The numbers of a session increase, so this is a duplicate. The first copy is answered.
	if request.ID.Number <= m.lastNumber[session] {
		return
	}
	m.lastNumber[session] = request.ID.Number
	created := &pending{request: request, arrived: m.now, server: noServer, minPosition: request.Floor}
	m.requests[request.ID] = created
	switch transaction := m.pins[session]; {
	case transaction != nil:
		m.arrivePinned(created, transaction)
	case request.InTransaction:
		m.reject(created, failure.TransactionLost)
	case m.closed:
		m.reject(created, failure.NotOwner)
	case request.Rule.Refuse:
		m.reply(created, Reply{Kind: failure.RefusedByPolicy, RetryAfter: request.Rule.RetryAfter, Server: noServer})
	default:
		m.admit(created)
	}
}

// arrivePinned queues a statement of an open transaction. It must run on the
// transaction's connection.
func (m *Machine) arrivePinned(created *pending, transaction *pin) {
	created.pinned = true
	created.server = transaction.server
	created.stage = stageQueued
	m.pinnedQueue = append(m.pinnedQueue, created)
	m.updateQueueDeadline(created)
}

// admit rejects a request immediately if the queue is full or the estimated wait
// exceeds the request's limit.
func (m *Machine) admit(created *pending) {
	if m.Queued() >= m.settings.QueueLimit {
		m.reject(created, failure.Overloaded)
		return
	}
	if estimate := m.estimatedWait(created.request.ReadOnly); estimate > created.request.Rule.Wait {
		m.reject(created, failure.Overloaded)
		return
	}
	created.primaryOnly = !created.request.ReadOnly
	m.enterFirstStage(created)
}

// estimatedWait estimates how long a new request takes to reach the head of its queue.
func (m *Machine) estimatedWait(readOnly bool) time.Duration {
	queue, slots := m.primaryQueue.Len(), m.settings.Slots
	if readOnly {
		queue, slots = m.replicaQueue.Len(), m.settings.Slots*max(m.fitReplicas(), 1)
	}
	if queue < slots {
		return 0
	}
	return m.serviceTime * time.Duration(queue) / time.Duration(max(slots, 1))
}

// retryAfter returns the delay after which a rejected caller should retry: the time to
// drain the queue, but at least the interval of status queries.
func (m *Machine) retryAfter(target *pending) time.Duration {
	return max(m.estimatedWait(target.request.ReadOnly), m.settings.PollInterval)
}

func (m *Machine) reject(target *pending, kind failure.Kind) {
	m.reply(target, Reply{Kind: kind, RetryAfter: m.retryAfter(target), Server: noServer})
}

// reply ends a request. Reply effects are emitted nowhere else.
func (m *Machine) reply(target *pending, reply Reply) {
	reply.ID = target.request.ID
	target.ended = true
	delete(m.requests, target.request.ID)
	m.emit(reply)
}

func (m *Machine) enqueue(target *pending) {
	target.stage = stageQueued
	queue := m.replicaQueue
	if target.primaryOnly {
		queue = m.primaryQueue
	}
	queue.Push(target.request.Caller, target.request.Weight, target)
	m.updateQueueDeadline(target)
}

func (m *Machine) updateQueueDeadline(target *pending) {
	if m.queued() == 1 || target.deadline() < m.queueDeadline {
		m.queueDeadline = target.deadline()
	}
}

// dispatch starts every queued request for which a server has a free slot. Statements
// of open transactions go first because they hold connections that others wait for.
func (m *Machine) dispatch() {
	m.dispatchPinned()
	m.dispatchQueue(m.primaryQueue)
	m.dispatchQueue(m.replicaQueue)
}

func (m *Machine) dispatchPinned() {
	kept := m.pinnedQueue[:0]
	for _, target := range m.pinnedQueue {
		switch {
		case target.ended:
		case m.pins[target.request.ID.Session] == nil:
			m.reject(target, failure.TransactionLost)
		case m.servers[target.server].running < m.settings.Slots:
			m.start(target, target.server)
		default:
			kept = append(kept, target)
		}
	}
	m.pinnedQueue = kept
}

func (m *Machine) dispatchQueue(queue *fairqueue.Queue[*pending]) {
	if queue.Len() == 0 || !m.fresh() || !m.anyServerFree() {
		return
	}
	for {
		target, ok := queue.Pop(func(candidate *pending) bool { return m.chooseServer(candidate) != noServer })
		if !ok {
			return
		}
		m.start(target, m.chooseServer(target))
	}
}

// fresh reports whether this node may begin new work. It is checked when a queued request
// is started, since the process may have been paused while the request waited.
func (m *Machine) fresh() bool {
	return !m.settings.NeedsFresh || m.now < m.freshUntil
}

// MayBegin reports whether new work may begin on a server now. The runtime checks it
// again once it has a connection: dialing takes time, and the process may have been
// paused since the machine's decision.
func (m *Machine) MayBegin(now time.Duration, server int) bool {
	m.now = max(m.now, now)
	return m.usable(server) && m.fresh()
}

func (m *Machine) anyServerFree() bool {
	for index := range m.servers {
		if m.hasCapacity(index) {
			return true
		}
	}
	return false
}

func (m *Machine) start(target *pending, server int) {
	target.stage = stageRunning
	target.server = server
	target.attempts++
	target.stageStarted = m.now
	m.servers[server].running++
	amount := fairqueue.Resources{Slots: 1}
	if !target.pinned {
		m.servers[server].inUse++
		amount.Connections = 1
	}
	m.queueOf(target).Acquire(target.request.Caller, amount)
	// Any single statement at the primary may return the end of the primary's log.
	// Transactions are confirmed when they commit.
	target.needsConfirmation = !target.pinned && !target.request.Begins && (target.request.MayCommit || m.isPrimary(server))
	m.emit(Run{ID: target.request.ID, Server: server, Pinned: target.pinned, Confirm: target.needsConfirmation})
}

func (m *Machine) queueOf(target *pending) *fairqueue.Queue[*pending] {
	if target.primaryOnly || target.pinned {
		return m.primaryQueue
	}
	return m.replicaQueue
}

// finish handles the end of a run. A result for a request that isn't running on that
// server is outdated and ignored.
func (m *Machine) finish(event Finish) {
	target := m.requests[event.ID]
	if target == nil || target.stage != stageRunning || target.server != event.Server {
		return
	}
	if transaction := m.pins[event.ID.Session]; transaction != nil && transaction.readOnly {
		event.Result.Wrote = false
	}
	m.stopRunning(target, event.Result.TransactionOpen && event.Result.Outcome == Completed)
	switch event.Result.Outcome {
	case Completed:
		m.runCompleted(target, event.Result)
	case NotStarted:
		m.retryRun(target)
	case MustWrite:
		m.moveToPrimary(target)
	default:
		m.runLost(target, event.Result.Outcome)
	}
}

// stopRunning releases the slot and, unless a transaction stays open, the connection.
func (m *Machine) stopRunning(target *pending, open bool) {
	server := &m.servers[target.server]
	server.running--
	m.recordServiceTime(m.now - target.stageStarted)
	queue := m.queueOf(target)
	queue.Release(target.request.Caller, fairqueue.Resources{Slots: 1})
	session := target.request.ID.Session
	switch {
	case open && !target.pinned:
		m.pins[session] = &pin{server: target.server, caller: target.request.Caller, readOnly: target.request.ReadOnly}
		if queue != m.primaryQueue {
			queue.Release(target.request.Caller, fairqueue.Resources{Connections: 1})
			m.primaryQueue.Acquire(target.request.Caller, fairqueue.Resources{Connections: 1})
		}
	case !open && target.pinned:
		m.unpin(session)
	case !open:
		server.inUse--
		queue.Release(target.request.Caller, fairqueue.Resources{Connections: 1})
	}
}

// unpin releases the connection of a session's transaction.
func (m *Machine) unpin(session SessionID) {
	transaction := m.pins[session]
	if transaction == nil {
		return
	}
	delete(m.pins, session)
	m.servers[transaction.server].inUse--
	m.primaryQueue.Release(transaction.caller, fairqueue.Resources{Connections: 1})
}

// serviceSmoothing is the inverse of the weight of a new value in the moving average of
// service times.
const serviceSmoothing = 16

func (m *Machine) recordServiceTime(elapsed time.Duration) {
	m.serviceTime += (elapsed - m.serviceTime) / serviceSmoothing
	m.serviceTime = max(m.serviceTime, time.Microsecond)
}

func (m *Machine) runCompleted(target *pending, result RunResult) {
	readsPrimary := target.needsConfirmation && !target.request.MayCommit && !result.Position.IsZero()
	if (result.Wrote || readsPrimary) && !m.settings.Mutations.SkipConfirm {
		m.awaitConfirmation(target, result.Position)
		return
	}
	served := target.server
	reply := Reply{Server: served, FromReplica: !m.isPrimary(served)}
	if result.Wrote {
		reply.Position = result.Position
	}
	m.reply(target, reply)
}

// retryRun queues a request that is safe to run again. It rejects the request if it is canceled,
// past its deadline, in a transaction or out of attempts.
func (m *Machine) retryRun(target *pending) {
	switch {
	case target.canceled:
		m.reject(target, failure.Canceled)
	case target.pinned:
		m.reject(target, failure.TransactionLost)
	case target.attempts >= maxRunAttempts || m.now >= target.deadline():
		m.reject(target, failure.NoServer)
	default:
		target.server = noServer
		m.enqueue(target)
	}
}

// moveToPrimary moves a statement that a read-only server rejected to the primary.
func (m *Machine) moveToPrimary(target *pending) {
	if target.pinned || target.primaryOnly {
		m.reject(target, failure.TransactionLost)
		return
	}
	target.request.ReadOnly = false
	target.request.MayCommit = true
	target.primaryOnly = true
	m.retryRun(target)
}

// runLost handles a connection that ended during a run. Only a read outside a transaction
// is run again, and only if no part of its answer has been passed on.
func (m *Machine) runLost(target *pending, outcome RunOutcome) {
	request := target.request
	rerunnable := request.ReadOnly && outcome == Lost && !target.pinned
	if m.settings.Mutations.RetryLostWrites && !target.pinned {
		rerunnable = true
	}
	switch {
	case m.settings.Mutations.LostIsNotRun:
		m.reject(target, failure.NoServer)
	case rerunnable && target.attempts < maxRunAttempts && m.now < target.deadline():
		m.retryRun(target)
	case request.MayCommit, request.ReadOnly:
		m.reply(target, Reply{Kind: failure.OutcomeUnknown, Server: target.server})
	default:
		m.reject(target, failure.TransactionLost)
	}
}
