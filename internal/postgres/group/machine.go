package group

import (
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/postgres/fairqueue"
)

// stage is where a request stands.
type stage uint8

const (
	stageIndex   stage = iota // waits for the primary's confirmed position
	stageFloor                // waits for a server that has applied its floor
	stageReady                // waits for a slot and a connection
	stageRunning              // runs on a server
	stageConfirm              // has committed; waits for a majority's confirmation
)

// pending is a request inside the machine.
type pending struct {
	request  Request
	stage    stage
	arrived  time.Duration
	attempts int
	server   int
	pinned   bool
	// floor is the position a server must have applied; valid past stageIndex.
	floor position.Position
	// indexed is set when floor includes a read index.
	indexed bool
	// after holds, per server, the last status question sent before the moment
	// that answers must postdate: arrival for reads, the commit for writes.
	after []uint64
	// committed is the position of the commit and since its time, in stageConfirm.
	committed position.Position
	since     time.Duration
	// primaryOnly is set when only the primary can run the request.
	primaryOnly bool
	// confirms is set when the run's answer shows what the primary alone may hold.
	confirms bool
	canceled bool
	ended    bool
}

func (p *pending) deadline() time.Duration { return p.arrived + p.request.Rule.Wait }

// pin is a session's hold on a connection during a transaction.
type pin struct {
	server   int
	caller   string
	readOnly bool
}

// Machine serves one group.
type Machine struct {
	settings Settings
	now      time.Duration
	servers  []serverState
	requests map[RequestID]*pending
	// waiting holds requests in stageIndex, stageFloor and stageConfirm in the
	// order in which they entered the stage.
	waiting []*pending
	// primaryQueue and replicaQueue hold requests in stageReady.
	primaryQueue *fairqueue.Queue[*pending]
	replicaQueue *fairqueue.Queue[*pending]
	// pinnedQueue holds statements of open transactions that wait for a slot.
	pinnedQueue []*pending
	pins        map[SessionID]*pin
	lastNumber  map[SessionID]uint64
	closed      bool
	// freshUntil ends the time in which new work may begin, if settings ask for it.
	freshUntil  time.Duration
	highestTerm uint64
	marks       freshnessMarks
	// confirmedOffsets holds, by term, up to which offset commits were confirmed.
	confirmedOffsets map[uint64]uint64
	// serviceTime is a moving average of how long a run takes.
	serviceTime time.Duration
	// queueDeadline is a lower bound of the earliest deadline in the queues.
	queueDeadline time.Duration
	effects       []Effect
}

// initialServiceTime is assumed before any run has ended.
const initialServiceTime = 2 * time.Millisecond

// New returns a machine that knows nothing of its servers yet.
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
	m.askServers()
	return m.effects
}

func (m *Machine) resize(event Resize) {
	m.settings.Slots, m.settings.Connections = event.Slots, event.Connections
	capacity := fairqueue.Resources{Slots: event.Slots, Connections: event.Connections}
	m.primaryQueue.SetCapacity(capacity)
	m.replicaQueue.SetCapacity(capacity)
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

// NextWake returns the time of the next Tick that the machine needs.
func (m *Machine) NextWake() time.Duration {
	wake := m.now + m.settings.PollInterval
	for index := range m.servers {
		wake = min(wake, m.nextAsk(index))
	}
	for _, waiting := range m.waiting {
		wake = min(wake, m.waitingDeadline(waiting))
	}
	if m.queued() > 0 {
		wake = min(wake, m.queueDeadline)
	}
	return max(wake, m.now+minimumWake)
}

// minimumWake keeps ticks apart.
const minimumWake = time.Millisecond

func (m *Machine) queued() int {
	return m.primaryQueue.Len() + m.replicaQueue.Len() + len(m.pinnedQueue)
}

// Queued returns how many requests wait in the machine.
func (m *Machine) Queued() int { return m.queued() + len(m.waiting) }

// OpenTransactions returns how many transactions hold connections.
func (m *Machine) OpenTransactions() int { return len(m.pins) }

// InProgress returns how many requests the machine has not answered yet.
func (m *Machine) InProgress() int { return len(m.requests) }

func (m *Machine) arrive(request Request) {
	session := request.ID.Session
	// A number that is not new is a duplicate: the first copy gets the answer.
	if request.ID.Number <= m.lastNumber[session] {
		return
	}
	m.lastNumber[session] = request.ID.Number
	created := &pending{request: request, arrived: m.now, server: noServer, floor: request.Floor}
	m.requests[request.ID] = created
	switch held := m.pins[session]; {
	case held != nil:
		m.arrivePinned(created, held)
	case request.InTransaction:
		m.refuse(created, failure.TransactionLost)
	case m.closed:
		m.refuse(created, failure.NotOwner)
	case request.Rule.Refuse:
		m.reply(created, Reply{Kind: failure.RefusedByPolicy, RetryAfter: request.Rule.RetryAfter, Server: noServer})
	default:
		m.admit(created)
	}
}

// arrivePinned takes a statement of an open transaction, which runs on the
// transaction's own connection or not at all.
func (m *Machine) arrivePinned(created *pending, held *pin) {
	created.pinned = true
	created.server = held.server
	created.stage = stageReady
	m.pinnedQueue = append(m.pinnedQueue, created)
	m.noteDeadline(created)
}

// admit refuses at once what surely cannot be served within its wait limit.
func (m *Machine) admit(created *pending) {
	if m.Queued() >= m.settings.QueueLimit {
		m.refuse(created, failure.Overloaded)
		return
	}
	if estimate := m.estimatedWait(created.request.ReadOnly); estimate > created.request.Rule.Wait {
		m.refuse(created, failure.Overloaded)
		return
	}
	created.primaryOnly = !created.request.ReadOnly
	m.enterFirstStage(created)
}

// estimatedWait predicts the time to reach the head of a queue.
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

// retryAfter is what a refused caller is told: the time to drain the queue, and
// at least the interval in which a group's state is looked at.
func (m *Machine) retryAfter(target *pending) time.Duration {
	return max(m.estimatedWait(target.request.ReadOnly), m.settings.PollInterval)
}

func (m *Machine) refuse(target *pending, kind failure.Kind) {
	m.reply(target, Reply{Kind: kind, RetryAfter: m.retryAfter(target), Server: noServer})
}

// reply ends a request; it is the only place that emits Reply.
func (m *Machine) reply(target *pending, reply Reply) {
	reply.ID = target.request.ID
	target.ended = true
	delete(m.requests, target.request.ID)
	m.emit(reply)
}

func (m *Machine) ready(target *pending) {
	target.stage = stageReady
	queue := m.replicaQueue
	if target.primaryOnly {
		queue = m.primaryQueue
	}
	queue.Push(target.request.Caller, target.request.Weight, target)
	m.noteDeadline(target)
}

func (m *Machine) noteDeadline(target *pending) {
	if m.queued() == 1 || target.deadline() < m.queueDeadline {
		m.queueDeadline = target.deadline()
	}
}

// dispatch starts every request that has a server with a free slot. Statements
// of open transactions go first: they hold connections that others wait for.
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
			m.refuse(target, failure.TransactionLost)
		case m.servers[target.server].running < m.settings.Slots:
			m.start(target, target.server)
		default:
			kept = append(kept, target)
		}
	}
	m.pinnedQueue = kept
}

func (m *Machine) dispatchQueue(queue *fairqueue.Queue[*pending]) {
	if queue.Len() == 0 || !m.fresh() || !m.anyFree() {
		return
	}
	for {
		target, ok := queue.Pop(func(candidate *pending) bool { return m.choose(candidate) != noServer })
		if !ok {
			return
		}
		m.start(target, m.choose(target))
	}
}

// fresh reports whether this node may begin new work. A node that was paused
// finds here that its knowledge has aged, whatever waited in its queues.
func (m *Machine) fresh() bool {
	return !m.settings.NeedsFresh || m.now < m.freshUntil
}

// MayBegin reports whether new work may begin on a server now. The runtime asks
// again when it has a connection: setting one up takes time, and the process may
// have been paused since the machine decided.
func (m *Machine) MayBegin(now time.Duration, server int) bool {
	m.now = max(m.now, now)
	return m.usable(server) && m.fresh()
}

func (m *Machine) anyFree() bool {
	for index := range m.servers {
		if m.hasRoom(index) {
			return true
		}
	}
	return false
}

func (m *Machine) start(target *pending, server int) {
	target.stage = stageRunning
	target.server = server
	target.attempts++
	target.since = m.now
	m.servers[server].running++
	amount := fairqueue.Resources{Slots: 1}
	if !target.pinned {
		m.servers[server].inUse++
		amount.Connections = 1
	}
	m.queueOf(target).Acquire(target.request.Caller, amount)
	// Whatever runs by itself at the primary reflects the end of the primary's log;
	// transactions are confirmed when they commit.
	target.confirms = !target.pinned && !target.request.Begins && (target.request.MayCommit || m.isPrimary(server))
	m.emit(Run{ID: target.request.ID, Server: server, Pinned: target.pinned, Confirm: target.confirms})
}

func (m *Machine) queueOf(target *pending) *fairqueue.Queue[*pending] {
	if target.primaryOnly || target.pinned {
		return m.primaryQueue
	}
	return m.replicaQueue
}

// finish takes the end of a run. A result for a request that is not running on
// that server is late and without meaning.
func (m *Machine) finish(event Finish) {
	target := m.requests[event.ID]
	if target == nil || target.stage != stageRunning || target.server != event.Server {
		return
	}
	if held := m.pins[event.ID.Session]; held != nil && held.readOnly {
		event.Result.Wrote = false
	}
	m.stopRunning(target, event.Result.TransactionOpen && event.Result.Outcome == Completed)
	switch event.Result.Outcome {
	case Completed:
		m.completed(target, event.Result)
	case NotStarted:
		m.notStarted(target)
	case MustWrite:
		m.mustWrite(target)
	default:
		m.lost(target, event.Result.Outcome)
	}
}

// stopRunning gives back the slot and, unless a transaction stays open, the connection.
func (m *Machine) stopRunning(target *pending, open bool) {
	server := &m.servers[target.server]
	server.running--
	m.observeService(m.now - target.since)
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

// unpin frees the connection of a session's transaction.
func (m *Machine) unpin(session SessionID) {
	held := m.pins[session]
	if held == nil {
		return
	}
	delete(m.pins, session)
	m.servers[held.server].inUse--
	m.primaryQueue.Release(held.caller, fairqueue.Resources{Connections: 1})
}

// serviceSmoothing is the weight of history in the moving average: 1 - 1/16.
const serviceSmoothing = 16

func (m *Machine) observeService(took time.Duration) {
	m.serviceTime += (took - m.serviceTime) / serviceSmoothing
	m.serviceTime = max(m.serviceTime, time.Microsecond)
}

func (m *Machine) completed(target *pending, result RunResult) {
	shows := target.confirms && !target.request.MayCommit && !result.Position.IsZero()
	if (result.Wrote || shows) && !m.settings.Mutations.SkipConfirm {
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

// notStarted may try again: nothing has run.
func (m *Machine) notStarted(target *pending) {
	switch {
	case target.canceled:
		m.refuse(target, failure.Canceled)
	case target.pinned:
		m.refuse(target, failure.TransactionLost)
	case target.attempts >= maxRunAttempts || m.now >= target.deadline():
		m.refuse(target, failure.NoServer)
	default:
		target.server = noServer
		m.ready(target)
	}
}

// mustWrite moves a statement that turned out to write to the primary.
func (m *Machine) mustWrite(target *pending) {
	if target.pinned || target.primaryOnly {
		m.refuse(target, failure.TransactionLost)
		return
	}
	target.request.ReadOnly = false
	target.request.MayCommit = true
	target.primaryOnly = true
	m.notStarted(target)
}

// lost decides what to say when a connection ended during a run. Only reads of
// which nothing was passed on are run again.
func (m *Machine) lost(target *pending, outcome RunOutcome) {
	request := target.request
	rerunnable := request.ReadOnly && outcome == Lost && !target.pinned
	if m.settings.Mutations.RetryLostWrites && !target.pinned {
		rerunnable = true
	}
	switch {
	case m.settings.Mutations.LostIsNotRun:
		m.refuse(target, failure.NoServer)
	case rerunnable && target.attempts < maxRunAttempts && m.now < target.deadline():
		m.notStarted(target)
	case request.MayCommit, request.ReadOnly:
		m.reply(target, Reply{Kind: failure.OutcomeUnknown, Server: target.server})
	default:
		m.refuse(target, failure.TransactionLost)
	}
}
